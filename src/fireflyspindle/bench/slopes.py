"""How state, messages and processor time grow, as fitted lines."""

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
QUIET_S = 60
CALLS = 4_000
CHANGES = 40

# What states share with one another, and so don't hold.
_SHARED = (
    type,
    types.ModuleType,
    types.FunctionType,
    types.BuiltinFunctionType,
    enum.Enum,
)


@attrs.define(frozen=True)
class Series:
    """One quantity against one size.

    Attributes:
        name: What is measured.
        unit: Unit of the values.
        per: What the sizes count.
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
    """A series with its fitted line.

    Attributes:
        name: What is measured.
        unit: Unit of the values.
        per: What the sizes count.
        sizes: Sizes at which it was measured.
        values: Value at each size.
        slope: Growth of the value by one more.
        intercept: Value of the line at size 0.
        spread: Largest distance of a value from the line, in the unit.
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
        """The line for a person."""
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


def _fleet(
    gates: int = 1, services: int = 1, endpoints: int = 16
) -> fleet_lib.Fleet:
    fleet = fleet_lib.Fleet(seed=1)
    configuration_bench.publish_services(fleet, services, endpoints)
    for _ in range(gates):
        fleet.add()
    fleet.run(SETTLE_S)
    return fleet


def _state(fleet: fleet_lib.Fleet) -> state_lib.GateState:
    return next(iter(fleet.hosts.values())).gate.state


def held_bytes(root: object) -> int:
    """Returns the memory of an object and all that only data leads to."""
    seen: set[int] = set()
    waiting = [root]
    total = 0
    while waiting:
        found = waiting.pop()
        if id(found) in seen or isinstance(found, _SHARED):
            continue
        seen.add(id(found))
        total += sys.getsizeof(found)
        waiting += gc.get_referents(found)
    return total


def _endpoints_bytes(endpoints: int) -> float:
    fleet = _fleet(services=min(45, endpoints), endpoints=endpoints)
    return held_bytes(_state(fleet))


def _services_bytes(services: int) -> float:
    return held_bytes(_state(_fleet(services=services, endpoints=90)))


def _gates_bytes(gates: int) -> float:
    return held_bytes(_state(_fleet(gates=gates)))


def _records_bytes(records: int) -> float:
    fleet = _fleet()
    for number in range(records):
        fleet.publish("tenant", f"tenant-{number}", {"weight": 1})
    fleet.run(SETTLE_S)
    return held_bytes(_state(fleet))


def _call_us(endpoints: int) -> float:
    """Returns the processor time of a call's events in the reducer."""
    return _calls_us(CALLS, endpoints) / CALLS


def _calls_us(calls: int, endpoints: int = 64) -> float:
    """Returns the processor time of the events of so many calls."""
    state = _state(_fleet(endpoints=endpoints))
    now_us = state.now_us
    begun_s = time.process_time()
    for number in range(1, calls + 1):
        now_us += 100
        asked = reducer.reduce(
            state,
            events.CallArrived(now_us, number, "/s0/x", tenant="a"),
        )
        for effect in asked:
            if isinstance(effect, effects.SendToTarget):
                now_us += 50
                _answer(state, now_us, effect)
    return (time.process_time() - begun_s) * 1e6


def _answer(
    state: state_lib.GateState, now_us: int, sent: effects.SendToTarget
) -> None:
    report = events.LoadReport(in_flight=1)
    reducer.reduce(
        state,
        events.AttemptAnswered(
            now_us, sent.call_id, sent.attempt, 200, report=report
        ),
    )
    reducer.reduce(
        state, events.AttemptEnded(now_us, sent.call_id, sent.attempt)
    )


def _decision_us(endpoints: int) -> float:
    """Returns the processor time of deciding on one arrival."""
    state = _state(_fleet(endpoints=endpoints))
    now_us = state.now_us
    spent_s = 0.0
    for number in range(1, CALLS + 1):
        now_us += 100
        event = events.CallArrived(now_us, number, "/s0/x", tenant="a")
        begun_s = time.perf_counter()
        asked = reducer.reduce(state, event)
        spent_s += time.perf_counter() - begun_s
        for effect in asked:
            if isinstance(effect, effects.SendToTarget):
                _answer(state, now_us, effect)
    return spent_s * 1e6 / CALLS


def _change_us(endpoints: int) -> float:
    """Returns the processor time of putting one record in force."""
    fleet = _fleet(services=min(45, endpoints), endpoints=endpoints)
    bodies = _change_bodies(fleet)
    state = _state(fleet)
    begun_s = time.process_time()
    for entry in bodies:
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
    return (time.process_time() - begun_s) * 1e6 / CHANGES


def _change_bodies(fleet: fleet_lib.Fleet) -> list[events.LogEntry]:
    revision = 0
    first = fleet.log.stream("configuration").next_offset
    for number in range(CHANGES):
        payload = {"path_prefix": f"/changed{number}", "service": "s0"}
        revision = fleet.publish("route", "changed", payload, revision)
    bodies = fleet.log.stream("configuration").bodies[first:]
    return list(itertools.starmap(events.LogEntry, enumerate(bodies, first)))


def _snapshot_bytes(endpoints: int) -> float:
    fleet = _fleet(services=min(45, endpoints), endpoints=endpoints)
    parts = snapshots.build(_state(fleet).configuration, "size")
    return float(sum(len(snapshots.encode(part)) for part in parts))


def _peer_bytes_per_s(gates: int) -> float:
    fleet = _fleet(gates=gates)
    hosts = list(fleet.hosts.values())
    before = sum(host.sent_bytes + host.received_bytes for host in hosts)
    fleet.run(QUIET_S)
    after = sum(host.sent_bytes + host.received_bytes for host in hosts)
    return (after - before) / len(hosts) / QUIET_S


def _control_us_per_s(gates: int) -> float:
    """Returns the processor time of one host's control, the fakes' included."""
    fleet = _fleet(gates=gates)
    begun_s = time.process_time()
    fleet.run(QUIET_S)
    return (time.process_time() - begun_s) * 1e6 / gates / QUIET_S


def _change_peer_bytes(changes: int) -> float:
    """Returns the bytes between peers for so many changes, for one host."""
    fleet = _fleet(gates=16)
    hosts = list(fleet.hosts.values())
    before = sum(host.sent_bytes + host.received_bytes for host in hosts)
    revision = 0
    for number in range(changes):
        payload = {"path_prefix": f"/changed{number}", "service": "s0"}
        revision = fleet.publish("route", "changed", payload, revision)
        fleet.run(QUIET_S / changes)
    after = sum(host.sent_bytes + host.received_bytes for host in hosts)
    return (after - before) / len(hosts)


def _claim_bytes(claims: int) -> float:
    """Returns the memory of an index of claims with so many keys."""
    index = claim_index.ClaimIndex()
    for number in range(claims):
        key = claim_keys.reference(
            "tenant", f"{number}-key", number * 10, f"{number}"
        )
        index.apply_claim("gate-1", claim_records.Claim(number, key))
    return held_bytes(index)


def _calls_bytes(calls: int) -> float:
    """Returns the memory of a state with so many calls in flight."""
    state = _state(_fleet(endpoints=64))
    for number in range(1, calls + 1):
        event = events.CallArrived(state.now_us + 10, number, "/s0/x")
        reducer.reduce(state, event)
    return held_bytes(state)


ENDPOINTS = (16, 64, 256, 1_000)
GATES = (4, 8, 16, 32, 64)

SERIES = (
    Series("decision", "us", "endpoint", ENDPOINTS, _decision_us),
    Series("call", "us", "endpoint", ENDPOINTS, _call_us),
    Series("calls", "us", "call", (1_000, 2_000, 4_000, 8_000), _calls_us),
    Series("change", "us", "endpoint", ENDPOINTS, _change_us),
    Series("state", "bytes", "endpoint", ENDPOINTS, _endpoints_bytes),
    Series("snapshot", "bytes", "endpoint", ENDPOINTS, _snapshot_bytes),
    Series("state", "bytes", "service", (1, 5, 15, 45), _services_bytes),
    Series("state", "bytes", "gate host", GATES, _gates_bytes),
    Series("peer traffic", "bytes/s", "gate host", GATES, _peer_bytes_per_s),
    Series("control", "us/s", "gate host", GATES, _control_us_per_s),
    Series(
        "state",
        "bytes",
        "tenant record",
        (100, 400, 1_600, 4_100),
        _records_bytes,
    ),
    Series(
        "peer traffic of changes",
        "bytes",
        "change",
        (4, 8, 16, 32),
        _change_peer_bytes,
    ),
    Series(
        "claims", "bytes", "claim", (1_000, 4_000, 16_000, 64_000), _claim_bytes
    ),
    Series(
        "state", "bytes", "call in flight", (50, 100, 200, 400), _calls_bytes
    ),
)
