"""Graceful shutdown of a gate host.

The first request to stop makes the host not ready and notifies its peers. The
platform's load balancer reacts with a delay, so the host still accepts calls
during a grace period. Then it closes its listening address, finishes the
calls in flight, and exits. A second request ends the grace period. A call that
waits until it can no longer be answered before the hard limit is refused. At
the hard limit the remaining attempts are cancelled, and every call without an
answer is answered as not run or unknown.
"""

from fireflyspindle.core import answer_times
from fireflyspindle.core import answers
from fireflyspindle.core import attempts
from fireflyspindle.core import claim_batches
from fireflyspindle.core import claim_state
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import held_calls
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import stop_limit
from fireflyspindle.core import timers

# Most time between two checks of the calls that wait. Checks that are due
# because of what is learnt about answer times come earlier.
CHECK_INTERVAL_US = 50_000


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
    state.stop_check_at_us = event.now_us
    on_check_due(state)
    if grace_us:
        state.timers.add(event.now_us + grace_us, timers.DrainGraceExpired())
        return
    on_grace_expired(state)


def on_grace_expired(state: state_lib.GateState) -> None:
    """Closes the address for callers; calls in flight continue.

    Calls that are held are refused: the caller retries at another host.
    """
    if state.listening:
        state.listening = False
        state.emit(effects.StopListening())
        held_calls.on_listening_ended(state)


def on_check_due(state: state_lib.GateState) -> None:
    """Refuses the waiting calls that can't be answered before the limit.

    Timers that were replaced by an earlier check are ignored.
    """
    if state.stop_check_at_us is None or state.now_us < state.stop_check_at_us:
        return
    state.stop_check_at_us = None
    next_check_us = state.now_us + CHECK_INTERVAL_US
    for call in list(state.calls.values()):
        times = stop_limit.times_of(state, call)
        if times is not None:
            outlasted_us = answer_times.outlasted_at_us(times)
            if outlasted_us is not None and outlasted_us > state.now_us:
                next_check_us = min(next_check_us, outlasted_us)
        latest_us = stop_limit.latest_start_us(state, call)
        if latest_us is None or not _waits_to_be_sent(call):
            continue
        if state.now_us > latest_us:
            answers.refuse_stopping(state, call)
        else:
            next_check_us = min(next_check_us, latest_us + 1)
    stop_limit.schedule_check(state, next_check_us)


def _waits_to_be_sent(call: state_lib.Call) -> bool:
    """Whether a call waits here, except for the outcome of another copy."""
    if call.phase is not state_lib.CallPhase.WAITING or call.attempts:
        return False
    return (
        call.claim is None
        or call.claim.phase is not claim_state.ClaimPhase.WAITING
    )


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
