"""Graceful shutdown of a gate host.

The first request to stop makes the host not ready and notifies its peers. The
platform's load balancer reacts with a delay, so the host still accepts calls
during a grace period. Then it closes its listening address, finishes the
calls in flight, and exits. A second request ends the grace period. At the
hard limit the remaining attempts are cancelled, and every call without an
answer is answered as not run or unknown.
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
    """Starts a graceful shutdown, or ends its grace period."""
    if state.stopping:
        on_grace_expired(state)
        return
    state.stopping = True
    state.emit(effects.CloseAfterAnswers())
    grace_us = state.settings.drain_grace_ms * 1000
    limit_us = state.settings.drain_limit_ms * 1000
    state.stop_limit_us = event.now_us + limit_us
    state.timers.add(state.stop_limit_us, timers.DrainDeadline())
    if grace_us:
        state.timers.add(event.now_us + grace_us, timers.DrainGraceExpired())
        return
    on_grace_expired(state)


def on_grace_expired(state: state_lib.GateState) -> None:
    """Closes the address for callers; calls in flight continue."""
    if state.listening:
        state.listening = False
        state.emit(effects.StopListening())


def exit_if_drained(state: state_lib.GateState) -> None:
    """Exits once the last call and the last claim append have ended."""
    if not state.stopping or state.listening or state.calls:
        return
    if claim_batches.is_idle(state):
        state.emit(effects.Exit())


def on_deadline(state: state_lib.GateState) -> None:
    """Answers every remaining call and exits."""
    on_grace_expired(state)
    remaining = list(state.calls.values())
    for call in remaining:
        _abort(state, call)
    if remaining:
        detail = (
            f"{len(remaining)} calls were in flight at the shutdown limit and"
            " were cancelled"
        )
        state.emit(effects.WriteLogLine("error", "stop_limit", detail))
    state.emit(effects.Exit())


def _abort(state: state_lib.GateState, call: state_lib.Call) -> None:
    attempts.cancel_all_except(state, call, 0)
    if call.phase is not state_lib.CallPhase.WAITING:
        return
    call.may_have_run = call.may_have_run or bool(call.attempts)
    answers.fail_call(
        state,
        call,
        answers.failure_status(call),
        "stopping",
        "the gate host is shutting down; retry on another one",
    )
