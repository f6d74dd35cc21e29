"""Applies the configuration to the services and targets of a gate host."""

from collections.abc import Iterable

from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import entries as entries_lib
from fireflyspindle.core import events
from fireflyspindle.core import leaving
from fireflyspindle.core import records
from fireflyspindle.core import slow_start
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import target_selection
from fireflyspindle.core import targets


def fold_records(
    state: state_lib.GateState,
    log_entries: Iterable[events.LogEntry],
    *,
    allow_gaps: bool = False,
) -> None:
    """Applies contiguous records to the configuration and the services.

    Skips records that are already applied, and stops at the first gap.

    Args:
        state: State of the gate host.
        log_entries: Records by ascending offset.
        allow_gaps: Whether to skip a gap in the offsets, because the log has
            no record there.
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
    detail = (
        f"the log has no record at offsets {first} to {end - 1}; skipped them"
    )
    state.emit(effects.WriteLogLine("error", "record_missing", detail))


def merge_state(
    state: state_lib.GateState,
    entries: Iterable[entries_lib.Entry],
    covered_offset: int,
) -> None:
    """Merges a complete state and applies its newer entries."""
    config = state.configuration
    configuration.merge(config, entries, covered_offset)
    detail = f"merged a state up to offset {covered_offset}"
    state.emit(effects.WriteLogLine("info", "state_merged", detail))
    refresh_services(state)


def report_fold_result(
    state: state_lib.GateState, fold_result: configuration.FoldResult | None
) -> None:
    """Logs the result of applying a record, for operators."""
    match fold_result:
        case configuration.Conflict(key, expected, found):
            detail = (
                f"{key}: refused a record: expected revision {expected}, found"
                f" {found}"
            )
            state.emit(
                effects.WriteLogLine("warning", "record_conflict", detail)
            )
        case configuration.Unreadable(offset, error):
            detail = f"record at offset {offset}: {error}"
            state.emit(
                effects.WriteLogLine("error", "record_unreadable", detail)
            )
        case configuration.Duplicate(key):
            detail = f"{key}: ignored a duplicate of its current record"
            state.emit(effects.WriteLogLine("info", "record_repeated", detail))
        case configuration.Applied(key, revision):
            detail = f"{key} is active at revision {revision}"
            state.emit(effects.WriteLogLine("info", "record_applied", detail))
            _warn_about_route(state, key)


def _warn_about_route(state: state_lib.GateState, key: str) -> None:
    kind, _, name = key.partition("/")
    config = state.configuration
    if kind != "route":
        return
    for other in config.routes.others_with_same_prefix(name):
        detail = (
            f"{key} has the same path prefix as route/{other}; the newer route"
            " takes precedence"
        )
        state.emit(effects.WriteLogLine("warning", "route_shadows", detail))
    service = config.routes.service_of_record(name)
    if service is not None and service not in config.services:
        detail = f"{key} refers to service {service!r}, which does not exist"
        state.emit(
            effects.WriteLogLine("warning", "route_to_no_service", detail)
        )


def refresh_services(state: state_lib.GateState) -> None:
    """Updates the services whose records have changed."""
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
        target_selection.refresh_candidates(state, service)


def _refresh_targets(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    payload: records.Service,
) -> None:
    """Updates the targets of a service; existing ones keep their counters."""
    before = service.targets
    service.targets = {}
    for spec in payload.targets:
        target = before.get(spec.key)
        if target is None:
            target = _new_target(
                state, service, spec, starts_slowly=bool(before)
            )
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
    starts_slowly: bool,
) -> targets.Target:
    target = targets.Target(spec)
    target.leaving = leaving.is_leaving(state, spec.address)
    if starts_slowly:
        slow_start.begin(state, service, target)
    return target
