"""Limits that targets state on the requests from all gate hosts together.

Each gate host accrues permits at its share of the limit, one for each request.
A probe takes a permit too, since it may count as a request at the target. A
permit is lost when it is not used within `PERMIT_LIFETIME_US`. If hosts saved
up their permits, each of a large fleet would hold one after a quiet time, and
all of them could be used at once.
"""

import math

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import fleet
from fireflyspindle.core import limit_shares
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets
from fireflyspindle.core.evacuation import domains as evacuation_domains

# Time for which a call waits for a permit instead of being refused.
MAX_PERMIT_WAIT_US = 50_000
# Time after the latest statement of a limit after which a call is sent to the
# target, so that the end of the limit is noticed.
MAX_SILENCE_US = 2_000_000
# Rate at which all hosts together send requests to a target that takes none, so
# that they notice when it takes some again.
MIN_REQUESTS_PER_S = 0.1
# Minimum time between two log lines about the invalid limit of one target.
INVALID_LOG_INTERVAL_US = 60_000_000
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
        if state.now_us >= target.invalid_limit_us + INVALID_LOG_INTERVAL_US:
            target.invalid_limit_us = state.now_us
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
    limit.heard_us = state.now_us
    if limit.requests_per_s == header.requests_per_s:
        return
    _refill(state, service, limit)
    limit.requests_per_s = header.requests_per_s
    limit.divided_by = 0
    if state.now_us >= limit.logged_us + LOG_INTERVAL_US:
        _log_limit(state, service, target, limit, answer)


def refresh_limited(service: state_lib.ServiceState) -> None:
    """Updates the list of the targets with a limit."""
    service.limited_targets = [
        target
        for target in service.targets.values()
        if target.rate_limit is not None or target.cold_limit is not None
    ]


def cold_limit(
    state: state_lib.GateState, target: targets.Target
) -> targets.RateLimit | None:
    """Returns the limit of a target that is cold now, or None."""
    if state.now_us >= target.slow_start_until_us:
        return None
    return target.cold_limit


def _limits(
    state: state_lib.GateState, target: targets.Target
) -> list[targets.RateLimit]:
    """Returns the limits that are in force; each of them has to be kept."""
    limits = (target.rate_limit, cold_limit(state, target))
    return [limit for limit in limits if limit is not None]


def is_limited(state: state_lib.GateState, target: targets.Target) -> bool:
    """Whether a request to a target takes a permit."""
    return (
        target.rate_limit is not None or cold_limit(state, target) is not None
    )


def may_send(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> bool:
    """Whether this gate host may send a request to a target now."""
    if not evacuation_domains.may_receive(state, target):
        return False
    if state.now_us < target.paused_until_us:
        return False
    if not is_limited(state, target):
        return True
    for limit in _limits(state, target):
        _refill(state, service, limit)
        if limit.permits < 1.0:
            return False
    return True


def may_probe(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> bool:
    """Whether a probe of a target leaves a permit for the call after it."""
    if not evacuation_domains.may_receive(state, target):
        return False
    if state.now_us < target.paused_until_us:
        return False
    limit = target.rate_limit
    if limit is None:
        return True
    _refill(state, service, limit)
    return limit.permits >= 2.0


def may_send_soon(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> bool:
    """Whether a call may wait until it can be sent to a target."""
    if not evacuation_domains.may_receive(state, target):
        return False
    return wait_us(state, service, target) <= MAX_PERMIT_WAIT_US


def wait_us(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> int:
    """Returns the time until this host may send a request to a target."""
    longest_us = max(0, target.paused_until_us - state.now_us)
    for limit in _limits(state, target):
        _refill(state, service, limit)
        missing = 1.0 - limit.permits
        if missing <= 0:
            continue
        permit_us = math.ceil(missing / _permits_per_us(state, service, limit))
        if limit is target.cold_limit:
            permit_us = min(
                permit_us, target.slow_start_until_us - state.now_us
            )
        longest_us = max(longest_us, permit_us)
    return longest_us


def unheard_target(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> targets.Target | None:
    """Returns a target that has not stated its limit for some time, if any."""
    for target in service.limited_targets:
        limit = target.rate_limit
        if target.leaving or target.ejected or limit is None:
            continue
        if state.now_us < limit.heard_us + MAX_SILENCE_US or target.in_flight:
            continue
        if may_send(state, service, target):
            return target
    return None


def max_waiting_calls(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> int | None:
    """Returns how many calls may wait for targets that are limited or paused.

    More calls than there are permits soon would wait in vain.

    Returns:
        The number; None while some target is neither limited nor paused.
    """
    present = [
        target
        for target in service.targets.values()
        if evacuation_domains.takes_requests(state, target)
    ]
    if not present or any(
        not is_limited(state, target) and state.now_us >= target.paused_until_us
        for target in present
    ):
        return None
    return sum(may_send_soon(state, service, target) for target in present)


def paused_targets(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> int:
    """Returns how many targets take no requests because of a pause."""
    return sum(
        evacuation_domains.takes_requests(state, target)
        and state.now_us < target.paused_until_us
        for target in service.targets.values()
    )


def shortest_wait_us(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> int:
    """Returns the time until this host may send a request to any target."""
    return min(
        wait_us(state, service, target)
        for target in service.targets.values()
        if evacuation_domains.takes_requests(state, target)
    )


def on_sent(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> None:
    """Takes a permit for a request that is sent to a target."""
    for limit in _limits(state, target):
        _refill(state, service, limit)
        limit.permits -= 1.0


def on_probe_sent(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> None:
    """Takes a permit for a probe; those of a cold target are for requests."""
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
    excess = limit.permits - (1.0 + per_us * limit_shares.PERMIT_LIFETIME_US)
    if excess > 0:
        limit.permits -= math.ceil(excess)


def _permits_per_us(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    limit: targets.RateLimit,
) -> float:
    policy = state.configuration.policy(service.name)
    hosts = round(1 / fleet.share(state, policy))
    if hosts != limit.divided_by:
        per_s = (
            _used_per_s(limit, hosts, limit_shares.MAX_EXCESS_PROBABILITY)
            / hosts
        )
        if limit.holds_if_miscounted:
            largest = max(hosts, policy.gate_hosts_max)
            largest_per_s = _used_per_s(
                limit, largest, limit_shares.MAX_MISCOUNTED_PROBABILITY
            )
            per_s = min(per_s, largest_per_s / largest)
        limit.permits_per_us = per_s / 1e6
        limit.divided_by = hosts
    return limit.permits_per_us


def _used_per_s(
    limit: targets.RateLimit, hosts: int, max_probability: float
) -> float:
    """Returns the rate that a number of hosts uses of a limit together."""
    fraction = limit_shares.used_fraction(
        limit.requests_per_s, hosts, limit.tolerance, max_probability
    )
    return max(MIN_REQUESTS_PER_S, fraction * limit.requests_per_s)


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
