"""Bringing what a gate host does in line with the configuration."""

from collections.abc import Iterable

from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import entries as entries_lib
from fireflyspindle.core import events
from fireflyspindle.core import leaving
from fireflyspindle.core import records
from fireflyspindle.core import routing
from fireflyspindle.core import slow_start
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets


def fold_records(
    state: state_lib.GateState,
    log_entries: Iterable[events.LogEntry],
    *,
    allow_gaps: bool = False,
) -> None:
    """Folds records that follow one another, and puts them in force.

    Records before the fold are passed over; the first one that leaves a gap
    ends the work.

    Args:
        state: State of the gate host.
        log_entries: Records by ascending offset.
        with_holes: Whether offsets without a record hold none in the log.
    """
    config = state.configuration
    before = config.next_offset
    for entry in log_entries:
        if allow_gaps and entry.offset > config.next_offset:
            _report_missing_records(state, config.next_offset, entry.offset)
            configuration.skip_to(config, entry.offset)
        if entry.offset > config.next_offset:
            break
        if entry.offset == config.next_offset:
            state.recent_records.add(entry.offset, entry.body)
        report_fold_result(
            state, configuration.fold(config, entry.offset, entry.body)
        )
    if config.next_offset > before:
        refresh_services(state)


def _report_missing_records(
    state: state_lib.GateState, first: int, end: int
) -> None:
    detail = f"the log holds no record at offsets {first} to {end - 1}"
    state.emit(effects.Report("error", "record_missing", detail))


def merge_state(
    state: state_lib.GateState,
    entries: Iterable[entries_lib.Entry],
    covered_offset: int,
) -> None:
    """Takes in a whole state, and puts what is newer in force."""
    config = state.configuration
    configuration.merge(config, entries, covered_offset)
    detail = f"a state up to offset {covered_offset} was taken in"
    state.emit(effects.Report("info", "state_merged", detail))
    refresh_services(state)


def report_fold_result(
    state: state_lib.GateState, fold_result: configuration.FoldResult | None
) -> None:
    """Writes what became of a record, for people on call."""
    match fold_result:
        case configuration.Conflict(key, expected, found):
            detail = f"{key}: expected revision {expected}, found {found}"
            state.emit(effects.Report("warning", "record_conflict", detail))
        case configuration.Unreadable(offset, error):
            detail = f"record at offset {offset}: {error}"
            state.emit(effects.Report("error", "record_unreadable", detail))
        case configuration.Duplicate(key):
            detail = f"{key}: the record came again and changed nothing"
            state.emit(effects.Report("info", "record_repeated", detail))
        case configuration.Applied(key, revision):
            detail = f"{key} is in force at revision {revision}"
            state.emit(effects.Report("info", "record_applied", detail))
            _warn_about_route(state, key)


def _warn_about_route(state: state_lib.GateState, key: str) -> None:
    kind, _, name = key.partition("/")
    config = state.configuration
    if kind != "route":
        return
    for other in config.routes.sharing(name):
        detail = f"{key} has the path prefix of route/{other}; the newer wins"
        state.emit(effects.Report("warning", "route_shadows", detail))
    service = config.routes.service_named_by(name)
    if service is not None and service not in config.services:
        detail = f"{key} leads to service {service!r}, which has no record"
        state.emit(effects.Report("warning", "route_to_no_service", detail))


def refresh_services(state: state_lib.GateState) -> None:
    """Brings services in line with the records that have changed."""
    config = state.configuration
    for name in list(state.services):
        if name not in config.services:
            del state.services[name]
    for name, payload in config.services.items():
        service = state.services.setdefault(name, state_lib.ServiceState(name))
        policy = config.policy(name)
        if service.payload is payload and service.policy is policy:
            continue
        service.payload = payload
        service.policy = policy
        _refresh_targets(state, service, payload)
        routing.refresh(state, service)


def _refresh_targets(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    payload: records.Service,
) -> None:
    """Takes the targets of a record; one that stays keeps its counters."""
    before = service.targets
    service.targets = {}
    for spec in payload.targets:
        target = before.get(spec.key)
        if target is None:
            target = _new_target(state, service, spec, cold=bool(before))
        target.spec = spec
        service.targets[spec.key] = target
    service.ejected = {
        address: target
        for address, target in service.targets.items()
        if target.ejected
    }


def _new_target(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    spec: records.TargetSpec,
    cold: bool,
) -> targets.Target:
    target = targets.Target(spec)
    target.leaving = leaving.is_leaving(state, spec.address)
    if cold:
        slow_start.begin(state, service, target)
    return target
