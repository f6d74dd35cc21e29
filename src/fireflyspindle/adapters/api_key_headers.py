"""API keys in request heads: from callers, and between gate hosts."""

import re
import urllib.parse

from aiohttp import http

from fireflyspindle import headers
from fireflyspindle.core import api_keys
from fireflyspindle.core import effects
from fireflyspindle.core import events

AUTHORIZATION = b"authorization"
# RFC 6750: the scheme, whose case doesn't matter, spaces and one word.
_BEARER = re.compile(r"bearer +([!-~]+)", re.ASCII | re.IGNORECASE)
_DIGEST = re.compile(rf"[0-9a-f]{{{2 * api_keys.DIGEST_BYTES}}}", re.ASCII)
# Service named to gate hosts of older builds, which know no keys: the character
# NUL, which no service has as its name. They refuse the call, and the next
# helper is asked.
NO_SERVICE = "%00"


def key_digest(
    message: http.RawRequestMessage, header_profile: headers.HeaderProfile
) -> str:
    """Returns the digest of the key in a head; "" if missing or malformed."""
    if not header_profile.reads_api_keys:
        return ""
    values = message.headers.getall("Authorization", ())
    if len(values) != 1:
        return ""
    match = _BEARER.fullmatch(values[0].strip())
    return api_keys.digest(match[1]) if match is not None else ""


def read_relayed(
    event: events.CallArrived, message: http.RawRequestMessage
) -> None:
    """Sets what the gate host that relays a call states about it."""
    service = message.headers.get(headers.RELAY_SERVICE, "")
    keyed_service = message.headers.get(headers.RELAY_KEYED_SERVICE)
    if keyed_service is not None:
        event.relay_keyed = True
        digest = message.headers.get(headers.RELAY_KEY_DIGEST, "")
        event.key_digest = digest if _DIGEST.fullmatch(digest) else ""
        service = keyed_service
    event.relay_service = urllib.parse.unquote(service)


def relay_lines(service: str, key: effects.KeyHandling | None) -> str:
    """Returns the header lines that name the service of a relayed call."""
    quoted = urllib.parse.quote(service, safe="")
    if key is None or not key.key_digest:
        return f"{headers.RELAY_SERVICE}: {quoted}\r\n"
    return (
        f"{headers.RELAY_SERVICE}: {NO_SERVICE}\r\n"
        f"{headers.RELAY_KEYED_SERVICE}: {quoted}\r\n"
        f"{headers.RELAY_KEY_DIGEST}: {key.key_digest}\r\n"
    )


def organisation_line(
    header_profile: headers.HeaderProfile, key: effects.KeyHandling | None
) -> str:
    """Returns the header line with the organisation of a request, or ""."""
    if key is None or not key.organisation or not header_profile.organisation:
        return ""
    # Visible characters stand for themselves; others could end the line.
    name = urllib.parse.quote(key.organisation, safe=_VISIBLE)
    return f"{header_profile.organisation}: {name}\r\n"


_VISIBLE = "".join(
    chr(code) for code in range(ord(" "), ord("~") + 1) if chr(code) != "%"
)
