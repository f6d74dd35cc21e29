"""Decodes the entries by which the platform's servers register."""

import json
import re
from typing import Any

import result

from fireflyspindle.core import events

_ADDRESS_PATTERN = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
_DRAINING_BY_STATE = {"ready": False, "draining": True}
MAX_SLOTS = 10_000


def decode(
    target_id: str, value: bytes
) -> result.Result[events.TargetRegistration, str]:
    """Decodes an entry; the error describes the first defect."""
    try:
        raw = json.loads(value)
        return result.Ok(_entry(target_id, raw))
    except (ValueError, RecursionError) as error:
        return result.Err(str(error))


def _entry(target_id: str, raw: Any) -> events.TargetRegistration:
    # `info` is fixed for one run of the server; `status` changes.
    info = _member(raw, "info", dict)
    status = _member(raw, "status", dict)
    state = _member(status, "state", str)
    if state not in _DRAINING_BY_STATE:
        raise ValueError(f"state is {state!r}; expected 'ready' or 'draining'")
    address = _member(raw, "address", str)
    if not _ADDRESS_PATTERN.fullmatch(address):
        raise ValueError(
            f"address is {address!r}; expected an IPv4 address and a port"
        )
    _member(info, "version", str)
    slots = _non_negative_int(info, "capacity")
    if not 1 <= slots <= MAX_SLOTS:
        raise ValueError(f"capacity is {slots}; expected 1 to {MAX_SLOTS}")
    return events.TargetRegistration(
        target_id=target_id,
        service=_member(info, "service", str),
        address=address,
        failure_domain=_member(info, "zone", str),
        slots=slots,
        draining=_DRAINING_BY_STATE[state],
        warmup_left_ms=_non_negative_int(status, "cold-left-ms"),
        started_ms=_non_negative_int(raw, "born") if "born" in raw else 0,
        sequence=_non_negative_int(status, "sequence"),
    )


def _non_negative_int(raw: dict[str, Any], name: str) -> int:
    value = raw.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError(
            f"{name} is {value!r}; expected a non-negative integer"
        )
    return value


def _member(raw: Any, name: str, kind: type) -> Any:
    value = raw.get(name) if isinstance(raw, dict) else None
    if not isinstance(value, kind):
        raise ValueError(f"{name} is {value!r:.100}")
    return value
