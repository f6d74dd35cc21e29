"""Reading the log's streams into the state."""

from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import leaving
from fireflyspindle.core import records
from fireflyspindle.core import slow_start
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

READ_RETRY_DELAY_US = 200_000


def position(state: state_lib.GateState, stream: str) -> state_lib.LogPosition:
    """Returns how far a stream has been read."""
    return state.log_positions.setdefault(stream, state_lib.LogPosition())


def read_on(
    state: state_lib.GateState,
    stream: str,
    *,
    wait: bool = True,
    delay_us: int = 0,
) -> None:
    """Asks for the records of a stream after those read so far."""
    from_offset = position(state, stream).next_offset
    state.emit(effects.ReadLog(stream, from_offset, delay_us, wait))


def append(state: state_lib.GateState, stream: str, body: str) -> int:
    """Appends a record; returns the number that `AppendSettled` will carry."""
    state.last_append_id += 1
    append_id = state.last_append_id
    state.appends[append_id] = stream
    state.emit(effects.AppendRecord(append_id, stream, body))
    return append_id


def on_append_settled(
    state: state_lib.GateState, event: events.AppendSettled
) -> None:
    """Hands the end of an append to the matter that asked for it."""
    match state.appends.pop(event.append_id, None):
        case _:
            pass


def on_read(state: state_lib.GateState, event: events.LogRead) -> None:
    """Hands what was read to the matter that the stream belongs to."""
    here = position(state, event.stream)
    here.failures = 0
    here.known_offset = max(here.known_offset or 0, event.next_offset)
    match event.stream:
        case configuration.STREAM:
            _on_configuration_read(state, event, here)
        case _:
            pass


def on_read_failed(
    state: state_lib.GateState, event: events.LogReadFailed
) -> None:
    """Asks for the same offset again, a little later."""
    position(state, event.stream).failures += 1
    read_on(state, event.stream, delay_us=READ_RETRY_DELAY_US)


def _on_configuration_read(
    state: state_lib.GateState,
    event: events.LogRead,
    here: state_lib.LogPosition,
) -> None:
    config = state.configuration
    config.known_offset = max(config.known_offset or 0, event.next_offset)
    for entry in event.entries:
        _report(state, configuration.fold(config, entry.offset, entry.body))
    if event.entries:
        refresh_services(state)
    here.next_offset = config.next_offset
    read_on(state, event.stream)


def _report(
    state: state_lib.GateState, folded: configuration.Folded | None
) -> None:
    match folded:
        case configuration.Conflict(key, expected, found):
            detail = f"{key}: expected revision {expected}, found {found}"
            state.emit(effects.Report("warning", "record_conflict", detail))
        case configuration.Unreadable(offset, why):
            detail = f"record at offset {offset}: {why}"
            state.emit(effects.Report("error", "record_unreadable", detail))
        case configuration.Applied(key, revision):
            detail = f"{key} is in force at revision {revision}"
            state.emit(effects.Report("info", "record_applied", detail))


def refresh_services(state: state_lib.GateState) -> None:
    """Brings services and targets in line with the configuration.

    A target that stays configured keeps its counters.
    """
    config = state.configuration
    for name in list(state.services):
        if name not in config.services:
            del state.services[name]
    for name, payload in config.services.items():
        service = state.services.setdefault(name, state_lib.ServiceState(name))
        before = service.targets
        service.targets = {}
        for spec in payload.targets:
            target = before.get(spec.address)
            if target is None:
                target = _new_target(state, service, spec, cold=bool(before))
            target.spec = spec
            service.targets[spec.address] = target
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
    target = targets.Target(spec, affinity=_affinity(state))
    target.leaving = leaving.is_leaving(state, spec.address)
    if cold:
        slow_start.begin(state, service, target)
    return target


def _affinity(state: state_lib.GateState) -> float:
    return state.random.random() * 0.01
