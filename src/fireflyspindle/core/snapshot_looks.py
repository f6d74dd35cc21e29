"""Keeping a snapshot of the configuration in the log.

Every host looks from time to time whether the log got a snapshot since its
last look, and writes one if it didn't. The looks are spread by chance, so one
host writes and the others see it.
"""

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import recovery_state
from fireflyspindle.core import snapshots
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import streams
from fireflyspindle.core import timers

LOOKS_PER_KEEPING = 8
MAX_INTERVAL_US = 3_600_000_000
EARLY_LOOK_US = 10_000_000
RETRY_LOOK_US = 10_000_000
MAX_UNCOVERED_RECORDS = 1_000

Read = recovery_state.SnapshotRead


def read(
    state: state_lib.GateState, reading: Read, offset: int, delay_us: int = 0
) -> None:
    """Reads the snapshots' stream; one read is outstanding at a time."""
    state.recovery.reading = reading
    state.recovery.read_offset = offset
    state.emit(effects.ReadLog(snapshots.STREAM, offset, delay_us, wait=False))


def set_timer(state: state_lib.GateState, within_us: int = 0) -> None:
    """Sets the time of the next look.

    Args:
        state: State of the gate host.
        within_us: Longest time until the look; 0 for the usual interval.
    """
    delay_us = int(state.random.random() * within_us)
    if within_us == 0:
        keep_us = state.settings.log_keep_s * 1_000_000
        interval_us = min(keep_us // LOOKS_PER_KEEPING, MAX_INTERVAL_US)
        delay_us = int(interval_us * (0.5 + state.random.random()))
    recovery = state.recovery
    recovery.due_number += 1
    recovery.look_at_us = state.now_us + delay_us
    timer = timers.SnapshotDue(recovery.due_number)
    state.timers.add(recovery.look_at_us, timer)


def look_early(state: state_lib.GateState, earliest_offset: int) -> None:
    """Moves the next look forward when a new host would need a snapshot."""
    recovery = state.recovery
    if not state.configuration.complete or recovery.unwritten:
        return
    next_offset = state.configuration.next_offset
    uncovered = next_offset - recovery.covered_offset
    lost = earliest_offset > recovery.covered_offset
    if uncovered < MAX_UNCOVERED_RECORDS and not lost:
        return
    if recovery.look_at_us > state.now_us + EARLY_LOOK_US:
        set_timer(state, EARLY_LOOK_US)


def on_due(state: state_lib.GateState, number: int) -> None:
    """Looks for snapshots that came since the last look."""
    recovery = state.recovery
    if number != recovery.due_number:
        return
    if recovery.reading is not Read.NONE or recovery.unwritten:
        set_timer(state, RETRY_LOOK_US)
        return
    read(state, Read.LOOK, recovery.next_offset)


def finish(state: state_lib.GateState) -> None:
    """Ends a look: writes a snapshot if none came since the last one."""
    recovery = state.recovery
    seen_new = recovery.seen_new
    recovery.seen_new = False
    set_timer(state)
    config = state.configuration
    uncovered = config.next_offset - recovery.covered_offset
    if seen_new and uncovered < MAX_UNCOVERED_RECORDS:
        return
    if not config.complete or not config.entries:
        return
    snapshot_id = f"{state.random.getrandbits(64):016x}"
    recovery.unwritten = snapshots.build(config, snapshot_id)
    recovery.writing_offset = config.next_offset
    _write_next(state)


def on_append_settled(
    state: state_lib.GateState, event: events.AppendSettled
) -> None:
    """Goes on with the next part, or gives up and looks again later."""
    recovery = state.recovery
    if event.outcome is not events.AppendOutcome.DONE:
        recovery.unwritten = []
        set_timer(state, RETRY_LOOK_US)
        return
    recovery.unwritten = recovery.unwritten[1:]
    if recovery.unwritten:
        _write_next(state)
        return
    offset = recovery.writing_offset
    recovery.covered_offset = max(recovery.covered_offset, offset)
    detail = f"a snapshot up to offset {offset} was written"
    state.emit(effects.Report("info", "snapshot_written", detail))


def _write_next(state: state_lib.GateState) -> None:
    body = snapshots.encode(state.recovery.unwritten[0])
    streams.append(state, snapshots.STREAM, body)
