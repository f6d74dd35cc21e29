"""Baselines of the policy bench: choices without a reducer."""

import random

import attrs

from fireflyspindle.bench import policy_model

PROBES_PER_CALL = 3
POOL_SIZE = 16
PROBE_LIFE_US = 100_000
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
    """The answer of a probe: a target and its load at that time."""

    target: int
    in_flight: int
    at_us: int


@attrs.define
class Counts:
    """What a gate host of a baseline knows."""

    own: list[int]
    next_target: int
    pool: list[Probe] = attrs.field(factory=list)


@attrs.define
class Run:
    """The measured outcome of one policy on one seed."""

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
        """Takes the latency of a call that is answered, after warm-up."""
        if arrival.at_us >= plan.duration_us * WARM_UP_SHARE:
            self.latencies_us.append(now_us - arrival.at_us)


class Baseline:
    """Sends every arrival to the target that a simple rule picks."""

    def __init__(self, name: str, world: policy_model.World, seed: int) -> None:
        self._name = name
        self._world = world
        self._random = random.Random(f"{name}-{seed}")
        self._assigned = [0] * len(world.targets)
        self._gates = [
            Counts([0] * len(world.targets), gate)
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
        gate.own[index] += 1
        self._assigned[index] += 1
        self.run.calls += 1
        self.run.attempts += 1

        def done(ran: bool) -> None:
            self._assigned[index] -= 1
            timeline.after(one_way_us, lambda: answered(ran))

        def answered(ran: bool) -> None:
            gate.own[index] -= 1
            if not ran:
                self.run.not_run += 1
                return
            self.run.complete += 1
            self.run.add_latency(self._world.plan, arrival, timeline.now_us)

        job = policy_model.Job(arrival.work_us, done)
        timeline.after(one_way_us, lambda: target.take(job))
        if self._name == "probing_pool":
            self._probe(arrival.gate)

    def _choose(self, gate: Counts) -> int:
        count = len(self._assigned)
        match self._name:
            case "random":
                return self._random.randrange(count)
            case "round_robin":
                gate.next_target = (gate.next_target + 1) % count
                return gate.next_target
            case "two_choices":
                pair = self._random.sample(range(count), 2)
                return min(pair, key=gate.own.__getitem__)
            case "least_own":
                return self._least(gate.own)
            case "probing_pool":
                return self._from_pool(gate)
        return self._least(self._assigned)

    def _least(self, loads: list[int]) -> int:
        least = min(loads)
        ties = [index for index, load in enumerate(loads) if load == least]
        return self._random.choice(ties)

    def _from_pool(self, gate: Counts) -> int:
        oldest_us = self._world.timeline.now_us - PROBE_LIFE_US
        gate.pool = [probe for probe in gate.pool if probe.at_us > oldest_us]
        if not gate.pool:
            return self._random.randrange(len(self._assigned))
        best = min(gate.pool, key=lambda probe: probe.in_flight)
        best.in_flight += 1
        return best.target

    def _probe(self, number: int) -> None:
        gate = self._gates[number]
        chosen = self._random.sample(
            range(len(self._assigned)), PROBES_PER_CALL
        )
        for index in chosen:
            self.run.probes += 1
            self._probe_one(gate, number, index)

    def _probe_one(self, gate: Counts, number: int, index: int) -> None:
        timeline = self._world.timeline
        target = self._world.targets[index]
        one_way_us = self._world.one_way_us(number, target)

        def arrive() -> None:
            load = target.report() or 0
            timeline.after(one_way_us, lambda: back(load))

        def back(load: int) -> None:
            gate.pool.append(Probe(index, load, timeline.now_us))
            del gate.pool[:-POOL_SIZE]

        timeline.after(one_way_us, arrive)
