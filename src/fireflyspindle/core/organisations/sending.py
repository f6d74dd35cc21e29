"""The last check of a call's key before it is sent."""

from fireflyspindle.core import answers
from fireflyspindle.core import state as state_lib
from fireflyspindle.core.organisations import authorisation


def may_send(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Whether a call may be sent now; otherwise it is answered.

    Load pattern: calls that wait for seconds in a burst while keys are
    withdrawn. A call with another attempt in flight keeps that one only. The
    answer says "not run" only if no attempt may have run the request.
    """
    refusal = authorisation.check_again(state, call)
    if refusal is None:
        return True
    if call.attempts:
        call.record_step(state.now_us, "not_hedged", error=refusal.error)
        return False
    call.probe_round = None
    service = state.services.get(call.service)
    if service is not None:
        service.waiting_calls.pop(call.call_id, None)
    answers.fail_call(
        state,
        call,
        answers.failure_status(call),
        refusal.error,
        refusal.detail,
        answers.jittered_retry_after_ms(state, 0),
        not_carried=call.relayed and not call.may_have_run,
    )
    return False
