"""Retries: whether a call may be sent again."""

from fireflyspindle.core import fleet
from fireflyspindle.core import placement
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import stop_limit
from fireflyspindle.core import suspects
from fireflyspindle.core import target_selection
from fireflyspindle.core.organisations import authorisation

# Maximum sends of one call, including those that never reached a target.
MAX_SENDS = 5

# Statuses with which a target, or a proxy in front of it, declines a request.
RETRIABLE_STATUSES = frozenset({502, 503, 504})


def on_arrived(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Credits the budgets of retries of a service with one call."""
    policy = state.configuration.policy(service.name)
    service.retry_budget.earn(policy.retry_share)
    if service.resend_budget is not None:
        service.resend_budget.earn(state.now_us)


def may_send_again(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Whether a call's limits and the time left allow another attempt."""
    if not call.resendable or call.attempts_left <= 0:
        return False
    if call.sent_attempts >= MAX_SENDS or not suspects.may_resend(state, call):
        return False
    if not authorisation.may_resend(state, call):
        return False
    return state.now_us < call.deadline_us and stop_limit.may_start(state, call)


def charge_budget(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> bool:
    """Charges one send to the budget; False if that is exhausted."""
    if service.resend_budget is not None:
        slack = fleet.resend_slack(state, service)
        return service.resend_budget.spend(state.now_us, slack)
    return service.retry_budget.spend()


def retry(
    state: state_lib.GateState, call: state_lib.Call, reached_target: bool
) -> bool:
    """Starts another attempt of a call and charges the budget.

    The caller must ensure that the request did not run or may run again. A
    retry after an attempt that never reached its target adds no load to that
    target and is not charged.

    Args:
        state: State of the gate host.
        call: A call with no other attempt in flight.
        reached_target: Whether the target may have seen the last attempt.

    Returns:
        Whether the call was handled: sent, queued, waiting for probes or
        refused.
    """
    service = state.services.get(call.service)
    if service is None or not may_send_again(state, call):
        return False
    if not _has_other_target(state, service, call):
        return False
    if reached_target and not charge_budget(state, service):
        return False
    return placement.place(state, service, call)


def _has_other_target(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    if service.probes_before_send:
        return target_selection.has_untried(state, service, call)
    return target_selection.choose(state, service, call) is not None
