"""The lifecycle of a call, from arrival to the end of its last attempt."""

from collections.abc import Collection

from fireflyspindle.core import answers
from fireflyspindle.core import attempts
from fireflyspindle.core import crash_detection
from fireflyspindle.core import crash_evidence
from fireflyspindle.core import crashing_requests
from fireflyspindle.core import deadlines
from fireflyspindle.core import destinations
from fireflyspindle.core import discovery
from fireflyspindle.core import effects
from fireflyspindle.core import ejection
from fireflyspindle.core import events
from fireflyspindle.core import hedging
from fireflyspindle.core import leaving
from fireflyspindle.core import placement
from fireflyspindle.core import reachability
from fireflyspindle.core import refusals
from fireflyspindle.core import relays
from fireflyspindle.core import retries
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import stop_limit
from fireflyspindle.core import suspects
from fireflyspindle.core import target_limits
from fireflyspindle.core import target_statements
from fireflyspindle.core import targets
from fireflyspindle.core import timers
from fireflyspindle.core.quotas import admission as quota_admission


def on_arrived(state: state_lib.GateState, event: events.CallArrived) -> None:
    """Admits a call and sends its first attempt, or refuses it."""
    match destinations.find(state, event):
        case refusals.Refusal() as refusal:
            answers.refuse_unrouted(state, event, refusal)
        case destinations.Destination() as destination:
            _accept(state, event, destination)


def _accept(
    state: state_lib.GateState,
    event: events.CallArrived,
    destination: destinations.Destination,
) -> None:
    service = destination.service
    call = state_lib.Call(
        call_id=event.call_id,
        service=service.name,
        tenant=destination.organisation
        or _configured_or_empty(event.tenant, state.configuration.tenants),
        traffic_class=_configured_or_empty(
            event.traffic_class, state.configuration.classes
        ),
        repeatable=destination.repeatable,
        resendable=event.resendable,
        arrived_us=event.now_us,
        deadline_us=destination.deadline_us,
        request_id=event.request_id,
        route=destination.route,
        soft_deadline_us=destination.soft_deadline_us,
        max_attempts=destination.max_attempts,
        priority=destination.priority,
        has_large_bodies=destination.has_large_bodies,
        relayed=event.relayed,
        fingerprint=event.fingerprint,
        organisation=destination.organisation,
        key_digest=event.key_digest,
        public=destination.public,
        configuration_version=destination.configuration_version,
        configuration_unproven=destination.configuration_unproven,
    )
    state.calls[call.call_id] = call
    state.timers.add(call.deadline_us, timers.CallDeadline(call.call_id))
    if event.now_us < state.now_us:
        waited_ms = (state.now_us - event.now_us) // 1000
        call.record_step(state.now_us, "held", waited_ms=waited_ms)
        if call.deadline_us <= state.now_us:
            deadlines.on_deadline(state, call.call_id)
            return
    if not call.relayed:
        # The host that relayed the call has credited its own budgets.
        retries.on_arrived(state, service)
        hedging.on_arrived(state, service)
    if crashing_requests.refuse(state, call):
        return
    keyed = bool(event.idempotency_key) and not call.repeatable
    if not keyed and not stop_limit.may_start(state, call):
        # The claim of a key tells whether another copy may have run.
        answers.refuse_stopping(state, call)
        return
    quota_admission.admit(state, call, event)


def _configured_or_empty(name: str, configured: Collection[str]) -> str:
    """Returns a configured name, or an empty string for any other."""
    return name if name in configured else ""


def on_answered(
    state: state_lib.GateState, event: events.AttemptAnswered
) -> None:
    """Handles the headers of an answer: forwards, retries or discards it."""
    call = state.calls.get(event.call_id)
    if call is None or event.attempt not in call.attempts:
        return
    attempt = call.attempts[event.attempt]
    if attempt.relayed:
        if event.leaving_start is not None:
            target_statements.on_leaving(state, event.leaving_start)
    else:
        _update_target(state, call, attempt, event)
        attempts.record_answer(state, call, attempt, event)
    crash_evidence.on_answered(state, call, attempt, event)
    attempt.declined = event.not_run
    attempt.answered = (
        not event.not_run and event.status < attempts.SERVER_ERROR_STATUS
    )
    call.record_step(
        state.now_us,
        "answered",
        attempt.target.spec.key,
        attempt=attempt.number,
        status=event.status,
        not_run=event.not_run,
    )
    if not event.not_run:
        call.status = event.status
    if call.phase is not state_lib.CallPhase.WAITING:
        call.outcome = call.outcome or _outcome(call, event)
        attempts.cancel(state, call, attempt)
        answers.finish_if_done(state, call)
        return
    if event.not_run and call.route:
        _retry_not_run(state, call, attempt, event)
        return
    if (
        not attempt.relayed
        and _is_retriable(call, event)
        and _replace_attempt(state, call, attempt)
    ):
        call.may_have_run = call.may_have_run or not event.not_run
        return
    call.phase = state_lib.CallPhase.FORWARDING
    call.outcome = _outcome(call, event)
    call.target_us = state.now_us - attempt.started_us
    state.emit(
        effects.ForwardAnswer(call.call_id, attempt.number, call.outcome)
    )
    if attempt.hedge:
        state.hedges.won += 1
    attempts.cancel_all_except(state, call, attempt.number)


def _update_target(
    state: state_lib.GateState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
    event: events.AttemptAnswered,
) -> None:
    _update_incarnation(state, attempt.target, event)
    service = state.services.get(call.service)
    if service is not None:
        if not _update_statements(state, service, attempt, event):
            ejection.on_answered(state, attempt, service, event)
        reachability.on_answered(state, service)
        crash_detection.on_answered(state, attempt.target, attempt.started_us)
        _update_limit(state, service, attempt, event)


def _update_statements(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    attempt: state_lib.Attempt,
    event: events.AttemptAnswered | events.AttemptFailed,
) -> bool:
    """Handles what the target states; returns whether it asks for a pause."""
    if event.report is None or event.status == discovery.MISDIRECTED_STATUS:
        return False
    return target_statements.on_answer(
        state,
        service,
        attempt.target,
        event.report,
        declined=event.status in target_statements.PAUSE_STATUSES,
    )


def _update_limit(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    attempt: state_lib.Attempt,
    event: events.AttemptAnswered,
) -> None:
    answer = (
        targets.AnswerKind.DECLINED
        if event.not_run
        else targets.AnswerKind.EXECUTED
    )
    header = event.report.rate_limit if event.report is not None else None
    target_limits.on_answer(
        state, service, attempt.target, header, answer, attempt.started_us
    )


def _update_incarnation(
    state: state_lib.GateState,
    target: targets.Target,
    event: events.AttemptAnswered,
) -> None:
    if state.settings.store is None:
        if event.report is not None:
            leaving.on_report(state, target.spec.address, event.report)
        return
    if event.status == discovery.MISDIRECTED_STATUS:
        discovery.on_misdirected(state, target)
    elif event.report is not None:
        discovery.check_incarnation(state, target, event.report)


def _is_retriable(call: state_lib.Call, event: events.AttemptAnswered) -> bool:
    """Whether another target may give a better answer."""
    if event.not_run:
        return True
    if not call.repeatable:
        return False
    if call.route and event.status >= attempts.SERVER_ERROR_STATUS:
        return True
    return event.status in retries.RETRIABLE_STATUSES


def _retry_not_run(
    state: state_lib.GateState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
    event: events.AttemptAnswered,
) -> None:
    """Retries a call that the target did not run, or gives up on it."""
    attempts.cancel(state, call, attempt)
    if event.not_carried:
        attempts.mark_unreached(call, attempt)
    if event.not_carried and event.status != destinations.ROUTE_DIFFERS_STATUS:
        relays.on_not_carried(state, attempt.target.spec.address)
    if call.attempts or call.probe_round is not None:
        return
    if attempt.relayed:
        # The helper has retried the call at other targets itself.
        if event.not_carried and call.resendable:
            if _place_again(state, call):
                return
    elif retries.retry(state, call, reached_target=True):
        return
    answers.fail_call(
        state,
        call,
        answers.failure_status(call),
        "target_declined",
        f"the target declined the request with status {event.status}",
    )


def _replace_attempt(
    state: state_lib.GateState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
) -> bool:
    """Cancels an attempt if its call has another one in flight or is retried.

    Returns:
        Whether the attempt was cancelled.
    """
    if len(call.attempts) > 1:
        attempts.cancel(state, call, attempt)
        return True
    if not retries.retry(state, call, reached_target=True):
        return False
    attempts.cancel(state, call, attempt)
    return True


def _outcome(
    call: state_lib.Call, event: events.AttemptAnswered
) -> effects.Outcome:
    if not event.not_run:
        return effects.Outcome.COMPLETE
    if call.may_have_run:
        return effects.Outcome.UNKNOWN
    return effects.Outcome.NOT_RUN


def on_ended(state: state_lib.GateState, event: events.AttemptEnded) -> None:
    """Handles the end of a forwarded answer."""
    call = state.calls.get(event.call_id)
    if call is None or event.attempt not in call.attempts:
        return
    attempts.release(
        state, call, call.attempts[event.attempt], is_complete=True
    )
    call.phase = state_lib.CallPhase.ANSWERED
    answers.finish_if_done(state, call)


def on_failed(state: state_lib.GateState, event: events.AttemptFailed) -> None:
    """Handles a failed attempt: retries it or answers the caller."""
    call = state.calls.get(event.call_id)
    if call is None or event.attempt not in call.attempts:
        return
    attempt = call.attempts[event.attempt]
    call.record_step(
        state.now_us,
        "failed",
        attempt.target.spec.key,
        attempt=attempt.number,
        why=event.reason.value,
        sent=event.sent,
    )
    attempts.release(state, call, attempt)
    service = state.services.get(call.service)
    if attempt.relayed:
        if event.reason is not events.FailureReason.CANCELLED:
            relays.on_not_carried(state, attempt.target.spec.address)
    elif service is not None:
        _update_statements(state, service, attempt, event)
        ejection.on_failed(state, attempt, service, event)
        reachability.on_attempt_failed(
            state, service, attempt.target, event.reason
        )
    call.may_have_run = call.may_have_run or event.sent
    if not event.sent:
        attempts.mark_unreached(call, attempt)
    match call.phase:
        case state_lib.CallPhase.WAITING:
            _retry_failed(state, call, attempt, event)
        case state_lib.CallPhase.FORWARDING:
            call.phase = state_lib.CallPhase.ANSWERED
            call.outcome = effects.Outcome.UNKNOWN
            answers.finish_if_done(state, call)
        case state_lib.CallPhase.ANSWERED:
            answers.finish_if_done(state, call)
    if service is not None and not attempt.relayed:
        # This may refuse calls, this one included.
        crash_detection.on_attempt_failed(state, service, call, attempt, event)


def _retry_failed(
    state: state_lib.GateState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
    event: events.AttemptFailed,
) -> None:
    if call.attempts or call.probe_round is not None:
        return
    if attempt.relayed:
        if not event.sent and _place_again(state, call):
            return
    elif call.repeatable or not event.sent:
        if retries.retry(state, call, reached_target=event.sent):
            return
        if not call.may_have_run and _relay(state, call):
            return
    answers.fail_call(
        state,
        call,
        answers.failure_status(call),
        "target_failed",
        f"the attempt at the target failed: {event.reason.value}",
    )


def _place_again(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Sends a call that no helper has carried to another one or a target."""
    service = state.services.get(call.service)
    if service is None or state.now_us >= call.deadline_us:
        return False
    if not suspects.may_resend(state, call):
        return False
    return placement.place(state, service, call)


def _relay(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Relays a call that reached no target."""
    service = state.services.get(call.service)
    if service is None or state.now_us >= call.deadline_us:
        return False
    return relays.relay(state, service, call)


def on_caller_left(
    state: state_lib.GateState, event: events.CallerDisconnected
) -> None:
    """Cancels a repeatable call; lets a sent non-repeatable one finish."""
    call = state.calls.get(event.call_id)
    if call is None:
        return
    call.record_step(state.now_us, "caller_left")
    call.phase = state_lib.CallPhase.ANSWERED
    if not call.attempts and not call.may_have_run:
        call.outcome = effects.Outcome.NOT_RUN
    if call.repeatable:
        call.outcome = call.outcome or effects.Outcome.UNKNOWN
        attempts.cancel_all_except(state, call, 0)
    answers.finish_if_done(state, call)
