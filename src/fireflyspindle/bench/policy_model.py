"""Fakes at the interfaces of a gate host, for the policy bench.

A call carries its own work, which every copy of it has again; a noisy
neighbour belongs to the target and slows whatever runs there.
"""

import bisect
import collections
from collections.abc import Callable
import functools
import random

import attrs

from fireflyspindle.bench import virtual

MEAN_WORK_US = 10_000
PARETO_SHAPE = 2.1
MAX_WORK_US = 1_000_000
NOISE_LENGTH_US = 40_000
NOISE_MEAN_GAP_US = 400_000
NOISE_FACTOR = 4
STRAGGLER_FACTOR = 5
COLD_FACTOR = 5
COLD_LENGTH_US = 500_000
SAME_DOMAIN_ONE_WAY_US = 50
FAIL_TIME_US = 1_000
REPORT_LAG_US = 500_000
BURST_PERIOD_US = 1_000_000
BURST_LENGTH_US = 150_000
BURST_FACTOR = 1.4
REPEATABLE_SHARE = 0.8
FAILURE_DOMAINS = 3


@attrs.define(frozen=True)
class Deployment:
    """Sizes of one user's service.

    Attributes:
        name: Name of the user.
        service: Name of the service.
        targets: Number of endpoints.
        slots: Requests that an endpoint runs at once.
        connection_limit: Connections that an endpoint takes.
        one_way_us: Time between two failure domains.
        probes_per_s: Agreed budget of probes.
    """

    name: str
    service: str
    targets: int
    slots: int
    connection_limit: int
    one_way_us: int
    probes_per_s: float


DEPLOYMENTS = {
    "zeevaart": Deployment("zeevaart", "dossier", 16, 4, 260, 500, 5.0),
    "taller": Deployment("taller", "tracking", 17, 6, 220, 500, 20.0),
}


@attrs.define(frozen=True)
class Plan:
    """What one comparison runs.

    Attributes:
        deployment: Whose sizes are used.
        load: Offered work as a share of what the slots can do.
        scenario: What goes wrong.
        service: Distribution of work, "exponential" or "heavy".
        gates: Number of gate hosts.
        duration_us: Time over which calls arrive.
        noise: "start" when a spell slows the whole of each request that
            starts in it, "rate" when it slows work while it lasts.
    """

    deployment: Deployment
    load: float
    scenario: str
    service: str
    gates: int
    duration_us: int
    noise: str = "start"


@attrs.define(frozen=True)
class Arrival:
    """One call: when and where it arrives and its own work."""

    at_us: int
    gate: int
    work_us: int
    repeatable: bool


@attrs.define(eq=False)
class Job:
    """One attempt at a target.

    Attributes:
        work_us: Work at full speed.
        done: Called with whether the request was run.
        state: "travelling", "queued", "running" or "ended".
    """

    work_us: int
    done: Callable[[bool], None]
    state: str = "travelling"


@attrs.define
class SlowSpell:
    """A time during which a target is slower by a factor."""

    start_us: int
    end_us: int
    factor: float


class Target:
    """An endpoint with slots, a queue and spells of slowness.

    Attributes:
        address: Address that gate hosts know it by.
        domain: Number of its failure domain.
        in_flight: Requests queued or running.
        failing: Whether it refuses each request as not run.
        leaving: Whether it states that it is leaving.
        runs: Number of requests whose run began.
    """

    def __init__(
        self,
        timeline: virtual.Timeline,
        plan: Plan,
        number: int,
        spells: list[SlowSpell],
    ) -> None:
        self.address = f"10.0.0.{number}:80"
        self.domain = number % FAILURE_DOMAINS
        self.failing = False
        self.leaving = False
        self.runs = 0
        self.in_flight = 0
        self._timeline = timeline
        self._slots = plan.deployment.slots
        self._scenario = plan.scenario
        self._noise = plan.noise
        self._number = number
        self._spells = spells
        self._spell_ends = [spell.end_us for spell in spells]
        self._running = 0
        self._queue: collections.deque[Job] = collections.deque()
        self._history: collections.deque[tuple[int, int]] = collections.deque(
            [(0, 0)]
        )

    def take(self, job: Job) -> None:
        """Takes a request that has arrived."""
        if job.state == "ended":
            return
        if self.failing:
            job.state = "ended"
            self._timeline.after(FAIL_TIME_US, lambda: job.done(False))
            return
        self._count(1)
        job.state = "queued"
        self._queue.append(job)
        self._run_next()

    def cancel(self, job: Job) -> None:
        """Drops a request whose answer nobody wants."""
        if job.state == "queued":
            self._queue.remove(job)
            self._count(-1)
        elif job.state == "running":
            self._running -= 1
            self._count(-1)
            self._run_next()
        job.state = "ended"

    def report(self) -> int | None:
        """Returns the load that the target states, true or not."""
        match self._scenario:
            case "stale":
                return self._lagging_in_flight()
            case "lying" if self._number % 2 == 0:
                return 0
            case "missing":
                return None
        return self.in_flight

    def _run_next(self) -> None:
        while self._queue and self._running < self._slots:
            job = self._queue.popleft()
            job.state = "running"
            self._running += 1
            self.runs += 1
            end_us = self._end_us(job.work_us)
            delay_us = end_us - self._timeline.now_us
            self._timeline.after(delay_us, functools.partial(self._finish, job))

    def _finish(self, job: Job) -> None:
        if job.state != "running":
            return
        job.state = "ended"
        self._running -= 1
        self._count(-1)
        self._run_next()
        job.done(True)

    def _end_us(self, work_us: float) -> int:
        now_us: float = self._timeline.now_us
        index = bisect.bisect_right(self._spell_ends, now_us)
        if self._noise == "start":
            return int(now_us + work_us * self._factor(index))
        for spell in self._spells[index:]:
            if now_us + work_us <= spell.start_us:
                break
            work_us -= max(0, spell.start_us - now_us)
            now_us = max(now_us, spell.start_us)
            done_us = (spell.end_us - now_us) / spell.factor
            if work_us <= done_us:
                return int(now_us + work_us * spell.factor)
            work_us -= done_us
            now_us = spell.end_us
        return int(now_us + work_us)

    def _factor(self, index: int) -> float:
        """Returns the factor of a spell if it has begun."""
        if index == len(self._spells):
            return 1.0
        spell = self._spells[index]
        begun = spell.start_us <= self._timeline.now_us
        return spell.factor if begun else 1.0

    def _count(self, change: int) -> None:
        self.in_flight += change
        if self._scenario == "stale":
            self._history.append((self._timeline.now_us, self.in_flight))

    def _lagging_in_flight(self) -> int:
        horizon_us = self._timeline.now_us - REPORT_LAG_US
        while len(self._history) > 1 and self._history[1][0] <= horizon_us:
            self._history.popleft()
        return self._history[0][1]


@attrs.define
class World:
    """The targets of one run, and the times between domains."""

    plan: Plan
    timeline: virtual.Timeline
    targets: list[Target]

    def one_way_us(self, gate: int, target: Target) -> int:
        """Returns the time from a gate host to a target."""
        if gate % FAILURE_DOMAINS == target.domain:
            return SAME_DOMAIN_ONE_WAY_US
        return self.plan.deployment.one_way_us


def world(plan: Plan, seed: int) -> World:
    """Builds the targets, with the same spells for the same seed."""
    timeline = virtual.Timeline()
    made = World(plan, timeline, [])
    for number in range(plan.deployment.targets):
        generator = random.Random(f"spells-{seed}-{number}")
        spells = _spells(plan, number, generator)
        made.targets.append(Target(timeline, plan, number, spells))
    first = made.targets[0]
    third_us = plan.duration_us // 3
    if plan.scenario == "fail-fast":
        timeline.after(third_us, lambda: setattr(first, "failing", True))
        timeline.after(2 * third_us, lambda: setattr(first, "failing", False))
    if plan.scenario == "drain":
        timeline.after(third_us, lambda: setattr(first, "leaving", True))
    return made


def _spells(
    plan: Plan, number: int, generator: random.Random
) -> list[SlowSpell]:
    third_us = plan.duration_us // 3
    if plan.scenario == "steady":
        return []
    if plan.scenario == "straggler" and number == 0:
        return [SlowSpell(third_us, 2 * third_us, STRAGGLER_FACTOR)]
    if plan.scenario == "cold" and number == 0:
        return [SlowSpell(third_us, third_us + COLD_LENGTH_US, COLD_FACTOR)]
    spells: list[SlowSpell] = []
    at_us = 0.0
    while at_us < plan.duration_us:
        at_us += generator.expovariate(1 / NOISE_MEAN_GAP_US)
        end_us = at_us + NOISE_LENGTH_US
        spells.append(SlowSpell(int(at_us), int(end_us), NOISE_FACTOR))
        at_us = end_us
    return spells


def arrivals(plan: Plan, seed: int) -> list[Arrival]:
    """Returns the calls of one run, the same for every policy."""
    generator = random.Random(f"arrivals-{seed}")
    slots = plan.deployment.targets * plan.deployment.slots
    per_us = plan.load * slots / MEAN_WORK_US
    weights = [1.0] * plan.gates
    if plan.scenario == "uneven":
        weights = [3.0 if gate % 4 == 0 else 1.0 for gate in range(plan.gates)]
    numbers = range(plan.gates)
    made: list[Arrival] = []
    at_us = 0.0
    while True:
        at_us += generator.expovariate(per_us * _intensity(plan, at_us))
        if at_us >= plan.duration_us:
            return made
        made.append(
            Arrival(
                int(at_us),
                generator.choices(numbers, weights)[0],
                _work_us(plan, generator),
                generator.random() < REPEATABLE_SHARE,
            )
        )


def _intensity(plan: Plan, at_us: float) -> float:
    if plan.scenario != "burst":
        return 1.0
    if at_us % BURST_PERIOD_US < BURST_LENGTH_US:
        return BURST_FACTOR
    rest_us = BURST_PERIOD_US - BURST_LENGTH_US
    return (BURST_PERIOD_US - BURST_FACTOR * BURST_LENGTH_US) / rest_us


def _work_us(plan: Plan, generator: random.Random) -> int:
    if plan.service == "exponential":
        return 1 + int(generator.expovariate(1 / MEAN_WORK_US))
    least_us = MEAN_WORK_US * (PARETO_SHAPE - 1) / PARETO_SHAPE
    drawn_us = least_us * generator.paretovariate(PARETO_SHAPE)
    return int(min(drawn_us, MAX_WORK_US))
