"""Attempts: sending a call's request to a target, and how that ends."""

from fireflyspindle.core import answers
from fireflyspindle.core import capacity
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import forecast
from fireflyspindle.core import hedging
from fireflyspindle.core import load as load_lib
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import stop_limit
from fireflyspindle.core import target_limits
from fireflyspindle.core import target_statements
from fireflyspindle.core import targets
from fireflyspindle.core.evacuation import domains as evacuation_domains
from fireflyspindle.core.load_sharing import fairness
from fireflyspindle.core.organisations import authorisation
from fireflyspindle.core.organisations import sending
from fireflyspindle.core.quotas import send_check as quota_send_check

SERVER_ERROR_STATUS = 500


def begin(
    state: state_lib.GateState, call: state_lib.Call, target: targets.Target
) -> bool:
    """Sends an attempt of a call to a target, if its key is still valid.

    This is the last check of an evacuation and of the end of a planned stop: a
    call for an evacuated target, or one that can't be answered in time, is
    refused, unless another attempt of it is in flight.

    Returns:
        False if nothing was sent and the call goes on with the attempt that it
        has.

    Raises:
        AssertionError: A non-repeatable request would be sent although it
            may have run or may still run.
    """
    if not sending.may_send(state, call):
        return not call.attempts
    if not stop_limit.may_send(state, call, target):
        return _refuse_stopping(state, call)
    if quota_send_check.wait_if_expired(state, call):
        return True
    service = state.services[call.service]
    if not evacuation_domains.may_receive(state, target):
        _refuse_evacuated(state, call, target)
        return not call.attempts
    expected_slowdown, near_capacity = 1.0, False
    if call.route:
        expected_slowdown = forecast.expected_slowdown(state, service, target)
        near_capacity = forecast.is_near_capacity(state, service, target)
    attempt = _add(state, service, call, target)
    fairness.on_sent(state, call)
    attempt.expected_slowdown = expected_slowdown
    attempt.near_capacity = near_capacity
    target_limits.on_sent(state, service, target)
    _record_step(state, call, attempt)
    _send(state, call, attempt)
    hedging.schedule(state, call)
    return True


def _refuse_stopping(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Refuses a call; False if it keeps an attempt that is in flight."""
    if call.attempts:
        call.record_step(state.now_us, "not_hedged", error="stopping")
        return False
    call.probe_round = None
    answers.refuse_stopping(state, call)
    return True


def _refuse_evacuated(
    state: state_lib.GateState, call: state_lib.Call, target: targets.Target
) -> None:
    if call.attempts:
        return
    answers.fail_call(
        state,
        call,
        answers.failure_status(call),
        "no_target",
        f"failure domain {target.spec.failure_domain!r} is evacuated",
    )


def begin_relay(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
    helper: targets.Target,
) -> bool:
    """Sends a call to a gate host that carries it, if its key is valid.

    Returns:
        False if nothing was sent and the call goes on with the attempt that it
        has.

    Raises:
        AssertionError: A non-repeatable request would be sent although it
            may have run or may still run.
    """
    if not sending.may_send(state, call):
        return not call.attempts
    if not stop_limit.may_start(state, call):
        return _refuse_stopping(state, call)
    if quota_send_check.wait_if_expired(state, call):
        return True
    lent_attempts = call.attempts_left - 1
    attempt = _add(state, service, call, helper)
    attempt.relayed = True
    call.lent_attempts = lent_attempts
    call.record_step(
        state.now_us,
        "relayed",
        helper.spec.key,
        attempt=attempt.number,
        own_in_flight=helper.in_flight - 1,
        helpers=len(state.helpers.by_address),
    )
    _send(state, call, attempt)
    return True


def _add(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
    target: targets.Target,
) -> state_lib.Attempt:
    """Adds an attempt to a call and counts it at its target."""
    may_run = call.may_have_run or any(
        not attempt.declined for attempt in call.attempts.values()
    )
    assert call.repeatable or not may_run
    call.sent_attempts += 1
    call.probe_round = None
    attempt = state_lib.Attempt(
        call.sent_attempts, target, state.now_us, service
    )
    capacity.on_attempt_begun(service, call)
    call.attempts[attempt.number] = attempt
    stop_limit.on_sent(state, call, attempt)
    call.last_target = target.spec.address
    call.tried_targets.add(target.spec.key)
    targets.on_attempt_started(target, state.now_us)
    load_lib.on_attempt_started(target.load, state.now_us)
    return attempt


def _send(
    state: state_lib.GateState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
) -> None:
    start = target_statements.start_of(attempt.target)
    state.emit(
        effects.SendToTarget(
            call_id=call.call_id,
            attempt=attempt.number,
            target=attempt.target.spec.address,
            timeout_us=call.deadline_us - state.now_us,
            hedge=len(call.attempts) > 1,
            incarnation=start.target_id if start is not None else "",
            repeatable=call.repeatable,
            relayed=attempt.relayed,
            target_started_ms=start.started_ms if start is not None else 0,
            service=call.service if attempt.relayed else "",
            key=authorisation.handling(state, call),
            max_attempts=1 + call.lent_attempts if attempt.relayed else 0,
        )
    )


def _record_step(
    state: state_lib.GateState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
) -> None:
    report = attempt.target.reported_load
    call.record_step(
        state.now_us,
        "sent",
        attempt.target.spec.key,
        address=attempt.target.spec.address,
        attempt=attempt.number,
        own_in_flight=attempt.target.in_flight - 1,
        others=report.others_in_flight,
        pace=round(attempt.expected_slowdown, 2),
        stated_ms_ago=(state.now_us - report.reported_us) // 1000,
        ejected=attempt.target.ejected,
    )


def record_answer(
    state: state_lib.GateState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
    event: events.AttemptAnswered,
) -> None:
    """Updates the estimates with the latency and load report of an answer."""
    service = state.services.get(call.service)
    if service is None:
        return
    answered = not event.not_run and event.status < SERVER_ERROR_STATUS
    if answered and call.phase is state_lib.CallPhase.WAITING:
        first_started_us = min(
            other.started_us for other in call.attempts.values()
        )
        load_lib.on_latency(service.load, state.now_us - first_started_us)
    if service.probes_before_send:
        _update_forecast(state, service, attempt, event, answered)
        return
    if event.report is not None and event.report.in_flight is not None:
        load_lib.on_report(
            service.load,
            attempt.target.load,
            event.report.in_flight,
            attempt.target.in_flight - 1,
            state.now_us,
        )


def _update_forecast(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    attempt: state_lib.Attempt,
    event: events.AttemptAnswered,
    answered: bool,
) -> None:
    target = attempt.target
    if answered:
        latency_us = state.now_us - attempt.started_us
        forecast.on_latency(
            service,
            latency_us,
            attempt.expected_slowdown,
            attempt.near_capacity,
        )
    report = event.report
    if report is not None and report.in_flight is not None:
        own_in_flight = target.in_flight - 1
        forecast.on_report(state, service, target, report, own_in_flight)
    elif answered:
        forecast.on_missing_report(service)


def release(
    state: state_lib.GateState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
    *,
    is_complete: bool = False,
) -> None:
    """Removes an ended attempt from its call and its target.

    Args:
        state: State of the gate host.
        call: The call.
        attempt: Its attempt.
        is_complete: Whether its whole answer was forwarded.
    """
    del call.attempts[attempt.number]
    stop_limit.on_attempt_ended(
        state, call, attempt, is_answer=is_complete and attempt.answered
    )
    targets.on_attempt_ended(attempt.target, state.now_us)
    capacity.on_attempt_ended(state, attempt.service, call)
    load_lib.on_attempt_ended(attempt.target.load, attempt.started_us)
    evacuation_domains.on_attempt_ended(state, attempt)


def mark_unreached(call: state_lib.Call, attempt: state_lib.Attempt) -> None:
    """Counts an attempt that reached no target; it uses none of the limit."""
    call.unreached_attempts += 1
    if attempt.relayed:
        call.lent_attempts = 0


def cancel(
    state: state_lib.GateState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
) -> None:
    """Cancels an attempt and counts it as ended."""
    state.emit(effects.CancelAttempt(call.call_id, attempt.number))
    release(state, call, attempt)


def cancel_all_except(
    state: state_lib.GateState, call: state_lib.Call, kept_number: int
) -> None:
    """Cancels all attempts but one; their ends arrive as events.

    Args:
        state: State of the gate host.
        call: The call.
        kept_number: Number of the attempt that is kept; 0 for none.
    """
    for number in call.attempts:
        if number != kept_number:
            state.emit(effects.CancelAttempt(call.call_id, number))
