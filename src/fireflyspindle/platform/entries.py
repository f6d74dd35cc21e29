"""What the platform's servers register of themselves."""

import json
import re
from typing import Any

import result

from fireflyspindle.core import events

_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
_STATES = {"ready": False, "draining": True}
MAX_SLOTS = 10_000


def decode(
    target_id: str, value: bytes
) -> result.Result[events.TargetEntry, str]:
    """Reads an entry; the error says what is wrong with it."""
    try:
        raw = json.loads(value)
        return result.Ok(_entry(target_id, raw))
    except (ValueError, RecursionError) as error:
        return result.Err(str(error))


def _entry(target_id: str, raw: Any) -> events.TargetEntry:
    # `info` holds what is fixed for one start, `status` what changes.
    info = _member(raw, "info", dict)
    status = _member(raw, "status", dict)
    state = _member(status, "state", str)
    if state not in _STATES:
        raise ValueError(f"state is {state!r}")
    address = _member(raw, "address", str)
    if not _ADDRESS.fullmatch(address):
        raise ValueError(f"address is {address!r}")
    _member(info, "version", str)
    slots = _whole(info, "capacity")
    if not 1 <= slots <= MAX_SLOTS:
        raise ValueError(f"capacity is {slots}")
    return events.TargetEntry(
        target_id=target_id,
        service=_member(info, "service", str),
        address=address,
        failure_domain=_member(info, "zone", str),
        slots=slots,
        draining=_STATES[state],
        cold_left_ms=_whole(status, "cold-left-ms"),
        born_ms=_whole(raw, "born") if "born" in raw else 0,
        sequence=_whole(status, "sequence"),
    )


def _whole(raw: dict[str, Any], name: str) -> int:
    found = raw.get(name)
    if isinstance(found, bool) or not isinstance(found, int) or found < 0:
        raise ValueError(f"{name} is {found!r}")
    return found


def _member(raw: Any, name: str, kind: type) -> Any:
    found = raw.get(name) if isinstance(raw, dict) else None
    if not isinstance(found, kind):
        raise ValueError(f"{name} is {found!r:.100}")
    return found
