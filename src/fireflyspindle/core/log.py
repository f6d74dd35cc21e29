"""Dispatches the results of log reads and appends by stream."""

from fireflyspindle.core import claim_batches
from fireflyspindle.core import claim_reads
from fireflyspindle.core import claims
from fireflyspindle.core import configuration
from fireflyspindle.core import events
from fireflyspindle.core import probe_slots
from fireflyspindle.core import recovery
from fireflyspindle.core import snapshot_writer
from fireflyspindle.core import snapshots
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import streams


def on_append_ended(
    state: state_lib.GateState, event: events.AppendEnded
) -> None:
    """Dispatches the end of an append to the module that requested it."""
    match state.pending_appends.pop(event.append_id, None):
        case claim_batches.STREAM:
            claims.on_append_ended(state, event)
        case snapshots.STREAM:
            snapshot_writer.on_append_ended(state, event)
        case _:
            pass


def on_read(state: state_lib.GateState, event: events.LogRead) -> None:
    """Dispatches a successful read to the module that owns the stream."""
    position = streams.position(state, event.stream)
    position.consecutive_failures = 0
    position.end_offset = max(position.end_offset or 0, event.next_offset)
    match event.stream:
        case configuration.STREAM:
            recovery.on_configuration_read(state, event)
        case snapshots.STREAM:
            recovery.on_snapshots_read(state, event)
        case claim_batches.STREAM:
            claims.on_read(state, event)
        case probe_slots.STREAM:
            probe_slots.on_read(state, event)
        case _:
            pass


def on_read_failed(
    state: state_lib.GateState, event: events.LogReadFailed
) -> None:
    """Retries the read from the same offset, with backoff."""
    streams.position(state, event.stream).consecutive_failures += 1
    if event.stream == snapshots.STREAM:
        recovery.on_snapshots_read_failed(state)
        return
    if event.stream == claim_batches.STREAM:
        claim_reads.on_read_failed(state)
        return
    delay_us = streams.retry_delay_us(state, event.stream)
    streams.read_next(state, event.stream, delay_us=delay_us)


def on_read_unanswered(
    state: state_lib.GateState, event: events.LogReadUnanswered
) -> None:
    """Counts a late read as a failure, though its answer still counts."""
    streams.position(state, event.stream).consecutive_failures += 1
    if event.stream == snapshots.STREAM:
        recovery.on_snapshots_unavailable(state)
