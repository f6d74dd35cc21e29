"""Limits that targets state on the requests from all gate hosts together.

Each gate host accrues permits at its share of the limit, one for each request.
A permit is lost when it is not used within `PERMIT_LIFETIME_US`. If hosts saved
up their permits, each of a large fleet would hold one after a quiet time, and
all of them could be used at once.
"""

import math

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import fleet
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

# Part of the limit that is used. Hosts may disagree on their number, and late
# requests add to those after them.
LIMIT_FRACTION = 0.7
PERMIT_LIFETIME_US = 500_000
# Time for which a call waits for a permit instead of being refused.
MAX_PERMIT_WAIT_US = 50_000
# Rate at which all hosts together send requests to a target that takes none, so
# that they notice when it takes some again.
MIN_REQUESTS_PER_S = 0.1
# Minimum time between two log lines about the changing limit of one target.
LOG_INTERVAL_US = 1_000_000


def on_answer(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    header: events.RateLimitHeader | None,
    answer: targets.AnswerKind,
    asked_us: int,
) -> None:
    """Updates the limit of a target from the header of an answer.

    An answer without the header ends the limit only if an answer of its kind
    stated it, since targets may state it on some kinds of answers only, and if
    it was asked for after that. An invalid value changes nothing.

    Args:
        state: State of the gate host.
        service: Service of the target.
        target: The target.
        header: The limit in the answer, or None.
        answer: Kind of the answer.
        asked_us: Time at which the request or probe was sent.
    """
    limit = target.rate_limit
    if header is None:
        if (
            limit is not None
            and answer in limit.stated_by
            and asked_us > limit.stated_us
        ):
            target.rate_limit = None
            refresh_limited(service)
            _log(state, service, target, "no longer limits its requests")
        return
    if header.requests_per_s is None:
        if limit is None or answer not in limit.stated_by:
            detail = f"{_name(service, target)} states an invalid limit"
            state.emit(effects.WriteLogLine("warning", "target_limit", detail))
        return
    if limit is None:
        # A random start spreads the permits of the hosts over time.
        limit = targets.RateLimit(
            requests_per_s=header.requests_per_s,
            stated_us=state.now_us,
            permits=state.random.random(),
            refilled_us=state.now_us,
        )
        target.rate_limit = limit
        refresh_limited(service)
        _log_limit(state, service, target, limit, answer)
    limit.stated_by.add(answer)
    if limit.requests_per_s == header.requests_per_s:
        return
    _refill(state, service, limit)
    limit.requests_per_s = header.requests_per_s
    if state.now_us >= limit.logged_us + LOG_INTERVAL_US:
        _log_limit(state, service, target, limit, answer)


def refresh_limited(service: state_lib.ServiceState) -> None:
    """Updates the list of the targets with a limit that choices only sample."""
    service.limited_targets = [
        target
        for target in service.sampled_targets
        if target.rate_limit is not None
    ]


def may_send(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> bool:
    """Whether this gate host may send a request to a target now."""
    limit = target.rate_limit
    if limit is None:
        return True
    _refill(state, service, limit)
    return limit.permits >= 1.0


def may_send_soon(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> bool:
    """Whether a call may wait until it can be sent to a target."""
    return wait_us(state, service, target) <= MAX_PERMIT_WAIT_US


def wait_us(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> int:
    """Returns the time until this host may send a request to a target."""
    limit = target.rate_limit
    if limit is None or may_send(state, service, target):
        return 0
    missing = 1.0 - limit.permits
    return math.ceil(missing / _permits_per_us(state, service, limit))


def are_reached(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> bool:
    """Whether limits keep calls of this host from every target of a service."""
    present = [
        target for target in service.targets.values() if not target.leaving
    ]
    return bool(present) and not any(
        may_send_soon(state, service, target) for target in present
    )


def shortest_wait_us(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> int:
    """Returns the time until this host may send a request to any target."""
    return min(
        wait_us(state, service, target)
        for target in service.targets.values()
        if not target.leaving
    )


def on_sent(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> None:
    """Takes a permit for a request that is sent to a target."""
    limit = target.rate_limit
    if limit is not None:
        _refill(state, service, limit)
        limit.permits -= 1.0


def _refill(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    limit: targets.RateLimit,
) -> None:
    """Accrues permits and drops those that were not used in time."""
    per_us = _permits_per_us(state, service, limit)
    limit.permits += (state.now_us - limit.refilled_us) * per_us
    limit.refilled_us = state.now_us
    excess = limit.permits - (1.0 + per_us * PERMIT_LIFETIME_US)
    if excess > 0:
        limit.permits -= math.ceil(excess)


def _permits_per_us(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    limit: targets.RateLimit,
) -> float:
    policy = state.configuration.policy(service.name)
    per_s = max(MIN_REQUESTS_PER_S, LIMIT_FRACTION * limit.requests_per_s)
    return per_s * fleet.share(state, policy) / 1e6


def _log_limit(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    limit: targets.RateLimit,
    answer: targets.AnswerKind,
) -> None:
    limit.logged_us = state.now_us
    policy = state.configuration.policy(service.name)
    share = fleet.share(state, policy)
    _log(
        state,
        service,
        target,
        f"takes {limit.requests_per_s:g} requests/s from all gate hosts, as an"
        f" answer of kind {answer.value} states; the part of this host, one of"
        f" {1 / share:.0f}, is {limit.requests_per_s * share:.3g}/s",
    )


def _log(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    change: str,
) -> None:
    detail = f"{_name(service, target)} {change}"
    state.emit(effects.WriteLogLine("info", "target_limit", detail))


def _name(service: state_lib.ServiceState, target: targets.Target) -> str:
    return f"{service.name}: target {target.spec.key}"
