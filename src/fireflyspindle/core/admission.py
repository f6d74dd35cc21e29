"""Admission: whether a call is sent now, queued or refused."""

from fireflyspindle.core import answers
from fireflyspindle.core import attempts
from fireflyspindle.core import ejection
from fireflyspindle.core import routing
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets


def offer(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Sends a call that has just arrived, or refuses it."""
    send(state, call)


def send(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Sends an attempt to the best target, or answers that there is none."""
    service = state.services.get(call.service)
    target = _choose(state, service, call) if service else None
    if target is None:
        answers.give_up(state, call, 503, "no_target", "no target is available")
        return
    attempts.begin(state, call, target)


def _choose(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> targets.Target | None:
    if not service.ejected:
        return routing.choose(state, service, call)
    return (
        ejection.trial(state, service, call)
        or routing.choose(state, service, call)
        or ejection.last_resort(service, call)
    )


def on_capacity(state: state_lib.GateState, service_name: str) -> None:
    """Sends queued calls of a service after an attempt has ended there."""
