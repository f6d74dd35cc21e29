"""At-most-once execution: keyed calls are claimed in the log before sending.

A call that is not repeatable and carries an idempotency key is sent only
after its claim has been read back from the log as the owner of the key. Any
other call with the key waits for the owner's outcome and is answered with it,
or with `UNKNOWN`.
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
from fireflyspindle.core import stop_limit

_CALLER_OUTCOMES = {
    claim_records.ClaimOutcome.COMPLETE: effects.Outcome.COMPLETE,
    claim_records.ClaimOutcome.UNKNOWN: effects.Outcome.UNKNOWN,
}


def admit_call(
    state: state_lib.GateState,
    call: state_lib.Call,
    event: events.CallArrived,
) -> None:
    """Admits a new call, after claiming its idempotency key if it has one."""
    if call.repeatable or not event.idempotency_key:
        admission.submit(state, call)
        return
    claim_reads.update_wall_clock(state, event.wall_ms)
    key = claim_keys.key_reference(
        event.tenant,
        event.idempotency_key,
        event.key_issued_ms,
        event.body_digest,
    )
    call.claim = claim_state.CallClaim(key, event.other_copies is not False)
    entry = state.claims.index.get(key)
    if entry is None and not _check_key(state, call, event.other_copies):
        return
    _resolve_key(state, call, call.claim)


def _check_key(
    state: state_lib.GateState,
    call: state_lib.Call,
    other_copies: bool | None,
) -> bool:
    """Checks the age of an unclaimed key; refuses the call if it is invalid.

    Returns:
        Whether the key may be claimed.
    """
    claims = state.claims
    assert call.claim is not None
    issued_ms = call.claim.key.issued_ms
    age_ms = claims.wall_ms(state.now_us) - issued_ms
    if age_ms < -claim_state.FUTURE_ALLOWANCE_MS:
        detail = (
            f"the key was issued {-age_ms} ms ahead of this host's clock;"
            f" at most {claim_state.FUTURE_ALLOWANCE_MS} ms is accepted"
        )
        _refuse(state, call, 400, "key_in_future", detail)
        return False
    if age_ms > claims.settings.key_validity_ms:
        evicted = not claims.index.covers(issued_ms)
        call.may_have_run = call.claim.other_copies or (
            evicted and other_copies is not False
        )
        detail = (
            f"the key was issued {age_ms} ms ago and keys expire after"
            f" {claims.settings.key_validity_ms} ms; this request was not"
            " sent, but an earlier one with the key may have been"
        )
        _refuse(state, call, 410, "key_too_old", detail)
        return False
    if not claims.index.covers(issued_ms):
        call.may_have_run = other_copies is not False
        detail = (
            "this host has not read all claims since the key was issued;"
            " this request was not sent, but an earlier one with the key may"
            " have been; retry with the same key"
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
    answers.fail_call(state, call, status, error, detail)


def _resolve_key(
    state: state_lib.GateState,
    call: state_lib.Call,
    call_claim: claim_state.CallClaim,
) -> None:
    """Claims the key, waits for its owner, or answers with its outcome."""
    claims = state.claims
    entry = claims.index.get(call_claim.key)
    pending = claims.pending.get(call_claim.key.key_id)
    known_digest = entry.digest if entry is not None else call_claim.key.digest
    if pending is not None:
        known_digest = pending.claim.key.digest
    if known_digest != call_claim.key.digest:
        _refuse_reused_key(state, call)
    elif entry is not None and not entry.free:
        _wait(state, call, call_claim)
        _answer_waiters(state, call_claim.key.key_id, entry)
    elif pending is not None and pending.call_id is not None:
        _wait(state, call, call_claim)
    elif not stop_limit.may_start(state, call):
        call.may_have_run = call_claim.other_copies
        answers.refuse_stopping(state, call)
    elif pending is None:
        _start_claim(state, call, call_claim)
    else:
        _reassign_claim(state, call, call_claim, pending)


def _refuse_reused_key(
    state: state_lib.GateState, call: state_lib.Call
) -> None:
    detail = (
        "the key was used for another method, path or body; use a new key"
        " for each request"
    )
    _refuse(state, call, 422, "key_reused", detail)


def _wait(
    state: state_lib.GateState,
    call: state_lib.Call,
    call_claim: claim_state.CallClaim,
) -> None:
    call_claim.phase = claim_state.ClaimPhase.WAITING
    call.may_have_run = True
    state.claims.waiters.setdefault(call_claim.key.key_id, []).append(
        call.call_id
    )


def _start_claim(
    state: state_lib.GateState,
    call: state_lib.Call,
    call_claim: claim_state.CallClaim,
) -> None:
    claims = state.claims
    claims.last_claim_number += 1
    claims.counters.made += 1
    claim = claim_records.Claim(claims.last_claim_number, call_claim.key)
    pending = claim_state.PendingClaim(claim, call.call_id)
    claims.pending[call_claim.key.key_id] = pending
    _set_claiming(call, call_claim, pending)
    claim_batches.add_claim(state, pending)
    claim_reads.schedule_read(state)


def _reassign_claim(
    state: state_lib.GateState,
    call: state_lib.Call,
    call_claim: claim_state.CallClaim,
    pending: claim_state.PendingClaim,
) -> None:
    """Reassigns a pending claim whose call ended without being sent."""
    pending.call_id = call.call_id
    _set_claiming(call, call_claim, pending)
    in_flight = state.claims.in_flight_batch
    if in_flight is None or pending.claim not in in_flight.batch.claims:
        claim_batches.add_claim(state, pending)
    claim_reads.schedule_read(state)


def _set_claiming(
    call: state_lib.Call,
    call_claim: claim_state.CallClaim,
    pending: claim_state.PendingClaim,
) -> None:
    call_claim.phase = claim_state.ClaimPhase.CLAIMING
    call_claim.number = pending.claim.number
    call.may_have_run = call_claim.other_copies


def on_read(state: state_lib.GateState, event: events.LogRead) -> None:
    """Applies a read of the claims stream."""
    for key_id in claim_reads.on_read(state, event):
        pending = state.claims.pending.get(key_id)
        if pending is not None and pending.read_back:
            _on_claim_read_back(state, pending)
        _resolve_waiters(state, key_id)
    claim_batches.flush(state)
    claim_reads.schedule_read(state)


def on_append_ended(
    state: state_lib.GateState, event: events.AppendEnded
) -> None:
    """Handles the result of an append to the claims stream."""
    claim_batches.on_append_ended(state, event)
    claim_reads.schedule_read(state)


def on_timer(state: state_lib.GateState) -> None:
    """Handles the claims timer: appends and reads that are due."""
    state.claims.timer_due_us = None
    claim_batches.flush(state)
    claim_reads.schedule_read(state)


def _on_claim_read_back(
    state: state_lib.GateState, pending: claim_state.PendingClaim
) -> None:
    """Sends the call of a claim that was read back, or makes it wait.

    Releases the claim if its call has ended.
    """
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
    state: state_lib.GateState, pending: claim_state.PendingClaim
) -> state_lib.Call | None:
    if pending.call_id is None:
        return None
    return state.calls.get(pending.call_id)


def _release(state: state_lib.GateState, claim: claim_records.Claim) -> None:
    claim_batches.add_outcome(
        state,
        claim_records.OutcomeUpdate(
            claim.number, claim.key, claim_records.ClaimOutcome.NOT_RUN
        ),
    )


def _send(
    state: state_lib.GateState,
    call: state_lib.Call,
    call_claim: claim_state.CallClaim,
) -> None:
    """Sends the owner's call unless its key or its deadline has expired."""
    claims = state.claims
    age_ms = claims.wall_ms(state.now_us) - call_claim.key.issued_ms
    covered = claims.index.covers(call_claim.key.issued_ms)
    if not covered or age_ms > claims.settings.key_validity_ms:
        _refuse(
            state,
            call,
            410,
            "key_too_old",
            "the key expired or was evicted while it was being claimed; it is"
            f" now {age_ms} ms old; this request was not sent",
        )
        return
    call.may_have_run = False
    if state.now_us >= call.deadline_us:
        answers.fail_call(
            state, call, 504, "deadline", "the deadline of the call has passed"
        )
        return
    claims.counters.owned += 1
    admission.submit(state, call)


def _resolve_waiters(state: state_lib.GateState, key_id: int) -> None:
    waiters = state.claims.waiters.get(key_id)
    if not waiters:
        return
    call = state.calls[waiters[0]]
    assert call.claim is not None
    entry = state.claims.index.get(call.claim.key)
    if entry is not None:
        _answer_waiters(state, key_id, entry)


def _answer_waiters(
    state: state_lib.GateState, key_id: int, entry: claim_index.Entry
) -> None:
    """Answers the waiting calls if the owner's request has ended."""
    if entry.outcome is None:
        return
    for call_id in state.claims.waiters.pop(key_id, []):
        call = state.calls[call_id]
        assert call.claim is not None
        if entry.free:
            _resolve_key(state, call, call.claim)
            continue
        state.claims.counters.known += 1
        outcome = _CALLER_OUTCOMES[entry.outcome]
        recorded = f" with status {entry.status}" if entry.status else ""
        answers.send_answer(
            state,
            call,
            effects.AnswerCaller(
                call_id=call_id,
                outcome=outcome,
                status=409,
                error="key_used",
                detail=(
                    "the key was used by an earlier request, whose outcome is"
                    f" {outcome.value}{recorded}"
                ),
                recorded_status=entry.status,
            ),
        )
