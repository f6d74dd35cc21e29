"""Tracks which targets are leaving, by incarnation.

Successive incarnations of a target may use one address. Once an incarnation is
marked as leaving, it stays so; only an id that was never seen before clears the
mark. Notices about a replaced incarnation are ignored.
"""

from fireflyspindle.core import events
from fireflyspindle.core import incarnations
from fireflyspindle.core import slow_start
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import target_selection
from fireflyspindle.core import targets

MAX_ADDRESSES = 10_000


def mark_leaving(state: state_lib.GateState, address: str) -> None:
    """Marks the current incarnation at an address as leaving."""
    history = _history(state, address)
    history.leaving = True
    for _, target in _targets_at(state, address):
        target.leaving = True


def on_peer_notice(
    state: state_lib.GateState, notice: incarnations.LeavingNotice
) -> None:
    """Handles a peer's notice, which may be about another incarnation.

    A notice without ids is applied only if this host knows no id either. A
    notice whose ids share no source with those known here is applied to the
    current incarnation.
    """
    history = _history(state, notice.address)
    if any(qualified_id in history.past_ids for qualified_id in notice.ids):
        return
    if not notice.ids:
        if not history.ids:
            mark_leaving(state, notice.address)
        return
    ids_by_source = _ids_by_source(notice)
    if any(
        history.ids.get(source) == incarnation_id
        for source, incarnation_id in ids_by_source.items()
    ):
        history.ids = ids_by_source | history.ids
        mark_leaving(state, notice.address)
        return
    history.announced_ids.extend(
        qualified_id
        for qualified_id in notice.ids
        if qualified_id not in history.announced_ids
    )
    if not ids_by_source.keys() & history.ids.keys():
        mark_leaving(state, notice.address)


def leaving_notices(
    state: state_lib.GateState,
) -> list[incarnations.LeavingNotice]:
    """Returns a notice for each configured target that is leaving."""
    return [
        incarnations.LeavingNotice(address, history.qualified_ids())
        for address, history in state.incarnation_histories.items()
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
        mark_leaving(state, address)


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
            mark_leaving(state, host.address)


def is_leaving(state: state_lib.GateState, address: str) -> bool:
    """Whether the current incarnation at an address is leaving."""
    history = state.incarnation_histories.get(address)
    return history is not None and history.leaving


def reports_incarnation(state: state_lib.GateState, address: str) -> bool:
    """Whether the target at an address reports its incarnation."""
    history = state.incarnation_histories.get(address)
    return history is not None and incarnations.Source.ANSWER in history.ids


def _ids_by_source(
    notice: incarnations.LeavingNotice,
) -> dict[incarnations.Source, str]:
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
    if qualified_id in history.past_ids:
        return False
    if known_id is not None:
        _replace_incarnation(state, address, history)
    history.ids[source] = reported_id
    if qualified_id in history.announced_ids:
        mark_leaving(state, address)
    return True


def _replace_incarnation(
    state: state_lib.GateState,
    address: str,
    history: incarnations.IncarnationHistory,
) -> None:
    history.past_ids.extend(history.qualified_ids())
    history.ids.clear()
    history.leaving = False
    for service, target in _targets_at(state, address):
        target.leaving = False
        target_selection.refresh_candidates(state, service)
        slow_start.begin(state, service, target)


def _history(
    state: state_lib.GateState, address: str
) -> incarnations.IncarnationHistory:
    history = state.incarnation_histories.get(address)
    if history is None:
        history = incarnations.IncarnationHistory()
        state.incarnation_histories[address] = history
        _evict_unconfigured(state)
    return history


def _evict_unconfigured(state: state_lib.GateState) -> None:
    if len(state.incarnation_histories) <= MAX_ADDRESSES:
        return
    for address in list(state.incarnation_histories):
        if not _targets_at(state, address):
            del state.incarnation_histories[address]


def _targets_at(
    state: state_lib.GateState, address: str
) -> list[tuple[state_lib.ServiceState, targets.Target]]:
    return [
        (service, service.targets[address])
        for service in state.services.values()
        if address in service.targets
    ]
