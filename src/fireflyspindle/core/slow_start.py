"""Slow start: a new or returned target gets a growing share of its calls."""

from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

MIN_SHARE = 0.1
MAX_IDLE_SHARE = 0.1


def begin(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    idle_us: int | None = None,
) -> None:
    """Starts the slow start of a target that is new or has returned.

    Args:
        state: State of the gate host.
        service: Service that the target belongs to.
        target: The target.
        idle_us: Time for which it got no calls; its slow start takes at most a
            share of it. None for a new target.
    """
    policy = state.configuration.policy(service.name)
    duration_us = policy.slow_start_ms * 1000
    if idle_us is not None:
        duration_us = min(duration_us, int(MAX_IDLE_SHARE * idle_us))
    target.slow_start_from_us = state.now_us
    target.slow_start_until_us = state.now_us + duration_us


def may_choose(state: state_lib.GateState, target: targets.Target) -> bool:
    """Decides at random whether a target may be chosen for a call.

    The probability grows from `MIN_SHARE` to 1 during the slow start.
    Filtering candidates, instead of changing the target's score, also sends
    some calls to a target in slow start at low load, so that it warms up.
    """
    now_us = state.now_us
    if now_us >= target.slow_start_until_us:
        return True
    duration_us = target.slow_start_until_us - target.slow_start_from_us
    progress = (now_us - target.slow_start_from_us) / duration_us
    share = MIN_SHARE + (1.0 - MIN_SHARE) * progress
    return state.random.random() < share
