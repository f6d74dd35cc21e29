"""Probe slots: the right to probe, owned through the log.

The fleet has a fixed number of slots. A gate host owns one by a record that
names the slot's record before it; the record counts when no other record of
that slot lies between the two. Any host reads the same order, so at most one
such record of several rivals counts.

The owner uses its slot until `USE_US` after it sent the record, and only once
it has read the record back. Another host claims the slot when it has heard
nothing of it for `LAPSE_US` after reading the slot's last record, which is
later than that record was sent. Its claim names that record, so a renewal it
has not read makes the claim void. Both waits run on monotonic clocks from
events ordered by the log; hence two hosts never use a slot within
`LAPSE_US - USE_US` of each other, however late they hear or long they pause
(leases with clock-bounded use: Gray and Cheriton, "Leases", 1989).
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
RENEW_US = 10_000_000
USE_US = 25_000_000
LAPSE_US = 30_000_000
TICK_US = 250_000

# Time between two reads. Every host reads every record, and nothing is lost by
# hearing of them together.
READ_PACE_US = 3_000_000

# Longest stream that a starting host reads whole, to claim without a wait.
WHOLE_READ_RECORDS = 256
# Free slots among which a claim is drawn, so that rivals seldom collide.
CLAIM_SPREAD = 4


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
    """Sets the time of the first read; hosts that start together differ."""
    delay_us = int(READ_PACE_US * (1.0 + state.random.random()))
    state.timers.add(state.now_us + delay_us, timers.ProbesDue())


def owned(state: state_lib.GateState) -> int | None:
    """Returns the slot that this gate host may use at this time, if any."""
    slots = state.probe_slots
    if slots.owned is None or state.now_us >= slots.valid_until_us:
        return None
    return slots.owned


def on_read(state: state_lib.GateState, event: events.LogRead) -> None:
    """Takes the records of all hosts, in the order of the log."""
    slots = state.probe_slots
    here = streams.position(state, STREAM)
    if slots.listening_us is None or event.earliest_offset > here.next_offset:
        _begin_to_listen(state, event)
    for entry in event.entries:
        if entry.offset >= here.next_offset:
            here.next_offset = entry.offset + 1
            _take(state, entry)
    streams.read_on(state, STREAM, delay_us=READ_PACE_US)


def _begin_to_listen(state: state_lib.GateState, event: events.LogRead) -> None:
    slots = state.probe_slots
    here = streams.position(state, STREAM)
    slots.whole = (
        slots.listening_us is None
        and event.earliest_offset == 0
        and event.next_offset <= WHOLE_READ_RECORDS
    )
    slots.listening_us = state.now_us
    slots.seen = {}
    slots.pending = None
    slots.owned = None
    if not slots.whole:
        here.next_offset = event.next_offset


def _take(state: state_lib.GateState, entry: events.LogEntry) -> None:
    slots = state.probe_slots
    seen = state_lib.SlotSeen(entry.offset, state.now_us)
    match _decode(entry.body):
        case result.Ok(record) if 0 <= record.slot < SLOTS:
            before = slots.seen.get(record.slot)
            slots.seen[record.slot] = seen
            _settle(state, record, before)
        case _:
            slots.seen = dict.fromkeys(range(SLOTS), seen)


def _settle(
    state: state_lib.GateState,
    record: SlotRecord,
    before: state_lib.SlotSeen | None,
) -> None:
    slots = state.probe_slots
    pending = slots.pending
    if pending is None or record.host_id != state.settings.host_id:
        return
    if record.number != pending.number:
        return
    slots.pending = None
    if (before.offset if before else None) == pending.before_offset:
        slots.owned = record.slot
        slots.valid_until_us = pending.sent_us + USE_US


def on_due(state: state_lib.GateState) -> None:
    """Claims or renews a slot when it is time to."""
    slots = state.probe_slots
    state.timers.add(state.now_us + TICK_US, timers.ProbesDue())
    if not slots.reading:
        slots.reading = True
        streams.read_on(state, STREAM, wait=False)
    if slots.listening_us is None:
        return
    pending = slots.pending
    if pending is not None and state.now_us < pending.sent_us + RENEW_US:
        return
    current = owned(state)
    if current is None:
        slots.owned = None
        free = _free(state)[:CLAIM_SPREAD]
        if free:
            _claim(state, state.random.choice(free))
        return
    if state.now_us >= slots.valid_until_us - USE_US + RENEW_US:
        _claim(state, current)


def _free(state: state_lib.GateState) -> list[int]:
    """Returns the slots that may be claimed, the lowest first."""
    slots = state.probe_slots
    here = streams.position(state, STREAM)
    if here.next_offset < (here.known_offset or 0):
        return []
    free = []
    for slot in range(SLOTS):
        seen = slots.seen.get(slot)
        heard_us = seen.read_us if seen else slots.listening_us or 0
        unused = seen is None and slots.whole
        if unused or state.now_us >= heard_us + LAPSE_US:
            free.append(slot)
    return free


def _claim(state: state_lib.GateState, slot: int) -> None:
    slots = state.probe_slots
    slots.last_number += 1
    seen = slots.seen.get(slot)
    slots.pending = state_lib.SlotClaim(
        number=slots.last_number,
        before_offset=seen.offset if seen else None,
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
