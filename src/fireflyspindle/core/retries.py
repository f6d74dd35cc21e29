"""Retries: whether a call may be sent once more."""

from fireflyspindle.core import placing
from fireflyspindle.core import routing
from fireflyspindle.core import state as state_lib

# Sends of one call at most, those that never reached a target included.
MAX_SENDS = 5

# Answers by which a target or what stands before it declines a request.
RETRIED_STATUSES = frozenset({502, 503, 504})


def on_arrived(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Credits the retry budget of a service with one call."""
    policy = state.configuration.policy(service.name)
    service.retry_budget.earn(policy.retry_share)
    if service.repeats is not None:
        service.repeats.earn(state.now_us)


def may_send_again(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Whether a call's attempts and its time leave room for another one."""
    counted = call.sent_attempts
    if call.route:
        counted -= call.unreached_attempts
    if not call.resendable or counted >= call.max_attempts:
        return False
    if call.sent_attempts >= MAX_SENDS:
        return False
    return state.now_us < call.deadline_us


def charge(state: state_lib.GateState, service: state_lib.ServiceState) -> bool:
    """Charges the budget of a service with one more send, if it has it."""
    if service.repeats is not None:
        return service.repeats.spend(state.now_us)
    return service.retry_budget.spend()


def begin(
    state: state_lib.GateState, call: state_lib.Call, reached_target: bool
) -> bool:
    """Places another attempt of a call; charges the budget.

    The caller of this function has made sure that the request was not run or
    may run again. A retry after an attempt that never reached its target
    costs that target nothing and is not charged.

    Args:
        state: State of the gate host.
        call: A call with no other attempt in flight.
        reached_target: Whether the target may have seen the last attempt.

    Returns:
        Whether there will be another attempt, or another end of the call.
    """
    service = state.services.get(call.service)
    if service is None or not may_send_again(state, call):
        return False
    if not _has_target(state, service, call):
        return False
    if reached_target and not charge(state, service):
        return False
    return placing.place(state, service, call)


def _has_target(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    if service.looks_ahead:
        return routing.has_untried(service, call)
    return routing.choose(state, service, call) is not None
