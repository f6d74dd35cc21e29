"""Detects that this gate host reaches no target, of one service or of all.

One target that fails may be down. When several fail and none answers in
between, the path from this host is more likely to be broken than each of them.
Checks, each on a new connection, then find out when targets are reachable
again. Only gate hosts that are configured by the platform's store use this.
"""

from collections.abc import Iterator

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import helper_list
from fireflyspindle.core import placement
from fireflyspindle.core import probes
from fireflyspindle.core import reachability_state
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets
from fireflyspindle.core import timers
from fireflyspindle.core.evacuation import domains as evacuation_domains

# Targets that must have failed since the last answer; all if there are fewer.
MIN_FAILED_TARGETS = 4
# Fewest targets by which a broken path can be told from targets that are down.
MIN_TARGETS = 2
# Minimum time without an answer; targets usually answer a probe within 6 ms.
MIN_SILENCE_US = 100_000
# Failed targets after which others are checked, so that a host with few calls
# detects a broken path as well.
SUSPICIOUS_TARGETS = 2
CHECK_INTERVAL_US = 100_000
# Longest time limit of a check. The limit follows the time that checks take:
# targets that answer them late may answer all calls.
MAX_CHECK_TIMEOUT_US = 1_000_000
# Longest time for which a check waits to be sent.
MAX_CHECK_DELAY_US = 100_000
# Consecutive answers to checks after which targets count as reachable.
ANSWERS_TO_REGAIN = 3

_PATH_FAILURES = frozenset(
    {
        events.FailureReason.REFUSED,
        events.FailureReason.UNREACHABLE,
        events.FailureReason.CONNECT_TIMEOUT,
        events.FailureReason.DISCONNECTED,
    }
)


def is_lost(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> bool:
    """Whether this host reaches no target of a service."""
    return state.reachability.lost or service.reachability.lost


def on_answered(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Records an answer of a target of a service."""
    for group in (state.reachability, service.reachability):
        group.answered_us = state.now_us
        group.failed_targets.clear()


def on_attempt_failed(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    reason: events.FailureReason,
) -> None:
    """Records an attempt that ended without an answer."""
    if reason in _PATH_FAILURES:
        _on_failed(state, service, target, reason.value)


def on_probe_ended(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    probe: state_lib.Probe,
    answered: bool,
) -> None:
    """Records the end of a probe or check."""
    if not answered:
        _on_failed(state, service, target, "no answer to a probe")
    elif probe.checks_reachability or not is_lost(state, service):
        on_answered(state, service)
    if not probe.checks_reachability:
        return
    _adapt_check_timeout(state, probe, answered)
    for group in (state.reachability, service.reachability):
        if group.lost:
            _count_check(group, probe, answered)
    if state.reachability.check_answers >= ANSWERS_TO_REGAIN:
        _regain(state, state.reachability, "targets", _all_services(state))
    if service.reachability.check_answers >= ANSWERS_TO_REGAIN:
        name = f"targets of service {service.name}"
        _regain(state, service.reachability, name, [service])


def _adapt_check_timeout(
    state: state_lib.GateState, probe: state_lib.Probe, answered: bool
) -> None:
    group = state.reachability
    shortest_us = reachability_state.CHECK_TIMEOUT_US
    if not answered:
        # One that is refused at once must not shorten the limit.
        shortest_us = group.check_timeout_us
    taken_us = state.now_us - probe.sent_us
    group.check_timeout_us = min(
        MAX_CHECK_TIMEOUT_US, max(shortest_us, 2 * taken_us)
    )


def _count_check(
    group: reachability_state.Reachability,
    probe: state_lib.Probe,
    answered: bool,
) -> None:
    if answered:
        group.check_answers += 1
        group.check_answered_us = max(group.check_answered_us, probe.sent_us)
    elif probe.sent_us >= group.check_answered_us:
        # An earlier one may have been lost before the path was back.
        group.check_answers = 0


def _on_failed(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    reason: str,
) -> None:
    if state.settings.store is None:
        return
    if not evacuation_domains.may_receive(state, target):
        return
    key = target.spec.key
    service.reachability.failed_targets.add(key)
    state.reachability.failed_targets.add(key)
    _detect_loss(state, state.reachability, "target", reason)
    if state.reachability.lost:
        return
    name = f"target of service {service.name}"
    _detect_loss(state, service.reachability, name, reason, service)
    if len(service.reachability.failed_targets) >= SUSPICIOUS_TARGETS:
        _schedule_check(state)


def _detect_loss(
    state: state_lib.GateState,
    group: reachability_state.Reachability,
    name: str,
    reason: str,
    service: state_lib.ServiceState | None = None,
) -> None:
    """Marks a group as lost once enough of its targets have failed."""
    if group.lost or state.now_us < group.answered_us + MIN_SILENCE_US:
        return
    present = sum(1 for _ in _present_targets(state, service))
    needed = max(MIN_TARGETS, min(MIN_FAILED_TARGETS, present))
    if len(group.failed_targets) < needed:
        return
    group.lost_us = state.now_us
    group.silent_us = group.answered_us
    group.check_answers = 0
    silent_ms = (state.now_us - group.answered_us) // 1000
    detail = (
        f"no {name} is reachable: {len(group.failed_targets)} of {present}"
        f" failed since the last answer {silent_ms} ms ago, the latest with:"
        f" {reason}"
    )
    state.emit(effects.WriteLogLine("warning", "targets_lost", detail))
    _schedule_check(state)
    helper_list.on_path_lost(state)


def _regain(
    state: state_lib.GateState,
    group: reachability_state.Reachability,
    name: str,
    services: list[state_lib.ServiceState],
) -> None:
    assert group.lost_us is not None
    lost_ms = (state.now_us - group.lost_us) // 1000
    detail = f"{name} are reachable again after {lost_ms} ms"
    state.emit(effects.WriteLogLine("info", "targets_regained", detail))
    for service in services:
        _forget_failures(service, group.silent_us)
        service.reachability = reachability_state.Reachability(state.now_us)
    group.lost_us = None
    group.check_answers = 0


def _forget_failures(service: state_lib.ServiceState, since_us: int) -> None:
    """Resets what failures since a time tell about single targets."""
    for target in service.targets.values():
        target.reported_load.unresponsive_until_us = 0
        target.reported_load.missed_probes = 0
        if target.ejected and target.health.ejected_us >= since_us:
            target.ejected = False
            target.health = targets.Health()
            del service.ejected[target.spec.key]


def on_check_due(state: state_lib.GateState) -> None:
    """Checks one target of each group that is or may be lost."""
    state.reachability_check_scheduled = False
    if state.reachability.lost:
        _check(state, None)
    else:
        for service in state.services.values():
            failed = len(service.reachability.failed_targets)
            if service.reachability.lost or failed >= SUSPICIOUS_TARGETS:
                _check(state, service)
    if _is_check_needed(state):
        _schedule_check(state)


def _is_check_needed(state: state_lib.GateState) -> bool:
    return state.reachability.lost or any(
        service.reachability.lost
        or len(service.reachability.failed_targets) >= SUSPICIOUS_TARGETS
        for service in state.services.values()
    )


def _check(
    state: state_lib.GateState, service: state_lib.ServiceState | None
) -> None:
    """Checks a random target of a service, or of all services."""
    present = [
        pair
        for pair in _present_targets(state, service)
        if state.now_us >= pair[1].paused_until_us
    ]
    unlimited = [pair for pair in present if pair[1].rate_limit is None]
    present = unlimited or present
    if not present or not placement.take_probe_token(state):
        return
    checked_service, target = state.random.choice(present)
    probes.send_probe(
        state,
        checked_service,
        target,
        MAX_CHECK_DELAY_US,
        checks_reachability=True,
        timeout_us=state.reachability.check_timeout_us,
    )


def _present_targets(
    state: state_lib.GateState, service: state_lib.ServiceState | None
) -> Iterator[tuple[state_lib.ServiceState, targets.Target]]:
    services = [service] if service is not None else _all_services(state)
    for candidate in services:
        for target in candidate.targets.values():
            if evacuation_domains.takes_requests(state, target):
                yield candidate, target


def _all_services(
    state: state_lib.GateState,
) -> list[state_lib.ServiceState]:
    return list(state.services.values())


def _schedule_check(state: state_lib.GateState) -> None:
    if state.reachability_check_scheduled:
        return
    state.reachability_check_scheduled = True
    at_us = state.now_us + CHECK_INTERVAL_US
    state.timers.add(at_us, timers.ReachabilityCheckDue())
