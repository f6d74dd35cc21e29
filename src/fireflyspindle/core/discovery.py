"""Targets that register themselves in the platform's store.

What an entry says holds for one start of a target. Older entries may come
after newer ones; a start is never taken back to `ready` once it was seen
leaving, and a target that answers under another id is not the one listed.
"""

import attrs
import result

from fireflyspindle.core import budgets
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import in_force
from fireflyspindle.core import published
from fireflyspindle.core import readiness
from fireflyspindle.core import records
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_reads
from fireflyspindle.core import store_state
from fireflyspindle.core import targets
from fireflyspindle.core import timers

# Connections that this gate host opens to one target. The users' platform
# allows 8.5 and more for each gate host; two are left for probes and closing
# connections.
CONNECTIONS_PER_TARGET = 6

# Part of the agreed share of repeats that is used. Calls move between gate
# hosts with their callers, so the sum over all hosts needs a margin.
REPEAT_SHARE_USED = 0.8
# Gate hosts that the slack of repeats is divided by. The store names no number
# of them; the users' slack grows with their gate hosts, at 1.5 and more for
# each.
GATE_HOSTS_ASSUMED = 64

MISDIRECTED_STATUS = 421


@attrs.define(frozen=True)
class DiscoveredTarget(records.TargetSpec):
    """An endpoint as it registered itself.

    Attributes:
        incarnation: Id of the target.
        born_ms: Wall-clock time of its start; one id may start again.
    """

    incarnation: str = ""
    born_ms: int = 0

    @property
    def key(self) -> str:
        """The id, since addresses are used again by other targets."""
        return self.incarnation


def on_configuration_read(
    state: state_lib.GateState, event: events.ConfigurationRead
) -> None:
    """Takes what was read of the published configuration."""
    source = store_state.Source.CONFIGURATION
    if not store_reads.accept(state, source, event.passed_on):
        return
    document = event.document
    if document is not None:
        _put_in_force(state, document)
    store_reads.on_read(
        state,
        source,
        event.next_offset,
        changed=document is not None,
        passed_on=event.passed_on,
    )
    readiness.accept_callers(state)


def _put_in_force(
    state: state_lib.GateState, document: published.Document
) -> None:
    """Puts a configuration in force, unless it is an older one."""
    table = state.rules
    if table.version is not None and document.version <= table.version:
        return
    table.put_in_force(document)
    state.service_terms = {terms.name: terms for terms in document.services}
    state.emit(effects.LimitCallers(document.limits))
    detail = (
        f"version {document.version} is in force: {len(document.rules)} routes,"
        f" {len(document.services)} services"
    )
    state.emit(effects.Report("info", "configuration_in_force", detail))
    _refresh(state)


def on_targets_read(
    state: state_lib.GateState, event: events.TargetsRead
) -> None:
    """Takes entries that were written or removed."""
    source = store_state.Source.TARGETS
    if not store_reads.accept(state, source, event.passed_on):
        return
    known_offset = state.store_reads[source].next_offset
    changed = bool(event.entries or event.removed)
    store_reads.on_read(
        state, source, event.next_offset, changed, event.passed_on
    )
    readiness.accept_callers(state)
    if not changed and not event.whole:
        return
    if known_offset is not None and event.next_offset < known_offset:
        # Another read brought more meanwhile; an entry that this one lacks
        # may have been written since.
        return
    for entry in event.entries:
        _take(state, entry)
    gone = set(event.removed)
    if event.whole:
        present = {entry.target_id for entry in event.entries}
        gone |= state.registered.keys() - present
    for target_id in gone:
        _remove(state, target_id)
    _refresh(state)


def _take(state: state_lib.GateState, entry: events.TargetEntry) -> None:
    known = state.registered.get(entry.target_id)
    if known is not None and _age(entry) < _age(known.entry):
        return
    usable = records.build(lambda: _spec(entry, CONNECTIONS_PER_TARGET))
    if isinstance(usable, result.Err):
        detail = f"target {entry.target_id} can't be used: {usable.err_value}"
        state.emit(effects.Report("warning", "entry_unusable", detail))
        return
    if known is None or known.entry.born_ms != entry.born_ms:
        _forget_former_start(state, entry)
        known = store_state.Known(entry)
        state.registered[entry.target_id] = known
    known.entry = entry
    known.missing = False
    known.cold_until_us = state.now_us + entry.cold_left_ms * 1000
    if entry.draining and not known.leaving:
        known.leaving = True
        _report_left(state, known, "it is draining")


def _forget_former_start(
    state: state_lib.GateState, entry: events.TargetEntry
) -> None:
    for service in state.services.values():
        service.targets.pop(entry.target_id, None)
        service.ejected.pop(entry.target_id, None)


def _age(entry: events.TargetEntry) -> tuple[int, int]:
    return entry.born_ms, entry.sequence


def _remove(state: state_lib.GateState, target_id: str) -> None:
    """Drops a target, at once or after the time for it to register again."""
    known = state.registered.get(target_id)
    if known is None:
        return
    until_us = _rejoin_until_us(state)
    if not known.leaving and state.now_us < until_us:
        known.missing = True
        state.timers.add(until_us, timers.RejoinOver())
        return
    del state.registered[target_id]
    if not known.leaving:
        _report_left(state, known, "its entry was removed")


def _rejoin_until_us(state: state_lib.GateState) -> int:
    """Returns until when entries that an outage cost may come back."""
    reads = state.store_reads[store_state.Source.TARGETS]
    settings = state.settings.store
    if reads.regained_us is None or settings is None:
        return 0
    return reads.regained_us + settings.rejoin_ms * 1000


def on_rejoin_over(state: state_lib.GateState) -> None:
    """Drops the targets that did not register again after an outage."""
    if state.now_us < _rejoin_until_us(state):
        return
    missing = [
        target_id
        for target_id, known in state.registered.items()
        if known.missing
    ]
    for target_id in missing:
        _remove(state, target_id)
    if missing:
        _refresh(state)


def on_misdirected(state: state_lib.GateState, target: targets.Target) -> None:
    """Takes the sign that another target has the address of this one."""
    known = state.registered.get(target.spec.key)
    target.leaving = True
    if known is not None and not known.leaving:
        known.leaving = True
        _report_left(state, known, "another target answers at its address")


def on_report(
    state: state_lib.GateState,
    target: targets.Target,
    report: events.LoadReport,
) -> None:
    """Takes the id that an answer names."""
    if report.incarnation and report.incarnation != target.spec.key:
        on_misdirected(state, target)


def incarnation(target: targets.Target) -> str:
    """Returns the start of a target that a request is meant for, or ""."""
    spec = target.spec
    return spec.incarnation if isinstance(spec, DiscoveredTarget) else ""


def _report_left(
    state: state_lib.GateState, known: store_state.Known, why: str
) -> None:
    entry = known.entry
    detail = (
        f"{entry.service}: target {entry.target_id} at {entry.address} gets no"
        f" new calls: {why}"
    )
    state.emit(effects.Report("info", "target_left", detail))


def _refresh(state: state_lib.GateState) -> None:
    """Brings the services in line with the entries and the configuration."""
    found: dict[str, dict[str, store_state.Known]] = {
        name: {} for name in state.service_terms
    }
    for known in state.registered.values():
        listed = found.get(known.entry.service)
        if listed is not None:
            _list(listed, known)
    config = state.configuration
    for name, listed in found.items():
        terms = state.service_terms[name]
        specs = tuple(
            _spec(known.entry, terms.connection_limit)
            for known in listed.values()
        )
        service = config.services.get(name)
        if service is None or service.targets != specs:
            config.services[name] = records.Service(specs)
        policy = _policy(state, terms)
        if config.policies.get(name) != policy:
            config.policies[name] = policy
    for name in config.services.keys() - found.keys():
        del config.services[name]
        config.policies.pop(name, None)
    in_force.refresh_services(state)
    for name in found:
        _set_up(state, state.services[name])
    for known in state.registered.values():
        _mark(state, known)


def _list(
    listed: dict[str, store_state.Known], known: store_state.Known
) -> None:
    """Lists a target; of two at one address, the one that started last."""
    address = known.entry.address
    other = listed.get(address)
    if other is None or other.entry.born_ms <= known.entry.born_ms:
        listed[address] = known


def _spec(entry: events.TargetEntry, connection_limit: int) -> DiscoveredTarget:
    return DiscoveredTarget(
        address=entry.address,
        failure_domain=entry.failure_domain,
        slots=entry.slots,
        connection_limit=connection_limit,
        incarnation=entry.target_id,
        born_ms=entry.born_ms,
    )


def _policy(
    state: state_lib.GateState, terms: published.ServiceTerms
) -> records.Policy:
    settings = state.settings.store
    assert settings is not None
    return records.Policy(
        probes_per_s=settings.probes_per_s,
        retry_share=settings.repeat_share,
        hedge_share=0.0,
        slow_start_ms=0,
        gate_hosts_max=max(1, terms.connection_limit // CONNECTIONS_PER_TARGET),
    )


def _set_up(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Sets a service up that is new here."""
    settings = state.settings.store
    if service.repeats is not None or settings is None:
        return
    service.looks_ahead = True
    service.repeats = budgets.WindowBudget(
        share=REPEAT_SHARE_USED * settings.repeat_share,
        slack=max(1.0, settings.repeat_slack / GATE_HOSTS_ASSUMED),
        window_us=settings.repeat_window_ms * 1000,
    )


def _mark(state: state_lib.GateState, known: store_state.Known) -> None:
    service = state.services.get(known.entry.service)
    if service is None:
        return
    target = service.targets.get(known.entry.target_id)
    if target is None:
        return
    target.leaving = target.leaving or known.leaving
    target.warm_at_us = known.cold_until_us
