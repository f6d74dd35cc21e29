"""Replays rising load with and without hedged requests, in virtual time.

The gate hosts run the reducer of the platform. Three targets in ten take seven
times the usual time; the set is redrawn every 500 ms. A target has slots and a
queue, and stops working on an attempt that is cancelled.
"""

import collections
import functools
import random

import attrs

from fireflyspindle.bench import virtual
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state

SECOND_US = 1_000_000
SERVICE = "s"
ROUTE = "r"
HOST_NAME = "h.example"
DOMAIN = "a"
PATH = "/s/x"
SLOTS = 4
QUEUE = 16
PROCESSING_US = 100_000
PROCESSING_DEVIATION = 0.3
SLOW_SHARE = 0.3
SLOW_FACTOR = 7.0
REDRAW_US = 500_000
PROBE_US = 6_000
ONE_WAY_US = 300
TIMEOUT_MS = 2_000
OBJECTIVE_MS = 250
# Time before the measured part, in which each host sees enough answers.
WARM_UP_US = 10 * SECOND_US
# Work that the targets finish a second, as a share of that at the usual speed.
SPEED = 1 - SLOW_SHARE + SLOW_SHARE / SLOW_FACTOR
# Route that no call matches, so that no call is hedged.
NO_ROUTE = frozenset({"none"})
NO_LOAD_LIMIT = 100.0


@attrs.define(frozen=True)
class Plan:
    """One run.

    Attributes:
        load: Offered load as a share of the capacity of the targets.
        hedge_share: The operator's limit; 0 for hedges by forecast, None for
            no hedges.
        load_limit: Share of the slots in use above which none is sent.
        hosts: Number of gate hosts.
        targets: Number of targets.
        seconds: Measured time.
        seed: Seed of the run.
    """

    load: float
    hedge_share: float | None
    load_limit: float = store_state.HEDGE_LOAD_LIMIT
    hosts: int = 12
    targets: int = 24
    seconds: float = 16.0
    seed: int = 1


@attrs.define(frozen=True)
class Figures:
    """Result of one run.

    Attributes:
        calls: Calls that arrived in the measured time.
        p50_ms: Median time to an answer.
        p99_ms: Quantile of the time to an answer; a call without one counts
            with its timeout.
        p999_ms: Quantile of the time to an answer.
        in_time: Share of the calls answered within the objective.
        failed: Share of the calls that no target answered.
        hedges_per_100: Hedges per 100 calls.
        won: Share of the hedges that answered first.
        sends_per_100: Sends per 100 calls.
        busy: Share of the slots in use.
        worst_window_per_100: Most hedges in any 10 s, per 100 calls in it.
        refused: Refused hedges per 100 calls, by cause.
    """

    calls: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    in_time: float
    failed: float
    hedges_per_100: float
    won: float
    sends_per_100: float
    busy: float
    worst_window_per_100: float
    refused: dict[str, float]


@attrs.define(eq=False)
class Job:
    """An attempt at a target."""

    host: int
    call_id: int
    attempt: int
    started_us: int | None = None
    cancelled: bool = False


@attrs.define(eq=False)
class Target:
    """A target with slots, a queue and a speed that changes."""

    slow: bool = False
    running: list[Job] = attrs.field(factory=list)
    queued: collections.deque[Job] = attrs.field(factory=collections.deque)

    def report(self) -> events.LoadReport:
        """Returns the load report of the target."""
        return events.LoadReport(
            in_flight=len(self.running) + len(self.queued),
            slots=SLOTS,
            slowdown=SLOW_FACTOR if self.slow else 1.0,
        )


class Replay:
    """Hosts, targets and callers of one run."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._timeline = virtual.Timeline()
        self._targets = [Target() for _ in range(plan.targets)]
        self._jobs: dict[tuple[int, int, int], tuple[Target, Job]] = {}
        self._arrived_us: dict[int, int] = {}
        self._times_us: dict[int, int] = {}
        self._hedged_us: list[int] = []
        self._busy_us = 0
        self._sends = 0
        self._failed = 0
        self._end_us = WARM_UP_US + int(plan.seconds * SECOND_US)
        self._hosts = [
            virtual.VirtualGate(
                self._timeline,
                state_lib.CoreSettings(
                    host_id=f"gate-{number}",
                    failure_domain=DOMAIN,
                    store=_store_settings(plan),
                ),
                self._random.getrandbits(32),
                functools.partial(self._execute, number),
            )
            for number in range(plan.hosts)
        ]

    def run(self) -> Figures:
        """Runs the plan and returns its figures."""
        for host in self._hosts:
            host.start()
            host.feed(
                lambda now_us: events.ConfigurationRead(now_us, _document(), 1)
            )
            host.feed(
                lambda now_us: events.TargetsRead(
                    now_us, _entries(self._plan.targets), [], True, 1
                )
            )
            host.feed(
                lambda now_us: events.HostsReported(now_us, 0, self._plan.hosts)
            )
        self._redraw()
        self._arrive(1)
        self._timeline.run(self._end_us + TIMEOUT_MS * 1000)
        return self._figures()

    def _redraw(self) -> None:
        for target in self._targets:
            target.slow = self._random.random() < SLOW_SHARE
        self._timeline.after(REDRAW_US, self._redraw)

    def _arrive(self, call_id: int) -> None:
        if self._timeline.now_us >= self._end_us:
            return
        host = self._hosts[self._random.randrange(len(self._hosts))]
        self._arrived_us[call_id] = self._timeline.now_us
        host.feed(
            lambda now_us: events.CallArrived(
                now_us, call_id, PATH, host=HOST_NAME
            )
        )
        capacity_per_us = len(self._targets) * SLOTS * SPEED / PROCESSING_US
        gap_us = self._random.expovariate(self._plan.load * capacity_per_us)
        self._timeline.after(int(gap_us), lambda: self._arrive(call_id + 1))

    def _execute(
        self, number: int, _gate: virtual.VirtualGate, effect: effects.Effect
    ) -> None:
        match effect:
            case effects.SendToTarget():
                self._send(number, effect)
            case effects.CancelAttempt(call_id, attempt):
                self._timeline.after(
                    ONE_WAY_US,
                    lambda: self._cancel((number, call_id, attempt)),
                )
            case effects.ForwardAnswer(call_id, attempt):
                self._times_us[call_id] = self._age_us(call_id)
                self._feed_soon(number, events.AttemptEnded, call_id, attempt)
            case effects.AnswerCaller(call_id):
                self._times_us[call_id] = TIMEOUT_MS * 1000
                self._failed += self._is_measured(call_id)
            case effects.ProbeTarget(probe_id, address):
                target = self._targets[_number(address)]
                self._timeline.after(
                    PROBE_US,
                    lambda: self._feed_soon(
                        number, events.ProbeEnded, probe_id, target.report()
                    ),
                )

    def _age_us(self, call_id: int) -> int:
        return self._timeline.now_us - self._arrived_us[call_id]

    def _is_measured(self, call_id: int) -> bool:
        return self._arrived_us[call_id] >= WARM_UP_US

    def _feed_soon(
        self, number: int, event_class: type, *fields: object, **named: object
    ) -> None:
        self._timeline.after(
            ONE_WAY_US,
            lambda: self._hosts[number].feed(
                lambda now_us: event_class(now_us, *fields, **named)
            ),
        )

    def _send(self, number: int, effect: effects.SendToTarget) -> None:
        if self._is_measured(effect.call_id):
            self._sends += 1
            if effect.hedge:
                self._hedged_us.append(self._timeline.now_us)
        target = self._targets[_number(effect.target)]
        job = Job(number, effect.call_id, effect.attempt)
        self._jobs[number, effect.call_id, effect.attempt] = (target, job)
        self._timeline.after(ONE_WAY_US, lambda: self._receive(target, job))

    def _receive(self, target: Target, job: Job) -> None:
        if job.cancelled:
            return
        if len(target.running) < SLOTS:
            self._start(target, job)
        elif len(target.queued) < QUEUE:
            target.queued.append(job)
        else:
            self._answer(target, job, status=503, not_run=True)

    def _start(self, target: Target, job: Job) -> None:
        job.started_us = self._timeline.now_us
        target.running.append(job)
        factor = max(0.2, self._random.gauss(1.0, PROCESSING_DEVIATION))
        if target.slow:
            factor *= SLOW_FACTOR
        self._timeline.after(
            int(PROCESSING_US * factor), lambda: self._complete(target, job)
        )

    def _complete(self, target: Target, job: Job) -> None:
        if job.cancelled:
            return
        self._release(target, job)
        self._answer(target, job, status=200)

    def _release(self, target: Target, job: Job) -> None:
        assert job.started_us is not None
        target.running.remove(job)
        if job.started_us >= WARM_UP_US:
            self._busy_us += self._timeline.now_us - job.started_us
        if target.queued:
            self._start(target, target.queued.popleft())

    def _answer(self, target: Target, job: Job, **fields: object) -> None:
        self._feed_soon(
            job.host,
            events.AttemptAnswered,
            job.call_id,
            job.attempt,
            report=target.report(),
            **fields,
        )

    def _cancel(self, key: tuple[int, int, int]) -> None:
        target, job = self._jobs.pop(key, (None, None))
        if target is None or job is None or job.cancelled:
            return
        job.cancelled = True
        if job in target.queued:
            target.queued.remove(job)
        elif job in target.running:
            self._release(target, job)
        self._feed_soon(
            job.host,
            events.AttemptFailed,
            job.call_id,
            job.attempt,
            events.FailureReason.CANCELLED,
            True,
        )

    def _figures(self) -> Figures:
        measured = [c for c in self._arrived_us if self._is_measured(c)]
        times_us = sorted(
            self._times_us.get(call_id, TIMEOUT_MS * 1000)
            for call_id in measured
        )
        calls = len(measured)
        in_time = sum(time <= OBJECTIVE_MS * 1000 for time in times_us)
        slots_us = len(self._targets) * SLOTS * self._plan.seconds * SECOND_US
        counters = [host.state.hedges for host in self._hosts]
        refused: collections.Counter[str] = collections.Counter()
        for each in counters:
            for cause, count in each.refused.items():
                refused[cause.value] += count
        all_calls = len(self._arrived_us)
        return Figures(
            calls=calls,
            p50_ms=_quantile_ms(times_us, 0.5),
            p99_ms=_quantile_ms(times_us, 0.99),
            p999_ms=_quantile_ms(times_us, 0.999),
            in_time=round(in_time / calls, 4),
            failed=round(self._failed / calls, 5),
            hedges_per_100=round(100 * len(self._hedged_us) / calls, 2),
            won=round(
                sum(each.won for each in counters)
                / max(1, sum(each.sent for each in counters)),
                2,
            ),
            sends_per_100=round(100 * self._sends / calls, 2),
            busy=round(self._busy_us / slots_us, 4),
            worst_window_per_100=self._worst_window_per_100(),
            refused={
                cause: round(100 * count / all_calls, 2)
                for cause, count in refused.most_common(6)
            },
        )

    def _worst_window_per_100(self) -> float:
        """Returns the most hedges in 10 s, per 100 calls that arrived in it."""
        worst = 0.0
        end_us = WARM_UP_US + 10 * SECOND_US
        while end_us <= self._end_us:
            start_us = end_us - 10 * SECOND_US
            hedges = sum(start_us <= at < end_us for at in self._hedged_us)
            calls = sum(
                start_us <= at < end_us for at in self._arrived_us.values()
            )
            worst = max(worst, 100 * hedges / max(1, calls))
            end_us += SECOND_US
        return round(worst, 2)


def _store_settings(plan: Plan) -> store_state.StoreSettings:
    none = plan.hedge_share is None
    return store_state.StoreSettings(
        apply_limit_ms=virtual.UNREAD_LIMIT_MS,
        hedge_share=0.01 if none else plan.hedge_share or 0.0,
        hedge_routes=NO_ROUTE if none else frozenset(),
        hedge_load_limit=plan.load_limit,
    )


def _document() -> published.Document:
    rule = published.Rule(
        name=ROUTE,
        host=HOST_NAME,
        path_prefix="/s/",
        parts=(published.Part(SERVICE, 1),),
        repeatable=True,
        timeout_ms=TIMEOUT_MS,
        latency_objective_ms=OBJECTIVE_MS,
        max_attempts=3,
        priority=0,
    )
    return published.Document(
        version=1,
        rules=(rule,),
        services=(published.ServiceSettings(SERVICE, "/health", 260),),
        limits=published.CallerLimits(16_384, 1_000_000, 3_000, 15_000),
    )


def _entries(count: int) -> list[events.TargetRegistration]:
    return [
        events.TargetRegistration(
            target_id=f"i-{number}",
            service=SERVICE,
            address=f"10.0.0.{number}:80",
            failure_domain=DOMAIN,
            slots=SLOTS,
            draining=False,
            warmup_left_ms=0,
            started_ms=1_000,
            sequence=1,
        )
        for number in range(count)
    ]


def _number(address: str) -> int:
    return int(address.rpartition(":")[0].rpartition(".")[2])


def _quantile_ms(times_us: list[int], share: float) -> float:
    return round(times_us[int(share * (len(times_us) - 1))] / 1000, 1)
