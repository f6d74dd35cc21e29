"""Whether a late request may be hedged, and to which target.

Load pattern: three targets in ten take seven times the usual time, and bursts
take the slots of a service for seconds. A hedge helps a request that is at a
slow target while others have slots free; it harms when it takes a slot that
another request needs, or lands at a target that is in trouble too.
"""

import collections

from fireflyspindle.core import dispatch_queue
from fireflyspindle.core import forecast
from fireflyspindle.core import reachability
from fireflyspindle.core import retries
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import stop_limit
from fireflyspindle.core import suspects
from fireflyspindle.core import target_limits
from fireflyspindle.core import target_selection
from fireflyspindle.core import targets
from fireflyspindle.core.evacuation import domains as evacuation_domains
from fireflyspindle.core.hedges import hedge_state


def call_refusal(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> hedge_state.Cause | None:
    """Returns why a call may not be hedged to any target, or None."""
    cause = _request_refusal(state, call)
    if cause is not None:
        return cause
    if (
        call.phase is not state_lib.CallPhase.WAITING
        or len(call.attempts) != 1
        or call.sent_attempts != 1
    ):
        return hedge_state.Cause.ATTEMPT_ENDED
    if not suspects.may_hedge(state, call):
        return hedge_state.Cause.SUSPECT
    end_us = state.now_us + forecast.processing_time_us(service, call)
    if end_us > call.deadline_us:
        return hedge_state.Cause.DEADLINE
    if not stop_limit.may_start(state, call):
        return hedge_state.Cause.STOPPING
    if not retries.may_send_again(state, call):
        return hedge_state.Cause.MAX_ATTEMPTS
    return _service_refusal(state, service)


def _request_refusal(
    state: state_lib.GateState, call: state_lib.Call
) -> hedge_state.Cause | None:
    if not call.repeatable:
        return hedge_state.Cause.RUNS_ONCE
    if not call.resendable:
        return hedge_state.Cause.BODY_NOT_BUFFERED
    settings = state.settings.store
    routes = settings.hedge_routes if settings is not None else frozenset()
    if routes and call.route not in routes:
        return hedge_state.Cause.ROUTE_NOT_NAMED
    return None


def _service_refusal(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> hedge_state.Cause | None:
    settings = state.settings.store
    if service.waiting_calls or service.queue:
        return hedge_state.Cause.CALLS_WAITING
    if reachability.is_lost(state, service):
        return hedge_state.Cause.TARGETS_LOST
    if settings is not None and used_share(service) > settings.hedge_load_limit:
        return hedge_state.Cause.LOAD
    return None


def used_share(service: state_lib.ServiceState) -> float:
    """Returns the share of the slots of a service that are in use."""
    slots = sum(target.spec.slots for target in service.targets.values())
    if not slots:
        return 1.0
    others = service.averages.others_in_flight * len(service.targets)
    return (others + service.in_flight) / slots


def target_refusal(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> hedge_state.Cause | None:
    """Returns why no hedge may be sent to a target, or None."""
    if not evacuation_domains.may_receive(state, target):
        return hedge_state.Cause.TARGET_EVACUATED
    if target.leaving:
        return hedge_state.Cause.TARGET_LEAVING
    if target.ejected:
        return hedge_state.Cause.TARGET_EJECTED
    if state.now_us < target.reported_load.unresponsive_until_us:
        return hedge_state.Cause.TARGET_UNRESPONSIVE
    if _is_slow(state, service, target):
        return hedge_state.Cause.TARGET_SLOW
    if not target_limits.may_send(state, service, target):
        return hedge_state.Cause.TARGET_LIMIT
    if target.in_flight >= target.max_connections:
        return hedge_state.Cause.TARGET_FULL
    if not forecast.has_free_slot(state, service, target):
        return hedge_state.Cause.TARGET_FULL
    return None


def _is_slow(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> bool:
    if not forecast.has_recent_report(
        state, target, dispatch_queue.RECENT_REPORT_US
    ):
        return False
    slowdown = forecast.expected_slowdown(state, service, target)
    return slowdown > forecast.SLOW_TARGET_SLOWDOWN


def find_target(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> targets.Target | None:
    """Returns the target that a hedge may be sent to now, if any.

    Where targets report their load, only one whose recent report shows its
    usual speed is returned.
    """
    if service.probes_before_send:
        target = dispatch_queue.find_available_target(state, service, call)
        if target is not None and not forecast.has_recent_report(
            state, target, dispatch_queue.RECENT_REPORT_US
        ):
            return None
    else:
        target = target_selection.choose(state, service, call)
    if target is None or target_refusal(state, service, target) is not None:
        return None
    return target


def no_target_cause(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> hedge_state.Cause:
    """Returns the most frequent reason why no other target takes a hedge.

    A target without a recent report has none.
    """
    causes: collections.Counter[hedge_state.Cause] = collections.Counter()
    for target in service.targets.values():
        cause = target_refusal(state, service, target)
        if cause is not None and target.spec.key not in call.tried_targets:
            causes[cause] += 1
    if not causes:
        return hedge_state.Cause.NO_TARGET
    return causes.most_common(1)[0][0]
