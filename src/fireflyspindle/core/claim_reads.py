"""Reading the claims stream into the index.

A host reads at once only while it waits for its own batch; otherwise it polls
at a fixed interval, which bounds the cost of reads however many hosts append.
Records that are missing, because they expired or can't be decoded, advance the
time of issue from which the index is complete.
"""

import result

from fireflyspindle.core import claim_batches
from fireflyspindle.core import claim_records
from fireflyspindle.core import claim_state
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import streams

READ_INTERVAL_US = 50_000
# Records after a gap whose times bound the times of the records in the gap. A
# single record may have been created long before it was committed.
GAP_SAMPLE_RECORDS = 16


def start(state: state_lib.GateState) -> None:
    """Starts reading the stream."""
    _read(state)


def on_read(state: state_lib.GateState, event: events.LogRead) -> set[int]:
    """Applies the records read; returns the ids of the keys they changed."""
    claims = state.claims
    position = streams.position(state, claim_batches.STREAM)
    claims.reading = False
    _skip_old_records(state, event, position)
    records = [
        (entry.offset, claim_records.decode(entry.body))
        for entry in event.entries
        if entry.offset >= position.next_offset
    ]
    first_offset = records[0][0] if records else event.earliest_offset
    if first_offset > position.next_offset or (claims.after_skip and records):
        claims.after_skip = False
        _handle_gap(state, [body for _, body in records])
        position.next_offset = first_offset
    changed_key_ids: set[int] = set()
    for offset, body in records:
        position.next_offset = offset + 1
        _apply(state, offset, body, changed_key_ids)
    while claims.index.key_count > claims.settings.max_keys_held:
        claims.index.evict_oldest_bucket()
    if position.next_offset >= event.next_offset:
        claim_batches.on_caught_up(state, claims.read_started_us)
    claim_batches.drop_expired(state)
    return changed_key_ids


def _skip_old_records(
    state: state_lib.GateState,
    event: events.LogRead,
    position: state_lib.LogPosition,
) -> None:
    """Skips records too old to hold valid keys, in the first read only.

    The append budget bounds the number of records that may hold valid keys.
    """
    claims = state.claims
    if position.next_offset > 0:
        return
    first_offset = event.next_offset - claim_batches.max_live_records(claims)
    if first_offset > event.earliest_offset:
        position.next_offset = first_offset
        claims.after_skip = True


def on_read_failed(state: state_lib.GateState) -> None:
    """Retries the read after a delay."""
    delay_us = streams.retry_delay_us(state, claim_batches.STREAM)
    _read(state, delay_us=delay_us)


def schedule_read(state: state_lib.GateState) -> None:
    """Requests the next read, at once if this host waits for its own batch."""
    claims = state.claims
    if claims.reading:
        return
    if _is_urgent(state) or state.now_us >= claims.read_due_us:
        _read(state)
        return
    claim_batches.set_timer(state, claims.read_due_us)


def update_wall_clock(state: state_lib.GateState, wall_ms: int) -> None:
    """Updates the wall-clock time; evicts keys past their validity."""
    claims = state.claims
    claims.wall_clock_offset_ms = wall_ms - state.now_us // 1000
    if claims.gap_open:
        claims.gap_open = False
        _evict_gap(state, wall_ms)
    oldest_ms = wall_ms - claims.settings.key_validity_ms
    claims.index.evict_before(oldest_ms - 2 * claim_state.CLOCK_SKEW_MS)


def _is_urgent(state: state_lib.GateState) -> bool:
    claims = state.claims
    position = streams.position(state, claim_batches.STREAM)
    if claims.last_own_offset >= position.next_offset:
        return True
    return (
        claims.in_flight_batch is not None
        and claims.in_flight_batch.in_doubt_from_us is not None
    )


def _read(state: state_lib.GateState, delay_us: int = 0) -> None:
    claims = state.claims
    claims.reading = True
    claims.read_started_us = state.now_us
    claims.read_due_us = state.now_us + READ_INTERVAL_US
    wait = not _is_urgent(state)
    streams.read_next(state, claim_batches.STREAM, wait=wait, delay_us=delay_us)


def _apply(
    state: state_lib.GateState,
    offset: int,
    body: result.Result[claim_records.Batch, claim_records.UndecodableRecord],
    changed_key_ids: set[int],
) -> None:
    claims = state.claims
    match body:
        case result.Err(undecodable):
            _on_undecodable(state, offset, undecodable)
        case result.Ok(batch):
            is_own = batch.writer == claims.writer
            if is_own:
                claim_batches.on_own_batch(state, batch.number)
            for claim in batch.claims:
                claims.index.apply_claim(batch.writer, claim)
                changed_key_ids.add(claim.key.key_id)
                if is_own:
                    _on_own_claim(state, claim)
            for update in batch.outcomes:
                claims.index.apply_outcome(batch.writer, update)
                changed_key_ids.add(update.key.key_id)


def _on_own_claim(
    state: state_lib.GateState, claim: claim_records.Claim
) -> None:
    pending = state.claims.pending.get(claim.key.key_id)
    if pending is not None and pending.claim.number == claim.number:
        pending.read_back = True


def _on_undecodable(
    state: state_lib.GateState,
    offset: int,
    undecodable: claim_records.UndecodableRecord,
) -> None:
    state.claims.counters.unreadable += 1
    detail = (
        f"claims record at offset {offset} skipped, it can't be decoded:"
        f" {undecodable.reason}"
    )
    state.emit(effects.WriteLogLine("error", "claims_unreadable", detail))
    if undecodable.newer_version:
        _open_gap(state)


def _handle_gap(
    state: state_lib.GateState,
    bodies: list[
        result.Result[claim_records.Batch, claim_records.UndecodableRecord]
    ],
) -> None:
    claims = state.claims
    claims.counters.gaps += 1
    written_ms = [
        body.ok_value.wall_ms
        for body in bodies[:GAP_SAMPLE_RECORDS]
        if isinstance(body, result.Ok)
    ]
    if written_ms:
        _evict_gap(state, max(written_ms))
    else:
        _open_gap(state)


def _open_gap(state: state_lib.GateState) -> None:
    claims = state.claims
    if claims.wall_clock_offset_ms is None:
        claims.gap_open = True
        return
    _evict_gap(state, claims.wall_ms(state.now_us))


def _evict_gap(state: state_lib.GateState, written_ms: int) -> None:
    """Evicts every key that a record written up to `written_ms` may claim."""
    newest_ms = written_ms + claim_state.FUTURE_ALLOWANCE_MS
    state.claims.index.evict_before(newest_ms + claim_state.CLOCK_SKEW_MS)
