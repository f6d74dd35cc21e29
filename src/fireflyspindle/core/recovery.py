"""Reaching a whole configuration and keeping it in the log.

A host reads the first page of the configuration's stream. When that is not
all, or records before it have expired, it reads the newest snapshot in the log
and goes on from the offset that the snapshot covers.
"""

import result

from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import in_force
from fireflyspindle.core import recovery_state
from fireflyspindle.core import snapshot_looks
from fireflyspindle.core import snapshots
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import streams

START_JITTER_US = 300_000
LOST_RETRY_DELAY_US = 2_000_000
BEYOND_ANY_OFFSET = 2**53
PAGE_RECORDS = 16

Read = recovery_state.SnapshotRead


def start(state: state_lib.GateState) -> None:
    """Begins to read the log; hosts that start together are spread."""
    delay_us = int(state.random.random() * START_JITTER_US)
    streams.read_on(state, configuration.STREAM, delay_us=delay_us, wait=False)
    snapshot_looks.read(state, Read.PROBE, BEYOND_ANY_OFFSET, delay_us)


def on_configuration_read(
    state: state_lib.GateState, event: events.LogRead
) -> None:
    """Folds what was read and asks for what comes next."""
    config = state.configuration
    config.known_offset = max(config.known_offset or 0, event.next_offset)
    if event.earliest_offset > config.next_offset:
        _note_loss(state, event.earliest_offset)
    elif event.entries:
        in_force.fold_records(state, event.entries, with_holes=True)
    here = streams.position(state, configuration.STREAM)
    here.next_offset = config.next_offset
    behind = config.next_offset < event.next_offset
    if config.lost_before_offset is not None or (behind and not config.joined):
        _want_snapshot(state)
        return
    if not behind:
        join(state)
    snapshot_looks.look_early(state, event.earliest_offset)
    streams.read_on(state, configuration.STREAM, wait=not behind)


def join(state: state_lib.GateState) -> None:
    """Notes that a whole configuration was reached."""
    config = state.configuration
    if config.joined:
        return
    config.joined = True
    recovery = state.recovery
    recovery.covered_offset = max(recovery.covered_offset, config.next_offset)
    detail = f"the configuration is whole up to offset {config.next_offset}"
    state.emit(effects.Report("info", "configuration_whole", detail))
    snapshot_looks.set_timer(state)


def _note_loss(state: state_lib.GateState, earliest_offset: int) -> None:
    config = state.configuration
    if config.lost_before_offset is None:
        detail = (
            f"records {config.next_offset} to {earliest_offset - 1} expired"
            " before this host read them; a snapshot or a peer must give them"
        )
        state.emit(effects.Report("error", "records_lost", detail))
    config.lost_before_offset = earliest_offset


# Reading snapshots.


def _want_snapshot(state: state_lib.GateState) -> None:
    if state.recovery.reading is Read.NONE:
        _begin_recovery(state)
        return
    state.recovery.wanted = True


def _begin_recovery(state: state_lib.GateState) -> None:
    recovery = state.recovery
    recovery.wanted = False
    recovery.lower_offset = max(0, recovery.next_offset - PAGE_RECORDS)
    snapshot_looks.read(state, Read.RECOVER, recovery.lower_offset)


def on_snapshots_read_failed(state: state_lib.GateState) -> None:
    """Asks for the same offset again, a little later."""
    recovery = state.recovery
    delay_us = streams.retry_delay_us(state, snapshots.STREAM)
    snapshot_looks.read(state, recovery.reading, recovery.read_offset, delay_us)


def on_snapshots_read(
    state: state_lib.GateState, event: events.LogRead
) -> None:
    """Takes in parts of snapshots and goes on with what they are wanted for."""
    recovery = state.recovery
    reading = recovery.reading
    found = False
    for entry in event.entries:
        found = _take_part(state, entry) or found
    read_to = event.next_offset
    if event.entries:
        read_to = event.entries[-1].offset + 1
    if reading is not Read.PROBE and read_to < event.next_offset:
        snapshot_looks.read(state, reading, read_to)
        return
    first_read = recovery.lower_offset
    recovery.next_offset = event.next_offset
    recovery.reading = Read.NONE
    match reading:
        case Read.RECOVER if not found and first_read > event.earliest_offset:
            recovery.lower_offset = max(0, first_read - 4 * PAGE_RECORDS)
            snapshot_looks.read(state, reading, recovery.lower_offset)
        case Read.RECOVER:
            _go_on_reading(state)
        case Read.LOOK:
            snapshot_looks.finish(state)
    if recovery.wanted and recovery.reading is Read.NONE:
        _begin_recovery(state)


def _take_part(state: state_lib.GateState, entry: events.LogEntry) -> bool:
    recovery = state.recovery
    match snapshots.decode(entry.body):
        case result.Err(why):
            detail = f"snapshot at offset {entry.offset}: {why}"
            state.emit(effects.Report("error", "snapshot_unreadable", detail))
            return False
        case result.Ok(part):
            whole = recovery.collector.add(part)
    if whole is None:
        return False
    recovery.seen_new = True
    recovery.covered_offset = max(recovery.covered_offset, whole.covered_offset)
    if whole.covered_offset > state.configuration.next_offset:
        in_force.merge_state(state, whole.entries, whole.covered_offset)
    return True


def _go_on_reading(state: state_lib.GateState) -> None:
    config = state.configuration
    here = streams.position(state, configuration.STREAM)
    here.next_offset = config.next_offset
    lost = config.lost_before_offset is not None
    delay_us = LOST_RETRY_DELAY_US if lost else 0
    streams.read_on(state, configuration.STREAM, wait=False, delay_us=delay_us)
