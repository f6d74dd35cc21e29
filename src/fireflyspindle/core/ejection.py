"""Ejection: targets that fail or lag are left out, tried and taken back.

Each gate host judges a target against the service as it sees it itself, by
outcomes and by the time of answers; load reports have no say. At most a
share of the targets is out at a time. After a pause that doubles with each
ejection, up to a multiple of what a failure there costs its caller, the
target gets trial calls, one at a time; a few that go well bring it back, by
slow start.
"""

import math

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import leaving
from fireflyspindle.core import slow_start
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

TARGET_SMOOTHING = 1 / 8
SERVICE_SMOOTHING = 1 / 128
QUICK_FALL = 1 / 4
QUICK_RISE = 1 / 32
MIN_FAILURES_IN_ROW = 3
MIN_FAILURE_SAMPLES = 16
SLOW_FACTOR = 4.0
MAX_SAMPLE_FACTOR = 8.0
MIN_LATENCY_SAMPLES = 5
TIMEOUT_FACTOR = 4.0
BASE_PAUSE_US = 100_000
LEAST_MAX_PAUSE_US = 1_000_000
MAX_PAUSE_US = 30_000_000
PAUSE_PER_COST = 100
FORGIVEN_AFTER_US = 60_000_000
TRIALS = 3
STRICT_TRIAL_DELAY_US = 3_000_000
STICKY_REFUSALS = 3
FAILED_STATUSES = frozenset({500, 502, 503, 504})


def on_answered(
    state: state_lib.GateState,
    attempt: state_lib.Attempt,
    service: state_lib.ServiceState,
    event: events.AttemptAnswered,
) -> None:
    """Judges a target by an answer's status and time."""
    health = attempt.target.health
    health.refusals = 0
    failed = event.not_run or event.status in FAILED_STATUSES
    latency_us = state.now_us - attempt.started_us
    health.last_us = latency_us
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
    """Judges a target by an attempt that got no answer."""
    waited_us = state.now_us - attempt.started_us
    attempt.target.health.last_us = waited_us
    match event.reason:
        case events.FailureReason.CANCELLED:
            _sample_least_latency(service, attempt.target.health, waited_us)
            return
        case events.FailureReason.TIMEOUT:
            if waited_us < TIMEOUT_FACTOR * service.latency_us:
                return
        case events.FailureReason.REFUSED:
            _on_refused(state, service, attempt.target)
            return
    _sample_outcome(state, service, attempt.target, failed=True)


def trial(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> targets.Target | None:
    """Returns an ejected target that this call may try, if one is due.

    A call that may not be repeated is used only when none that may came by.
    """
    for target in service.ejected.values():
        wait_us = 0 if call.repeatable else STRICT_TRIAL_DELAY_US
        if target.leaving or target.in_flight:
            continue
        if state.now_us >= target.health.ejected_until_us + wait_us:
            return target
    return None


def last_resort(
    service: state_lib.ServiceState, call: state_lib.Call
) -> targets.Target | None:
    """Returns the least loaded ejected target, when no other is left."""
    left = [
        target
        for address, target in service.ejected.items()
        if not target.leaving and address not in call.tried
    ]
    return min(left, key=lambda target: target.in_flight, default=None)


def _on_refused(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> None:
    """Leaves out a target that does not listen.

    Refusals over seconds mean that it is leaving. Those of a moment do not:
    a restart of the network must not empty the set.
    """
    target.health.refusals += 1
    address = target.spec.address
    if target.health.refusals >= STICKY_REFUSALS:
        if _may_leave(state, service, address):
            leaving.note(state, address)
    _sample_outcome(state, service, target, failed=True)
    if not target.ejected:
        _eject(state, service, target, "refused a connection")


def _may_leave(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    address: str,
) -> bool:
    if not leaving.states_incarnation(state, address):
        return False
    gone = sum(target.leaving for target in service.targets.values())
    policy = state.configuration.policy(service.name)
    return gone < math.floor(policy.max_ejected_share * len(service.targets))


def _sample_latency(
    service: state_lib.ServiceState, health: targets.Health, latency_us: int
) -> None:
    if not service.answers:
        service.latency_us = service.quick_us = float(latency_us)
    service.answers += 1
    sample_us = min(float(latency_us), MAX_SAMPLE_FACTOR * service.latency_us)
    smoothing = max(SERVICE_SMOOTHING, 1 / service.answers)
    service.latency_us += smoothing * (sample_us - service.latency_us)
    quick_step = QUICK_FALL if sample_us < service.quick_us else QUICK_RISE
    service.quick_us += quick_step * (sample_us - service.quick_us)
    if not health.answers:
        health.latency_us = service.latency_us
    health.answers += 1
    health.latency_us += TARGET_SMOOTHING * (sample_us - health.latency_us)


def _sample_least_latency(
    service: state_lib.ServiceState, health: targets.Health, waited_us: int
) -> None:
    """Takes the age of a cancelled attempt, whose answer was not yet there.

    Without it the hedges that overtake a slow target would hide it.
    """
    if waited_us <= health.latency_us or not health.answers:
        return
    sample_us = min(float(waited_us), MAX_SAMPLE_FACTOR * service.latency_us)
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
    health.outcomes += 1
    health.failure_share += TARGET_SMOOTHING * (sample - health.failure_share)
    health.failures_in_row = health.failures_in_row + 1 if failed else 0
    if target.ejected:
        _on_trial(state, service, target, failed)
        return
    why = _why(service, health)
    if why is not None:
        _eject(state, service, target, why)


def _why(service: state_lib.ServiceState, health: targets.Health) -> str | None:
    """Returns why a target should be ejected, or None."""
    limit = 0.5 + 0.5 * service.failure_share
    if health.failures_in_row >= MIN_FAILURES_IN_ROW:
        if service.failure_share < 0.5:
            return f"{health.failures_in_row} failures in a row"
    if health.outcomes >= MIN_FAILURE_SAMPLES and health.failure_share > limit:
        return f"{health.failure_share:.0%} of the calls failed"
    if health.answers < MIN_LATENCY_SAMPLES:
        return None
    if health.latency_us > SLOW_FACTOR * service.latency_us:
        return f"answers take {health.latency_us / 1000:.0f} ms"
    return None


def _floor_allows(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> bool:
    present = sum(not target.leaving for target in service.targets.values())
    out = sum(not target.leaving for target in service.ejected.values())
    policy = state.configuration.policy(service.name)
    return out + 1 <= math.floor(policy.max_ejected_share * present)


def _eject(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    why: str,
) -> None:
    if not _floor_allows(state, service):
        return
    target.ejected = True
    health = target.health
    health.ejected_us = state.now_us
    if state.now_us - health.returned_us > FORGIVEN_AFTER_US:
        health.ejections = 0
    service.ejected[target.spec.key] = target
    _pause(state, target)
    detail = f"{service.name}: {target.spec.key} is ejected: {why}"
    state.emit(effects.Report("warning", "target_ejected", detail))


def _pause(state: state_lib.GateState, target: targets.Target) -> None:
    health = target.health
    limit_us = max(LEAST_MAX_PAUSE_US, PAUSE_PER_COST * health.last_us)
    limit_us = min(MAX_PAUSE_US, limit_us)
    pause_us = min(limit_us, BASE_PAUSE_US << min(health.ejections, 9))
    health.ejections += 1
    health.trials_passed = 0
    health.ejected_until_us = state.now_us + pause_us


def _on_trial(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    failed: bool,
) -> None:
    health = target.health
    if state.now_us < health.ejected_until_us:
        return
    if failed:
        _pause(state, target)
        return
    health.trials_passed += 1
    if health.trials_passed < TRIALS:
        return
    target.ejected = False
    del service.ejected[target.spec.key]
    target.health = targets.Health(
        ejections=health.ejections, returned_us=state.now_us
    )
    out_us = state.now_us - health.ejected_us
    slow_start.begin(state, service, target, out_us)
    detail = f"{service.name}: {target.spec.key} is back after trials"
    state.emit(effects.Report("info", "target_returned", detail))
