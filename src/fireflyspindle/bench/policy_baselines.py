"""Baseline policies of the policy benchmark, without a reducer."""

import random

import attrs

from fireflyspindle.bench import policy_model

PROBES_PER_CALL = 3
POOL_SIZE = 16
PROBE_TTL_US = 100_000
WARM_UP_SHARE = 0.1

NAMES = (
    "random",
    "round_robin",
    "two_choices",
    "least_own",
    "probing_pool",
    "exact",
)


@attrs.define
class Probe:
    """Result of a probe: the load of a target at a point in time."""

    target: int
    in_flight: int
    at_us: int


@attrs.define
class GateLoads:
    """Load information of one gate host.

    Attributes:
        own_in_flight: Own requests in flight by target.
        last_target: Index of the last target chosen by round robin.
        pool: Recent probe results.
    """

    own_in_flight: list[int]
    last_target: int
    pool: list[Probe] = attrs.field(factory=list)


@attrs.define
class Run:
    """Measurements of one policy on one seed."""

    latencies_us: list[int] = attrs.field(factory=list)
    calls: int = 0
    complete: int = 0
    not_run: int = 0
    unknown: int = 0
    attempts: int = 0
    probes: int = 0
    control_bytes: int = 0

    def add_latency(
        self,
        plan: policy_model.Plan,
        arrival: policy_model.Arrival,
        now_us: int,
    ) -> None:
        """Records the latency of a call that arrived after the warm-up."""
        if arrival.at_us >= plan.duration_us * WARM_UP_SHARE:
            self.latencies_us.append(now_us - arrival.at_us)


class Baseline:
    """Sends every call to the target chosen by a simple policy."""

    def __init__(self, name: str, world: policy_model.World, seed: int) -> None:
        self._name = name
        self._world = world
        self._random = random.Random(f"{name}-{seed}")
        self._assigned_loads = [0] * len(world.targets)
        self._gates = [
            GateLoads([0] * len(world.targets), gate)
            for gate in range(world.plan.gates)
        ]
        self.run = Run()

    def send(self, arrival: policy_model.Arrival) -> None:
        """Sends one call."""
        gate = self._gates[arrival.gate]
        index = self._choose(gate)
        target = self._world.targets[index]
        one_way_us = self._world.one_way_us(arrival.gate, target)
        timeline = self._world.timeline
        gate.own_in_flight[index] += 1
        self._assigned_loads[index] += 1
        self.run.calls += 1
        self.run.attempts += 1

        def on_done(ran: bool) -> None:
            self._assigned_loads[index] -= 1
            timeline.after(one_way_us, lambda: on_response(ran))

        def on_response(ran: bool) -> None:
            gate.own_in_flight[index] -= 1
            if not ran:
                self.run.not_run += 1
                return
            self.run.complete += 1
            self.run.add_latency(self._world.plan, arrival, timeline.now_us)

        job = policy_model.Job(arrival.work_us, on_done)
        timeline.after(one_way_us, lambda: target.enqueue(job))
        if self._name == "probing_pool":
            self._probe(arrival.gate)

    def _choose(self, gate: GateLoads) -> int:
        count = len(self._assigned_loads)
        match self._name:
            case "random":
                return self._random.randrange(count)
            case "round_robin":
                gate.last_target = (gate.last_target + 1) % count
                return gate.last_target
            case "two_choices":
                pair = self._random.sample(range(count), 2)
                return min(pair, key=gate.own_in_flight.__getitem__)
            case "least_own":
                return self._least_loaded(gate.own_in_flight)
            case "probing_pool":
                return self._choose_from_pool(gate)
        return self._least_loaded(self._assigned_loads)

    def _least_loaded(self, loads: list[int]) -> int:
        lowest = min(loads)
        ties = [index for index, load in enumerate(loads) if load == lowest]
        return self._random.choice(ties)

    def _choose_from_pool(self, gate: GateLoads) -> int:
        oldest_us = self._world.timeline.now_us - PROBE_TTL_US
        gate.pool = [probe for probe in gate.pool if probe.at_us > oldest_us]
        if not gate.pool:
            return self._random.randrange(len(self._assigned_loads))
        least_loaded = min(gate.pool, key=lambda probe: probe.in_flight)
        least_loaded.in_flight += 1
        return least_loaded.target

    def _probe(self, gate_index: int) -> None:
        gate = self._gates[gate_index]
        targets = self._random.sample(
            range(len(self._assigned_loads)), PROBES_PER_CALL
        )
        for index in targets:
            self.run.probes += 1
            self._probe_one(gate, gate_index, index)

    def _probe_one(self, gate: GateLoads, gate_index: int, index: int) -> None:
        timeline = self._world.timeline
        target = self._world.targets[index]
        one_way_us = self._world.one_way_us(gate_index, target)

        def arrive() -> None:
            load = target.report() or 0
            timeline.after(one_way_us, lambda: receive(load))

        def receive(load: int) -> None:
            gate.pool.append(Probe(index, load, timeline.now_us))
            del gate.pool[:-POOL_SIZE]

        timeline.after(one_way_us, arrive)
