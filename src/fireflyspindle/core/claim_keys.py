"""Idempotency keys: their format, and their references in the log."""

import hashlib

import attrs
import result

MAX_KEY_CHARACTERS = 200
KEY_FORMAT = "<milliseconds since 1970>-<1 to 180 letters, digits, ., _ or ->"

_ISSUED_DIGITS = range(1, 15)
_OPAQUE_PUNCTUATION = frozenset("._-")


@attrs.define
class KeyRef:
    """Reference to an idempotency key within its tenant.

    Attributes:
        key_id: Hash of tenant and key, 128 bits.
        issued_ms: Wall-clock time of issue, as stated in the key.
        digest: Hash of method, path and body, 64 bits.
    """

    key_id: int
    issued_ms: int
    digest: int


def issued_ms(key: str) -> result.Result[int, str]:
    """Parses the time of issue in a key; the error text is for the caller."""
    stamp, dash, opaque = key.partition("-")
    well_formed = (
        dash
        and len(key) <= MAX_KEY_CHARACTERS
        and stamp.isascii()
        and stamp.isdecimal()
        and len(stamp) in _ISSUED_DIGITS
        and _is_opaque(opaque)
    )
    if not well_formed:
        return result.Err(
            f"key {key[:40]!r} is malformed; expected {KEY_FORMAT}"
        )
    return result.Ok(int(stamp))


def _is_opaque(text: str) -> bool:
    if not text or not text.isascii():
        return False
    return all(char.isalnum() or char in _OPAQUE_PUNCTUATION for char in text)


def body_digest(method: str, raw_path: str, body: bytes) -> str:
    """Returns the hex digest of a request's method, path and body."""
    hasher = hashlib.sha256()
    hasher.update(f"{method}\n{raw_path}\n".encode())
    hasher.update(body)
    return hasher.hexdigest()


def key_reference(
    tenant: str, key: str, issued_at_ms: int, request_digest: str
) -> KeyRef:
    """Hashes a key, so that the log holds no data of callers."""
    return KeyRef(
        key_id=_hash(f"{tenant}\0{key}", size_bytes=16),
        issued_ms=issued_at_ms,
        digest=_hash(request_digest, size_bytes=8),
    )


def _hash(text: str, size_bytes: int) -> int:
    hashed = hashlib.blake2b(text.encode(), digest_size=size_bytes)
    return int.from_bytes(hashed.digest(), "big")
