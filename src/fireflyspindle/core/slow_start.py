"""Slow start: a cold target takes a growing share of its calls."""

from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

MIN_SHARE = 0.1
GROWTH_SHARE = 0.1


def begin(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    idle_us: int | None = None,
) -> None:
    """Starts the growth of a target that has just come or come back.

    Args:
        state: State of the gate host.
        service: Service that the target belongs to.
        target: The target.
        idle_us: Time for which it got no calls; the growth takes at most a
            share of it. None for a target that is new.
    """
    policy = state.configuration.policy(service.name)
    length_us = policy.slow_start_ms * 1000
    if idle_us is not None:
        length_us = min(length_us, int(GROWTH_SHARE * idle_us))
    target.cold_from_us = state.now_us
    target.warm_at_us = state.now_us + length_us


def admits(state: state_lib.GateState, target: targets.Target) -> bool:
    """Draws whether a target may be chosen for a call.

    A share of the draws grows from `MIN_SHARE` to 1 while the target is
    cold. Thinning the choice, rather than the target's score, gives a cold
    target some calls at low load too, so that it warms.
    """
    now_us = state.now_us
    if now_us >= target.warm_at_us:
        return True
    length_us = target.warm_at_us - target.cold_from_us
    grown = (now_us - target.cold_from_us) / length_us
    share = MIN_SHARE + (1.0 - MIN_SHARE) * grown
    return state.random.random() < share
