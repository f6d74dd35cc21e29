"""Finds out whether targets crashed while requests were in progress at them.

A connection can be lost for many reasons. A target has crashed if it refuses
connections from then on, although it was not leaving and other targets answer
this host. Otherwise the loss may be due to a reset of this connection, or to
the network.
"""

from fireflyspindle.core import crash_evidence
from fireflyspindle.core import crash_state
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import placement
from fireflyspindle.core import probes
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import target_statements
from fireflyspindle.core import targets
from fireflyspindle.core.evacuation import domains as evacuation_domains

# Time after a loss in which its reason must be found. A target that crashed may
# listen again seconds later.
CHECK_PERIOD_US = 1_000_000
# Most fingerprints in one log line.
MAX_LOGGED = 10


def on_attempt_failed(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
    event: events.AttemptFailed,
) -> None:
    """Handles an attempt that ended without an answer."""
    start = _start_in_use(state, attempt.target)
    if start is None:
        return
    match event.reason:
        case events.FailureReason.REFUSED:
            _on_refused(state, start)
        case events.FailureReason.DISCONNECTED:
            # After its deadline, an attempt may fail because this host was
            # frozen.
            in_time = state.now_us < call.deadline_us
            if event.sent and call.fingerprint and in_time:
                _on_lost(state, service, attempt.target, start, call)


def on_probe_refused(
    state: state_lib.GateState, target: targets.Target
) -> None:
    """Handles a probe whose connection was refused."""
    start = _start_in_use(state, target)
    if start is not None:
        _on_refused(state, start)


def on_answered(
    state: state_lib.GateState, target: targets.Target, asked_us: int
) -> None:
    """Handles an answer of a target.

    Args:
        state: State of the gate host.
        target: The target.
        asked_us: Time at which the request or probe was sent.
    """
    if not state.crashes.checks:
        return
    _drop_expired(state)
    start = target_statements.start_of(target)
    check = state.crashes.checks.get(start) if start is not None else None
    if start is not None and check is not None and asked_us > check.lost_us:
        del state.crashes.checks[start]
        if not check.crashed:
            _log_alive(state, start, check)
    for other_start, other in list(state.crashes.checks.items()):
        if other_start != start:
            _detect_crash(state, other_start, other)


def _start_in_use(
    state: state_lib.GateState, target: targets.Target
) -> events.TargetStart | None:
    """Returns the start of a target that is registered and not leaving."""
    start = target_statements.start_of(target)
    if start is None or target.leaving:
        return None
    registered = state.registered_targets.get(start.target_id)
    if registered is None or registered.start != start or registered.leaving:
        return None
    return start


def _on_lost(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    start: events.TargetStart,
    call: state_lib.Call,
) -> None:
    _drop_expired(state)
    check = state.crashes.checks.get(start)
    if check is None:
        check = crash_state.LostConnections(service.name, state.now_us)
        state.crashes.checks[start] = check
        may_probe = evacuation_domains.may_receive(state, target)
        if may_probe and state.now_us >= target.paused_until_us:
            if placement.take_probe_token(state):
                _send_check(state, service, target)
    check.fingerprints.add(call.fingerprint)
    if check.crashed:
        crash_evidence.on_crash(state, service.name, start, call.fingerprint)


def _send_check(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> None:
    probes.send_probe(
        state,
        service,
        target,
        placement.PROBE_TIMEOUT_US,
        checks_reachability=True,
    )


def _on_refused(state: state_lib.GateState, start: events.TargetStart) -> None:
    _drop_expired(state)
    check = state.crashes.checks.get(start)
    if check is not None:
        check.refused = True
        _detect_crash(state, start, check)


def _detect_crash(
    state: state_lib.GateState,
    start: events.TargetStart,
    check: crash_state.LostConnections,
) -> None:
    """Marks a target as crashed once other targets have answered since."""
    path_works = state.reachability.answered_us >= check.lost_us
    if check.crashed or not check.refused or not path_works:
        return
    registered = state.registered_targets.get(start.target_id)
    if registered is None or registered.start != start or registered.leaving:
        del state.crashes.checks[start]
        return
    check.crashed = True
    detail = (
        f"{check.service}: target {start.target_id} has crashed: it refuses"
        f" connections {(state.now_us - check.lost_us) // 1000} ms after it"
        f" lost those of the requests {_names(check)}"
    )
    state.emit(effects.WriteLogLine("warning", "target_crashed", detail))
    for fingerprint in sorted(check.fingerprints):
        crash_evidence.on_crash(state, check.service, start, fingerprint)


def _log_alive(
    state: state_lib.GateState,
    start: events.TargetStart,
    check: crash_state.LostConnections,
) -> None:
    detail = (
        f"{check.service}: target {start.target_id} answers although it lost"
        f" the connections of the requests {_names(check)}"
    )
    state.emit(effects.WriteLogLine("info", "connections_lost", detail))


def _names(check: crash_state.LostConnections) -> str:
    fingerprints = sorted(check.fingerprints)
    names = ", ".join(fingerprints[:MAX_LOGGED])
    left_out = len(fingerprints) - MAX_LOGGED
    return f"{names} and {left_out} more" if left_out > 0 else names


def _drop_expired(state: state_lib.GateState) -> None:
    oldest_us = state.now_us - CHECK_PERIOD_US
    for start, check in list(state.crashes.checks.items()):
        if check.lost_us < oldest_us:
            del state.crashes.checks[start]
