"""The planned stop of a gate host."""

from fireflyspindle.core import claim_batches
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import timers


def on_stop_requested(
    state: state_lib.GateState, event: events.StopRequested
) -> None:
    """Begins a planned stop: no new work, all in flight is finished."""
    if state.stopping:
        return
    state.stopping = True
    state.emit(effects.StopListening())
    limit_us = state.settings.drain_limit_ms * 1000
    state.timers.add(event.now_us + limit_us, timers.DrainDeadline())
    exit_if_drained(state)


def exit_if_drained(state: state_lib.GateState) -> None:
    """Ends the process once the last call in flight has ended."""
    if not state.stopping or state.calls:
        return
    if claim_batches.idle(state):
        state.emit(effects.Exit())
