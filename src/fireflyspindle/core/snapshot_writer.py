"""Keeps a snapshot of the configuration in the log.

Every host periodically checks whether the log has a new snapshot since its
last check, and writes one if not. The check times are randomized, so that
usually one host writes a snapshot and the others find it.
"""

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import recovery_state
from fireflyspindle.core import snapshots
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import streams
from fireflyspindle.core import timers

CHECKS_PER_RETENTION = 8
MAX_CHECK_INTERVAL_US = 3_600_000_000
EARLY_CHECK_US = 10_000_000
RETRY_CHECK_US = 10_000_000
MAX_UNCOVERED_RECORDS = 1_000
# Nothing waits for the append of a part, and a snapshot is abandoned if one of
# its parts is not known to be appended.
APPEND_TIMEOUT_US = streams.APPEND_LIMIT_US

ReadPurpose = recovery_state.SnapshotReadPurpose


def read_snapshots(
    state: state_lib.GateState,
    read_purpose: ReadPurpose,
    offset: int,
    delay_us: int = 0,
) -> None:
    """Reads the snapshot stream; one read is outstanding at a time."""
    state.recovery.read_purpose = read_purpose
    state.recovery.read_offset = offset
    state.emit(effects.ReadLog(snapshots.STREAM, offset, delay_us, wait=False))


def schedule_check(state: state_lib.GateState, within_us: int = 0) -> None:
    """Schedules the next check.

    Args:
        state: State of the gate host.
        within_us: Maximum time until the check; 0 for the regular interval.
    """
    delay_us = int(state.random.random() * within_us)
    if within_us == 0:
        retention_us = state.settings.log_keep_s * 1_000_000
        interval_us = min(
            retention_us // CHECKS_PER_RETENTION, MAX_CHECK_INTERVAL_US
        )
        delay_us = int(interval_us * (0.5 + state.random.random()))
    recovery = state.recovery
    recovery.timer_number += 1
    recovery.next_check_us = state.now_us + delay_us
    timer = timers.SnapshotCheckDue(recovery.timer_number)
    state.timers.add(recovery.next_check_us, timer)


def schedule_early_check(
    state: state_lib.GateState, earliest_offset: int
) -> None:
    """Moves the next check forward if a new host would need a snapshot."""
    recovery = state.recovery
    if not state.configuration.complete or recovery.unwritten_parts:
        return
    next_offset = state.configuration.next_offset
    uncovered = next_offset - recovery.covered_offset
    lost = earliest_offset > recovery.covered_offset
    if uncovered < MAX_UNCOVERED_RECORDS and not lost:
        return
    if recovery.next_check_us > state.now_us + EARLY_CHECK_US:
        schedule_check(state, EARLY_CHECK_US)


def on_due(state: state_lib.GateState, number: int) -> None:
    """Reads the snapshots that were written since the last check."""
    recovery = state.recovery
    if number != recovery.timer_number:
        return
    if (
        recovery.read_purpose is not ReadPurpose.NONE
        or recovery.unwritten_parts
    ):
        schedule_check(state, RETRY_CHECK_US)
        return
    read_snapshots(state, ReadPurpose.CHECK, recovery.next_offset)


def finish_check(state: state_lib.GateState) -> None:
    """Completes a check: writes a snapshot if no host has written one."""
    recovery = state.recovery
    new_snapshot_seen = recovery.new_snapshot_seen
    recovery.new_snapshot_seen = False
    schedule_check(state)
    config = state.configuration
    uncovered = config.next_offset - recovery.covered_offset
    if new_snapshot_seen and uncovered < MAX_UNCOVERED_RECORDS:
        return
    if not config.complete or not config.entries:
        return
    snapshot_id = f"{state.random.getrandbits(64):016x}"
    recovery.unwritten_parts = snapshots.build(config, snapshot_id)
    recovery.own_covered_offset = config.next_offset
    _write_next_part(state)


def on_append_ended(
    state: state_lib.GateState, event: events.AppendEnded
) -> None:
    """Writes the next part, or abandons the snapshot and checks later."""
    recovery = state.recovery
    if event.outcome is not events.AppendOutcome.DONE:
        recovery.unwritten_parts = []
        schedule_check(state, RETRY_CHECK_US)
        return
    recovery.unwritten_parts = recovery.unwritten_parts[1:]
    if recovery.unwritten_parts:
        _write_next_part(state)
        return
    offset = recovery.own_covered_offset
    recovery.covered_offset = max(recovery.covered_offset, offset)
    detail = f"wrote a snapshot up to offset {offset}"
    state.emit(effects.WriteLogLine("info", "snapshot_written", detail))


def _write_next_part(state: state_lib.GateState) -> None:
    body = snapshots.encode(state.recovery.unwritten_parts[0])
    streams.append(state, snapshots.STREAM, body, APPEND_TIMEOUT_US)
