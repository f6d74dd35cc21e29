"""Limits that targets state on the requests from all gate hosts together."""

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import fleet
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

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
            _log(state, service, target, "no longer limits its requests")
        return
    if header.requests_per_s is None:
        if limit is None or answer not in limit.stated_by:
            detail = f"{_name(service, target)} states an invalid limit"
            state.emit(effects.WriteLogLine("warning", "target_limit", detail))
        return
    if limit is None:
        limit = targets.RateLimit(header.requests_per_s, state.now_us)
        target.rate_limit = limit
        _log_limit(state, service, target, limit, answer)
    limit.stated_by.add(answer)
    if limit.requests_per_s == header.requests_per_s:
        return
    limit.requests_per_s = header.requests_per_s
    if state.now_us >= limit.logged_us + LOG_INTERVAL_US:
        _log_limit(state, service, target, limit, answer)


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
