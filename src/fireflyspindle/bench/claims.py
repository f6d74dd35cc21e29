"""Claims benchmark: latency that a claim adds to a call, and log load.

Runs the reducers of all gate hosts in virtual time against a log whose
requests take 6 to 12 ms. Targets answer immediately, so the added latency is
that of the claim.
"""

import random
import time
import tracemalloc

import attrs

from fireflyspindle.bench import fake_log
from fireflyspindle.bench import virtual
from fireflyspindle.core import claim_batches
from fireflyspindle.core import claim_index
from fireflyspindle.core import claim_keys
from fireflyspindle.core import claim_records
from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
from fireflyspindle.testing import records as record_bodies

PATH = "/offer"
WALL_START_MS = 1_700_000_000_000
WARM_UP_US = 1_000_000
DRAIN_US = 3_000_000
DEADLINE_US = 3_000_000
INDEX_KEYS = 20_000
BATCH_CLAIMS = 20


@attrs.define
class LoadFigures:
    """Figures of one load.

    Attributes:
        gates: Number of gate hosts.
        calls_per_s: Keyed calls per second over all gate hosts.
        calls: Calls made.
        sent: Calls sent to a target after their claim was confirmed.
        added_p50_ms: Median time from arrival to sending.
        added_p99_ms: 99th percentile of that time.
        appends_per_claim: Appends per call, including outcome records.
        appends_per_s: Appends per second over all gate hosts.
        reads_per_s: Reads of the claims stream per second and gate
            host.
    """

    gates: int
    calls_per_s: float
    calls: int
    sent: int
    added_p50_ms: float
    added_p99_ms: float
    appends_per_claim: float
    appends_per_s: float
    reads_per_s: float


@attrs.define
class IndexFigures:
    """Cost of the claim index on a gate host.

    Attributes:
        keys: Number of keys in the index.
        bytes_per_key: Memory per key.
        fold_us_per_key: CPU time to decode and apply a claim and its outcome.
        record_bytes_per_key: Log bytes of a claim and its outcome.
    """

    keys: int
    bytes_per_key: float
    fold_us_per_key: float
    record_bytes_per_key: float


class _Fleet:
    def __init__(self, gates: int, seed: int) -> None:
        self.timeline = virtual.Timeline()
        self.random = random.Random(seed)
        self.log = fake_log.FakeLog(self.timeline, self.random, lambda *_: None)
        self.arrival_us: dict[int, int] = {}
        self.added_latency_us: list[int] = []
        self.reads = 0
        self._publish("service", {"targets": [{"address": "10.0.1.1:80"}]})
        self._publish("route", {"path_prefix": PATH, "service": "offer"})
        self.gates = [self._new_gate(number, seed) for number in range(gates)]
        for gate in self.gates:
            gate.start()

    def _publish(self, kind: str, payload: dict) -> None:
        body = record_bodies.body(kind, "offer", payload, record_id=kind)
        self.log.append(configuration.STREAM, body)

    def _new_gate(self, number: int, seed: int) -> virtual.VirtualGate:
        return virtual.VirtualGate(
            self.timeline,
            state_lib.CoreSettings(host_id=f"gate-{number}"),
            seed * 1000 + number,
            self._execute,
        )

    def _execute(
        self, gate: virtual.VirtualGate, effect: effects.Effect
    ) -> None:
        name = gate.state.settings.host_id
        match effect:
            case effects.SendToTarget(call_id, attempt):
                arrival_us = self.arrival_us[call_id]
                self.added_latency_us.append(self.timeline.now_us - arrival_us)
                self._complete(gate, call_id, attempt)
            case effects.AppendRecord():
                self.log.on_append(gate, name, effect)
            case effects.ReadLog(stream):
                self.reads += stream == claim_batches.STREAM
                self.log.on_read(gate, name, effect)
            case _:
                pass

    def _complete(
        self, gate: virtual.VirtualGate, call_id: int, attempt: int
    ) -> None:
        self.timeline.after(
            0,
            lambda: gate.feed(
                lambda now_us: events.AttemptAnswered(
                    now_us, call_id, attempt, 201
                )
            ),
        )
        self.timeline.after(
            0,
            lambda: gate.feed(
                lambda now_us: events.AttemptEnded(now_us, call_id, attempt)
            ),
        )

    def call(self) -> None:
        """Sends a keyed call to a random gate host."""
        call_id = len(self.arrival_us) + 1
        now_us = self.timeline.now_us
        self.arrival_us[call_id] = now_us
        wall_ms = WALL_START_MS + now_us // 1000
        gate = self.random.choice(self.gates)
        gate.feed(
            lambda now_us: events.CallArrived(
                now_us=now_us,
                call_id=call_id,
                path=PATH,
                repeatable=False,
                deadline_us=now_us + DEADLINE_US,
                idempotency_key=f"{wall_ms}-{call_id}",
                body_digest="0",
                key_issued_ms=wall_ms,
                wall_ms=wall_ms,
            )
        )


def run_load(
    gates: int, calls_per_s: float, seconds: float, seed: int = 0
) -> LoadFigures:
    """Runs one load and returns its figures."""
    fleet = _Fleet(gates, seed)
    fleet.timeline.run(WARM_UP_US)
    reads_before = fleet.reads
    until_us = WARM_UP_US + int(seconds * 1e6)

    def send_next() -> None:
        if fleet.timeline.now_us >= until_us:
            return
        fleet.call()
        gap_us = int(fleet.random.expovariate(calls_per_s) * 1e6)
        fleet.timeline.after(gap_us, send_next)

    appends_before = fleet.log.appends
    send_next()
    fleet.timeline.run(until_us)
    appends = fleet.log.appends - appends_before
    reads = fleet.reads - reads_before
    fleet.timeline.run(until_us + DRAIN_US)
    added_latency_us = sorted(fleet.added_latency_us)
    calls = len(fleet.arrival_us)
    return LoadFigures(
        gates=gates,
        calls_per_s=calls_per_s,
        calls=calls,
        sent=len(added_latency_us),
        added_p50_ms=_quantile(added_latency_us, 0.50) / 1000,
        added_p99_ms=_quantile(added_latency_us, 0.99) / 1000,
        appends_per_claim=round(appends / calls, 3),
        appends_per_s=round(appends / seconds, 1),
        reads_per_s=round(reads / seconds / gates, 1),
    )


def _quantile(ordered: list[int], fraction: float) -> int:
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def measure_index() -> IndexFigures:
    """Measures the memory and CPU cost of a claimed key on a gate host."""
    bodies = [
        _encode_batch(first) for first in range(0, INDEX_KEYS, BATCH_CLAIMS)
    ]
    started_s = time.process_time()
    _build_index(bodies)
    fold_s = time.process_time() - started_s
    tracemalloc.start()
    index = _build_index(bodies)
    index_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return IndexFigures(
        keys=index.key_count,
        bytes_per_key=round(index_bytes / index.key_count, 1),
        fold_us_per_key=round(fold_s * 1e6 / index.key_count, 2),
        record_bytes_per_key=round(
            sum(len(body) for body in bodies) / index.key_count, 1
        ),
    )


def _encode_batch(first: int) -> str:
    keys = [
        claim_keys.key_reference(
            "tenant", str(number), WALL_START_MS + number, str(number)
        )
        for number in range(first, first + BATCH_CLAIMS)
    ]
    complete = claim_records.ClaimOutcome.COMPLETE
    return claim_records.encode(
        claim_records.Batch(
            writer=f"gate-{first % 17}/0123456789abcdef",
            number=first,
            wall_ms=WALL_START_MS + first,
            claims=tuple(
                claim_records.Claim(first + index, key)
                for index, key in enumerate(keys)
            ),
            outcomes=tuple(
                claim_records.OutcomeUpdate(first + index, key, complete, 201)
                for index, key in enumerate(keys)
            ),
        )
    )


def _build_index(bodies: list[str]) -> claim_index.ClaimIndex:
    index = claim_index.ClaimIndex()
    for body in bodies:
        batch = claim_records.decode(body).unwrap()
        for claim in batch.claims:
            index.apply_claim(batch.writer, claim)
        for outcome in batch.outcomes:
            index.apply_outcome(batch.writer, outcome)
    return index
