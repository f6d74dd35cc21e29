"""Calls whose service a newer configuration has removed."""

from fireflyspindle.core import answers
from fireflyspindle.core import state as state_lib


def refuse_waiting(state: state_lib.GateState) -> None:
    """Refuses the calls that wait to be sent to a service that is gone.

    The caller retries, and its call is routed by the newer configuration. Calls
    at a target are left alone.
    """
    waiting = [
        call
        for call in state.calls.values()
        if call.service not in state.services
        and call.phase is state_lib.CallPhase.WAITING
        and not call.attempts
    ]
    for call in waiting:
        call.probe_round = None
        answers.fail_call(
            state,
            call,
            answers.failure_status(call),
            "no_service",
            f"service {call.service} was removed while the call waited",
            answers.jittered_retry_after_ms(state, 0),
            not_carried=call.relayed and not call.may_have_run,
        )
