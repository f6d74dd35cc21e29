"""Processor time of the reducer on configuration and peer messages."""

from collections.abc import Sequence
import time

from fireflyspindle.bench import fleet as fleet_lib
from fireflyspindle.core import configuration as configuration_lib
from fireflyspindle.core import events
from fireflyspindle.core import peers
from fireflyspindle.core import reducer
from fireflyspindle.core import snapshots
from fireflyspindle.core import state as state_lib

REPEATS = 200


def message_cpu_us(host: fleet_lib.Host) -> float:
    """Returns the time to take in a heartbeat."""
    state = host.gate.state
    known = list(state.membership.members.values())
    rows = tuple(member.row for member in known[:4])
    bodies = [
        peers.encode(peers.Message(member.row, peers.Heartbeat(rows=rows)))
        for member in known
    ]
    received = [
        events.PeerMessageReceived(state.now_us, body)
        for body in bodies * (REPEATS // len(bodies) + 1)
    ]
    return _cpu_us(state, received)


def change_cpu_us(fleet: fleet_lib.Fleet, host: fleet_lib.Host) -> float:
    """Returns the time to fold a changed service and put it in force."""
    state = host.gate.state
    entry = host.configuration.entries["service/s0"]
    payload = entry.record.payload
    revision = entry.revision
    first = host.configuration.next_offset
    for _ in range(REPEATS):
        revision = fleet.publish("service", "s0", payload, revision)
    stream = fleet.log.stream("configuration")
    read = [
        events.LogRead(
            now_us=state.now_us,
            stream="configuration",
            entries=[
                events.LogEntry(
                    offset, stream.bodies[offset - stream.earliest_offset]
                )
            ],
            from_offset=offset,
            earliest_offset=stream.earliest_offset,
            next_offset=offset + 1,
        )
        for offset in range(first, first + REPEATS)
    ]
    return _cpu_us(state, read)


def _cpu_us(state: state_lib.GateState, fed: Sequence[events.Event]) -> float:
    begun_s = time.process_time()
    for event in fed:
        reducer.reduce(state, event)
    return (time.process_time() - begun_s) * 1e6 / len(fed)


def merge_cpu_us(bodies: list[str]) -> float:
    """Returns the time to read a snapshot and merge it into an empty host."""
    begun_s = time.process_time()
    config = configuration_lib.Configuration()
    collector = snapshots.Collector()
    for body in bodies:
        whole = collector.add(snapshots.decode(body).unwrap())
        if whole is not None:
            configuration_lib.merge(config, whole.entries, whole.covered_offset)
    return (time.process_time() - begun_s) * 1e6
