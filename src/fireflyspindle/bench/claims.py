"""Claims bench: what a claim adds to a call, and what it costs the log.

Real reducers of all gate hosts in virtual time, with a log whose requests
take 6 to 12 ms; targets answer at once, so that the added time is the claim's.
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
SETTLE_US = 3_000_000
DEADLINE_US = 3_000_000
INDEX_KEYS = 20_000
BATCH_CLAIMS = 20


@attrs.define
class LoadFigures:
    """What one load showed.

    Attributes:
        gates: Number of gate hosts.
        calls_per_s: Keyed calls a second, over all gate hosts.
        calls: Calls made.
        sent: Calls whose claim was read back as the owner.
        added_p50_ms: Median time from arrival to the sending.
        added_p99_ms: 99th percentile of that time.
        appends_per_claim: Appends for each call, outcomes included.
        appends_per_s: Appends a second, over all gate hosts.
        reads_per_s: Reads of the claims stream a second and gate host.
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
    """What the index costs a gate host.

    Attributes:
        keys: Number of keys folded.
        bytes_per_key: Memory held for each.
        fold_us_per_key: Processor time to read and fold a claim and its
            outcome.
        record_bytes_per_key: Bytes in the log for a claim and its outcome.
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
        self.arrived_us: dict[int, int] = {}
        self.added_us: list[int] = []
        self.reads = 0
        self._publish("service", {"targets": [{"address": "10.0.1.1:80"}]})
        self._publish("route", {"path_prefix": PATH, "service": "offer"})
        self.gates = [self._gate(number, seed) for number in range(gates)]
        for gate in self.gates:
            gate.start()

    def _publish(self, kind: str, payload: dict) -> None:
        body = record_bodies.body(kind, "offer", payload, record_id=kind)
        self.log.append(configuration.STREAM, body)

    def _gate(self, number: int, seed: int) -> virtual.VirtualGate:
        return virtual.VirtualGate(
            self.timeline,
            state_lib.CoreSettings(host_id=f"gate-{number}"),
            seed * 1000 + number,
            self._carry_out,
        )

    def _carry_out(
        self, gate: virtual.VirtualGate, effect: effects.Effect
    ) -> None:
        name = gate.state.settings.host_id
        match effect:
            case effects.SendToTarget(call_id, attempt):
                arrived_us = self.arrived_us[call_id]
                self.added_us.append(self.timeline.now_us - arrived_us)
                self._answer(gate, call_id, attempt)
            case effects.AppendRecord():
                self.log.on_append(gate, name, effect)
            case effects.ReadLog(stream):
                self.reads += stream == claim_batches.STREAM
                self.log.on_read(gate, name, effect)
            case _:
                pass

    def _answer(
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
        call_id = len(self.arrived_us) + 1
        now_us = self.timeline.now_us
        self.arrived_us[call_id] = now_us
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

    def arrive() -> None:
        if fleet.timeline.now_us >= until_us:
            return
        fleet.call()
        gap_us = int(fleet.random.expovariate(calls_per_s) * 1e6)
        fleet.timeline.after(gap_us, arrive)

    appends_before = fleet.log.appends
    arrive()
    fleet.timeline.run(until_us)
    appends = fleet.log.appends - appends_before
    reads = fleet.reads - reads_before
    fleet.timeline.run(until_us + SETTLE_US)
    added_us = sorted(fleet.added_us)
    calls = len(fleet.arrived_us)
    return LoadFigures(
        gates=gates,
        calls_per_s=calls_per_s,
        calls=calls,
        sent=len(added_us),
        added_p50_ms=_percentile(added_us, 0.50) / 1000,
        added_p99_ms=_percentile(added_us, 0.99) / 1000,
        appends_per_claim=round(appends / calls, 3),
        appends_per_s=round(appends / seconds, 1),
        reads_per_s=round(reads / seconds / gates, 1),
    )


def _percentile(ordered: list[int], share: float) -> int:
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def measure_index() -> IndexFigures:
    """Measures what a claimed key costs each gate host."""
    bodies = [_body(first) for first in range(0, INDEX_KEYS, BATCH_CLAIMS)]
    started_s = time.process_time()
    _fill(bodies)
    fold_s = time.process_time() - started_s
    tracemalloc.start()
    index = _fill(bodies)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return IndexFigures(
        keys=index.held,
        bytes_per_key=round(held_bytes / index.held, 1),
        fold_us_per_key=round(fold_s * 1e6 / index.held, 2),
        record_bytes_per_key=round(
            sum(len(body) for body in bodies) / index.held, 1
        ),
    )


def _body(first: int) -> str:
    keys = [
        claim_keys.reference(
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
                claim_records.Claim(first + place, key)
                for place, key in enumerate(keys)
            ),
            outcomes=tuple(
                claim_records.OutcomeNote(first + place, key, complete, 201)
                for place, key in enumerate(keys)
            ),
        )
    )


def _fill(bodies: list[str]) -> claim_index.ClaimIndex:
    index = claim_index.ClaimIndex()
    for body in bodies:
        batch = claim_records.decode(body).unwrap()
        for claim in batch.claims:
            index.apply_claim(batch.writer, claim)
        for note in batch.outcomes:
            index.apply_outcome(batch.writer, note)
    return index
