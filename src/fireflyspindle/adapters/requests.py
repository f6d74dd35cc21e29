"""Parsing and validation of the head of a caller's request."""

import re

from aiohttp import http
import attrs
import result

from fireflyspindle import headers
from fireflyspindle.adapters import api_key_headers
from fireflyspindle.adapters import keyed_requests
from fireflyspindle.adapters import message_heads
from fireflyspindle.core import events
from fireflyspindle.core import refusals

REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_NAME_CHARACTERS = 100
MAX_DEADLINE_MS = 3_600_000
# Longer deadlines are shortened where they are not bounded: int() refuses
# thousands of digits.
UNBOUNDED_DEADLINE_MS = 10**12
_CONTINUE = "100-continue"
_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


@attrs.define(frozen=True)
class BodyLimits:
    """Limits on request bodies.

    Attributes:
        buffered_bytes: Largest body that is buffered completely, for retries.
        forwarded_bytes: Largest body that is forwarded.
    """

    buffered_bytes: int
    forwarded_bytes: int


def read(
    message: http.RawRequestMessage,
    call_id: int,
    now_us: int,
    body_limit_bytes: int,
    header_profile: headers.HeaderProfile = headers.DEFAULT_PROFILE,
) -> result.Result[events.CallArrived, refusals.Refusal]:
    """Parses the head of a request.

    Args:
        message: The head.
        call_id: Number of the call.
        now_us: Monotonic time.
        body_limit_bytes: Largest body that is forwarded.
        header_profile: Header names used by callers.

    Returns:
        The event, or the refusal of the request.
    """
    request_headers = message.headers
    if message.method == "CONNECT":
        return result.Err(
            refusals.Refusal(405, "bad_method", "CONNECT is not supported")
        )
    refusal = _body_refusal(message, body_limit_bytes)
    if refusal is not None:
        return result.Err(refusal)
    deadline_us = None
    text = request_headers.get(header_profile.deadline_ms)
    if text is not None:
        if header_profile.bounds_deadlines:
            left_us = _parse_bounded_deadline(text)
            accepted = f"whole milliseconds from 1 to {MAX_DEADLINE_MS}"
        else:
            left_us = _parse_deadline(text)
            accepted = "milliseconds, a decimal number of 0 or more"
        if left_us is None:
            return _bad_header(header_profile.deadline_ms, text, accepted)
        deadline_us = now_us + left_us
    request_id = ""
    if header_profile.callers_choose_ids:
        request_id = request_headers.get(header_profile.request_id, "")
        if not request_id:
            return _bad_header(header_profile.request_id, "", "an id")
    event = events.CallArrived(
        now_us=now_us,
        call_id=call_id,
        path=_route_path(message),
        host=_route_host(message),
        request_id=request_id,
        repeatable=message.method in REPEATABLE_METHODS,
        deadline_us=deadline_us,
        key_digest=api_key_headers.key_digest(message, header_profile),
    )
    if not header_profile.interprets_own_headers:
        return result.Ok(event)
    return _with_own_headers(event, message)


def _body_refusal(
    message: http.RawRequestMessage, limit_bytes: int
) -> refusals.Refusal | None:
    unknown = _expectations(message) - {_CONTINUE}
    if unknown:
        detail = f'header Expect has {min(unknown)[:40]!r}; give "{_CONTINUE}"'
        return refusals.Refusal(417, "bad_header", detail)
    transfer_coding = message.headers.get("Transfer-Encoding", "chunked")
    if transfer_coding.lower() != "chunked":
        detail = (
            f'Transfer-Encoding is {transfer_coding[:40]!r}; give "chunked"'
        )
        return refusals.Refusal(400, "bad_header", detail)
    content_length = message.headers.get("Content-Length")
    if content_length is not None and int(content_length) > limit_bytes:
        detail = (
            f"the body has {content_length} bytes; give at most {limit_bytes}"
        )
        return refusals.Refusal(413, "body_too_large", detail, over_limit=True)
    return None


def expects_continue(message: http.RawRequestMessage) -> bool:
    """Whether a caller may wait for an interim response with its body."""
    if message.version < http.HttpVersion11:
        # Such a caller knows no interim responses.
        return False
    return _CONTINUE in _expectations(message)


def _expectations(message: http.RawRequestMessage) -> set[str]:
    """Returns the members of the header Expect, a list that may be empty."""
    if "Expect" not in message.headers:
        return set()
    members = ",".join(message.headers.getall("Expect")).lower().split(",")
    return {member.strip(" \t") for member in members} - {""}


def _with_own_headers(
    event: events.CallArrived, message: http.RawRequestMessage
) -> result.Result[events.CallArrived, refusals.Refusal]:
    """Sets what the headers defined by the gate state on the event."""
    repeatable = message.headers.get(headers.REPEATABLE, "").lower()
    if repeatable not in ("", "yes", "no"):
        return _bad_header(headers.REPEATABLE, repeatable, '"yes" or "no"')
    if repeatable:
        event.repeatable = repeatable == "yes"
    event.tenant = message.headers.get(headers.TENANT, "")
    event.traffic_class = message.headers.get(headers.CLASS, "")
    for name, value in (
        (headers.TENANT, event.tenant),
        (headers.CLASS, event.traffic_class),
    ):
        if len(value) > MAX_NAME_CHARACTERS:
            return _bad_header(name, value, "at most 100 characters")
    return _with_key(event, message)


def _with_key(
    event: events.CallArrived, message: http.RawRequestMessage
) -> result.Result[events.CallArrived, refusals.Refusal]:
    """Sets the idempotency key of a non-repeatable request on its event."""
    if event.repeatable:
        return result.Ok(event)
    match keyed_requests.read(message.headers):
        case result.Err(problem):
            return result.Err(refusals.Refusal(400, "bad_key", problem))
        case result.Ok(key):
            keyed_requests.set_key(event, key)
    return result.Ok(event)


def _parse_bounded_deadline(text: str) -> int | None:
    """Returns a deadline in microseconds from now; None if invalid."""
    if not text.isascii() or not text.isdecimal():
        return None
    digits = text.lstrip("0")
    if not digits or len(digits) > len(str(MAX_DEADLINE_MS)):
        return None
    deadline_ms = int(digits)
    return deadline_ms * 1000 if deadline_ms <= MAX_DEADLINE_MS else None


def _parse_deadline(text: str) -> int | None:
    """Returns a deadline in microseconds from now; None if invalid.

    It is shortened if it is very long.
    """
    if not _DECIMAL.fullmatch(text):
        return None
    whole, _, fraction = text.partition(".")
    whole = whole.lstrip("0")
    if len(whole) >= len(str(UNBOUNDED_DEADLINE_MS)):
        return UNBOUNDED_DEADLINE_MS * 1000
    return int(whole + fraction[:3].ljust(3, "0"))


def _route_host(message: http.RawRequestMessage) -> str:
    """Returns the name of the host, in lower case and without a last dot."""
    authority = message_heads.target_authority(message)
    if authority is None:
        authority = message.headers.get("Host", "")
    if authority.startswith("["):
        name, bracket, _ = authority.partition("]")
        return name.lower() + bracket
    return authority.partition(":")[0].lower().removesuffix(".")


def _route_path(message: http.RawRequestMessage) -> str:
    path = message.path
    if not path.startswith("/") and message.url.absolute:
        path = message.url.raw_path
    return path.partition("?")[0]


def _bad_header(
    name: str, value: str, accepted: str
) -> result.Err[refusals.Refusal]:
    detail = f"header {name} is {value[:40]!r}; give {accepted}"
    return result.Err(refusals.Refusal(400, "bad_header", detail))
