"""Reading the log's streams into the state."""

from fireflyspindle.core import claim_batches
from fireflyspindle.core import claim_reads
from fireflyspindle.core import claims
from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import streams
from fireflyspindle.core import targets


def on_append_settled(
    state: state_lib.GateState, event: events.AppendSettled
) -> None:
    """Hands the end of an append to the matter that asked for it."""
    match state.appends.pop(event.append_id, None):
        case claim_batches.STREAM:
            claims.on_append_settled(state, event)
        case _:
            pass


def on_read(state: state_lib.GateState, event: events.LogRead) -> None:
    """Hands what was read to the matter that the stream belongs to."""
    here = streams.position(state, event.stream)
    here.failures = 0
    here.known_offset = max(here.known_offset or 0, event.next_offset)
    match event.stream:
        case configuration.STREAM:
            _on_configuration_read(state, event, here)
        case claim_batches.STREAM:
            claims.on_read(state, event)
        case _:
            pass


def on_read_failed(
    state: state_lib.GateState, event: events.LogReadFailed
) -> None:
    """Asks for the same offset again, a little later."""
    streams.position(state, event.stream).failures += 1
    if event.stream == claim_batches.STREAM:
        claim_reads.on_read_failed(state)
        return
    streams.read_on(state, event.stream, delay_us=streams.READ_RETRY_DELAY_US)


def _on_configuration_read(
    state: state_lib.GateState,
    event: events.LogRead,
    here: state_lib.LogPosition,
) -> None:
    config = state.configuration
    config.known_offset = max(config.known_offset or 0, event.next_offset)
    if event.earliest_offset > config.next_offset:
        config.lost_before_offset = event.earliest_offset
    for entry in event.entries:
        if config.lost_before_offset is not None:
            break
        configuration.skip_to(config, entry.offset)
        report_folded(
            state, configuration.fold(config, entry.offset, entry.body)
        )
    if event.entries:
        refresh_services(state)
    if config.next_offset >= config.known_offset:
        config.joined = True
    here.next_offset = config.next_offset
    streams.read_on(state, event.stream)


def report_folded(
    state: state_lib.GateState, folded: configuration.Folded | None
) -> None:
    """Writes what became of a record, for people on call."""
    match folded:
        case configuration.Conflict(key, expected, found):
            detail = f"{key}: expected revision {expected}, found {found}"
            state.emit(effects.Report("warning", "record_conflict", detail))
        case configuration.Unreadable(offset, why):
            detail = f"record at offset {offset}: {why}"
            state.emit(effects.Report("error", "record_unreadable", detail))
        case configuration.Repeated(key):
            detail = f"{key}: the record came again and changed nothing"
            state.emit(effects.Report("info", "record_repeated", detail))
        case configuration.Applied(key, revision):
            detail = f"{key} is in force at revision {revision}"
            state.emit(effects.Report("info", "record_applied", detail))
            _report_doubtful_route(state, key)


def _report_doubtful_route(state: state_lib.GateState, key: str) -> None:
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
