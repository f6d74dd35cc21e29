"""Probe slots: leases on the right to probe, acquired through the log.

The fleet has a fixed number of slots. A gate host acquires one by a record
that refers to the slot's previous record; it is valid when no other record of
that slot lies between the two. All hosts read the records in the same order,
so at most one of several competing records is valid.

The owner uses its slot until `LEASE_US` after it sent the record, and only
once it has read the record back. Another host claims the slot when it has read
no record of it for `TAKEOVER_AFTER_US` after reading the slot's last one, which
is later than that record was sent. Its claim refers to that record, so a
renewal that it has not read makes the claim invalid. Both periods run on
monotonic clocks from events ordered by the log; hence two hosts never use a
slot within `TAKEOVER_AFTER_US - LEASE_US` of each other, whatever the read
delays or process pauses (leases with clock-bounded use: Gray and Cheriton,
"Leases", 1989).
"""

import json

import attrs
import result

from fireflyspindle.core import events
from fireflyspindle.core import records
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import streams
from fireflyspindle.core import timers

STREAM = "probe-slots"
SLOTS = 32
RENEW_AFTER_US = 10_000_000
LEASE_US = 25_000_000
TAKEOVER_AFTER_US = 30_000_000
CHECK_INTERVAL_US = 250_000

# Time between two reads. Every host reads every record, and reading several at
# once loses nothing.
READ_INTERVAL_US = 3_000_000

# Longest stream that a starting host reads from the start, so that it can claim
# an unused slot without waiting for `TAKEOVER_AFTER_US`.
FULL_READ_MAX_RECORDS = 256
# Claimable slots from which a host picks at random, to avoid collisions.
CLAIM_CANDIDATES = 4


@attrs.define(frozen=True)
class SlotRecord:
    """A claim or renewal of a slot.

    Attributes:
        slot: Number of the slot.
        host_id: Incarnation of the gate host.
        number: Number of the record, unique for its host.
    """

    slot: int
    host_id: str
    number: int


def start(state: state_lib.GateState) -> None:
    """Schedules the first read, with jitter for hosts that start together."""
    delay_us = int(READ_INTERVAL_US * (1.0 + state.random.random()))
    state.timers.add(state.now_us + delay_us, timers.ProbeCheckDue())


def usable_slot(state: state_lib.GateState) -> int | None:
    """Returns the slot that this gate host may use now, if any."""
    slots = state.probe_slots
    if slots.owned is None or state.now_us >= slots.valid_until_us:
        return None
    return slots.owned


def on_read(state: state_lib.GateState, event: events.LogRead) -> None:
    """Applies the records of all hosts, in the order of the log."""
    slots = state.probe_slots
    position = streams.position(state, STREAM)
    if (
        slots.reading_since_us is None
        or event.earliest_offset > position.next_offset
    ):
        _restart_reading(state, event)
    for entry in event.entries:
        if entry.offset >= position.next_offset:
            position.next_offset = entry.offset + 1
            _apply_record(state, entry)
    streams.read_next(state, STREAM, delay_us=READ_INTERVAL_US)


def _restart_reading(state: state_lib.GateState, event: events.LogRead) -> None:
    slots = state.probe_slots
    position = streams.position(state, STREAM)
    slots.read_from_start = (
        slots.reading_since_us is None
        and event.earliest_offset == 0
        and event.next_offset <= FULL_READ_MAX_RECORDS
    )
    slots.reading_since_us = state.now_us
    slots.latest = {}
    slots.pending = None
    slots.owned = None
    if not slots.read_from_start:
        position.next_offset = event.next_offset


def _apply_record(state: state_lib.GateState, entry: events.LogEntry) -> None:
    slots = state.probe_slots
    latest = state_lib.SlotRead(entry.offset, state.now_us)
    match _decode(entry.body):
        case result.Ok(record) if 0 <= record.slot < SLOTS:
            previous = slots.latest.get(record.slot)
            slots.latest[record.slot] = latest
            _resolve_pending(state, record, previous)
        case _:
            # A record that can't be decoded may concern any slot.
            slots.latest = dict.fromkeys(range(SLOTS), latest)


def _resolve_pending(
    state: state_lib.GateState,
    record: SlotRecord,
    previous: state_lib.SlotRead | None,
) -> None:
    slots = state.probe_slots
    pending = slots.pending
    if pending is None or record.host_id != state.settings.host_id:
        return
    if record.number != pending.number:
        return
    slots.pending = None
    if (previous.offset if previous else None) == pending.previous_offset:
        slots.owned = record.slot
        slots.valid_until_us = pending.sent_us + LEASE_US


def on_timer(state: state_lib.GateState) -> None:
    """Claims a slot, or renews the owned one when that is due."""
    slots = state.probe_slots
    state.timers.add(state.now_us + CHECK_INTERVAL_US, timers.ProbeCheckDue())
    if not slots.reading:
        slots.reading = True
        streams.read_next(state, STREAM, wait=False)
    if slots.reading_since_us is None:
        return
    pending = slots.pending
    if pending is not None and state.now_us < pending.sent_us + RENEW_AFTER_US:
        return
    current = usable_slot(state)
    if current is None:
        slots.owned = None
        claimable = _claimable_slots(state)[:CLAIM_CANDIDATES]
        if claimable:
            _claim(state, state.random.choice(claimable))
        return
    if state.now_us >= slots.valid_until_us - LEASE_US + RENEW_AFTER_US:
        _claim(state, current)


def _claimable_slots(state: state_lib.GateState) -> list[int]:
    """Returns the slots that may be claimed, in ascending order."""
    slots = state.probe_slots
    position = streams.position(state, STREAM)
    if position.next_offset < (position.end_offset or 0):
        return []
    claimable = []
    for slot in range(SLOTS):
        latest = slots.latest.get(slot)
        last_read_us = latest.read_us if latest else slots.reading_since_us or 0
        unused = latest is None and slots.read_from_start
        if unused or state.now_us >= last_read_us + TAKEOVER_AFTER_US:
            claimable.append(slot)
    return claimable


def _claim(state: state_lib.GateState, slot: int) -> None:
    slots = state.probe_slots
    slots.last_number += 1
    latest = slots.latest.get(slot)
    slots.pending = state_lib.SlotClaim(
        number=slots.last_number,
        previous_offset=latest.offset if latest else None,
        sent_us=state.now_us,
    )
    record = SlotRecord(slot, state.settings.host_id, slots.last_number)
    body = json.dumps(attrs.asdict(record), separators=(",", ":"))
    streams.append(state, STREAM, body)


def _decode(body: str) -> result.Result[SlotRecord, str]:
    try:
        raw = json.loads(body)
    except ValueError as error:
        return result.Err(f"record is not JSON: {error}")
    return records.structure(raw, SlotRecord)
