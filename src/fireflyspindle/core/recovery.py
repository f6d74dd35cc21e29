"""Recovers the complete configuration from the log.

A host reads the first page of the configuration stream. If the stream is
longer, or its first records have expired, the host reads the newest snapshot
in the log and continues at the offset that the snapshot covers. While it can't
read snapshots, it reads on in a stream that still has every record.
"""

import result

from fireflyspindle.core import configuration
from fireflyspindle.core import configuration_updates
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import recovery_state
from fireflyspindle.core import snapshot_writer
from fireflyspindle.core import snapshots
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import streams

START_JITTER_US = 300_000
LOST_RECORDS_RETRY_DELAY_US = 2_000_000
# A read from here returns the end of the stream, but no entries.
BEYOND_ANY_OFFSET = 2**53
PAGE_RECORDS = 16

ReadPurpose = recovery_state.SnapshotReadPurpose


def start(state: state_lib.GateState) -> None:
    """Starts reading the log, with jitter for hosts that start together."""
    delay_us = int(state.random.random() * START_JITTER_US)
    streams.read_next(
        state, configuration.STREAM, delay_us=delay_us, wait=False
    )
    snapshot_writer.read_snapshots(
        state, ReadPurpose.PROBE, BEYOND_ANY_OFFSET, delay_us
    )


def on_configuration_read(
    state: state_lib.GateState, event: events.LogRead
) -> None:
    """Applies the records that were read, and issues the next read."""
    config = state.configuration
    config.end_offset = max(config.end_offset or 0, event.next_offset)
    if event.earliest_offset > config.next_offset:
        _mark_records_lost(state, event.earliest_offset)
    elif event.entries:
        configuration_updates.fold_records(
            state, event.entries, allow_gaps=True
        )
    position = streams.position(state, configuration.STREAM)
    position.next_offset = config.next_offset
    behind = config.next_offset < event.next_offset
    if config.lost_before_offset is not None or (
        behind and not config.initialized and not _snapshots_unavailable(state)
    ):
        _request_snapshot(state)
        return
    if not behind:
        mark_initialized(state)
    snapshot_writer.schedule_early_check(state, event.earliest_offset)
    streams.read_next(state, configuration.STREAM, wait=not behind)


def mark_initialized(state: state_lib.GateState) -> None:
    """Marks the configuration as complete for the first time."""
    config = state.configuration
    if config.initialized:
        return
    config.initialized = True
    recovery = state.recovery
    recovery.covered_offset = max(recovery.covered_offset, config.next_offset)
    detail = f"configuration is complete up to offset {config.next_offset}"
    state.emit(effects.WriteLogLine("info", "configuration_whole", detail))
    snapshot_writer.schedule_check(state)


def _mark_records_lost(
    state: state_lib.GateState, earliest_offset: int
) -> None:
    config = state.configuration
    if config.lost_before_offset is None:
        detail = (
            f"records {config.next_offset} to {earliest_offset - 1} expired"
            " before this host read them; waiting for a snapshot or a peer"
        )
        state.emit(effects.WriteLogLine("error", "records_lost", detail))
    config.lost_before_offset = earliest_offset


def _request_snapshot(state: state_lib.GateState) -> None:
    recovery = state.recovery
    recovery.waits_for_snapshot = True
    if recovery.read_purpose is ReadPurpose.NONE:
        _begin_recovery(state)
    elif recovery.read_purpose is not ReadPurpose.RECOVER:
        recovery.snapshot_requested = True


def _begin_recovery(state: state_lib.GateState) -> None:
    recovery = state.recovery
    recovery.snapshot_requested = False
    recovery.scan_start_offset = max(0, recovery.next_offset - PAGE_RECORDS)
    snapshot_writer.read_snapshots(
        state, ReadPurpose.RECOVER, recovery.scan_start_offset
    )


def _snapshots_unavailable(state: state_lib.GateState) -> bool:
    position = streams.position(state, snapshots.STREAM)
    return position.consecutive_failures > 0


def on_snapshots_unavailable(state: state_lib.GateState) -> None:
    """Goes on reading the configuration stream without a snapshot."""
    lost = state.configuration.lost_before_offset is not None
    if state.recovery.waits_for_snapshot and not lost:
        _resume_reading(state)


def on_snapshots_read_failed(state: state_lib.GateState) -> None:
    """Retries the read from the same offset, with backoff."""
    on_snapshots_unavailable(state)
    recovery = state.recovery
    delay_us = streams.retry_delay_us(state, snapshots.STREAM)
    snapshot_writer.read_snapshots(
        state, recovery.read_purpose, recovery.read_offset, delay_us
    )


def on_snapshots_read(
    state: state_lib.GateState, event: events.LogRead
) -> None:
    """Merges the snapshots read, and continues according to the purpose."""
    recovery = state.recovery
    read_purpose = recovery.read_purpose
    snapshot_found = False
    for entry in event.entries:
        snapshot_found = _add_part(state, entry) or snapshot_found
    read_to = event.next_offset
    if event.entries:
        read_to = event.entries[-1].offset + 1
    if read_purpose is not ReadPurpose.PROBE and read_to < event.next_offset:
        snapshot_writer.read_snapshots(state, read_purpose, read_to)
        return
    scan_start = recovery.scan_start_offset
    recovery.next_offset = event.next_offset
    recovery.read_purpose = ReadPurpose.NONE
    match read_purpose:
        case ReadPurpose.RECOVER if (
            not snapshot_found and scan_start > event.earliest_offset
        ):
            recovery.scan_start_offset = max(0, scan_start - 4 * PAGE_RECORDS)
            snapshot_writer.read_snapshots(
                state, read_purpose, recovery.scan_start_offset
            )
        case ReadPurpose.RECOVER if recovery.waits_for_snapshot:
            _resume_reading(state)
        case ReadPurpose.CHECK:
            snapshot_writer.finish_check(state)
    if (
        recovery.snapshot_requested
        and recovery.read_purpose is ReadPurpose.NONE
    ):
        _begin_recovery(state)


def _add_part(state: state_lib.GateState, entry: events.LogEntry) -> bool:
    recovery = state.recovery
    match snapshots.decode(entry.body):
        case result.Err(error):
            detail = f"snapshot part at offset {entry.offset}: {error}"
            state.emit(
                effects.WriteLogLine("error", "snapshot_unreadable", detail)
            )
            return False
        case result.Ok(part):
            snapshot = recovery.assembler.add(part)
    if snapshot is None:
        return False
    recovery.new_snapshot_seen = True
    recovery.covered_offset = max(
        recovery.covered_offset, snapshot.covered_offset
    )
    if snapshot.covered_offset > state.configuration.next_offset:
        configuration_updates.merge_state(
            state, snapshot.entries, snapshot.covered_offset
        )
    return True


def _resume_reading(state: state_lib.GateState) -> None:
    state.recovery.waits_for_snapshot = False
    config = state.configuration
    position = streams.position(state, configuration.STREAM)
    position.next_offset = config.next_offset
    lost = config.lost_before_offset is not None
    delay_us = LOST_RECORDS_RETRY_DELAY_US if lost else 0
    streams.read_next(
        state, configuration.STREAM, wait=False, delay_us=delay_us
    )
