"""Scaling of state size, message traffic and CPU time, as fitted lines."""

from collections.abc import Callable
import enum
import gc
import itertools
import statistics
import sys
import time
import types

import attrs

from fireflyspindle.bench import configuration as configuration_bench
from fireflyspindle.bench import fleet as fleet_lib
from fireflyspindle.core import claim_index
from fireflyspindle.core import claim_keys
from fireflyspindle.core import claim_records
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import reducer
from fireflyspindle.core import snapshots
from fireflyspindle.core import state as state_lib

SETTLE_S = 30
IDLE_S = 60
CALLS = 4_000
CHANGES = 40

# Types whose objects all states share; their memory is not counted per state.
_SHARED_TYPES = (
    type,
    types.ModuleType,
    types.FunctionType,
    types.BuiltinFunctionType,
    enum.Enum,
)


@attrs.define(frozen=True)
class Series:
    """A quantity measured as a function of a size.

    Attributes:
        name: Measured quantity.
        unit: Unit of the values.
        per: Unit of the sizes.
        sizes: Sizes at which it is measured.
        measure: Returns the value at a size.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    measure: Callable[[int], float]


@attrs.define(frozen=True)
class Line:
    """A measured series and its fitted line.

    Attributes:
        name: Measured quantity.
        unit: Unit of the values.
        per: Unit of the sizes.
        sizes: Sizes at which it was measured.
        values: Value at each size.
        slope: Increase of the value per unit of size.
        intercept: Value of the line at size 0.
        spread: Maximum absolute residual, in the unit of the values.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    spread: float

    @property
    def text(self) -> str:
        """Human-readable form of the line."""
        return (
            f"{self.name} [{self.unit}]: {self.intercept:.4g} +"
            f" {self.slope:.4g} per {self.per}, spread {self.spread:.3g}"
        )

    def at(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.intercept + self.slope * size


def run() -> list[Line]:
    """Measures every series and fits its line."""
    return [fit(series) for series in SERIES]


def fit(series: Series) -> Line:
    """Measures one series and fits a line by least squares."""
    values = [series.measure(size) for size in series.sizes]
    slope, intercept = statistics.linear_regression(series.sizes, values)
    spread = max(
        abs(intercept + slope * size - value)
        for size, value in zip(series.sizes, values, strict=True)
    )
    return Line(
        name=series.name,
        unit=series.unit,
        per=series.per,
        sizes=series.sizes,
        values=tuple(round(float(value), 4) for value in values),
        slope=slope,
        intercept=intercept,
        spread=spread,
    )


def _start_fleet(
    gates: int = 1, services: int = 1, endpoints: int = 16
) -> fleet_lib.Fleet:
    fleet = fleet_lib.Fleet(seed=1)
    configuration_bench.publish_services(fleet, services, endpoints)
    for _ in range(gates):
        fleet.start_host()
    fleet.run(SETTLE_S)
    return fleet


def _first_state(fleet: fleet_lib.Fleet) -> state_lib.GateState:
    return next(iter(fleet.hosts.values())).gate.state


def reachable_bytes(root: object) -> int:
    """Returns the memory of an object and all objects reachable from it.

    Types, modules, functions and enumeration members are not counted.
    """
    visited: set[int] = set()
    pending = [root]
    total = 0
    while pending:
        item = pending.pop()
        if id(item) in visited or isinstance(item, _SHARED_TYPES):
            continue
        visited.add(id(item))
        total += sys.getsizeof(item)
        pending += gc.get_referents(item)
    return total


def _state_bytes_by_endpoints(endpoints: int) -> float:
    fleet = _start_fleet(services=min(45, endpoints), endpoints=endpoints)
    return reachable_bytes(_first_state(fleet))


def _state_bytes_by_services(services: int) -> float:
    return reachable_bytes(
        _first_state(_start_fleet(services=services, endpoints=90))
    )


def _state_bytes_by_gates(gates: int) -> float:
    return reachable_bytes(_first_state(_start_fleet(gates=gates)))


def _state_bytes_by_records(records: int) -> float:
    fleet = _start_fleet()
    for number in range(records):
        fleet.publish("tenant", f"tenant-{number}", {"weight": 1})
    fleet.run(SETTLE_S)
    return reachable_bytes(_first_state(fleet))


def _us_per_call(endpoints: int) -> float:
    """Returns the CPU time of the reducer per call, for all its events."""
    return _calls_us(CALLS, endpoints) / CALLS


def _calls_us(calls: int, endpoints: int = 64) -> float:
    """Returns the CPU time of the reducer for `calls` calls."""
    state = _first_state(_start_fleet(endpoints=endpoints))
    now_us = state.now_us
    started_s = time.process_time()
    for number in range(1, calls + 1):
        now_us += 100
        emitted = reducer.reduce(
            state,
            events.CallArrived(now_us, number, "/s0/x", tenant="a"),
        )
        for effect in emitted:
            if isinstance(effect, effects.SendToTarget):
                now_us += 50
                _complete(state, now_us, effect)
    return (time.process_time() - started_s) * 1e6


def _complete(
    state: state_lib.GateState, now_us: int, send: effects.SendToTarget
) -> None:
    report = events.LoadReport(in_flight=1)
    reducer.reduce(
        state,
        events.AttemptAnswered(
            now_us, send.call_id, send.attempt, 200, report=report
        ),
    )
    reducer.reduce(
        state, events.AttemptEnded(now_us, send.call_id, send.attempt)
    )


def _arrival_us(endpoints: int) -> float:
    """Returns the elapsed time of the reducer per call arrival."""
    state = _first_state(_start_fleet(endpoints=endpoints))
    now_us = state.now_us
    elapsed_s = 0.0
    for number in range(1, CALLS + 1):
        now_us += 100
        event = events.CallArrived(now_us, number, "/s0/x", tenant="a")
        started_s = time.perf_counter()
        emitted = reducer.reduce(state, event)
        elapsed_s += time.perf_counter() - started_s
        for effect in emitted:
            if isinstance(effect, effects.SendToTarget):
                _complete(state, now_us, effect)
    return elapsed_s * 1e6 / CALLS


def _change_us(endpoints: int) -> float:
    """Returns the CPU time of applying one changed record."""
    fleet = _start_fleet(services=min(45, endpoints), endpoints=endpoints)
    entries = _change_entries(fleet)
    state = _first_state(fleet)
    started_s = time.process_time()
    for entry in entries:
        reducer.reduce(
            state,
            events.LogRead(
                state.now_us,
                "configuration",
                [entry],
                entry.offset,
                0,
                entry.offset + 1,
            ),
        )
    return (time.process_time() - started_s) * 1e6 / CHANGES


def _change_entries(fleet: fleet_lib.Fleet) -> list[events.LogEntry]:
    revision = 0
    first_offset = fleet.log.stream("configuration").next_offset
    for number in range(CHANGES):
        payload = {"path_prefix": f"/changed{number}", "service": "s0"}
        revision = fleet.publish("route", "changed", payload, revision)
    bodies = fleet.log.stream("configuration").bodies[first_offset:]
    return list(
        itertools.starmap(events.LogEntry, enumerate(bodies, first_offset))
    )


def _snapshot_bytes(endpoints: int) -> float:
    fleet = _start_fleet(services=min(45, endpoints), endpoints=endpoints)
    parts = snapshots.build(_first_state(fleet).configuration, "size")
    return float(sum(len(snapshots.encode(part)) for part in parts))


def _peer_bytes_per_s(gates: int) -> float:
    fleet = _start_fleet(gates=gates)
    hosts = list(fleet.hosts.values())
    before = sum(host.sent_bytes + host.received_bytes for host in hosts)
    fleet.run(IDLE_S)
    after = sum(host.sent_bytes + host.received_bytes for host in hosts)
    return (after - before) / len(hosts) / IDLE_S


def _control_us_per_s(gates: int) -> float:
    """Returns the control-plane CPU time per host, including the simulation."""
    fleet = _start_fleet(gates=gates)
    started_s = time.process_time()
    fleet.run(IDLE_S)
    return (time.process_time() - started_s) * 1e6 / gates / IDLE_S


def _change_peer_bytes(changes: int) -> float:
    """Returns the peer traffic per host while `changes` changes propagate."""
    fleet = _start_fleet(gates=16)
    hosts = list(fleet.hosts.values())
    before = sum(host.sent_bytes + host.received_bytes for host in hosts)
    revision = 0
    for number in range(changes):
        payload = {"path_prefix": f"/changed{number}", "service": "s0"}
        revision = fleet.publish("route", "changed", payload, revision)
        fleet.run(IDLE_S / changes)
    after = sum(host.sent_bytes + host.received_bytes for host in hosts)
    return (after - before) / len(hosts)


def _claim_index_bytes(claims: int) -> float:
    """Returns the memory of a claim index with `claims` keys."""
    index = claim_index.ClaimIndex()
    for number in range(claims):
        key = claim_keys.key_reference(
            "tenant", f"{number}-key", number * 10, f"{number}"
        )
        index.apply_claim("gate-1", claim_records.Claim(number, key))
    return reachable_bytes(index)


def _state_bytes_by_calls(calls: int) -> float:
    """Returns the memory of a state with `calls` calls in flight."""
    state = _first_state(_start_fleet(endpoints=64))
    for number in range(1, calls + 1):
        event = events.CallArrived(state.now_us + 10, number, "/s0/x")
        reducer.reduce(state, event)
    return reachable_bytes(state)


ENDPOINT_COUNTS = (16, 64, 256, 1_000)
GATE_COUNTS = (4, 8, 16, 32, 64)

SERIES = (
    Series("decision", "us", "endpoint", ENDPOINT_COUNTS, _arrival_us),
    Series("call", "us", "endpoint", ENDPOINT_COUNTS, _us_per_call),
    Series("calls", "us", "call", (1_000, 2_000, 4_000, 8_000), _calls_us),
    Series("change", "us", "endpoint", ENDPOINT_COUNTS, _change_us),
    Series(
        "state", "bytes", "endpoint", ENDPOINT_COUNTS, _state_bytes_by_endpoints
    ),
    Series("snapshot", "bytes", "endpoint", ENDPOINT_COUNTS, _snapshot_bytes),
    Series(
        "state", "bytes", "service", (1, 5, 15, 45), _state_bytes_by_services
    ),
    Series("state", "bytes", "gate host", GATE_COUNTS, _state_bytes_by_gates),
    Series(
        "peer traffic", "bytes/s", "gate host", GATE_COUNTS, _peer_bytes_per_s
    ),
    Series("control", "us/s", "gate host", GATE_COUNTS, _control_us_per_s),
    Series(
        "state",
        "bytes",
        "tenant record",
        (100, 400, 1_600, 4_100),
        _state_bytes_by_records,
    ),
    Series(
        "peer traffic of changes",
        "bytes",
        "change",
        (4, 8, 16, 32),
        _change_peer_bytes,
    ),
    Series(
        "claims",
        "bytes",
        "claim",
        (1_000, 4_000, 16_000, 64_000),
        _claim_index_bytes,
    ),
    Series(
        "state",
        "bytes",
        "call in flight",
        (50, 100, 200, 400),
        _state_bytes_by_calls,
    ),
)
