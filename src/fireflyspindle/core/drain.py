"""The planned stop of a gate host.

The first request to stop makes the host not ready and lets peers know; the
platform's balancer lags, so for a grace time the host still takes what
comes. Then it closes its address, finishes what is in flight, and exits. A
second request ends the grace time. At the hard limit every call that is left
gets the answer that is true of it.
"""

from fireflyspindle.core import answers
from fireflyspindle.core import attempts
from fireflyspindle.core import claim_batches
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import timers


def on_stop_requested(
    state: state_lib.GateState, event: events.StopRequested
) -> None:
    """Begins a planned stop, or ends its grace time."""
    if state.stopping:
        on_grace_over(state)
        return
    state.stopping = True
    state.emit(effects.CloseAfterAnswers())
    grace_us = state.settings.drain_grace_ms * 1000
    limit_us = state.settings.drain_limit_ms * 1000
    state.timers.add(event.now_us + limit_us, timers.DrainDeadline())
    if grace_us:
        state.timers.add(event.now_us + grace_us, timers.DrainGraceOver())
        return
    on_grace_over(state)


def on_grace_over(state: state_lib.GateState) -> None:
    """Closes the address for callers; what is in flight goes on."""
    if state.listening:
        state.listening = False
        state.emit(effects.StopListening())


def exit_if_drained(state: state_lib.GateState) -> None:
    """Ends the process once the last call in flight has ended."""
    if not state.stopping or state.listening or state.calls:
        return
    if claim_batches.idle(state):
        state.emit(effects.Exit())


def on_deadline(state: state_lib.GateState) -> None:
    """Answers every call that is left, and ends the process."""
    on_grace_over(state)
    left = list(state.calls.values())
    for call in left:
        _cut(state, call)
    if left:
        detail = f"{len(left)} calls were in flight at the limit of the stop"
        state.emit(effects.Report("error", "stop_limit", detail))
    state.emit(effects.Exit())


def _cut(state: state_lib.GateState, call: state_lib.Call) -> None:
    attempts.cancel_others(state, call, 0)
    if call.phase is not state_lib.CallPhase.WAITING:
        return
    call.maybe_ran = call.maybe_ran or bool(call.attempts)
    answers.give_up(
        state,
        call,
        answers.failure_status(call),
        "stopping",
        "the gate host stops; ask again elsewhere",
    )
