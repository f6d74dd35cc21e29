"""Reading the log's streams into the state."""

from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

READ_RETRY_DELAY_US = 200_000


def on_read(state: state_lib.GateState, event: events.LogRead) -> None:
    """Folds what was read and asks for what comes next."""
    config = state.configuration
    config.known_offset = max(config.known_offset or 0, event.next_offset)
    for entry in event.entries:
        _report(state, configuration.fold(config, entry.offset, entry.body))
    if event.entries:
        refresh_services(state)
    state.emit(effects.ReadLog(event.stream, config.next_offset))


def on_read_failed(
    state: state_lib.GateState, event: events.LogReadFailed
) -> None:
    """Asks for the same offset again, a little later."""
    state.emit(
        effects.ReadLog(
            event.stream, state.configuration.next_offset, READ_RETRY_DELAY_US
        )
    )


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
                target = targets.Target(spec, affinity=_affinity(state))
            target.spec = spec
            service.targets[spec.address] = target


def _affinity(state: state_lib.GateState) -> float:
    return state.random.random() * 0.01
