"""Reading the claims stream into the index.

Only a host that waits for its own batch reads at once; others read at a slow
pace, so that reading costs little however many hosts append. Records that are
missing, because they expired or can't be read, raise the time from which the
index answers for keys.
"""

import result

from fireflyspindle.core import claim_batches
from fireflyspindle.core import claim_records
from fireflyspindle.core import claim_state
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import streams

READ_PACE_US = 50_000
# Records after a gap whose times bound that of the records in the gap. One
# record alone may have been formed long before it landed.
GAP_SAMPLE_RECORDS = 16


def start(state: state_lib.GateState) -> None:
    """Begins to read the stream."""
    _read(state)


def on_read(state: state_lib.GateState, event: events.LogRead) -> set[int]:
    """Folds what was read; returns the ids of the keys that it touched."""
    claims = state.claims
    here = streams.position(state, claim_batches.STREAM)
    claims.reading = False
    _skip_to_window(state, event, here)
    read = [
        (entry.offset, claim_records.decode(entry.body))
        for entry in event.entries
        if entry.offset >= here.next_offset
    ]
    first_offset = read[0][0] if read else event.earliest_offset
    if first_offset > here.next_offset or (claims.skipped and read):
        claims.skipped = False
        _on_gap(state, [body for _, body in read])
        here.next_offset = first_offset
    touched: set[int] = set()
    for offset, body in read:
        here.next_offset = offset + 1
        _fold(state, offset, body, touched)
    while claims.index.held > claims.settings.max_keys_held:
        claims.index.forget_oldest()
    if here.next_offset >= event.next_offset:
        claim_batches.on_caught_up(state, claims.read_from_us)
    claim_batches.drop_forgotten(state)
    return touched


def _skip_to_window(
    state: state_lib.GateState,
    event: events.LogRead,
    here: state_lib.LogPosition,
) -> None:
    """Skips, at the start, the records that are too old to matter.

    The append budget bounds the number of records that matter.
    """
    claims = state.claims
    if here.next_offset > 0:
        return
    first_offset = event.next_offset - claim_batches.window_records(claims)
    if first_offset > event.earliest_offset:
        here.next_offset = first_offset
        claims.skipped = True


def on_read_failed(state: state_lib.GateState) -> None:
    """Reads again a little later."""
    delay_us = streams.retry_delay_us(state, claim_batches.STREAM)
    _read(state, delay_us=delay_us)


def read_on(state: state_lib.GateState) -> None:
    """Asks for the next read: at once when this host waits for it."""
    claims = state.claims
    if claims.reading:
        return
    if _is_urgent(state) or state.now_us >= claims.read_due_us:
        _read(state)
        return
    claim_batches.arm(state, claims.read_due_us)


def note_wall(state: state_lib.GateState, wall_ms: int) -> None:
    """Takes the wall-clock time; forgets keys that are no longer taken."""
    claims = state.claims
    claims.wall_ahead_ms = wall_ms - state.now_us // 1000
    if claims.gap_open:
        claims.gap_open = False
        _forget_gap(state, wall_ms)
    oldest_ms = wall_ms - claims.settings.key_validity_ms
    claims.index.forget_before(oldest_ms - 2 * claim_state.CLOCK_SKEW_MS)


def _is_urgent(state: state_lib.GateState) -> bool:
    claims = state.claims
    here = streams.position(state, claim_batches.STREAM)
    if claims.read_back_offset >= here.next_offset:
        return True
    return claims.sent is not None and claims.sent.in_doubt_from_us is not None


def _read(state: state_lib.GateState, delay_us: int = 0) -> None:
    claims = state.claims
    claims.reading = True
    claims.read_from_us = state.now_us
    claims.read_due_us = state.now_us + READ_PACE_US
    wait = not _is_urgent(state)
    streams.read_on(state, claim_batches.STREAM, wait=wait, delay_us=delay_us)


def _fold(
    state: state_lib.GateState,
    offset: int,
    body: result.Result[claim_records.Batch, claim_records.Unreadable],
    touched: set[int],
) -> None:
    claims = state.claims
    match body:
        case result.Err(unreadable):
            _on_unreadable(state, offset, unreadable)
        case result.Ok(batch):
            own = batch.writer == claims.writer
            if own:
                claim_batches.on_own_batch(state, batch.number)
            for claim in batch.claims:
                claims.index.apply_claim(batch.writer, claim)
                touched.add(claim.key.key_id)
                if own:
                    _on_own_claim(state, claim)
            for note in batch.outcomes:
                claims.index.apply_outcome(batch.writer, note)
                touched.add(note.key.key_id)


def _on_own_claim(
    state: state_lib.GateState, claim: claim_records.Claim
) -> None:
    pending = state.claims.pending.get(claim.key.key_id)
    if pending is not None and pending.claim.number == claim.number:
        pending.landed = True


def _on_unreadable(
    state: state_lib.GateState,
    offset: int,
    unreadable: claim_records.Unreadable,
) -> None:
    state.claims.counters.unreadable += 1
    detail = f"claims record at offset {offset}: {unreadable.why}"
    state.emit(effects.Report("error", "claims_unreadable", detail))
    if unreadable.newer:
        _open_gap(state)


def _on_gap(
    state: state_lib.GateState,
    bodies: list[result.Result[claim_records.Batch, claim_records.Unreadable]],
) -> None:
    claims = state.claims
    claims.counters.gaps += 1
    written_ms = [
        body.ok_value.wall_ms
        for body in bodies[:GAP_SAMPLE_RECORDS]
        if isinstance(body, result.Ok)
    ]
    if written_ms:
        _forget_gap(state, max(written_ms))
    else:
        _open_gap(state)


def _open_gap(state: state_lib.GateState) -> None:
    claims = state.claims
    if claims.wall_ahead_ms is None:
        claims.gap_open = True
        return
    _forget_gap(state, claims.wall_ms(state.now_us))


def _forget_gap(state: state_lib.GateState, written_ms: int) -> None:
    """Forgets every key that may be claimed in a record written by then."""
    newest_ms = written_ms + claim_state.FUTURE_ALLOWANCE_MS
    state.claims.index.forget_before(newest_ms + claim_state.CLOCK_SKEW_MS)
