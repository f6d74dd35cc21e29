"""CPU time of the reducer for configuration and peer messages."""

from collections.abc import Sequence
import time

from fireflyspindle.bench import fleet as fleet_lib
from fireflyspindle.core import configuration as configuration_lib
from fireflyspindle.core import events
from fireflyspindle.core import peers
from fireflyspindle.core import reducer
from fireflyspindle.core import snapshots
from fireflyspindle.core import state as state_lib

REPETITIONS = 200


def message_cpu_us(host: fleet_lib.Host) -> float:
    """Returns the CPU time to process a heartbeat."""
    state = host.gate.state
    members = list(state.membership.members.values())
    rows = tuple(member.row for member in members[:4])
    bodies = [
        peers.encode(peers.Message(member.row, peers.Heartbeat(rows=rows)))
        for member in members
    ]
    messages = [
        events.PeerMessageReceived(state.now_us, body)
        for body in bodies * (REPETITIONS // len(bodies) + 1)
    ]
    return _cpu_us(state, messages)


def change_cpu_us(fleet: fleet_lib.Fleet, host: fleet_lib.Host) -> float:
    """Returns the CPU time to apply a changed service record."""
    state = host.gate.state
    entry = host.configuration.entries["service/s0"]
    payload = entry.record.payload
    revision = entry.revision
    first_offset = host.configuration.next_offset
    for _ in range(REPETITIONS):
        revision = fleet.publish("service", "s0", payload, revision)
    stream = fleet.log.stream("configuration")
    reads = [
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
        for offset in range(first_offset, first_offset + REPETITIONS)
    ]
    return _cpu_us(state, reads)


def _cpu_us(
    state: state_lib.GateState, inputs: Sequence[events.Event]
) -> float:
    started_s = time.process_time()
    for event in inputs:
        reducer.reduce(state, event)
    return (time.process_time() - started_s) * 1e6 / len(inputs)


def merge_cpu_us(bodies: list[str]) -> float:
    """Returns the CPU time to decode and merge a snapshot on an empty host."""
    started_s = time.process_time()
    config = configuration_lib.Configuration()
    assembler = snapshots.SnapshotAssembler()
    for body in bodies:
        snapshot = assembler.add(snapshots.decode(body).unwrap())
        if snapshot is not None:
            configuration_lib.merge(
                config, snapshot.entries, snapshot.covered_offset
            )
    return (time.process_time() - started_s) * 1e6
