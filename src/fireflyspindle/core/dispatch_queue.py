"""Calls that wait at this gate host until a target has a free slot.

Load pattern: for seconds, more calls arrive than the targets can answer in
time. If calls queued at the targets in order of arrival, all of them would be
late. They wait here instead and are sent newest first, because the newest can
still be answered in time. A late call gets a target at its usual speed only
if no call waits. When all the waiting calls are late, they are sent to slow
targets, whose slots no other call would use. Among the calls that are in time,
and among those that are late, the more urgent route is served first.
"""

from fireflyspindle.core import answers
from fireflyspindle.core import attempts
from fireflyspindle.core import domain_preference
from fireflyspindle.core import forecast
from fireflyspindle.core import placement
from fireflyspindle.core import reachability
from fireflyspindle.core import relays
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import stop_limit
from fireflyspindle.core import target_limits
from fireflyspindle.core import target_selection
from fireflyspindle.core import targets
from fireflyspindle.core import timers
from fireflyspindle.core.load_sharing import admission
from fireflyspindle.core.load_sharing import fairness

# Time between two rounds of probes for the waiting calls. Answers to other
# calls report free slots too, and each round uses probe tokens that arriving
# calls need.
DISPATCH_INTERVAL_US = 30_000
# Minimum time to an answer, as a multiple of the usual processing time; a call
# with less time left can't be answered in time. The extra tenth covers a
# round of probes.
MIN_ANSWER_TIME_FACTOR = 1.1
# Age up to which a report shows that a target has a free slot: half of the
# 500 ms for which a target keeps its speed.
RECENT_REPORT_US = 250_000
# Safety factor on the expected answer time at a slow target. The standard
# deviation of the processing time is 0.3 of its mean.
SLOW_TARGET_MARGIN = 1.4
# Maximum wait, as a share of the time from arrival to the deadline. After that
# an answer in time is unlikely, and a caller that is refused early can retry.
MAX_WAIT_SHARE = 0.6
# Maximum wait while all targets of a service have limits.
MAX_WAIT_FOR_LIMITS_US = 100_000
# Calls of a service that may wait at one gate host; the same as the default of
# `records.Policy.max_queued_calls`.
MAX_WAITING_CALLS = 200


def enqueue(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    """Queues a call, or refuses it if it can't be answered in time."""
    if call.call_id not in service.waiting_calls:
        limit = target_limits.max_waiting_calls(state, service)
        if limit is not None and len(service.waiting_calls) >= limit:
            placement.refuse_no_target(state, service, call)
            return
    expired = state.now_us >= _wait_end_us(service, call)
    if expired or len(service.waiting_calls) >= MAX_WAITING_CALLS:
        _refuse(state, service, call)
        return
    if call.call_id not in service.waiting_calls:
        if _refuse_unreachable(state, service, [call]):
            return
        service.waiting_calls[call.call_id] = None
        call.record_step(
            state.now_us,
            "waits",
            waiting=len(service.waiting_calls),
            targets=len(service.targets),
            mean_pace=round(service.averages.slowdown, 2),
        )
        state.timers.add(
            _wait_end_us(service, call),
            timers.DispatchWaitExpired(call.call_id),
        )
    _arm_dispatch_timer(state, service)


def dispatch(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Sends waiting calls to the targets that are known to be available."""
    while service.waiting_calls:
        call = _next_call(state, service)
        target = find_available_target(state, service, call)
        if target is None:
            return
        admission.on_sending(state, service)
        del service.waiting_calls[call.call_id]
        attempts.begin(state, call, target)


def find_available_target(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> targets.Target | None:
    """Returns a target that is known to be available for a call, if any."""
    if service.waiting_calls and is_late(state, service, call):
        if not is_late(state, service, _next_call(state, service)):
            return None
        return _find_target_for_late_call(state, service, call)
    ranked = target_selection.rank_targets(state, service, call)
    # Without probes, idle targets never report. A recent report is then
    # required only while answers of targets that the call may be sent to bring
    # some: fewer calls are late if they wait for the targets that reported.
    report_required = state.probe_tokens >= 1.0 or any(
        forecast.has_recent_report(state, target, RECENT_REPORT_US)
        for _, target in ranked
    )
    for expected_us, target in ranked:
        if expected_us >= forecast.UNRESPONSIVE_ANSWER_US:
            return None
        recently_reported = forecast.has_recent_report(
            state, target, RECENT_REPORT_US
        )
        if (
            report_required
            and not recently_reported
            and target.rate_limit is None
        ):
            continue
        if (
            recently_reported
            and forecast.expected_slowdown(state, service, target)
            > forecast.SLOW_TARGET_SLOWDOWN
            and not domain_preference.suits_slow_target(
                state, call, expected_us
            )
        ):
            continue
        if not stop_limit.may_send(state, call, target):
            continue
        if forecast.has_free_slot(state, service, target):
            return target
    return None


def _find_target_for_late_call(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> targets.Target | None:
    """Returns the slowest reported target that can answer by the deadline.

    If there is none and the probe budget is exhausted, returns the fastest
    target without a recent report: waiting for one would gain nothing.
    """
    left_us = call.deadline_us - state.now_us
    unreported: targets.Target | None = None
    for expected_us, target in reversed(
        target_selection.rank_targets(state, service, call)
    ):
        if expected_us * SLOW_TARGET_MARGIN > left_us:
            continue
        if not stop_limit.may_send(state, call, target):
            continue
        if not forecast.has_free_slot(state, service, target):
            continue
        if forecast.has_recent_report(state, target, RECENT_REPORT_US):
            return target
        unreported = target
    return unreported if state.probe_tokens < 1.0 else None


def is_late(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    """Whether a call can no longer be answered by its soft deadline."""
    if call.soft_deadline_us is None:
        return False
    return (
        state.now_us + _min_answer_time_us(service, call)
        > call.soft_deadline_us
    )


def _min_answer_time_us(
    service: state_lib.ServiceState, call: state_lib.Call
) -> int:
    return int(
        MIN_ANSWER_TIME_FACTOR * forecast.processing_time_us(service, call)
    )


def _wait_end_us(service: state_lib.ServiceState, call: state_lib.Call) -> int:
    """Returns the time until which a call may wait."""
    time_limit_us = call.deadline_us - call.arrived_us
    return min(
        call.deadline_us - _min_answer_time_us(service, call),
        call.arrived_us + int(MAX_WAIT_SHARE * time_limit_us),
    )


def _next_call(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> state_lib.Call:
    """Returns the waiting call to send next."""
    waiting = [state.calls[call_id] for call_id in service.waiting_calls]
    return max(waiting, key=lambda call: _precedence(state, service, call))


def _precedence(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> tuple[bool, int, float, int]:
    """Returns the sort key of a waiting call; the highest is sent next."""
    late = is_late(state, service, call)
    share = fairness.served_share(state, call)
    return not late, -call.priority, -share, call.arrived_us


def must_yield(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    """Whether a waiting call precedes one that would take a free slot.

    Without organisations an arriving call is as new as any, and never yields.
    """
    if not state.sharing.weights or not service.waiting_calls:
        return False
    first = _next_call(state, service)
    if first is call or _precedence(state, service, call) >= _precedence(
        state, service, first
    ):
        return False
    return find_available_target(state, service, first) is not None


def _refuse_beyond_limits(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Refuses the waiting calls that the limits of targets leave out."""
    limit = target_limits.max_waiting_calls(state, service)
    if limit is None:
        return
    waiting = [state.calls[call_id] for call_id in service.waiting_calls]
    waiting.sort(
        key=lambda call: _precedence(state, service, call), reverse=True
    )
    oldest_us = state.now_us - MAX_WAIT_FOR_LIMITS_US
    for index, call in enumerate(waiting):
        if index >= limit or call.arrived_us < oldest_us:
            placement.refuse_no_target(state, service, call)


def _refuse_unreachable(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    calls: list[state_lib.Call],
) -> bool:
    """Refuses those of some calls that can't be sent in time.

    Calls that are being probed for are left to the end of their round.

    Returns:
        Whether a call was refused.
    """
    if not admission.is_enabled(state, service):
        return False
    waiting = [state.calls[call_id] for call_id in service.waiting_calls]
    keys = {
        call.call_id: _precedence(state, service, call)
        for call in (*waiting, *calls)
    }
    refused = False
    for call in calls:
        if call.probe_round is not None or call.soft_deadline_us is None:
            continue
        key = keys[call.call_id]
        ahead = sum(keys[other.call_id] > key for other in waiting)
        wait_us = admission.expected_wait_us(state, service, ahead)
        latest_us = call.soft_deadline_us - _min_answer_time_us(service, call)
        if wait_us and state.now_us + wait_us > latest_us:
            state.sharing.refused_early += 1
            _refuse(state, service, call)
            refused = True
    return refused


def on_dispatch_due(state: state_lib.GateState, service_name: str) -> None:
    """Sends waiting calls, and probes for the next one if any is left."""
    service = state.services.get(service_name)
    if service is None:
        return
    service.dispatch_timer_armed = False
    if reachability.is_lost(state, service):
        relays.relay_waiting(state, service)
    dispatch(state, service)
    _refuse_beyond_limits(state, service)
    _refuse_unreachable(
        state,
        service,
        [state.calls[call_id] for call_id in service.waiting_calls],
    )
    if not service.waiting_calls:
        return
    call = _next_call(state, service)
    if not placement.probe_targets(state, service, call):
        _arm_dispatch_timer(state, service)


def on_wait_expired(state: state_lib.GateState, call_id: int) -> None:
    """Refuses a waiting call whose maximum wait has passed."""
    call = state.calls.get(call_id)
    service = state.services.get(call.service) if call is not None else None
    if call is None or service is None or call_id not in service.waiting_calls:
        return
    _refuse(state, service, call)


def _arm_dispatch_timer(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    if service.dispatch_timer_armed:
        return
    service.dispatch_timer_armed = True
    state.timers.add(
        state.now_us + DISPATCH_INTERVAL_US, timers.DispatchDue(service.name)
    )


def _refuse(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    if admission.is_enabled(state, service):
        admission.update(state, service)
    service.waiting_calls.pop(call.call_id, None)
    left_ms = max(0, call.deadline_us - state.now_us) // 1000
    detail = (
        f"no target of service {service.name} has a free slot;"
        f" {len(service.waiting_calls)} calls are waiting,"
        f" {left_ms} ms to the deadline"
    )
    paused = target_limits.paused_targets(state, service)
    if paused:
        detail += (
            f"; {paused} of {len(service.targets)} targets take none of this"
            " gate host because of their pauses"
        )
    wait_ms = int(forecast.processing_time_us(service, call)) // 1000
    answers.fail_call(
        state,
        call,
        answers.failure_status(call),
        "no_room",
        detail,
        answers.jittered_retry_after_ms(state, wait_ms),
    )
