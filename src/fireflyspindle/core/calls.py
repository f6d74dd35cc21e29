"""The life of a call, from arrival to the end of its last attempt."""

from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import records
from fireflyspindle.core import routing
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import timers

MAX_ATTEMPTS = 3
RETRY_AFTER_MS = 1000


def on_arrived(state: state_lib.GateState, event: events.CallArrived) -> None:
    """Admits a call and sends its first attempt, or refuses it."""
    name = configuration.route(state.configuration, event.path)
    service = state.services.get(name) if name is not None else None
    if service is None:
        refuse_unrouted(state, event)
        return
    policy = state.configuration.policies.get(service.name, records.Policy())
    deadline_us = event.deadline_us
    if deadline_us is None:
        deadline_us = event.now_us + policy.default_deadline_ms * 1000
    call = state_lib.Call(
        call_id=event.call_id,
        service=service.name,
        tenant=event.tenant,
        traffic_class=event.traffic_class,
        repeatable=event.repeatable,
        resendable=event.resendable,
        arrived_us=event.now_us,
        deadline_us=deadline_us,
    )
    state.calls[call.call_id] = call
    state.timers.add(deadline_us, timers.CallDeadline(call.call_id))
    send(state, call)


def refuse_unrouted(
    state: state_lib.GateState, event: events.CallArrived
) -> None:
    """Refuses a call whose path no route covers."""
    state.emit(
        effects.AnswerCaller(
            call_id=event.call_id,
            outcome=effects.Outcome.NOT_RUN,
            status=404,
            error="no_route",
            detail=f"no route covers the path {event.path!r}",
        )
    )
    state.emit(
        effects.CallFinished(
            call_id=event.call_id,
            tenant="",
            traffic_class="",
            target="",
            outcome=effects.Outcome.NOT_RUN,
            total_us=0,
            target_us=0,
            attempts=0,
        )
    )


def send(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Sends an attempt to the best target, or answers that there is none."""
    service = state.services.get(call.service)
    target = routing.choose(service, call) if service else None
    if target is None:
        give_up(state, call, 503, "no_target", "no target is available")
        return
    call.sent_attempts += 1
    attempt = state_lib.Attempt(call.sent_attempts, target, state.now_us)
    call.attempts[attempt.number] = attempt
    call.last_target = target.spec.address
    target.in_flight += 1
    state.emit(
        effects.SendToTarget(
            call_id=call.call_id,
            attempt=attempt.number,
            target=target.spec.address,
            timeout_us=call.deadline_us - state.now_us,
            hedge=len(call.attempts) > 1,
        )
    )


def on_answered(
    state: state_lib.GateState, event: events.AttemptAnswered
) -> None:
    """Takes the headers of an answer: forwards it, retries or drops it."""
    call = state.calls.get(event.call_id)
    if call is None or event.attempt not in call.attempts:
        return
    attempt = call.attempts[event.attempt]
    if event.report is not None and event.report.leaving:
        attempt.target.leaving = True
    if call.phase is not state_lib.CallPhase.WAITING:
        _drop(state, call, attempt)
        finish_if_done(state, call)
        return
    if event.not_run and _may_retry(state, call):
        _drop(state, call, attempt)
        send(state, call)
        return
    call.phase = state_lib.CallPhase.FORWARDING
    call.outcome = (
        effects.Outcome.NOT_RUN if event.not_run else effects.Outcome.COMPLETE
    )
    call.target_us = state.now_us - attempt.started_us
    state.emit(effects.ForwardAnswer(call.call_id, attempt.number))
    _cancel_others(state, call, attempt.number)


def on_ended(state: state_lib.GateState, event: events.AttemptEnded) -> None:
    """Takes the end of a forwarded answer."""
    call = state.calls.get(event.call_id)
    if call is None or event.attempt not in call.attempts:
        return
    _release(call, call.attempts[event.attempt])
    call.phase = state_lib.CallPhase.ANSWERED
    finish_if_done(state, call)


def on_failed(state: state_lib.GateState, event: events.AttemptFailed) -> None:
    """Takes the failure of an attempt: retries or answers the caller."""
    call = state.calls.get(event.call_id)
    if call is None or event.attempt not in call.attempts:
        return
    _release(call, call.attempts[event.attempt])
    call.maybe_ran = call.maybe_ran or event.sent
    match call.phase:
        case state_lib.CallPhase.WAITING:
            _after_failure(state, call, event)
        case state_lib.CallPhase.FORWARDING:
            call.phase = state_lib.CallPhase.ANSWERED
            call.outcome = effects.Outcome.UNKNOWN
            finish_if_done(state, call)
        case state_lib.CallPhase.ANSWERED:
            finish_if_done(state, call)


def _after_failure(
    state: state_lib.GateState,
    call: state_lib.Call,
    event: events.AttemptFailed,
) -> None:
    if call.attempts:
        return
    if (call.repeatable or not event.sent) and _may_retry(state, call):
        send(state, call)
        return
    give_up(
        state,
        call,
        502 if call.maybe_ran else 503,
        "target_failed",
        f"the attempt at the target failed: {event.reason.value}",
    )


def on_caller_left(
    state: state_lib.GateState, event: events.CallerLeft
) -> None:
    """Cancels a repeatable call; lets a sent non-repeatable one run on."""
    call = state.calls.get(event.call_id)
    if call is None:
        return
    call.phase = state_lib.CallPhase.ANSWERED
    if call.outcome is None:
        call.outcome = effects.Outcome.UNKNOWN
    if call.repeatable:
        _cancel_others(state, call, 0)
    finish_if_done(state, call)


def on_deadline(state: state_lib.GateState, call_id: int) -> None:
    """Gives up on a call whose deadline has come."""
    call = state.calls.get(call_id)
    if call is None or call.phase is not state_lib.CallPhase.WAITING:
        return
    call.maybe_ran = call.maybe_ran or bool(call.attempts)
    if call.repeatable:
        _cancel_others(state, call, 0)
    give_up(state, call, 504, "deadline", "the deadline of the call has come")


def give_up(
    state: state_lib.GateState,
    call: state_lib.Call,
    status: int,
    error: str,
    detail: str,
) -> None:
    """Answers the caller at once with what is known of its request."""
    call.phase = state_lib.CallPhase.ANSWERED
    call.outcome = (
        effects.Outcome.UNKNOWN if call.maybe_ran else effects.Outcome.NOT_RUN
    )
    state.emit(
        effects.AnswerCaller(
            call_id=call.call_id,
            outcome=call.outcome,
            status=status,
            error=error,
            detail=detail,
            retry_after_ms=RETRY_AFTER_MS,
        )
    )
    finish_if_done(state, call)


def finish_if_done(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Drops a call whose caller is answered and whose attempts ended."""
    if call.attempts or call.phase is not state_lib.CallPhase.ANSWERED:
        return
    del state.calls[call.call_id]
    state.emit(
        effects.CallFinished(
            call_id=call.call_id,
            tenant=call.tenant,
            traffic_class=call.traffic_class,
            target=call.last_target,
            outcome=call.outcome or effects.Outcome.UNKNOWN,
            total_us=state.now_us - call.arrived_us,
            target_us=call.target_us,
            attempts=call.sent_attempts,
        )
    )


def _may_retry(state: state_lib.GateState, call: state_lib.Call) -> bool:
    if not call.resendable or call.sent_attempts >= MAX_ATTEMPTS:
        return False
    return state.now_us < call.deadline_us


def _release(call: state_lib.Call, attempt: state_lib.Attempt) -> None:
    del call.attempts[attempt.number]
    attempt.target.in_flight -= 1


def _drop(
    state: state_lib.GateState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
) -> None:
    state.emit(effects.CancelAttempt(call.call_id, attempt.number))
    _release(call, attempt)


def _cancel_others(
    state: state_lib.GateState, call: state_lib.Call, kept: int
) -> None:
    for number in call.attempts:
        if number != kept:
            state.emit(effects.CancelAttempt(call.call_id, number))
