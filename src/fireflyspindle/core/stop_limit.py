"""Whether a call can still be answered before a stopping gate host ends.

At the end of a planned stop every call is cut. A call may be sent only if it
ends before: by its own deadline, or by an answer, if the longest recent one of
its route would end early enough.
"""

from fireflyspindle.core import answer_times
from fireflyspindle.core import forecast
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets
from fireflyspindle.core import timers

# Time for the way of an answer to its caller and for late timers.
DELIVERY_US = 100_000


def may_start(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Whether a target at its usual speed would answer before the end."""
    latest_us = latest_start_us(state, call)
    return latest_us is None or state.now_us <= latest_us


def may_send(
    state: state_lib.GateState, call: state_lib.Call, target: targets.Target
) -> bool:
    """Whether a target is expected to answer before the end."""
    if state.stop_limit_us is None:
        return True
    slowdown = 1.0
    service = state.services.get(call.service)
    if service is not None and service.probes_before_send:
        slowdown = forecast.expected_slowdown(state, service, target)
    latest_us = latest_start_us(state, call, slowdown)
    return latest_us is None or state.now_us <= latest_us


def latest_start_us(
    state: state_lib.GateState, call: state_lib.Call, slowdown: float = 1.0
) -> int | None:
    """Returns the latest time at which a call may be sent.

    Args:
        state: State of the gate host.
        call: The call.
        slowdown: Processing time of its target, relative to the usual one.

    Returns:
        The time; None if the end of a stop does not limit it, and 0 if nothing
        bounds the answer times of its route.
    """
    if state.stop_limit_us is None or call.deadline_us < state.stop_limit_us:
        return None
    times = times_of(state, call)
    if times is None:
        return 0
    longest_us = answer_times.longest_us(times, state.now_us)
    if longest_us is None:
        return 0
    # The longest answer may be one of a slow target: a fast one is no reason
    # to expect less.
    needed_us = int(longest_us * max(1.0, slowdown)) + DELIVERY_US
    return state.stop_limit_us - needed_us


def times_of(
    state: state_lib.GateState, call: state_lib.Call
) -> answer_times.AnswerTimes | None:
    """Returns the answer times of a call's service and route, if any."""
    service = state.services.get(call.service)
    return service.answer_times.get(call.route) if service else None


def on_sent(
    state: state_lib.GateState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
) -> None:
    """Notes the send of an attempt."""
    times_by_route = attempt.service.answer_times
    times = times_by_route.get(call.route)
    if times is None:
        _drop_old_routes(state, attempt.service)
        times = times_by_route[call.route] = answer_times.AnswerTimes()
    key = (call.call_id, attempt.number)
    answer_times.on_sent(times, key, state.now_us)
    if state.stop_limit_us is not None:
        schedule_check(state, answer_times.outlasted_at_us(times))


def on_attempt_ended(
    state: state_lib.GateState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
    *,
    is_answer: bool,
) -> None:
    """Notes the end of an attempt; see `answer_times.on_ended`."""
    times = attempt.service.answer_times.get(call.route)
    if times is None:
        return
    longest_us = times.recent_longest_us
    key = (call.call_id, attempt.number)
    answer_times.on_ended(times, key, state.now_us, is_answer=is_answer)
    if state.stop_limit_us is None:
        return
    if times.recent_longest_us > longest_us:
        schedule_check(state, state.now_us)


def _drop_old_routes(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Forgets the routes that are no longer published."""
    for route, times in list(service.answer_times.items()):
        if not times.started_us and not state.rule_table.has_name(route):
            del service.answer_times[route]


def schedule_check(state: state_lib.GateState, at_us: int | None) -> None:
    """Makes sure that the waiting calls are looked at by a time."""
    assert state.stop_limit_us is not None
    if at_us is None or at_us >= state.stop_limit_us:
        return
    if state.stop_check_at_us is None or at_us < state.stop_check_at_us:
        state.stop_check_at_us = at_us
        state.timers.add(at_us, timers.StopCheckDue())
