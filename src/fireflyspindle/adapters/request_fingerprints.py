"""Fingerprints of requests, by which hosts recognize copies of a request.

Copies have the same credentials, method, host name, path and body. Their ids,
deadlines and network addresses differ: the load balancer spreads them over all
gate hosts. Each request has a fingerprint with its query and one without it:
some callers put what identifies a request into the query, others what varies
between copies.
"""

import hashlib
import re

from aiohttp import http

DIGEST_BYTES = 16

_SEPARATOR = ","
_FINGERPRINTS = re.compile(r"[0-9a-f]{32}(,[0-9a-f]{32})?")


def compute(message: http.RawRequestMessage, body: bytes) -> tuple[str, ...]:
    """Returns the fingerprints of a request as hexadecimal digits.

    Args:
        message: Head of the request.
        body: The complete body.
    """
    path, _, query = message.path.partition("?")
    exact = _digest(message, path, query, body)
    if not query:
        return (exact,)
    return exact, _digest(message, path, "", body)


def _digest(
    message: http.RawRequestMessage, path: str, query: str, body: bytes
) -> str:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (
        message.headers.get("Authorization", ""),
        message.method,
        message.headers.get("Host", "").lower(),
        path,
        query,
    ):
        field = text.encode("utf-8", "surrogateescape")
        digest.update(len(field).to_bytes(4))
        digest.update(field)
    digest.update(body)
    return digest.hexdigest()


def encode(fingerprints: tuple[str, ...]) -> str:
    """Returns fingerprints as text for another host."""
    return _SEPARATOR.join(fingerprints)


def parse(text: str) -> tuple[str, ...]:
    """Returns fingerprints that another host stated; none if invalid."""
    if not _FINGERPRINTS.fullmatch(text):
        return ()
    return tuple(text.split(_SEPARATOR))
