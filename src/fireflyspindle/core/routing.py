"""The choice of a target for an attempt."""

from fireflyspindle.core import slow_start
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets


def choose(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> targets.Target | None:
    """Returns the best target that this call has not tried, if any."""
    best: targets.Target | None = None
    best_score = 0.0
    cold: targets.Target | None = None
    for target in service.targets.values():
        if target.leaving or target.ejected:
            continue
        if target.spec.address in call.tried:
            continue
        if target.warm_at_us and not slow_start.admits(state, target):
            cold = target
            continue
        score = target.in_flight / target.spec.slots + target.affinity
        if best is None or score < best_score:
            best = target
            best_score = score
    return best or cold
