"""Group commit of claims, within a fixed append budget.

A host has at most one batch in flight. Its append rate is a fixed share of
the fleet's budget, so the limit holds even for a host that knows no other. An
append of unknown outcome is resolved by reading the stream; a claim appended
twice is harmless, since the index identifies it by writer and number.
"""

from fireflyspindle.core import claim_records
from fireflyspindle.core import claim_state
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import streams
from fireflyspindle.core import timers

STREAM = "claims"
MAX_BATCH_ROWS = 500
APPEND_BURST = 4.0
OUTCOME_DELAY_US = 100_000
RETRY_DELAY_US = 200_000


def add_claim(
    state: state_lib.GateState, pending: claim_state.PendingClaim
) -> None:
    """Queues a claim for the next batch."""
    state.claims.queue.append(pending)
    flush(state)


def add_outcome(
    state: state_lib.GateState, update: claim_records.OutcomeUpdate
) -> None:
    """Queues an outcome, delayed so that it can share a batch with claims."""
    claims = state.claims
    if not claims.outcome_updates:
        claims.outcomes_due_us = state.now_us + OUTCOME_DELAY_US
    claims.outcome_updates.append(update)
    flush(state)


def is_idle(state: state_lib.GateState) -> bool:
    """Whether this host has nothing queued or in flight to the stream."""
    claims = state.claims
    return (
        not claims.outcome_updates
        and not claims.queue
        and claims.in_flight_batch is None
    )


def flush(state: state_lib.GateState) -> None:
    """Appends the next batch, or sets a timer for when that is allowed."""
    claims = state.claims
    if claims.in_flight_batch is not None:
        return
    if not claims.queue and not claims.outcome_updates:
        return
    next_append_us = _next_append_us(state)
    if next_append_us > state.now_us:
        set_timer(state, next_append_us)
        return
    _append(state)


def set_timer(state: state_lib.GateState, at_us: int) -> None:
    """Sets the claims timer, unless an earlier one is already set."""
    claims = state.claims
    if claims.timer_due_us is not None and claims.timer_due_us <= at_us:
        return
    claims.timer_due_us = at_us
    state.timers.add(at_us, timers.ClaimsDue())


def _next_append_us(state: state_lib.GateState) -> int:
    claims = state.claims
    next_append_us = max(claims.retry_at_us, _next_token_us(state))
    if not claims.queue and not state.stopping:
        next_append_us = max(next_append_us, claims.outcomes_due_us)
    return next_append_us


def _next_token_us(state: state_lib.GateState) -> int:
    """Refills the token bucket; returns the earliest time of an append."""
    claims = state.claims
    settings = claims.settings
    tokens_per_us = settings.fleet_appends_per_s / settings.max_gate_hosts / 1e6
    if claims.tokens_refilled_us is None:
        claims.tokens = APPEND_BURST
    else:
        elapsed_us = state.now_us - claims.tokens_refilled_us
        claims.tokens = min(
            APPEND_BURST, claims.tokens + elapsed_us * tokens_per_us
        )
    claims.tokens_refilled_us = state.now_us
    if claims.tokens >= 1:
        return state.now_us
    return state.now_us + int((1 - claims.tokens) / tokens_per_us) + 1


def _append(state: state_lib.GateState) -> None:
    claims = state.claims
    claims.tokens -= 1
    claims.last_batch_number += 1
    batched = claims.queue[:MAX_BATCH_ROWS]
    del claims.queue[:MAX_BATCH_ROWS]
    for pending in batched:
        pending.appended = True
    batch = claim_records.Batch(
        writer=claims.writer,
        number=claims.last_batch_number,
        wall_ms=claims.wall_ms(state.now_us),
        claims=tuple(pending.claim for pending in batched),
        outcomes=tuple(claims.outcome_updates[:MAX_BATCH_ROWS]),
    )
    del claims.outcome_updates[:MAX_BATCH_ROWS]
    claims.counters.appends += 1
    # Claims must not land long after they were formed (docs/design/claims.md).
    append_id = streams.append(
        state,
        STREAM,
        claim_records.encode(batch),
        limit_us=streams.APPEND_TIMEOUT_US,
    )
    claims.in_flight_batch = claim_state.InFlightBatch(append_id, batch)


def on_append_ended(
    state: state_lib.GateState, event: events.AppendEnded
) -> None:
    """Handles the result of an append."""
    claims = state.claims
    in_flight = claims.in_flight_batch
    if in_flight is None or in_flight.append_id != event.append_id:
        return
    match event.outcome:
        case events.AppendOutcome.DONE:
            claims.in_flight_batch = None
            claims.last_own_offset = max(claims.last_own_offset, event.offset)
        case events.AppendOutcome.REFUSED:
            claims.in_flight_batch = None
            claims.retry_at_us = state.now_us + RETRY_DELAY_US
            _requeue(state, in_flight.batch, may_be_committed=False)
        case events.AppendOutcome.UNKNOWN:
            claims.counters.in_doubt += 1
            in_flight.in_doubt_from_us = state.now_us
    flush(state)


def on_own_batch(state: state_lib.GateState, number: int) -> None:
    """Handles a batch of this host that has been read back."""
    in_flight = state.claims.in_flight_batch
    if in_flight is not None and in_flight.batch.number == number:
        state.claims.in_flight_batch = None


def on_caught_up(state: state_lib.GateState, read_started_us: int) -> None:
    """Requeues a batch in doubt that a read up to the end did not contain."""
    in_flight = state.claims.in_flight_batch
    if in_flight is None or in_flight.in_doubt_from_us is None:
        return
    if read_started_us < in_flight.in_doubt_from_us:
        return
    state.claims.in_flight_batch = None
    _requeue(state, in_flight.batch, may_be_committed=True)


def max_live_records(claims: claim_state.ClaimState) -> int:
    """Returns the largest number of records that may hold valid keys."""
    settings = claims.settings
    steady = (
        settings.fleet_appends_per_s * settings.required_retention_ms / 1000
    )
    return int(steady + APPEND_BURST * settings.max_gate_hosts)


def drop_expired(state: state_lib.GateState) -> None:
    """Drops pending claims that have no call and whose key has expired."""
    claims = state.claims
    expired_ids = [
        key_id
        for key_id, pending in claims.pending.items()
        if pending.call_id is None
        and not claims.index.covers(pending.claim.key.issued_ms)
    ]
    for key_id in expired_ids:
        del claims.pending[key_id]


def _requeue(
    state: state_lib.GateState,
    batch: claim_records.Batch,
    may_be_committed: bool,
) -> None:
    """Requeues the claims and outcomes of a batch that are still needed."""
    claims = state.claims
    for claim in batch.claims:
        pending = claims.pending.get(claim.key.key_id)
        if pending is None or pending.claim.number != claim.number:
            continue
        pending.in_doubt = pending.in_doubt or may_be_committed
        pending.appended = pending.in_doubt
        if pending.call_id is not None:
            claims.queue.append(pending)
        elif not pending.in_doubt:
            del claims.pending[claim.key.key_id]
    claims.outcome_updates[:0] = batch.outcomes
    claims.outcomes_due_us = state.now_us
