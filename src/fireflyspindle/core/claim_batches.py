"""Group commits of claims: one append carries many, within a fixed budget.

One batch of a host is under way at a time. Its append rate is a fixed share
of the fleet's budget, so it holds whatever the host believes of the fleet. An
append of unknown outcome is settled by reading on; a claim appended twice is
harmless, since the index goes by the claim's writer and number.
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
NOTE_DELAY_US = 100_000
RETRY_DELAY_US = 200_000


def add_claim(state: state_lib.GateState, pending: claim_state.Pending) -> None:
    """Queues a claim for the next batch."""
    state.claims.queue.append(pending)
    flush(state)


def add_note(
    state: state_lib.GateState, note: claim_records.OutcomeNote
) -> None:
    """Queues an outcome, which waits a little for claims to go along with."""
    claims = state.claims
    if not claims.notes:
        claims.notes_due_us = state.now_us + NOTE_DELAY_US
    claims.notes.append(note)
    flush(state)


def idle(state: state_lib.GateState) -> bool:
    """Whether nothing of this host is left to be written."""
    claims = state.claims
    return not claims.notes and not claims.queue and claims.sent is None


def flush(state: state_lib.GateState) -> None:
    """Appends the next batch, or sets the time at which it may leave."""
    claims = state.claims
    if claims.sent is not None:
        return
    if not claims.queue and not claims.notes:
        return
    leaves_us = _leaves_us(state)
    if leaves_us > state.now_us:
        arm(state, leaves_us)
        return
    _append(state)


def arm(state: state_lib.GateState, at_us: int) -> None:
    """Sets the timer of claims, unless it is due before that time."""
    claims = state.claims
    if claims.armed_us is not None and claims.armed_us <= at_us:
        return
    claims.armed_us = at_us
    state.timers.add(at_us, timers.ClaimsDue())


def _leaves_us(state: state_lib.GateState) -> int:
    claims = state.claims
    leaves_us = max(claims.retry_at_us, _token_us(state))
    if not claims.queue and not state.stopping:
        leaves_us = max(leaves_us, claims.notes_due_us)
    return leaves_us


def _token_us(state: state_lib.GateState) -> int:
    """Returns the time at which this host may append again."""
    claims = state.claims
    settings = claims.settings
    per_us = settings.fleet_appends_per_s / settings.max_gate_hosts / 1e6
    if claims.tokens_at_us is None:
        claims.tokens = APPEND_BURST
    else:
        elapsed_us = state.now_us - claims.tokens_at_us
        claims.tokens = min(APPEND_BURST, claims.tokens + elapsed_us * per_us)
    claims.tokens_at_us = state.now_us
    if claims.tokens >= 1:
        return state.now_us
    return state.now_us + int((1 - claims.tokens) / per_us) + 1


def _append(state: state_lib.GateState) -> None:
    claims = state.claims
    claims.tokens -= 1
    claims.last_batch += 1
    taken = claims.queue[:MAX_BATCH_ROWS]
    del claims.queue[:MAX_BATCH_ROWS]
    for pending in taken:
        pending.appended = True
    batch = claim_records.Batch(
        writer=claims.writer,
        number=claims.last_batch,
        wall_ms=claims.wall_ms(state.now_us),
        claims=tuple(pending.claim for pending in taken),
        outcomes=tuple(claims.notes[:MAX_BATCH_ROWS]),
    )
    del claims.notes[:MAX_BATCH_ROWS]
    claims.counters.appends += 1
    append_id = streams.append(state, STREAM, claim_records.encode(batch))
    claims.sent = claim_state.SentBatch(append_id, batch)


def on_append_settled(
    state: state_lib.GateState, event: events.AppendSettled
) -> None:
    """Takes the end of an append."""
    claims = state.claims
    sent = claims.sent
    if sent is None or sent.append_id != event.append_id:
        return
    match event.outcome:
        case events.AppendOutcome.DONE:
            claims.sent = None
            claims.read_back_offset = max(claims.read_back_offset, event.offset)
        case events.AppendOutcome.REFUSED:
            claims.sent = None
            claims.retry_at_us = state.now_us + RETRY_DELAY_US
            _requeue(state, sent.batch, may_land=False)
        case events.AppendOutcome.UNKNOWN:
            claims.counters.in_doubt += 1
            sent.in_doubt_from_us = state.now_us
    flush(state)


def on_own_batch(state: state_lib.GateState, number: int) -> None:
    """Takes a batch of this host that was read in the log."""
    sent = state.claims.sent
    if sent is not None and sent.batch.number == number:
        state.claims.sent = None


def on_caught_up(state: state_lib.GateState, read_from_us: int) -> None:
    """Settles a batch in doubt that a whole read did not show."""
    sent = state.claims.sent
    if sent is None or sent.in_doubt_from_us is None:
        return
    if read_from_us < sent.in_doubt_from_us:
        return
    state.claims.sent = None
    _requeue(state, sent.batch, may_land=True)


def window_records(claims: claim_state.ClaimState) -> int:
    """Returns the most records that may hold claims of keys in their time."""
    settings = claims.settings
    steady = settings.fleet_appends_per_s * settings.log_keep_ms / 1000
    return int(steady + APPEND_BURST * settings.max_gate_hosts)


def drop_forgotten(state: state_lib.GateState) -> None:
    """Drops claims without a call whose key no host takes any more."""
    claims = state.claims
    forgotten = [
        key_id
        for key_id, pending in claims.pending.items()
        if pending.call_id is None
        and not claims.index.covers(pending.claim.key.issued_ms)
    ]
    for key_id in forgotten:
        del claims.pending[key_id]


def _requeue(
    state: state_lib.GateState, batch: claim_records.Batch, may_land: bool
) -> None:
    """Queues again what a batch carried and is still wanted."""
    claims = state.claims
    for claim in batch.claims:
        pending = claims.pending.get(claim.key.key_id)
        if pending is None or pending.claim.number != claim.number:
            continue
        pending.in_doubt = pending.in_doubt or may_land
        pending.appended = pending.in_doubt
        if pending.call_id is not None:
            claims.queue.append(pending)
        elif not pending.in_doubt:
            del claims.pending[claim.key.key_id]
    claims.notes[:0] = batch.outcomes
    claims.notes_due_us = state.now_us
