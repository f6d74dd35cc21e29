"""Encodes and decodes the records about requests that may crash servers.

The gate hosts keep them in a topic of their own in the platform's store. The
key is the request's fingerprint, followed by the server's start and id for a
crash. Hosts ignore what they can't decode, which a newer build may write.
"""

import json

import result

from fireflyspindle.core import events
from fireflyspindle.core import json_documents

TOPIC = "keyed.gate-crashes"
# Digits of a wall-clock time in milliseconds.
MAX_TIME_DIGITS = 15
_SEPARATOR = "/"


def encode_key(key: events.CrashKey) -> str:
    """Returns the key of a record."""
    if key.start is None:
        return key.fingerprint
    return _SEPARATOR.join(
        (key.fingerprint, str(key.start.started_ms), key.start.target_id)
    )


def encode_value(record: events.CrashRecord, wall_ms: int) -> bytes:
    """Returns the value of a record that is written at a wall-clock time."""
    at_ms = wall_ms - record.age_us // 1000
    return json.dumps({"service": record.service, "at-ms": at_ms}).encode()


def decode_key(text: str) -> result.Result[events.CrashKey, str]:
    """Decodes a key; the error describes the defect."""
    fingerprint, *rest = text.split(_SEPARATOR, 2)
    if not rest:
        return result.Ok(events.CrashKey(fingerprint))
    valid = len(rest) == 2 and rest[0].isascii() and rest[0].isdecimal()
    if not valid or len(rest[0]) > MAX_TIME_DIGITS:
        return result.Err(f"key is {text!r:.100}")
    start = events.TargetStart(rest[1], int(rest[0]))
    return result.Ok(events.CrashKey(fingerprint, start))


def decode_value(
    value: bytes, wall_ms: int
) -> result.Result[events.CrashRecord, str]:
    """Decodes a value that is read at a wall-clock time."""
    try:
        raw = json_documents.parse(value)
        service, at_ms = raw["service"], raw["at-ms"]
    except json_documents.DECODE_ERRORS as error:
        return result.Err(repr(error))
    valid = isinstance(service, str) and type(at_ms) is int
    if not valid or not 0 <= at_ms < 10**MAX_TIME_DIGITS:
        return result.Err(f"service is {service!r:.100}, at-ms {at_ms!r:.100}")
    # The clocks of the hosts differ.
    age_us = max(0, wall_ms - at_ms) * 1000
    return result.Ok(events.CrashRecord(service, age_us))
