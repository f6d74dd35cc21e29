"""Targets that are leaving: a sign holds for its incarnation for good.

An address is used by one incarnation of a target after another. A sign about
an incarnation that was succeeded is ignored, and nothing but an id that was
never seen before ends a sign.
"""

from fireflyspindle.core import events
from fireflyspindle.core import incarnations
from fireflyspindle.core import slow_start
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

MAX_ADDRESSES = 10_000


def note(state: state_lib.GateState, address: str) -> None:
    """Takes a sign that the present incarnation at an address is leaving."""
    tenure = _tenure(state, address)
    tenure.leaving = True
    for _, target in _targets_at(state, address):
        target.leaving = True


def note_from_peer(state: state_lib.GateState, sign: incarnations.Sign) -> None:
    """Takes a peer's sign, which may be about another incarnation.

    A sign without ids counts only while this host knows none either. A sign
    that shares no source with what this host knows is taken as one of the
    present incarnation.
    """
    tenure = _tenure(state, sign.address)
    if any(text in tenure.past for text in sign.ids):
        return
    if not sign.ids:
        if not tenure.ids:
            note(state, sign.address)
        return
    known = _ids_by_source(sign)
    if any(tenure.ids.get(source) == text for source, text in known.items()):
        tenure.ids = known | tenure.ids
        note(state, sign.address)
        return
    tenure.foretold.extend(
        text for text in sign.ids if text not in tenure.foretold
    )
    if not known.keys() & tenure.ids.keys():
        note(state, sign.address)


def signs(state: state_lib.GateState) -> list[incarnations.Sign]:
    """Returns the signs in force of configured targets, to tell peers."""
    return [
        incarnations.Sign(address, tenure.texts())
        for address, tenure in state.tenures.items()
        if tenure.leaving and _targets_at(state, address)
    ]


def on_report(
    state: state_lib.GateState, address: str, report: events.LoadReport
) -> None:
    """Takes the incarnation and the sign on an answer or a probe."""
    current = True
    if report.incarnation:
        source = incarnations.Source.ANSWER
        current = _observe(state, address, source, report.incarnation)
    if report.leaving and current:
        note(state, address)


def on_host_list(
    state: state_lib.GateState, event: events.HostListRead
) -> None:
    """Takes the incarnations and signs of the platform's host list.

    A target that the list lacks is no sign: the list lags, and a torn one
    must not empty the set. A target that is not configured is noted too: a
    new host may read the list before the configuration.
    """
    source = incarnations.Source.HOST_LIST
    for host in event.targets:
        current = _observe(state, host.address, source, host.host_id)
        if host.leaving and current:
            note(state, host.address)


def is_leaving(state: state_lib.GateState, address: str) -> bool:
    """Whether the present incarnation at an address is leaving."""
    tenure = state.tenures.get(address)
    return tenure is not None and tenure.leaving


def states_incarnation(state: state_lib.GateState, address: str) -> bool:
    """Whether the target at an address states its incarnation."""
    tenure = state.tenures.get(address)
    return tenure is not None and incarnations.Source.ANSWER in tenure.ids


def _ids_by_source(sign: incarnations.Sign) -> dict[incarnations.Source, str]:
    parted = [text.partition(":") for text in sign.ids]
    return {
        source: text
        for source in incarnations.Source
        for name, _, text in parted
        if name == source.value
    }


def _observe(
    state: state_lib.GateState,
    address: str,
    source: incarnations.Source,
    found_id: str,
) -> bool:
    """Takes an id; returns whether it is of the present incarnation."""
    tenure = _tenure(state, address)
    known_id = tenure.ids.get(source)
    if known_id == found_id:
        return True
    text = f"{source.value}:{found_id}"
    if text in tenure.past:
        return False
    if known_id is not None:
        _succeed(state, address, tenure)
    tenure.ids[source] = found_id
    if text in tenure.foretold:
        note(state, address)
    return True


def _succeed(
    state: state_lib.GateState, address: str, tenure: incarnations.Tenure
) -> None:
    tenure.past.extend(tenure.texts())
    tenure.ids.clear()
    tenure.leaving = False
    for service, target in _targets_at(state, address):
        target.leaving = False
        slow_start.begin(state, service, target)


def _tenure(state: state_lib.GateState, address: str) -> incarnations.Tenure:
    tenure = state.tenures.get(address)
    if tenure is None:
        tenure = incarnations.Tenure()
        state.tenures[address] = tenure
        _forget_unconfigured(state)
    return tenure


def _forget_unconfigured(state: state_lib.GateState) -> None:
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
