"""The idempotency key in the headers of a caller's request."""

import time

import attrs
import multidict
import result

from fireflyspindle import headers
from fireflyspindle.core import claim_keys
from fireflyspindle.core import events

_OTHER_COPIES_VALUES: dict[str, bool | None] = {
    "": None,
    "yes": True,
    "no": False,
}


@attrs.define(frozen=True)
class KeyedRequest:
    """The idempotency key of a non-repeatable request.

    Attributes:
        key: The caller's key.
        issued_ms: Wall-clock time in the key.
        other_copies: Whether the caller has also sent the key earlier or
            elsewhere; None if not stated.
    """

    key: str
    issued_ms: int
    other_copies: bool | None


def read(
    request_headers: multidict.CIMultiDictProxy[str]
    | multidict.CIMultiDict[str],
) -> result.Result[KeyedRequest | None, str]:
    """Returns the key, None without one, or the error in the headers."""
    keys = request_headers.getall(headers.IDEMPOTENCY_KEY, [])
    if not keys:
        return result.Ok(None)
    if len(keys) > 1:
        return result.Err(
            f"header {headers.IDEMPOTENCY_KEY} is given {len(keys)} times;"
            " give it once"
        )
    other_copies = request_headers.get(headers.OTHER_COPIES, "").lower()
    if other_copies not in _OTHER_COPIES_VALUES:
        return result.Err(
            f"header {headers.OTHER_COPIES} is {other_copies[:20]!r};"
            ' give "yes" or "no"'
        )
    return claim_keys.issued_ms(keys[0]).map(
        lambda issued_ms: KeyedRequest(
            keys[0], issued_ms, _OTHER_COPIES_VALUES[other_copies]
        )
    )


def set_key(event: events.CallArrived, keyed: KeyedRequest | None) -> None:
    """Sets the key, if any, on the event."""
    if keyed is None:
        return
    event.idempotency_key = keyed.key
    event.key_issued_ms = keyed.issued_ms
    event.other_copies = keyed.other_copies


def set_digest(
    event: events.CallArrived, method: str, raw_path: str, body: bytes
) -> None:
    """Sets the request digest and the wall-clock time on the event."""
    event.body_digest = claim_keys.body_digest(method, raw_path, body)
    event.wall_ms = time.time_ns() // 1_000_000


def too_large_detail(limit_bytes: int) -> str:
    """Returns the error for a keyed request whose body can't be buffered."""
    return (
        f"the body of a request with {headers.IDEMPOTENCY_KEY} is limited to"
        f" {limit_bytes} bytes, since it is compared with the body of later"
        " requests with the same key"
    )
