"""Recording of the outcome when a keyed call ends."""

from fireflyspindle.core import claim_batches
from fireflyspindle.core import claim_records
from fireflyspindle.core import claim_state
from fireflyspindle.core import effects
from fireflyspindle.core import state as state_lib


def on_finished(
    state: state_lib.GateState,
    call: state_lib.Call,
    call_claim: claim_state.CallClaim,
) -> None:
    """Handles a keyed call all of whose attempts have ended."""
    match call_claim.phase:
        case claim_state.ClaimPhase.CLAIMING:
            _detach_from_claim(state, call, call_claim)
        case claim_state.ClaimPhase.WAITING:
            _remove_waiter(state, call, call_claim)
        case claim_state.ClaimPhase.OWNER:
            _record_outcome(state, call, call_claim)


def _detach_from_claim(
    state: state_lib.GateState,
    call: state_lib.Call,
    call_claim: claim_state.CallClaim,
) -> None:
    """Detaches a call from its claim, which is released if it is committed."""
    claims = state.claims
    pending = claims.pending.get(call_claim.key.key_id)
    if pending is None or pending.call_id != call.call_id:
        return
    pending.call_id = None
    if pending in claims.queue:
        claims.queue.remove(pending)
    if not pending.appended:
        del claims.pending[call_claim.key.key_id]


def _remove_waiter(
    state: state_lib.GateState,
    call: state_lib.Call,
    call_claim: claim_state.CallClaim,
) -> None:
    waiters = state.claims.waiters.get(call_claim.key.key_id, [])
    if call.call_id in waiters:
        waiters.remove(call.call_id)
    if not waiters:
        state.claims.waiters.pop(call_claim.key.key_id, None)


def _record_outcome(
    state: state_lib.GateState,
    call: state_lib.Call,
    call_claim: claim_state.CallClaim,
) -> None:
    outcome = claim_records.ClaimOutcome.UNKNOWN
    if call.status:
        outcome = claim_records.ClaimOutcome.COMPLETE
    elif not call.sent_attempts or call.outcome is effects.Outcome.NOT_RUN:
        outcome = claim_records.ClaimOutcome.NOT_RUN
    claim_batches.add_outcome(
        state,
        claim_records.OutcomeUpdate(
            call_claim.number, call_claim.key, outcome, call.status
        ),
    )
