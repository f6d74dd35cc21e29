"""Simulated targets and load for the policy benchmark.

The work of a call is a property of the call, so that every attempt repeats
it. A slow period, as caused by a noisy neighbour, is a property of the target
and slows everything that runs there.
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
NOISE_DURATION_US = 40_000
NOISE_MEAN_GAP_US = 400_000
NOISE_FACTOR = 4
STRAGGLER_FACTOR = 5
COLD_FACTOR = 5
COLD_DURATION_US = 500_000
SAME_DOMAIN_ONE_WAY_US = 50
FAILURE_DELAY_US = 1_000
REPORT_DELAY_US = 500_000
BURST_PERIOD_US = 1_000_000
BURST_DURATION_US = 150_000
BURST_FACTOR = 1.4
REPEATABLE_SHARE = 0.8
FAILURE_DOMAINS = 3


@attrs.define(frozen=True)
class Deployment:
    """Sizes of one service of a deployment.

    Attributes:
        name: Name of the deployment.
        service: Name of the service.
        targets: Number of endpoints.
        slots: Concurrent requests per endpoint.
        connection_limit: Maximum number of connections per endpoint.
        one_way_us: One-way network latency between two failure domains.
        probes_per_s: Probe budget, in probes per second.
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
    """Parameters of one comparison.

    Attributes:
        deployment: Deployment whose sizes are used.
        load: Offered load as a fraction of the slot capacity.
        scenario: Fault or load pattern.
        service: Distribution of service times, "exponential" or "heavy".
        gates: Number of gate hosts.
        duration_us: Time over which calls arrive.
        noise: "start" if a request that starts during a slow period is slowed
            for its whole duration, "rate" if a slow period slows work only
            while it lasts.
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
    """One call: its arrival time, gate host and work."""

    at_us: int
    gate: int
    work_us: int
    repeatable: bool


@attrs.define(eq=False)
class Job:
    """One attempt at a target.

    Attributes:
        work_us: Service time without a slowdown.
        done: Called when the attempt ends, with whether the request was run.
        state: "travelling", "queued", "running" or "ended".
    """

    work_us: int
    done: Callable[[bool], None]
    state: str = "travelling"


@attrs.define
class SlowPeriod:
    """A period during which a target is slower by a factor."""

    start_us: int
    end_us: int
    factor: float


class Target:
    """A simulated endpoint with slots, a FIFO queue and slow periods.

    Attributes:
        address: Address of the endpoint.
        domain: Number of its failure domain.
        in_flight: Requests queued or running.
        failing: Whether it rejects every request as not run.
        leaving: Whether it announces that it is leaving.
        runs: Number of requests that it started to run.
    """

    def __init__(
        self,
        timeline: virtual.Timeline,
        plan: Plan,
        number: int,
        slow_periods: list[SlowPeriod],
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
        self._slow_periods = slow_periods
        self._slow_period_ends_us = [
            slow_period.end_us for slow_period in slow_periods
        ]
        self._running = 0
        self._queue: collections.deque[Job] = collections.deque()
        self._history: collections.deque[tuple[int, int]] = collections.deque(
            [(0, 0)]
        )

    def enqueue(self, job: Job) -> None:
        """Queues or rejects a request that has arrived."""
        if job.state == "ended":
            return
        if self.failing:
            job.state = "ended"
            self._timeline.after(FAILURE_DELAY_US, lambda: job.done(False))
            return
        self._change_in_flight(1)
        job.state = "queued"
        self._queue.append(job)
        self._run_next()

    def cancel(self, job: Job) -> None:
        """Stops a queued or running request."""
        if job.state == "queued":
            self._queue.remove(job)
            self._change_in_flight(-1)
        elif job.state == "running":
            self._running -= 1
            self._change_in_flight(-1)
            self._run_next()
        job.state = "ended"

    def report(self) -> int | None:
        """Returns the load that the target reports, accurate or not."""
        match self._scenario:
            case "stale":
                return self._delayed_in_flight()
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
        self._change_in_flight(-1)
        self._run_next()
        job.done(True)

    def _end_us(self, work_us: float) -> int:
        now_us: float = self._timeline.now_us
        index = bisect.bisect_right(self._slow_period_ends_us, now_us)
        if self._noise == "start":
            return int(now_us + work_us * self._slowdown_factor(index))
        for slow_period in self._slow_periods[index:]:
            if now_us + work_us <= slow_period.start_us:
                break
            work_us -= max(0, slow_period.start_us - now_us)
            now_us = max(now_us, slow_period.start_us)
            done_us = (slow_period.end_us - now_us) / slow_period.factor
            if work_us <= done_us:
                return int(now_us + work_us * slow_period.factor)
            work_us -= done_us
            now_us = slow_period.end_us
        return int(now_us + work_us)

    def _slowdown_factor(self, index: int) -> float:
        """Returns the factor of a slow period, or 1.0 if it has not started."""
        if index == len(self._slow_periods):
            return 1.0
        slow_period = self._slow_periods[index]
        started = slow_period.start_us <= self._timeline.now_us
        return slow_period.factor if started else 1.0

    def _change_in_flight(self, change: int) -> None:
        self.in_flight += change
        if self._scenario == "stale":
            self._history.append((self._timeline.now_us, self.in_flight))

    def _delayed_in_flight(self) -> int:
        cutoff_us = self._timeline.now_us - REPORT_DELAY_US
        while len(self._history) > 1 and self._history[1][0] <= cutoff_us:
            self._history.popleft()
        return self._history[0][1]


@attrs.define
class World:
    """Targets of one run and the network latency to them."""

    plan: Plan
    timeline: virtual.Timeline
    targets: list[Target]

    def one_way_us(self, gate: int, target: Target) -> int:
        """Returns the one-way latency from a gate host to a target."""
        if gate % FAILURE_DOMAINS == target.domain:
            return SAME_DOMAIN_ONE_WAY_US
        return self.plan.deployment.one_way_us


def world(plan: Plan, seed: int) -> World:
    """Builds the targets; the same seed gives the same slow periods."""
    timeline = virtual.Timeline()
    built = World(plan, timeline, [])
    for number in range(plan.deployment.targets):
        generator = random.Random(f"spells-{seed}-{number}")
        slow_periods = _slow_periods(plan, number, generator)
        built.targets.append(Target(timeline, plan, number, slow_periods))
    first = built.targets[0]
    third_us = plan.duration_us // 3
    if plan.scenario == "fail-fast":
        timeline.after(third_us, lambda: setattr(first, "failing", True))
        timeline.after(2 * third_us, lambda: setattr(first, "failing", False))
    if plan.scenario == "drain":
        timeline.after(third_us, lambda: setattr(first, "leaving", True))
    return built


def _slow_periods(
    plan: Plan, number: int, generator: random.Random
) -> list[SlowPeriod]:
    third_us = plan.duration_us // 3
    if plan.scenario == "steady":
        return []
    if plan.scenario == "straggler" and number == 0:
        return [SlowPeriod(third_us, 2 * third_us, STRAGGLER_FACTOR)]
    if plan.scenario == "cold" and number == 0:
        return [SlowPeriod(third_us, third_us + COLD_DURATION_US, COLD_FACTOR)]
    slow_periods: list[SlowPeriod] = []
    at_us = 0.0
    while at_us < plan.duration_us:
        at_us += generator.expovariate(1 / NOISE_MEAN_GAP_US)
        end_us = at_us + NOISE_DURATION_US
        slow_periods.append(SlowPeriod(int(at_us), int(end_us), NOISE_FACTOR))
        at_us = end_us
    return slow_periods


def arrivals(plan: Plan, seed: int) -> list[Arrival]:
    """Returns the calls of one run, which are the same for every policy."""
    generator = random.Random(f"arrivals-{seed}")
    slots = plan.deployment.targets * plan.deployment.slots
    rate_per_us = plan.load * slots / MEAN_WORK_US
    weights = [1.0] * plan.gates
    if plan.scenario == "uneven":
        weights = [3.0 if gate % 4 == 0 else 1.0 for gate in range(plan.gates)]
    numbers = range(plan.gates)
    calls: list[Arrival] = []
    at_us = 0.0
    while True:
        at_us += generator.expovariate(
            rate_per_us * _relative_rate(plan, at_us)
        )
        if at_us >= plan.duration_us:
            return calls
        calls.append(
            Arrival(
                int(at_us),
                generator.choices(numbers, weights)[0],
                _work_us(plan, generator),
                generator.random() < REPEATABLE_SHARE,
            )
        )


def _relative_rate(plan: Plan, at_us: float) -> float:
    if plan.scenario != "burst":
        return 1.0
    if at_us % BURST_PERIOD_US < BURST_DURATION_US:
        return BURST_FACTOR
    between_bursts_us = BURST_PERIOD_US - BURST_DURATION_US
    return (
        BURST_PERIOD_US - BURST_FACTOR * BURST_DURATION_US
    ) / between_bursts_us


def _work_us(plan: Plan, generator: random.Random) -> int:
    if plan.service == "exponential":
        return 1 + int(generator.expovariate(1 / MEAN_WORK_US))
    minimum_us = MEAN_WORK_US * (PARETO_SHAPE - 1) / PARETO_SHAPE
    drawn_us = minimum_us * generator.paretovariate(PARETO_SHAPE)
    return int(min(drawn_us, MAX_WORK_US))
