"""Heads of forwarded HTTP/1.1 messages, built from the received bytes."""

from collections.abc import Collection, Sequence
import functools

from aiohttp import http

from fireflyspindle import headers

Message = http.RawRequestMessage | http.RawResponseMessage

# Headers that are forwarded even if the Connection header lists them.
_ALWAYS_FORWARDED = frozenset({b"host", b"idempotency-key"})

CACHED_NAMES = 1024

# Statuses of interim responses, which precede the final one.
INTERIM_STATUSES = frozenset({100, 102, 103, 104})

FINAL_STATUSES = range(200, 600)

STATUSES_WITHOUT_BODY = frozenset({204, 304})


def request_head(
    message: http.RawRequestMessage,
    target: str,
    gateway_lines: Sequence[bytes],
    length: int | None,
    chunked: bool,
    header_profile: headers.HeaderProfile = headers.DEFAULT_PROFILE,
    removed: bytes = b"",
) -> bytes:
    """Returns the head of a caller's request for a target.

    Args:
        message: Head of the caller's request.
        target: Address of the target, for a request without a Host header.
        gateway_lines: Header lines that the gate host adds.
        length: Length of the body in bytes, or None if unknown.
        chunked: Whether the body is sent in chunks.
        header_profile: Header names.
        removed: Name, in lower case, of a header that is not forwarded; empty
            for none.
    """
    path = message.path
    removed_names = {removed} if removed else set()
    host = "" if "Host" in message.headers else target
    authority = target_authority(message)
    if authority is not None:
        path = message.url.raw_path_qs
        removed_names.add(b"host")
        host = authority
    lines = [
        message.method.encode("ascii"),
        b" ",
        field_bytes(path),
        b" HTTP/1.1\r\n",
    ]
    if host:
        lines.append(b"Host: %b\r\n" % field_bytes(host))
    _add_forwarded_headers(
        lines,
        message,
        header_profile.reserved_prefix,
        header_profile.forwarded_to_targets,
        removed_names,
    )
    lines += gateway_lines
    _add_framing(lines, length, chunked)
    return b"".join(lines)


def response_head(
    message: http.RawResponseMessage,
    gateway_lines: Sequence[bytes],
    length: int | None,
    chunked: bool,
    header_profile: headers.HeaderProfile = headers.DEFAULT_PROFILE,
) -> bytes:
    """Returns the head of a target's response for a caller.

    Args:
        message: Head of the target's response.
        gateway_lines: Header lines that the gate host adds.
        length: Content-Length in bytes, or None to send none.
        chunked: Whether the body is sent in chunks.
        header_profile: Header names.
    """
    reason = field_bytes(message.reason)
    lines = [b"HTTP/1.1 %d %b\r\n" % (message.code, reason)]
    _add_forwarded_headers(
        lines,
        message,
        header_profile.reserved_prefix,
        header_profile.forwarded_to_callers,
    )
    lines += gateway_lines
    _add_framing(lines, length, chunked)
    return b"".join(lines)


def _add_forwarded_headers(
    lines: list[bytes],
    message: Message,
    reserved_prefix: bytes,
    forwarded: frozenset[bytes],
    removed: Collection[bytes] = (),
) -> None:
    values = message.headers.getall("Connection", None)
    connection_tokens = _connection_tokens(values) if values else frozenset()
    for name, value in message.raw_headers:
        prefix = _line_prefix(name, reserved_prefix, forwarded)
        if prefix is None or (
            connection_tokens and name.lower() in connection_tokens
        ):
            continue
        if removed and name.lower() in removed:
            continue
        lines += (prefix, value, b"\r\n")


@functools.lru_cache(maxsize=CACHED_NAMES)
def _line_prefix(
    name: bytes, reserved_prefix: bytes, forwarded: frozenset[bytes]
) -> bytes | None:
    """Returns the start of a header's line; None if it is not forwarded."""
    lowered = name.lower()
    if lowered in headers.HOP_BY_HOP:
        return None
    if lowered.startswith(reserved_prefix) and lowered not in forwarded:
        return None
    return name + b": "


def target_authority(message: http.RawRequestMessage) -> str | None:
    """Returns the host and port of a target in absolute form, or None.

    They take the place of the Host header (RFC 9112, section 3.2.2).
    """
    if message.path.startswith("/") or not message.url.absolute:
        return None
    return message.url.raw_authority.rpartition("@")[2]


def field_bytes(value: str) -> bytes:
    """Returns the received bytes of a part of a head."""
    return value.encode("utf-8", "surrogateescape")


def _connection_tokens(values: Sequence[str]) -> frozenset[bytes]:
    connection_tokens = frozenset(
        field_bytes(token.strip().lower())
        for value in values
        for token in value.split(",")
    )
    return connection_tokens - _ALWAYS_FORWARDED


def _add_framing(lines: list[bytes], length: int | None, chunked: bool) -> None:
    if chunked:
        lines.append(b"Transfer-Encoding: chunked\r\n\r\n")
    elif length is not None:
        lines.append(b"Content-Length: %d\r\n\r\n" % length)
    else:
        lines.append(b"\r\n")


def chunk(data: bytes) -> bytes:
    """Returns data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
