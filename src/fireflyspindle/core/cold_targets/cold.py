"""Cold targets get a limited number of requests from all gate hosts together.

Load pattern: a target that has just started, or a whole failure domain that
comes back, looks idle, so that every gate host would choose it at one moment,
and it crashes above its rate. Each host accrues permits at its share of the
rate, by the same code as for the limits that targets state; see
`target_limits`. The longest of the times that the target's entry, its answers
and the end of an evacuation give counts.
"""

from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import target_limits
from fireflyspindle.core import targets

# Longest cold time that an answer of a target is believed to state.
MAX_STATED_US = 86_400_000_000
# The tolerance of cold targets holds in any window of this length.
TOLERANCE_WINDOW_S = 1.0


def settings_of(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> published.ServiceSettings | None:
    """Returns the settings of a service if its cold targets are limited."""
    store = state.settings.store
    if store is None or store.cold_tolerance is None:
        return None
    settings = state.service_settings.get(service.name)
    if settings is None or settings.cold_requests_per_s <= 0:
        return None
    return settings


def update(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> None:
    """Updates until when a target is cold, and its limit."""
    settings = settings_of(state, service)
    if settings is None:
        target.cold_limit = None
        return
    until_us = max(
        _entry_until_us(state, target),
        target.cold.stated_until_us,
        target.cold.assumed_until_us,
    )
    target.slow_start_until_us = until_us
    if state.now_us >= until_us:
        return
    limit = target.cold_limit
    if limit is not None and _is_of(state, settings, limit):
        # The largest possible number of hosts may have changed.
        limit.divided_by = 0
        return
    # A random start spreads the permits of the hosts over time. The limit is
    # kept while the target is warm, so that a target that changes between both
    # gets no more of them.
    target.cold_limit = targets.RateLimit(
        requests_per_s=settings.cold_requests_per_s,
        stated_us=state.now_us,
        permits=state.random.random(),
        refilled_us=state.now_us,
        tolerance=_tolerance(state),
        holds_if_miscounted=True,
    )
    target_limits.refresh_limited(service)


def _is_of(
    state: state_lib.GateState,
    settings: published.ServiceSettings,
    limit: targets.RateLimit,
) -> bool:
    return (
        limit.requests_per_s == settings.cold_requests_per_s
        and limit.tolerance == _tolerance(state)
    )


def _tolerance(state: state_lib.GateState) -> targets.Tolerance:
    store = state.settings.store
    assert store is not None
    assert store.cold_tolerance is not None
    return targets.Tolerance(
        TOLERANCE_WINDOW_S,
        store.cold_tolerance.factor,
        store.cold_tolerance.slack_requests,
    )


def _entry_until_us(state: state_lib.GateState, target: targets.Target) -> int:
    """Returns the end of the cold time that the target's entry states."""
    registered = state.registered_targets.get(target.spec.key)
    if registered is None:
        return 0
    cold = target.cold
    if registered.entry.sequence > cold.assumed_sequence:
        cold.assumed_until_us = min(
            cold.assumed_until_us, registered.warmup_until_us
        )
    return registered.warmup_until_us


def on_report(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    report: events.LoadReport,
) -> None:
    """Handles the cold time that an answer of a target states."""
    if report.cold_left_ms is None:
        return
    left_us = min(MAX_STATED_US, int(report.cold_left_ms * 1000))
    target.cold.stated_until_us = state.now_us + left_us
    update(state, service, target)


def on_evacuation_ended(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> None:
    """Treats a target as cold after an evacuation of its failure domain."""
    settings = settings_of(state, service)
    if settings is None:
        return
    registered = state.registered_targets.get(target.spec.key)
    target.cold.assumed_sequence = (
        registered.entry.sequence if registered is not None else 0
    )
    target.cold.assumed_until_us = state.now_us + settings.cold_start_ms * 1000
    update(state, service, target)


def cold_targets(state: state_lib.GateState) -> int:
    """Returns how many targets get a limited number of requests as cold."""
    return sum(
        target_limits.cold_limit(state, target) is not None
        for service in state.services.values()
        for target in service.targets.values()
    )
