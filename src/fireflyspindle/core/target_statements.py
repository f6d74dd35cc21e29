"""What targets state about themselves in the headers of their answers.

A target that is leaving says so, and one that turns a request away may ask for
a pause. Both hold for one start of a target (its id and the time of the start):
a restart under the same id, or another target at the same address, is free of
them, and an entry of the same start that comes later does not end them.

A pause is no sign of illness, so it does not count towards ejection. It ends by
time only, unlike a limit, which ends when the target no longer states it. A
target that is leaving or paused is left out whatever else is known of it.
"""

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
from fireflyspindle.core import target_selection
from fireflyspindle.core import targets
from fireflyspindle.core.cold_targets import cold

# Statuses with which a target turns a request away for a while.
PAUSE_STATUSES = frozenset({429, 503})
# Longest pause that is kept.
MAX_PAUSE_US = 86_400_000_000
# Minimum time between two log lines about invalid headers of one target.
INVALID_LOG_INTERVAL_US = 60_000_000
# Most starts that are kept; the oldest are dropped.
MAX_STARTS = 10_000


def on_answer(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    report: events.LoadReport,
    *,
    declined: bool,
) -> bool:
    """Handles the statements in an answer of a target.

    Args:
        state: State of the gate host.
        service: Service of the target.
        target: The target, possibly of a start that has been replaced.
        report: What the answer states.
        declined: Whether the answer turns the request away.

    Returns:
        Whether the target asks for a pause.
    """
    start = start_of(target)
    if start is None or report.incarnation not in ("", start.target_id):
        return False
    if report.invalid_headers:
        _log_invalid(state, service, target, report.invalid_headers)
    if report.leaving:
        on_leaving(state, start)
    cold.on_report(state, service, target, report)
    if not declined or not report.retry_after_s:
        return False
    _pause(state, service, target, start, report.retry_after_s)
    return True


def on_leaving(state: state_lib.GateState, start: events.TargetStart) -> None:
    """Stops calls to a target that says that it is leaving."""
    registered = state.registered_targets.get(start.target_id)
    if registered is None or registered.start != start:
        record_leaving(state, start)
        return
    mark_leaving(state, registered, "it says that it is leaving")
    service = state.services.get(registered.entry.service)
    target = service.targets.get(start.target_id) if service else None
    if service is not None and target is not None and not target.leaving:
        target.leaving = True
        target_selection.refresh_candidates(state, service)


def mark_leaving(
    state: state_lib.GateState,
    registered: store_state.RegisteredTarget,
    reason: str,
) -> None:
    """Marks the start of a registered target as leaving, for good."""
    record_leaving(state, registered.start)
    if registered.leaving:
        return
    registered.leaving = True
    log_target_left(state, registered, reason)


def record_leaving(
    state: state_lib.GateState, start: events.TargetStart
) -> None:
    """Remembers that a start of a target is leaving."""
    state.leaving_starts[start] = None
    if len(state.leaving_starts) > MAX_STARTS:
        del state.leaving_starts[next(iter(state.leaving_starts))]


def log_target_left(
    state: state_lib.GateState,
    registered: store_state.RegisteredTarget,
    reason: str,
) -> None:
    """Logs that a target gets no new calls."""
    entry = registered.entry
    detail = (
        f"{entry.service}: target {entry.target_id} at {entry.address} gets no"
        f" new calls: {reason}"
    )
    state.emit(effects.WriteLogLine("info", "target_left", detail))


def restore(
    state: state_lib.GateState,
    registered: store_state.RegisteredTarget,
    target: targets.Target,
) -> bool:
    """Applies what a start has stated to the state of its target.

    Returns:
        Whether the target is newly leaving, so that the candidates of its
        service change.
    """
    target.paused_until_us = max(
        target.paused_until_us, state.pauses_us.get(registered.start, 0)
    )
    newly_leaving = registered.leaving and not target.leaving
    target.leaving = target.leaving or registered.leaving
    return newly_leaving


def start_of(target: targets.Target) -> events.TargetStart | None:
    """Returns the start of a target that registered itself, or None."""
    spec = target.spec
    if not isinstance(spec, targets.DiscoveredTarget):
        return None
    return events.TargetStart(spec.incarnation, spec.started_ms)


def _pause(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    start: events.TargetStart,
    pause_s: float,
) -> None:
    pause_us = min(MAX_PAUSE_US, int(pause_s * 1e6))
    until_us = state.now_us + pause_us
    was_paused = state.now_us < target.paused_until_us
    if until_us <= state.pauses_us.get(start, 0):
        return
    state.pauses_us[start] = until_us
    target.paused_until_us = until_us
    current = service.targets.get(start.target_id)
    if current is not None and start_of(current) == start:
        current.paused_until_us = until_us
    if was_paused:
        return
    for ended in [
        other
        for other, other_until_us in state.pauses_us.items()
        if other_until_us <= state.now_us
    ]:
        del state.pauses_us[ended]
    detail = (
        f"{service.name}: target {target.spec.key} takes no requests of this"
        f" host for {pause_us / 1e6:g} s, as it states"
    )
    state.emit(effects.WriteLogLine("info", "target_paused", detail))


def _log_invalid(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    invalid_headers: tuple[str, ...],
) -> None:
    if state.now_us < target.invalid_header_us + INVALID_LOG_INTERVAL_US:
        return
    target.invalid_header_us = state.now_us
    detail = (
        f"{service.name}: target {target.spec.key} sends invalid values of"
        f" {', '.join(invalid_headers)}"
    )
    state.emit(effects.WriteLogLine("warning", "target_header_invalid", detail))
