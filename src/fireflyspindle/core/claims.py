"""At most once: a keyed call is claimed in the log before it is sent.

A call that is not repeatable and carries an idempotency key is sent only
after its claim was read back as the owner of the key. Any other call with the
key waits for the owner's outcome and is told that, or that it is unknown.
"""

from fireflyspindle.core import admission
from fireflyspindle.core import answers
from fireflyspindle.core import claim_batches
from fireflyspindle.core import claim_index
from fireflyspindle.core import claim_keys
from fireflyspindle.core import claim_reads
from fireflyspindle.core import claim_records
from fireflyspindle.core import claim_state
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib

_TOLD = {
    claim_records.ClaimOutcome.COMPLETE: effects.Outcome.COMPLETE,
    claim_records.ClaimOutcome.UNKNOWN: effects.Outcome.UNKNOWN,
}


def offer(
    state: state_lib.GateState,
    call: state_lib.Call,
    event: events.CallArrived,
) -> None:
    """Takes a call that has arrived: claims its key first if it has one."""
    if call.repeatable or not event.idempotency_key:
        admission.offer(state, call)
        return
    claim_reads.note_wall(state, event.wall_ms)
    key = claim_keys.reference(
        event.tenant,
        event.idempotency_key,
        event.key_issued_ms,
        event.body_digest,
    )
    call.claim = claim_state.ClaimUse(key, event.other_copies is not False)
    entry = state.claims.index.get(key)
    if entry is None and not _is_takeable(state, call, event.other_copies):
        return
    _claim(state, call, call.claim)


def _is_takeable(
    state: state_lib.GateState,
    call: state_lib.Call,
    other_copies: bool | None,
) -> bool:
    """Refuses a call whose key has no owner here and is not in its time."""
    claims = state.claims
    assert call.claim is not None
    issued_ms = call.claim.key.issued_ms
    age_ms = claims.wall_ms(state.now_us) - issued_ms
    if age_ms < -claim_state.FUTURE_ALLOWANCE_MS:
        detail = (
            f"the key was issued {-age_ms} ms ahead of this host's clock;"
            f" at most {claim_state.FUTURE_ALLOWANCE_MS} are accepted"
        )
        _refuse(state, call, 400, "key_in_future", detail)
        return False
    if age_ms > claims.settings.key_validity_ms:
        forgotten = not claims.index.covers(issued_ms)
        call.maybe_ran = call.claim.other_copies or (
            forgotten and other_copies is not False
        )
        detail = (
            f"the key was issued {age_ms} ms ago and"
            f" {claims.settings.key_validity_ms} are accepted; this request"
            " was not sent, but an earlier one with the key may have been"
        )
        _refuse(state, call, 410, "key_too_old", detail)
        return False
    if not claims.index.covers(issued_ms):
        call.maybe_ran = other_copies is not False
        detail = (
            "this host has not read the claims from the time of the key;"
            " this request was not sent, but an earlier one with the key may"
            " have been; ask again with the same key"
        )
        _refuse(state, call, 503, "claims_missing", detail)
        return False
    return True


def _refuse(
    state: state_lib.GateState,
    call: state_lib.Call,
    status: int,
    error: str,
    detail: str,
) -> None:
    state.claims.counters.refused += 1
    answers.give_up(state, call, status, error, detail)


def _claim(
    state: state_lib.GateState,
    call: state_lib.Call,
    use: claim_state.ClaimUse,
) -> None:
    """Answers from the key's owner, waits for it, or claims the key."""
    claims = state.claims
    entry = claims.index.get(use.key)
    pending = claims.pending.get(use.key.key_id)
    known = entry.digest if entry is not None else use.key.digest
    if pending is not None:
        known = pending.claim.key.digest
    if known != use.key.digest:
        _refuse_reuse(state, call)
    elif entry is not None and not entry.free:
        _wait(state, call, use)
        _tell_waiters(state, use.key.key_id, entry)
    elif pending is None:
        _append(state, call, use)
    elif pending.call_id is None:
        _adopt(state, call, use, pending)
    else:
        _wait(state, call, use)


def _refuse_reuse(state: state_lib.GateState, call: state_lib.Call) -> None:
    detail = (
        "the key was used for another method, path or body; give each"
        " request a key of its own"
    )
    _refuse(state, call, 422, "key_reused", detail)


def _wait(
    state: state_lib.GateState,
    call: state_lib.Call,
    use: claim_state.ClaimUse,
) -> None:
    use.phase = claim_state.ClaimPhase.WAITING
    call.maybe_ran = True
    state.claims.waiters.setdefault(use.key.key_id, []).append(call.call_id)


def _append(
    state: state_lib.GateState,
    call: state_lib.Call,
    use: claim_state.ClaimUse,
) -> None:
    claims = state.claims
    claims.last_claim += 1
    claims.counters.made += 1
    claim = claim_records.Claim(claims.last_claim, use.key)
    pending = claim_state.Pending(claim, call.call_id)
    claims.pending[use.key.key_id] = pending
    _begin_claiming(call, use, pending)
    claim_batches.add_claim(state, pending)
    claim_reads.read_on(state)


def _adopt(
    state: state_lib.GateState,
    call: state_lib.Call,
    use: claim_state.ClaimUse,
    pending: claim_state.Pending,
) -> None:
    """Takes over a claim whose call has ended without being sent."""
    pending.call_id = call.call_id
    _begin_claiming(call, use, pending)
    sent = state.claims.sent
    if sent is None or pending.claim not in sent.batch.claims:
        claim_batches.add_claim(state, pending)
    claim_reads.read_on(state)


def _begin_claiming(
    call: state_lib.Call,
    use: claim_state.ClaimUse,
    pending: claim_state.Pending,
) -> None:
    use.phase = claim_state.ClaimPhase.CLAIMING
    use.number = pending.claim.number
    call.maybe_ran = use.other_copies


def on_read(state: state_lib.GateState, event: events.LogRead) -> None:
    """Takes a read of the claims stream."""
    for key_id in claim_reads.on_read(state, event):
        pending = state.claims.pending.get(key_id)
        if pending is not None and pending.landed:
            _on_landed(state, pending)
        _look_at_waiters(state, key_id)
    claim_batches.flush(state)
    claim_reads.read_on(state)


def on_append_settled(
    state: state_lib.GateState, event: events.AppendSettled
) -> None:
    """Takes the end of an append to the claims stream."""
    claim_batches.on_append_settled(state, event)
    claim_reads.read_on(state)


def on_due(state: state_lib.GateState) -> None:
    """Does what the timer of claims was set for."""
    state.claims.armed_us = None
    claim_batches.flush(state)
    claim_reads.read_on(state)


def _on_landed(
    state: state_lib.GateState, pending: claim_state.Pending
) -> None:
    """Decides on a claim that was read back."""
    claims = state.claims
    claim = pending.claim
    del claims.pending[claim.key.key_id]
    if pending in claims.queue:
        claims.queue.remove(pending)
    entry = claims.index.get(claim.key)
    owned = entry is None or entry.is_owned_by(claims.writer, claim.number)
    call = _call_of(state, pending)
    if call is None:
        if owned:
            _release(state, claim)
        return
    assert call.claim is not None
    if not owned:
        _wait(state, call, call.claim)
        return
    call.claim.phase = claim_state.ClaimPhase.OWNER
    _send(state, call, call.claim)


def _call_of(
    state: state_lib.GateState, pending: claim_state.Pending
) -> state_lib.Call | None:
    if pending.call_id is None:
        return None
    return state.calls.get(pending.call_id)


def _release(state: state_lib.GateState, claim: claim_records.Claim) -> None:
    claim_batches.add_note(
        state,
        claim_records.OutcomeNote(
            claim.number, claim.key, claim_records.ClaimOutcome.NOT_RUN
        ),
    )


def _send(
    state: state_lib.GateState,
    call: state_lib.Call,
    use: claim_state.ClaimUse,
) -> None:
    """Sends the owner's call, unless its time or that of its key is over."""
    claims = state.claims
    age_ms = claims.wall_ms(state.now_us) - use.key.issued_ms
    in_time = claims.index.covers(use.key.issued_ms)
    if not in_time or age_ms > claims.settings.key_validity_ms:
        _refuse(
            state,
            call,
            410,
            "key_too_old",
            f"the key is {age_ms} ms old by now; this request was not sent",
        )
        return
    call.maybe_ran = False
    if state.now_us >= call.deadline_us:
        answers.give_up(
            state, call, 504, "deadline", "the deadline of the call has come"
        )
        return
    claims.counters.owned += 1
    admission.offer(state, call)


def _look_at_waiters(state: state_lib.GateState, key_id: int) -> None:
    waiters = state.claims.waiters.get(key_id)
    if not waiters:
        return
    call = state.calls[waiters[0]]
    assert call.claim is not None
    entry = state.claims.index.get(call.claim.key)
    if entry is not None:
        _tell_waiters(state, key_id, entry)


def _tell_waiters(
    state: state_lib.GateState, key_id: int, entry: claim_index.Entry
) -> None:
    """Tells the waiting calls how the owner's request ended, if it has."""
    if entry.outcome is None:
        return
    for call_id in state.claims.waiters.pop(key_id, []):
        call = state.calls[call_id]
        assert call.claim is not None
        if entry.free:
            _claim(state, call, call.claim)
            continue
        state.claims.counters.known += 1
        told = _TOLD[entry.outcome]
        recorded = f" with status {entry.status}" if entry.status else ""
        answers.tell(
            state,
            call,
            effects.AnswerCaller(
                call_id=call_id,
                outcome=told,
                status=409,
                error="key_used",
                detail=f"the key was used; its request: {told.value}{recorded}",
                recorded_status=entry.status,
            ),
        )
