"""Retries: whether a call may be sent once more."""

from fireflyspindle.core import routing
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

MAX_ATTEMPTS = 3

# Answers by which a target or what stands before it declines a request.
RETRIED_STATUSES = frozenset({502, 503, 504})


def on_arrived(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Credits the retry budget of a service with one call."""
    policy = state.configuration.policy(service.name)
    service.retry_budget.earn(policy.retry_share)


def plan(
    state: state_lib.GateState, call: state_lib.Call, reached_target: bool
) -> targets.Target | None:
    """Returns the target of another attempt, or None; charges the budget.

    The caller of this function has made sure that the request was not run or
    may run again. A retry after an attempt that never reached its target
    costs that target nothing and is not charged.

    Args:
        state: State of the gate host.
        call: A call with no other attempt in flight.
        reached_target: Whether the target may have seen the last attempt.
    """
    if not call.resendable or call.sent_attempts >= MAX_ATTEMPTS:
        return None
    if state.now_us >= call.deadline_us:
        return None
    service = state.services.get(call.service)
    if service is None:
        return None
    target = routing.choose(state, service, call)
    if target is None:
        return None
    if reached_target and not service.retry_budget.spend():
        return None
    return target
