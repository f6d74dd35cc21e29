"""What a gate host writes down when a keyed call has ended."""

from fireflyspindle.core import claim_batches
from fireflyspindle.core import claim_records
from fireflyspindle.core import claim_state
from fireflyspindle.core import effects
from fireflyspindle.core import state as state_lib


def on_finished(
    state: state_lib.GateState,
    call: state_lib.Call,
    use: claim_state.ClaimUse,
) -> None:
    """Takes the end of a keyed call in all its parts."""
    match use.phase:
        case claim_state.ClaimPhase.CLAIMING:
            _abandon(state, call, use)
        case claim_state.ClaimPhase.WAITING:
            _leave(state, call, use)
        case claim_state.ClaimPhase.OWNER:
            _write_down(state, call, use)


def _abandon(
    state: state_lib.GateState,
    call: state_lib.Call,
    use: claim_state.ClaimUse,
) -> None:
    """Leaves a claim without its call; if it lands, it is released."""
    claims = state.claims
    pending = claims.pending.get(use.key.key_id)
    if pending is None or pending.call_id != call.call_id:
        return
    pending.call_id = None
    if pending in claims.queue:
        claims.queue.remove(pending)
    if not pending.appended:
        del claims.pending[use.key.key_id]


def _leave(
    state: state_lib.GateState,
    call: state_lib.Call,
    use: claim_state.ClaimUse,
) -> None:
    waiters = state.claims.waiters.get(use.key.key_id, [])
    if call.call_id in waiters:
        waiters.remove(call.call_id)
    if not waiters:
        state.claims.waiters.pop(use.key.key_id, None)


def _write_down(
    state: state_lib.GateState,
    call: state_lib.Call,
    use: claim_state.ClaimUse,
) -> None:
    outcome = claim_records.ClaimOutcome.UNKNOWN
    if call.status:
        outcome = claim_records.ClaimOutcome.COMPLETE
    elif not call.sent_attempts or call.outcome is effects.Outcome.NOT_RUN:
        outcome = claim_records.ClaimOutcome.NOT_RUN
    claim_batches.add_note(
        state,
        claim_records.OutcomeNote(use.number, use.key, outcome, call.status),
    )
