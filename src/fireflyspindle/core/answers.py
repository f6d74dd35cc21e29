"""Answers that the gate generates itself, and the end of a call."""

from fireflyspindle.core import capacity
from fireflyspindle.core import claim_outcomes
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import refusals
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import steps as steps_lib
from fireflyspindle.core.quotas import permits as quota_permits

# Minimum Retry-After.
MIN_RETRY_AFTER_MS = 1000
# Minimum Retry-After of gate hosts that are driven by the platform's store,
# where callers wait for fractions of a second. The load balancer in front
# sends the retry to another gate host.
SHORT_MIN_RETRY_AFTER_MS = 60


def refuse_unrouted(
    state: state_lib.GateState,
    event: events.CallArrived,
    refusal: refusals.Refusal,
) -> None:
    """Refuses a request that has no destination."""
    outcome = effects.Outcome.NOT_RUN
    if event.other_copies:
        outcome = effects.Outcome.UNKNOWN
    state.emit(
        effects.AnswerCaller(
            call_id=event.call_id,
            outcome=outcome,
            status=refusal.status,
            error=refusal.error,
            detail=refusal.detail,
            retry_after_ms=(
                jittered_retry_after_ms(state, 0)
                if refusal.status == 503
                else None
            ),
            not_carried=event.relayed,
        )
    )
    inputs = (
        ("status", refusal.status),
        ("error", refusal.error),
        ("why", refusal.detail),
    )
    finish_unrouted(state, event, outcome, "gave_up", inputs)


def finish_unrouted(
    state: state_lib.GateState,
    event: events.CallArrived,
    outcome: effects.Outcome,
    what: str,
    inputs: tuple[tuple[str, str | int | float | bool], ...] = (),
) -> None:
    """Ends a request that has no destination, with its only step."""
    total_us = state.now_us - event.now_us
    steps = steps_lib.Steps()
    if state.settings.store is not None:
        steps.add(steps_lib.Step(total_us, what, inputs=inputs))
    state.emit(
        effects.CallFinished(
            call_id=event.call_id,
            tenant="",
            traffic_class="",
            target="",
            outcome=outcome,
            total_us=total_us,
            target_us=0,
            attempts=0,
            relayed=event.relayed,
            steps=steps,
            configuration_version=state.rule_table.version or 0,
        )
    )


def fail_call(
    state: state_lib.GateState,
    call: state_lib.Call,
    status: int,
    error: str,
    detail: str,
    retry_after_ms: int | None = None,
    *,
    not_carried: bool = False,
) -> None:
    """Answers the caller with an error and the outcome of its request."""
    outcome = effects.Outcome.NOT_RUN
    if call.may_have_run:
        outcome = effects.Outcome.UNKNOWN
    send_answer(
        state,
        call,
        effects.AnswerCaller(
            call_id=call.call_id,
            outcome=outcome,
            status=status,
            error=error,
            detail=detail,
            retry_after_ms=max(_min_retry_after_ms(state), retry_after_ms or 0),
            not_carried=not_carried,
        ),
    )


def refuse_stopping(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Refuses a call that can't be answered before this host ends."""
    fail_call(
        state,
        call,
        failure_status(call),
        "stopping",
        "this gate host stops before the call can be answered; retry on"
        " another one",
        jittered_retry_after_ms(state, 0),
        not_carried=call.relayed and not call.may_have_run,
    )


def failure_status(call: state_lib.Call) -> int:
    """Returns the status of a failed call; 503 states that it never ran."""
    return 502 if call.may_have_run else 503


def jittered_retry_after_ms(state: state_lib.GateState, wait_ms: int) -> int:
    """Returns a Retry-After with jitter, so that retries are spread out."""
    return int(
        max(_min_retry_after_ms(state), wait_ms) * (1 + state.random.random())
    )


def _min_retry_after_ms(state: state_lib.GateState) -> int:
    if state.settings.store is None:
        return MIN_RETRY_AFTER_MS
    return SHORT_MIN_RETRY_AFTER_MS


def send_answer(
    state: state_lib.GateState,
    call: state_lib.Call,
    answer: effects.AnswerCaller,
) -> None:
    """Answers the caller; the call ends once its attempts have ended."""
    call.phase = state_lib.CallPhase.ANSWERED
    call.outcome = answer.outcome
    call.record_step(
        state.now_us,
        "gave_up",
        status=answer.status,
        error=answer.error,
        why=answer.detail,
    )
    state.emit(answer)
    finish_if_done(state, call)


def finish_if_done(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Ends a call that is answered and has no attempts in flight."""
    if call.attempts or call.phase is not state_lib.CallPhase.ANSWERED:
        return
    del state.calls[call.call_id]
    capacity.on_call_ended(state, call)
    quota_permits.on_call_ended(state, call)
    if call.claim is not None:
        claim_outcomes.on_finished(state, call, call.claim)
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
            route=call.route,
            relayed=call.relayed or bool(call.relays),
            past_soft_deadline=call.soft_deadline_us is not None
            and state.now_us > call.soft_deadline_us,
            steps=call.steps,
            configuration_version=call.configuration_version,
            configuration_unproven=call.configuration_unproven,
        )
    )
