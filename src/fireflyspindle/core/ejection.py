"""Outlier ejection: failing or slow targets get no calls until trials succeed.

Each gate host compares a target with its service by outcomes and latency that
it measured itself; load reports are not used. At most a share of the targets is
ejected at a time. The ejection time doubles with each ejection, up to a
multiple of the time that a failure there costs the caller. After it the target
gets trial calls, one at a time; after a few successful ones it returns with
slow start.
"""

import math

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import leaving
from fireflyspindle.core import slow_start
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import target_limits
from fireflyspindle.core import targets
from fireflyspindle.core.evacuation import domains as evacuation_domains

TARGET_SMOOTHING = 1 / 8
SERVICE_SMOOTHING = 1 / 128
FAST_LATENCY_FALL_SMOOTHING = 1 / 4
FAST_LATENCY_RISE_SMOOTHING = 1 / 32
MIN_CONSECUTIVE_FAILURES = 3
MIN_FAILURE_SAMPLES = 16
SLOW_FACTOR = 4.0
MAX_SAMPLE_FACTOR = 8.0
MIN_LATENCY_SAMPLES = 5
TIMEOUT_FACTOR = 4.0
BASE_EJECTION_US = 100_000
MIN_EJECTION_LIMIT_US = 1_000_000
MAX_EJECTION_US = 30_000_000
EJECTION_PER_FAILURE_TIME = 100
EJECTION_COUNT_RESET_US = 60_000_000
TRIALS_TO_RETURN = 3
NON_REPEATABLE_TRIAL_DELAY_US = 3_000_000
REFUSALS_TO_LEAVE = 3
FAILED_STATUSES = frozenset({500, 502, 503, 504})


def on_answered(
    state: state_lib.GateState,
    attempt: state_lib.Attempt,
    service: state_lib.ServiceState,
    event: events.AttemptAnswered,
) -> None:
    """Updates a target's health from the status and latency of an answer."""
    health = attempt.target.health
    health.refused_connections = 0
    failed = event.not_run or event.status in FAILED_STATUSES
    latency_us = state.now_us - attempt.started_us
    health.last_duration_us = latency_us
    if attempt.target.ejected:
        failed = failed or latency_us > SLOW_FACTOR * service.latency_us
    elif not failed:
        _sample_latency(service, health, latency_us)
    _sample_outcome(state, service, attempt.target, failed)


def on_failed(
    state: state_lib.GateState,
    attempt: state_lib.Attempt,
    service: state_lib.ServiceState,
    event: events.AttemptFailed,
) -> None:
    """Updates a target's health from an attempt without an answer."""
    elapsed_us = state.now_us - attempt.started_us
    attempt.target.health.last_duration_us = elapsed_us
    match event.reason:
        case events.FailureReason.CANCELLED:
            _sample_latency_bound(service, attempt.target.health, elapsed_us)
            return
        case events.FailureReason.TIMEOUT:
            if elapsed_us < TIMEOUT_FACTOR * service.latency_us:
                return
        case events.FailureReason.REFUSED:
            _on_refused(state, service, attempt.target)
            return
    _sample_outcome(state, service, attempt.target, failed=True)


def trial_target(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> targets.Target | None:
    """Returns an ejected target that is due for a trial call, if any.

    A call that may not be repeated is used only if no repeatable call arrived
    for some time.
    """
    for target in service.ejected.values():
        wait_us = 0 if call.repeatable else NON_REPEATABLE_TRIAL_DELAY_US
        if target.leaving or target.in_flight:
            continue
        if not target_limits.may_send(state, service, target):
            continue
        if state.now_us >= target.health.ejected_until_us + wait_us:
            return target
    return None


def fallback_target(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> targets.Target | None:
    """Returns the least loaded ejected target that the call has not tried."""
    untried = [
        target
        for key, target in service.ejected.items()
        if not target.leaving
        and key not in call.tried_targets
        and target_limits.may_send(state, service, target)
    ]
    return min(untried, key=lambda target: target.in_flight, default=None)


def _on_refused(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> None:
    """Ejects a target that refuses connections.

    Refusals over several seconds mean that the target is leaving. A short burst
    does not: a network restart must not remove all targets.
    """
    target.health.refused_connections += 1
    address = target.spec.address
    if target.health.refused_connections >= REFUSALS_TO_LEAVE:
        if _may_mark_leaving(state, service, address):
            leaving.mark_leaving(state, address)
    _sample_outcome(state, service, target, failed=True)
    if not target.ejected:
        _eject(state, service, target, "refused a connection")


def _may_mark_leaving(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    address: str,
) -> bool:
    if not leaving.reports_incarnation(state, address):
        return False
    leaving_count = sum(target.leaving for target in service.targets.values())
    policy = state.configuration.policy(service.name)
    return leaving_count < math.floor(
        policy.max_ejected_share * len(service.targets)
    )


def _sample_latency(
    service: state_lib.ServiceState, health: targets.Health, latency_us: int
) -> None:
    if not service.latency_samples:
        service.latency_us = service.fast_latency_us = float(latency_us)
    service.latency_samples += 1
    sample_us = min(float(latency_us), MAX_SAMPLE_FACTOR * service.latency_us)
    smoothing = max(SERVICE_SMOOTHING, 1 / service.latency_samples)
    service.latency_us += smoothing * (sample_us - service.latency_us)
    fast_latency_smoothing = (
        FAST_LATENCY_FALL_SMOOTHING
        if sample_us < service.fast_latency_us
        else FAST_LATENCY_RISE_SMOOTHING
    )
    service.fast_latency_us += fast_latency_smoothing * (
        sample_us - service.fast_latency_us
    )
    if not health.latency_samples:
        health.latency_us = service.latency_us
    health.latency_samples += 1
    health.latency_us += TARGET_SMOOTHING * (sample_us - health.latency_us)


def _sample_latency_bound(
    service: state_lib.ServiceState, health: targets.Health, elapsed_us: int
) -> None:
    """Samples the age of a cancelled attempt as a lower bound of its latency.

    Without it, hedges that answer first would hide a slow target.
    """
    if elapsed_us <= health.latency_us or not health.latency_samples:
        return
    sample_us = min(float(elapsed_us), MAX_SAMPLE_FACTOR * service.latency_us)
    health.latency_us += TARGET_SMOOTHING * (sample_us - health.latency_us)


def _sample_outcome(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    failed: bool,
) -> None:
    health = target.health
    sample = 1.0 if failed else 0.0
    if not target.ejected:
        step = SERVICE_SMOOTHING * (sample - service.failure_share)
        service.failure_share += step
    health.outcome_samples += 1
    health.failure_share += TARGET_SMOOTHING * (sample - health.failure_share)
    health.consecutive_failures = (
        health.consecutive_failures + 1 if failed else 0
    )
    if target.ejected:
        _on_trial_outcome(state, service, target, failed)
        return
    reason = _ejection_reason(service, health)
    if reason is not None:
        _eject(state, service, target, reason)


def _ejection_reason(
    service: state_lib.ServiceState, health: targets.Health
) -> str | None:
    """Returns the reason to eject a target, or None."""
    limit = 0.5 + 0.5 * service.failure_share
    if health.consecutive_failures >= MIN_CONSECUTIVE_FAILURES:
        if service.failure_share < 0.5:
            return f"{health.consecutive_failures} failures in a row"
    if (
        health.outcome_samples >= MIN_FAILURE_SAMPLES
        and health.failure_share > limit
    ):
        return f"{health.failure_share:.0%} of the calls failed"
    if health.latency_samples < MIN_LATENCY_SAMPLES:
        return None
    if health.latency_us > SLOW_FACTOR * service.latency_us:
        return f"answers take {health.latency_us / 1000:.0f} ms"
    return None


def _may_eject(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> bool:
    present_count = sum(
        evacuation_domains.takes_requests(state, target)
        for target in service.targets.values()
    )
    ejected_count = sum(
        evacuation_domains.takes_requests(state, target)
        for target in service.ejected.values()
    )
    policy = state.configuration.policy(service.name)
    return ejected_count + 1 <= math.floor(
        policy.max_ejected_share * present_count
    )


def _eject(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    reason: str,
) -> None:
    if not _may_eject(state, service):
        return
    target.ejected = True
    health = target.health
    health.ejected_us = state.now_us
    if state.now_us - health.returned_us > EJECTION_COUNT_RESET_US:
        health.ejections = 0
    service.ejected[target.spec.key] = target
    _start_ejection_period(state, target)
    detail = f"{service.name}: {target.spec.key} is ejected: {reason}"
    state.emit(effects.WriteLogLine("warning", "target_ejected", detail))


def _start_ejection_period(
    state: state_lib.GateState, target: targets.Target
) -> None:
    health = target.health
    limit_us = max(
        MIN_EJECTION_LIMIT_US,
        EJECTION_PER_FAILURE_TIME * health.last_duration_us,
    )
    limit_us = min(MAX_EJECTION_US, limit_us)
    ejection_us = min(limit_us, BASE_EJECTION_US << min(health.ejections, 9))
    health.ejections += 1
    health.trials_passed = 0
    health.ejected_until_us = state.now_us + ejection_us


def _on_trial_outcome(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    failed: bool,
) -> None:
    health = target.health
    if service.ejected.get(target.spec.key) is not target:
        # It was removed while its attempts were in flight.
        return
    if state.now_us < health.ejected_until_us:
        return
    if failed:
        _start_ejection_period(state, target)
        return
    health.trials_passed += 1
    if health.trials_passed < TRIALS_TO_RETURN:
        return
    target.ejected = False
    del service.ejected[target.spec.key]
    target.health = targets.Health(
        ejections=health.ejections, returned_us=state.now_us
    )
    ejected_for_us = state.now_us - health.ejected_us
    slow_start.begin(state, service, target, ejected_for_us)
    detail = (
        f"{service.name}: {target.spec.key} returned after"
        " successful trial calls"
    )
    state.emit(effects.WriteLogLine("info", "target_returned", detail))
