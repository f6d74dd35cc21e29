"""Service discovery: targets register themselves in the platform's store.

An entry describes one start of a target. Older entries may arrive after newer
ones. A start that was seen draining never becomes ready again, and a target
that answers with another id is not the registered one.
"""

import result

from fireflyspindle.core import budgets
from fireflyspindle.core import configuration_updates
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import fleet
from fireflyspindle.core import published
from fireflyspindle.core import readiness
from fireflyspindle.core import records
from fireflyspindle.core import removed_services
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_reads
from fireflyspindle.core import store_state
from fireflyspindle.core import target_selection
from fireflyspindle.core import target_statements
from fireflyspindle.core import targets
from fireflyspindle.core import timers
from fireflyspindle.core import unproven_calls
from fireflyspindle.core.cold_targets import cold
from fireflyspindle.core.evacuation import transitions as evacuation_transitions
from fireflyspindle.core.load_sharing import fairness
from fireflyspindle.core.organisations import proof
from fireflyspindle.core.quotas import limits as quota_limits

# Connections that this gate host opens to one target. The platform allows at
# least 8.5 per gate host; two are left for probes and closing connections.
CONNECTIONS_PER_TARGET = 6

# Longest time for which outages that follow each other keep the entry of a
# target that was removed, in grace periods.
MAX_GRACES = 3

MISDIRECTED_STATUS = 421


def on_configuration_read(
    state: state_lib.GateState, event: events.ConfigurationRead
) -> None:
    """Handles a read of the published configuration."""
    source = store_state.Source.CONFIGURATION
    if not store_reads.should_apply(state, source, event):
        return
    document = event.document
    # A configuration that lifts a quota sends calls that wait for permits.
    evacuation_transitions.on_configuration_read(state, event)
    if document is not None:
        if event.resets_position:
            _report_older_version(state, document)
        _apply_configuration(state, document)
    reads = state.store_reads[source]
    if event.newest_is_decodable is not None:
        # A reader that is behind may relay an older, decodable version.
        if event.resets_position or event.next_offset >= (
            reads.next_offset or 0
        ):
            reads.has_undecodable_record = not event.newest_is_decodable
    proof.on_configuration_read(state, event)
    store_reads.on_read_succeeded(
        state, source, event, changed=document is not None
    )
    unproven_calls.on_configuration_read(state)
    readiness.accept_callers(state)


def _report_older_version(
    state: state_lib.GateState, document: published.Document
) -> None:
    """Logs that the store has lost the version in force, which stays."""
    version = state.rule_table.version
    if version is None or document.version >= version:
        return
    detail = (
        f"the store holds version {document.version}, which is older than"
        f" version {version}; version {version} stays in force"
    )
    state.emit(effects.WriteLogLine("warning", "configuration_older", detail))


def _apply_configuration(
    state: state_lib.GateState, document: published.Document
) -> None:
    """Applies a configuration that is newer than the current one."""
    table = state.rule_table
    if table.version is not None and document.version <= table.version:
        return
    table.replace_rules(document)
    state.organisations.replace(document)
    fairness.on_configuration(state, document)
    state.service_settings = {
        service.name: service for service in document.services
    }
    quota_limits.on_configuration(state, document)
    state.emit(effects.SetCallerLimits(document.limits))
    detail = (
        f"version {document.version} is active: {len(document.rules)} routes,"
        f" {len(document.services)} services"
    )
    state.emit(effects.WriteLogLine("info", "configuration_in_force", detail))
    refresh_services(state)


def on_targets_read(
    state: state_lib.GateState, event: events.TargetsRead
) -> None:
    """Handles a read of written and removed target entries."""
    source = store_state.Source.TARGETS
    if not store_reads.should_apply(state, source, event):
        return
    previous_offset = state.store_reads[source].next_offset
    changed = bool(event.entries or event.removed)
    store_reads.on_read_succeeded(state, source, event, changed)
    readiness.accept_callers(state)
    if not changed and not event.is_snapshot:
        return
    if (
        previous_offset is not None
        and event.next_offset < previous_offset
        and not event.resets_position
    ):
        # A read that covers more records was applied first. This one is out
        # of date: an entry that it lacks may have been written since.
        return
    for entry in event.entries:
        _apply_entry(state, entry)
    removed_ids = set(event.removed)
    if event.is_snapshot:
        present = {entry.target_id for entry in event.entries}
        removed_ids |= state.registered_targets.keys() - present
    for target_id in removed_ids:
        _remove_target(state, target_id)
    refresh_services(state)


def _apply_entry(
    state: state_lib.GateState, entry: events.TargetRegistration
) -> None:
    registered = state.registered_targets.get(entry.target_id)
    if registered is not None and _entry_order(entry) < _entry_order(
        registered.entry
    ):
        return
    if registered is not None and registered.entry == entry:
        # Its remaining warm-up is as of the first read of this entry.
        registered.expired_us = None
        return
    spec_result = records.build(
        lambda: _target_spec(entry, CONNECTIONS_PER_TARGET)
    )
    if isinstance(spec_result, result.Err):
        detail = (
            f"entry of target {entry.target_id} ignored:"
            f" {spec_result.err_value}"
        )
        state.emit(effects.WriteLogLine("warning", "entry_unusable", detail))
        return
    if registered is None or registered.entry.started_ms != entry.started_ms:
        _discard_previous_start(state, entry)
        registered = store_state.RegisteredTarget(entry)
        registered.leaving = registered.start in state.leaving_starts
        state.registered_targets[entry.target_id] = registered
    registered.entry = entry
    registered.expired_us = None
    registered.warmup_until_us = state.now_us + entry.warmup_left_ms * 1000
    if entry.draining:
        target_statements.mark_leaving(state, registered, "it is draining")


def _discard_previous_start(
    state: state_lib.GateState, entry: events.TargetRegistration
) -> None:
    for service in state.services.values():
        service.targets.pop(entry.target_id, None)
        service.ejected.pop(entry.target_id, None)


def _entry_order(entry: events.TargetRegistration) -> tuple[int, int]:
    return entry.started_ms, entry.sequence


def _remove_target(state: state_lib.GateState, target_id: str) -> None:
    """Removes a target, but not in the grace period after a store outage."""
    registered = state.registered_targets.get(target_id)
    if registered is None:
        return
    if registered.expired_us is None:
        registered.expired_us = state.now_us
    deadline_us = _reregistration_deadline_us(state, registered)
    if not registered.leaving and state.now_us < deadline_us:
        state.timers.add(deadline_us, timers.ReregistrationGraceExpired())
        return
    del state.registered_targets[target_id]
    if not registered.leaving:
        target_statements.log_target_left(
            state, registered, "its entry was removed"
        )


def _reregistration_deadline_us(
    state: state_lib.GateState, registered: store_state.RegisteredTarget
) -> int:
    """Returns the end of the grace period for an entry lost in an outage."""
    reads = state.store_reads[store_state.Source.TARGETS]
    settings = state.settings.store
    if reads.recovered_us is None or settings is None:
        return 0
    grace_us = settings.reregistration_grace_ms * 1000
    deadline_us = reads.recovered_us + grace_us
    if registered.expired_us is None:
        return deadline_us
    return min(deadline_us, registered.expired_us + MAX_GRACES * grace_us)


def on_reregistration_grace_expired(state: state_lib.GateState) -> None:
    """Removes the targets that did not register again after an outage."""
    deadlines_us = {
        target_id: _reregistration_deadline_us(state, registered)
        for target_id, registered in state.registered_targets.items()
        if registered.expired_us is not None
    }
    due = [
        target_id
        for target_id, deadline_us in deadlines_us.items()
        if deadline_us <= state.now_us
    ]
    for target_id in due:
        _remove_target(state, target_id)
        del deadlines_us[target_id]
    if deadlines_us:
        # Another outage has moved the end; the removals are not read again.
        state.timers.add(
            min(deadlines_us.values()), timers.ReregistrationGraceExpired()
        )
    if due:
        refresh_services(state)


def on_misdirected(state: state_lib.GateState, target: targets.Target) -> None:
    """Stops calls to a target whose address another target has taken over."""
    target.leaving = True
    registered = state.registered_targets.get(target.spec.key)
    if registered is None or registered.leaving:
        return
    if registered.start == target_statements.start_of(target):
        registered.leaving = True
        target_statements.log_target_left(
            state, registered, "another target answers at its address"
        )


def check_incarnation(
    state: state_lib.GateState,
    target: targets.Target,
    report: events.LoadReport,
) -> None:
    """Compares the id in a load report with that of the registered target."""
    if report.incarnation and report.incarnation != target.spec.key:
        on_misdirected(state, target)


def refresh_services(state: state_lib.GateState) -> None:
    """Updates services from the entries, the configuration and the fleet."""
    registered_by_service: dict[
        str, dict[str, store_state.RegisteredTarget]
    ] = {name: {} for name in state.service_settings}
    for registered in state.registered_targets.values():
        targets_by_address = registered_by_service.get(registered.entry.service)
        if targets_by_address is not None:
            _select_by_address(targets_by_address, registered)
    config = state.configuration
    for name, targets_by_address in registered_by_service.items():
        service_settings = state.service_settings[name]
        specs = tuple(
            _target_spec(registered.entry, service_settings.connection_limit)
            for registered in targets_by_address.values()
        )
        service = config.services.get(name)
        if service is None or service.targets != specs:
            config.services[name] = records.Service(specs)
        policy = _service_policy(state, service_settings)
        if config.policies.get(name) != policy:
            config.policies[name] = policy
    for name in config.services.keys() - registered_by_service.keys():
        del config.services[name]
        config.policies.pop(name, None)
    removed = state.services.keys() - registered_by_service.keys()
    configuration_updates.refresh_services(state)
    if removed:
        removed_services.refuse_waiting(state)
    for name in registered_by_service:
        _init_service(state, state.services[name])
    _update_targets(state)


def _select_by_address(
    targets_by_address: dict[str, store_state.RegisteredTarget],
    registered: store_state.RegisteredTarget,
) -> None:
    """Adds a target; the latest start wins when two share an address."""
    address = registered.entry.address
    other = targets_by_address.get(address)
    if other is None or other.entry.started_ms <= registered.entry.started_ms:
        targets_by_address[address] = registered


def _target_spec(
    entry: events.TargetRegistration, connection_limit: int
) -> targets.DiscoveredTarget:
    return targets.DiscoveredTarget(
        address=entry.address,
        failure_domain=entry.failure_domain,
        slots=entry.slots,
        connection_limit=connection_limit,
        incarnation=entry.target_id,
        started_ms=entry.started_ms,
    )


def _service_policy(
    state: state_lib.GateState, service_settings: published.ServiceSettings
) -> records.Policy:
    settings = state.settings.store
    assert settings is not None
    return records.Policy(
        probes_per_s=settings.probes_per_s,
        retry_share=settings.resend_share,
        hedge_share=settings.hedge_share,
        slow_start_ms=0,
        gate_hosts_max=max(
            1,
            service_settings.connection_limit // CONNECTIONS_PER_TARGET,
            fleet.counted_hosts(state) or 0,
        ),
    )


def _init_service(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Enables probe rounds and the resend budget of a new service."""
    settings = state.settings.store
    if service.resend_budget is not None or settings is None:
        return
    service.probes_before_send = True
    service.resend_budget = budgets.WindowBudget(
        share=fleet.RESEND_BUDGET_FRACTION * settings.resend_share,
        window_us=settings.resend_window_ms * 1000,
    )


def _update_targets(state: state_lib.GateState) -> None:
    """Updates all targets from their entries."""
    changed_services: dict[str, None] = {}
    for registered in state.registered_targets.values():
        if _update_target(state, registered):
            changed_services[registered.entry.service] = None
    for name in changed_services:
        target_selection.refresh_candidates(state, state.services[name])


def _update_target(
    state: state_lib.GateState, registered: store_state.RegisteredTarget
) -> bool:
    """Updates a target from its entry; returns whether it is newly leaving."""
    service = state.services.get(registered.entry.service)
    if service is None:
        return False
    target = service.targets.get(registered.entry.target_id)
    if target is None:
        return False
    target.slow_start_until_us = registered.warmup_until_us
    cold.update(state, service, target)
    return target_statements.restore(state, registered, target)
