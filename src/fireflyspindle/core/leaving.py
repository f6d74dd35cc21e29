"""Tracks which targets are leaving, by incarnation.

Successive incarnations of a target may use one address. Once an incarnation is
marked as leaving, it stays so; only an id that was never seen before ends the
mark. Notices about a replaced incarnation are ignored.
"""

from fireflyspindle.core import events
from fireflyspindle.core import incarnations
from fireflyspindle.core import slow_start
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

MAX_ADDRESSES = 10_000


def note(state: state_lib.GateState, address: str) -> None:
    """Marks the current incarnation at an address as leaving."""
    history = _history(state, address)
    history.leaving = True
    for _, target in _targets_at(state, address):
        target.leaving = True


def note_from_peer(
    state: state_lib.GateState, notice: incarnations.Sign
) -> None:
    """Handles a peer's notice, which may be about another incarnation.

    A notice without ids is applied only if this host knows no id either. A
    notice whose ids share no source with those known here is applied to the
    current incarnation.
    """
    history = _history(state, notice.address)
    if any(qualified_id in history.past for qualified_id in notice.ids):
        return
    if not notice.ids:
        if not history.ids:
            note(state, notice.address)
        return
    ids_by_source = _ids_by_source(notice)
    if any(
        history.ids.get(source) == incarnation_id
        for source, incarnation_id in ids_by_source.items()
    ):
        history.ids = ids_by_source | history.ids
        note(state, notice.address)
        return
    history.foretold.extend(
        qualified_id
        for qualified_id in notice.ids
        if qualified_id not in history.foretold
    )
    if not ids_by_source.keys() & history.ids.keys():
        note(state, notice.address)


def signs(state: state_lib.GateState) -> list[incarnations.Sign]:
    """Returns a notice for each configured target that is leaving."""
    return [
        incarnations.Sign(address, history.texts())
        for address, history in state.tenures.items()
        if history.leaving and _targets_at(state, address)
    ]


def on_report(
    state: state_lib.GateState, address: str, report: events.LoadReport
) -> None:
    """Handles the incarnation and leaving flag of a load report."""
    is_current = True
    if report.incarnation:
        source = incarnations.Source.ANSWER
        is_current = _record_id(state, address, source, report.incarnation)
    if report.leaving and is_current:
        note(state, address)


def on_host_list(
    state: state_lib.GateState, event: events.HostListRead
) -> None:
    """Handles the incarnations and leaving flags of the platform's host list.

    A target that is missing from the list is not marked: the list lags, and a
    truncated one must not remove all targets. Targets that are not configured
    are recorded too, because a new host may read the list before the
    configuration.
    """
    source = incarnations.Source.HOST_LIST
    for host in event.targets:
        is_current = _record_id(state, host.address, source, host.host_id)
        if host.leaving and is_current:
            note(state, host.address)


def is_leaving(state: state_lib.GateState, address: str) -> bool:
    """Whether the current incarnation at an address is leaving."""
    history = state.tenures.get(address)
    return history is not None and history.leaving


def reports_incarnation(state: state_lib.GateState, address: str) -> bool:
    """Whether the target at an address reports its incarnation."""
    history = state.tenures.get(address)
    return history is not None and incarnations.Source.ANSWER in history.ids


def _ids_by_source(notice: incarnations.Sign) -> dict[incarnations.Source, str]:
    split_ids = [qualified_id.partition(":") for qualified_id in notice.ids]
    return {
        source: incarnation_id
        for source in incarnations.Source
        for name, _, incarnation_id in split_ids
        if name == source.value
    }


def _record_id(
    state: state_lib.GateState,
    address: str,
    source: incarnations.Source,
    reported_id: str,
) -> bool:
    """Records an id; returns whether it is the current incarnation's."""
    history = _history(state, address)
    known_id = history.ids.get(source)
    if known_id == reported_id:
        return True
    qualified_id = f"{source.value}:{reported_id}"
    if qualified_id in history.past:
        return False
    if known_id is not None:
        _replace_incarnation(state, address, history)
    history.ids[source] = reported_id
    if qualified_id in history.foretold:
        note(state, address)
    return True


def _replace_incarnation(
    state: state_lib.GateState, address: str, history: incarnations.Tenure
) -> None:
    history.past.extend(history.texts())
    history.ids.clear()
    history.leaving = False
    for service, target in _targets_at(state, address):
        target.leaving = False
        slow_start.begin(state, service, target)


def _history(state: state_lib.GateState, address: str) -> incarnations.Tenure:
    history = state.tenures.get(address)
    if history is None:
        history = incarnations.Tenure()
        state.tenures[address] = history
        _evict_unconfigured(state)
    return history


def _evict_unconfigured(state: state_lib.GateState) -> None:
    if len(state.tenures) <= MAX_ADDRESSES:
        return
    for address in list(state.tenures):
        if not _targets_at(state, address):
            del state.tenures[address]


def _targets_at(
    state: state_lib.GateState, address: str
) -> list[tuple[state_lib.ServiceState, targets.Target]]:
    return [
        (service, service.targets[address])
        for service in state.services.values()
        if address in service.targets
    ]
