"""Whether a call can still be answered before a stopping gate host ends.

At the end of a planned stop every call is cut. A call may be sent only if it
ends before: by its own deadline, or by an answer that is expected early enough.
This module decides and changes nothing.
"""

from fireflyspindle.core import forecast
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

# Time that must be left, as a multiple of the expected answer time. The
# standard deviation of the processing time is 0.3 of its mean; this is four of
# them above the mean.
ANSWER_TIME_FACTOR = 2.2
# Time for the way of an answer to its caller and for late timers.
DELIVERY_US = 100_000
# Quantile of the answer times of a service whose targets are not probed, and
# the fewest answers from which it is taken.
QUANTILE = 0.99
MIN_SAMPLES = 8


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
        is known of the answer times of its service.
    """
    if state.stop_limit_us is None or call.deadline_us < state.stop_limit_us:
        return None
    answer_us = _usual_answer_us(state, call)
    if answer_us is None:
        return 0
    needed_us = int(ANSWER_TIME_FACTOR * answer_us * slowdown) + DELIVERY_US
    return state.stop_limit_us - needed_us


def _usual_answer_us(
    state: state_lib.GateState, call: state_lib.Call
) -> float | None:
    """Returns the usual answer time of a call's service, if it is known."""
    service = state.services.get(call.service)
    if service is None:
        return None
    if service.probes_before_send and service.averages.processing_time_us:
        return forecast.processing_time_us(service, call)
    latencies = service.load.latencies
    if latencies.samples < MIN_SAMPLES:
        return None
    return latencies.quantile_us(QUANTILE)
