"""Decodes the entries by which the platform's servers register."""

import ipaddress
import re
from typing import Any

import result

from fireflyspindle.core import events
from fireflyspindle.core import json_documents

_ADDRESS_PATTERN = re.compile(r"([0-9.]{7,15}):([0-9]{1,5})")
# Ids are sent in headers.
_ID_PATTERN = re.compile(r"[!-~]{1,100}")
_DRAINING_BY_STATE = {"ready": False, "draining": True}
MAX_SLOTS = 10_000
MAX_PORT = 65_535
MAX_NAME_CHARACTERS = 255
# Wall-clock time in milliseconds; relayed calls carry 15 digits.
MAX_STARTED_MS = 10**15 - 1
MAX_SEQUENCE = 2**63 - 1
MAX_WARMUP_MS = 24 * 3_600 * 1_000


def decode(
    target_id: str, value: bytes
) -> result.Result[events.TargetRegistration, str]:
    """Decodes an entry; the error describes the first defect."""
    try:
        return result.Ok(_entry(target_id, json_documents.parse(value)))
    except json_documents.DECODE_ERRORS as error:
        return result.Err(str(error))


def _entry(target_id: str, raw: Any) -> events.TargetRegistration:
    if not _ID_PATTERN.fullmatch(target_id):
        raise ValueError("the id is not 1 to 100 visible ASCII characters")
    # `info` is fixed for one run of the server; `status` changes.
    info = _member(raw, "info", dict)
    status = _member(raw, "status", dict)
    state = _member(status, "state", str)
    if state not in _DRAINING_BY_STATE:
        raise ValueError(
            f"state is {state!r:.100}; expected 'ready' or 'draining'"
        )
    _member(info, "version", str)
    started_ms = 0
    if "born" in raw:
        started_ms = _int(raw, "born", 0, MAX_STARTED_MS)
    return events.TargetRegistration(
        target_id=target_id,
        service=_name(info, "service"),
        address=_address(_member(raw, "address", str)),
        failure_domain=_name(info, "zone"),
        slots=_int(info, "capacity", 1, MAX_SLOTS),
        draining=_DRAINING_BY_STATE[state],
        warmup_left_ms=_int(status, "cold-left-ms", 0, MAX_WARMUP_MS),
        started_ms=started_ms,
        sequence=_int(status, "sequence", 0, MAX_SEQUENCE),
    )


def _address(text: str) -> str:
    found = _ADDRESS_PATTERN.fullmatch(text)
    if found is None or not 1 <= int(found[2]) <= MAX_PORT:
        raise ValueError(
            f"address is {text!r:.100}; expected an IPv4 address and a port"
        )
    ipaddress.IPv4Address(found[1])
    return text


def _name(raw: dict[str, Any], name: str) -> str:
    value: str = _member(raw, name, str)
    if len(value) > MAX_NAME_CHARACTERS or not value.isprintable():
        raise ValueError(
            f"{name} is {value!r:.100}; expected at most"
            f" {MAX_NAME_CHARACTERS} printable characters"
        )
    return value


def _int(raw: dict[str, Any], name: str, least: int, most: int) -> int:
    value = raw.get(name)
    if (
        isinstance(value, bool)
        or not isinstance(value, int)
        or not least <= value <= most
    ):
        raise ValueError(
            f"{name} is {value!r:.100}; expected an integer from {least} to"
            f" {most}"
        )
    return value


def _member(raw: Any, name: str, kind: type) -> Any:
    value = raw.get(name) if isinstance(raw, dict) else None
    if not isinstance(value, kind):
        raise ValueError(f"{name} is {value!r:.100}")
    return value
