"""The start and the end of evacuations of failure domains.

An evacuation is in force on this host as soon as its record is read. Requests
that were sent before run to completion; every other one is placed elsewhere or
refused in the same step. The last known state holds while the store can't be
read.
"""

from collections.abc import Collection, Set

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import placement
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
from fireflyspindle.core import target_selection
from fireflyspindle.core.cold_targets import cold
from fireflyspindle.core.evacuation import domains
from fireflyspindle.core.evacuation import evacuation_state


def on_configuration_read(
    state: state_lib.GateState, event: events.ConfigurationRead
) -> None:
    """Starts and ends evacuations, before the read counts as applied."""
    settings = state.settings.store
    if settings is None or settings.evacuation_limit_ms is None:
        return
    applied_offset = state.store_reads[
        store_state.Source.CONFIGURATION
    ].next_offset
    if (
        applied_offset is not None
        and event.next_offset < applied_offset
        and not event.resets_position
    ):
        # A read that covers more records was applied first; what this one
        # says of a failure domain may have changed since.
        return
    if event.is_snapshot:
        apply(state, event.evacuated)
        return
    current = state.evacuations.by_domain.keys()
    apply(state, (current | event.evacuated) - event.evacuations_ended)


def apply(state: state_lib.GateState, evacuated: Set[str]) -> None:
    """Makes exactly the given failure domains evacuated."""
    by_domain = state.evacuations.by_domain
    ended = sorted(by_domain.keys() - evacuated)
    started = sorted(evacuated - by_domain.keys())
    if not ended and not started:
        return
    for domain in ended:
        _end(state, domain)
    for domain in started:
        by_domain[domain] = evacuation_state.Evacuation(
            state.now_us, _count_in_flight(state, domain)
        )
    for service in state.services.values():
        _refresh(state, service, {*ended, *started})
        _begin_cold(state, service, ended)
    for domain in started:
        _log_started(state, domain)
    if started:
        _refuse_unplaceable(state)


def _refresh(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    changed: Set[str],
) -> None:
    """Updates what a service derives from its present targets."""
    affected = [
        target
        for target in service.targets.values()
        if target.spec.failure_domain in changed
    ]
    if not affected:
        return
    target_selection.refresh_candidates(state, service)
    service.capacity.refresh_at_us = state.now_us
    for target in affected:
        # Failures there tell nothing about the path to the other targets.
        service.reachability.failed_targets.discard(target.spec.key)
        state.reachability.failed_targets.discard(target.spec.key)


def _begin_cold(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    ended: Collection[str],
) -> None:
    """Treats the targets that get requests again as cold."""
    for target in service.targets.values():
        if target.spec.failure_domain in ended:
            cold.on_evacuation_ended(state, service, target)


def _refuse_unplaceable(state: state_lib.GateState) -> None:
    """Refuses the calls that have not been sent and have no target left."""
    without_target = {
        name: service
        for name, service in state.services.items()
        if domains.leaves_no_target(state, service)
    }
    for call in list(state.calls.values()):
        service = without_target.get(call.service)
        if service is None:
            continue
        queued = service.queue.remove(call.call_id)
        waits = queued or call.call_id in service.waiting_calls
        if not waits and call.probe_round is None:
            continue
        call.probe_round = None
        if not call.attempts:
            placement.refuse_no_target(state, service, call)


def _count_in_flight(state: state_lib.GateState, domain: str) -> int:
    return sum(
        not attempt.relayed and attempt.target.spec.failure_domain == domain
        for call in state.calls.values()
        for attempt in call.attempts.values()
    )


def _log_started(state: state_lib.GateState, domain: str) -> None:
    evacuation = state.evacuations.by_domain[domain]
    counts = [
        sum(
            target.spec.failure_domain == domain
            for target in service.targets.values()
        )
        for service in state.services.values()
    ]
    without = [
        name
        for name, service in sorted(state.services.items())
        if domains.leaves_no_target(state, service)
    ]
    detail = (
        f"failure domain {domain!r} is evacuated: {sum(counts)} targets of"
        f" {sum(map(bool, counts))} services get no new requests;"
        f" {evacuation.in_flight} requests of this host still run there"
    )
    if without:
        detail += f"; no target is left of {', '.join(without)}"
    state.emit(effects.WriteLogLine("info", "evacuation_started", detail))
    if not evacuation.in_flight:
        domains.log_drained(state, domain)


def _end(state: state_lib.GateState, domain: str) -> None:
    evacuation = state.evacuations.by_domain.pop(domain)
    elapsed_ms = (state.now_us - evacuation.started_us) // 1000
    detail = (
        f"failure domain {domain!r} gets requests again, {elapsed_ms} ms after"
        f" its evacuation started here; {evacuation.in_flight} requests from"
        " before it still run there"
    )
    state.emit(effects.WriteLogLine("info", "evacuation_ended", detail))
