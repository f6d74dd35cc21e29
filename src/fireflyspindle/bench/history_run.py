"""Runs simulated gate hosts under random faults and checks invariants."""

from collections.abc import Callable

import attrs

from fireflyspindle.bench import fake_target
from fireflyspindle.bench import faults as faults_lib
from fireflyspindle.bench import history as history_lib
from fireflyspindle.bench import history_checks
from fireflyspindle.bench import simulated_hosts
from fireflyspindle.bench import simulation
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import readiness

LOAD_US = 20_000_000
DRAIN_US = 25_000_000
MEAN_ARRIVAL_GAP_US = 6_000
OBSERVE_PERIOD_US = 100_000
PUBLISH_PERIOD_US = 700_000
FAULTS_PER_RUN = 10
MAX_TRIES_PER_KEY = 3
DEADLINE_US = 3_000_000
TARGET_DRAIN_US = 6_000_000
TARGET_RESTART_US = 1_000_000
TENANTS = ("zeevaart", "taller")


class LoadSimulation(simulation.Simulation):
    """A simulated system with callers, operators and scheduled faults."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self._calls = 0
        self._tries_by_key: dict[str, int] = {}
        self._load_active = True

    def run(self) -> history_lib.History:
        """Runs the load under faults, then drains; returns the history."""
        self.start()
        self.timeline.after(0, self._observe)
        self.timeline.run(until_us=2_000_000)
        planned = faults_lib.schedule(
            self.random,
            FAULTS_PER_RUN,
            LOAD_US,
            simulation.GATES,
            simulation.TARGETS,
        )
        for fault in planned:
            self.timeline.after(fault.at_us, self._fault_starter(fault))
        self._schedule_call()
        self._schedule_publish()
        self._schedule_expiry()
        self.timeline.run(self.timeline.now_us + LOAD_US)
        self._load_active = False
        self.timeline.run(self.timeline.now_us + DRAIN_US)
        for host in self.hosts:
            self.record_fault_free_period(host)
        return self.history

    def _observe(self) -> None:
        self.observe_revisions()
        self.timeline.after(OBSERVE_PERIOD_US, self._observe)

    def _schedule_expiry(self) -> None:
        self.log.expire(simulation.LOG_RETENTION_US)
        self.timeline.after(1_000_000, self._schedule_expiry)

    # Callers.

    def _schedule_call(self) -> None:
        if not self._load_active:
            return
        self._new_request()
        arrival_gap_us = int(self.random.expovariate(1 / MEAN_ARRIVAL_GAP_US))
        self.timeline.after(arrival_gap_us, self._schedule_call)

    def _new_request(self) -> None:
        draw = self.random.random()
        if draw < 0.5:
            self._call(repeatable=True, key="")
            return
        if draw < 0.7:
            self._call(repeatable=False, key="")
            return
        key = f"{self.wall_ms()}-{self._calls}"
        duplicated = self.random.random() < 0.2
        self._call(
            repeatable=False,
            key=key,
            other_copies=None if duplicated else False,
        )
        if duplicated:
            self._call(repeatable=False, key=key)

    def _call(
        self, repeatable: bool, key: str, other_copies: bool | None = None
    ) -> None:
        eligible = [
            host
            for host in self.hosts
            if host.in_load_balancer
            and (
                host.gate.state.stopping
                or readiness.not_ready_reason(host.gate.state) is None
            )
        ]
        if not eligible:
            return
        host = self.random.choice(eligible)
        self._calls += 1
        call = self._calls
        tenant = TENANTS[call % len(TENANTS)] if not key else TENANTS[0]
        self._tries_by_key[key] = self._tries_by_key.get(key, 0) + 1
        self.history.calls[call] = history_lib.ObservedCall(
            call, host.name, self.timeline.now_us, repeatable, key
        )
        host.pending_calls.add(call)
        self.feed(
            host,
            lambda now_us: events.CallArrived(
                now_us=now_us,
                call_id=call,
                path=f"{simulation.PATH}/{call}",
                tenant=tenant,
                repeatable=repeatable,
                deadline_us=now_us + DEADLINE_US,
                idempotency_key=key,
                body_digest=key,
                key_issued_ms=int(key.partition("-")[0] or 0),
                wall_ms=self.wall_ms() + host.skew_ms,
                other_copies=other_copies,
            ),
        )
        if self.random.random() < 0.02:
            self.timeline.after(5_000, lambda: self._disconnect(host, call))

    def _disconnect(self, host: simulated_hosts.Host, call: int) -> None:
        observed = self.history.calls[call]
        if observed.outcome is not None or host.gate.stopped:
            return
        observed.caller_disconnected = True
        host.pending_calls.discard(call)
        self.feed(host, lambda now_us: events.CallerDisconnected(now_us, call))

    def on_outcome(self, observed: history_lib.ObservedCall) -> None:
        """Retries a keyed request that was not completed."""
        if not observed.key or observed.outcome is effects.Outcome.COMPLETE:
            return
        if self._tries_by_key[observed.key] >= MAX_TRIES_PER_KEY:
            return
        self.timeline.after(
            50_000,
            lambda: self._call(repeatable=False, key=observed.key),
        )

    # Operators.

    def _schedule_publish(self) -> None:
        if not self._load_active:
            return
        self._publish_tenant()
        self.timeline.after(PUBLISH_PERIOD_US, self._schedule_publish)

    def _publish_tenant(self) -> None:
        name = self.random.choice(TENANTS)
        host = self.random.choice(self.hosts)
        entry = host.gate.state.configuration.entries.get(f"tenant/{name}")
        weight = self.random.randrange(1, 10)
        self.publish(
            "tenant", name, {"weight": weight}, entry.revision if entry else 0
        )

    # Faults.

    def _fault_starter(
        self, planned: faults_lib.ScheduledFault
    ) -> Callable[[], None]:
        def inject() -> None:
            name = faults_lib.kind(planned.fault)
            self.history.faults[name] = self.history.faults.get(name, 0) + 1
            end = self._inject(planned.fault)
            if end is not None:
                self.timeline.after(planned.duration_us, end)

        return inject

    def _inject(self, fault: faults_lib.Fault) -> Callable[[], None] | None:  # noqa: C901 - one arm for each fault
        match fault:
            case faults_lib.LogDown(gates):
                return self._log_down(gates)
            case faults_lib.LogSlow(delay_us):
                return self._log_slow(delay_us)
            case faults_lib.LogAnswersLost():
                self.log.losing_responses = True
                return lambda: setattr(self.log, "losing_responses", False)
            case faults_lib.GatePaused(gate):
                return self._pause(self.hosts[gate])
            case faults_lib.GateCrashed(gate):
                self.crash(gate)
            case faults_lib.GateReplaced(gate):
                self.stop(gate)
            case faults_lib.PeersParted(group):
                self.partitioned = group
                return lambda: setattr(self, "partitioned", frozenset())
            case faults_lib.AnswersDisturbed():
                self.response_faults = True
                return lambda: setattr(self, "response_faults", False)
            case faults_lib.TargetLeaving(target):
                return self._drain_target(target)
            case faults_lib.TargetFailing(target):
                failing = self._target_at(target)
                failing.failing = True
                return lambda: setattr(failing, "failing", False)
            case faults_lib.TargetSlow(target):
                slow = self._target_at(target)
                slow.slowdown = 20.0
                return lambda: setattr(slow, "slowdown", 1.0)
            case faults_lib.OperatorsRace():
                self._publish_tenant()
                self._publish_tenant()
        return None

    def _target_at(self, index: int) -> fake_target.FakeTarget:
        return list(self.targets.values())[index]

    def _log_down(self, indexes: tuple[int, ...]) -> Callable[[], None]:
        affected = [self.hosts[index] for index in indexes]
        names = {host.name for host in affected}
        self.log.unreachable_for |= names
        for host in affected:
            self.mark_fault_start(host)

        def end() -> None:
            self.log.unreachable_for -= names
            for host in affected:
                self.mark_fault_end(host)

        return end

    def _log_slow(self, delay_us: int) -> Callable[[], None]:
        self.log.extra_delay_us = delay_us
        for host in self.hosts:
            self.mark_fault_start(host)

        def end() -> None:
            self.log.extra_delay_us = 0
            for host in self.hosts:
                self.mark_fault_end(host)

        return end

    def _pause(self, host: simulated_hosts.Host) -> Callable[[], None]:
        host.gate.paused = True
        self.mark_fault_start(host)

        def end() -> None:
            host.gate.resume()
            self.mark_fault_end(host)

        return end

    def _drain_target(self, index: int) -> Callable[[], None] | None:
        target = self._target_at(index)
        if target.leaving:
            return None
        target.leaving = True
        observed = history_lib.ObservedDeparture(
            target.address, self.timeline.now_us
        )
        self.history.leaving.append(observed)

        def stop_target() -> None:
            target.refusing_connections = True
            self.timeline.after(TARGET_RESTART_US, restart)

        def restart() -> None:
            observed.returned_us = self.timeline.now_us
            target.incarnation += 1
            target.leaving = False
            target.refusing_connections = False

        return lambda: self.timeline.after(TARGET_DRAIN_US, stop_target)


@attrs.define
class SeedResult:
    """History of one seed and its violations."""

    seed: int
    history: history_lib.History
    violations: list[history_checks.Violation]


def run_seed(seed: int) -> SeedResult:
    """Runs one seed and checks its history."""
    history = LoadSimulation(seed).run()
    return SeedResult(seed, history, history_checks.check(history))


@attrs.define
class Summary:
    """Totals over all seeds.

    Attributes:
        seeds: Number of seeds.
        calls: Number of calls.
        events: Number of events processed by reducers.
        told: Calls by the outcome that the caller received.
        faults: Faults by kind.
        violations: Violations by invariant.
        failing_seeds: Seeds that reproduce each violated invariant.
        examples: One violation of each violated invariant.
    """

    seeds: int = 0
    calls: int = 0
    events: int = 0
    told: dict[str, int] = attrs.field(factory=dict)
    faults: dict[str, int] = attrs.field(factory=dict)
    violations: dict[str, int] = attrs.field(factory=dict)
    failing_seeds: dict[str, list[int]] = attrs.field(factory=dict)
    examples: dict[str, str] = attrs.field(factory=dict)

    def add(self, result: SeedResult) -> None:
        """Adds the results of one seed."""
        self.seeds += 1
        self.calls += len(result.history.calls)
        self.events += result.history.events
        for observed in result.history.calls.values():
            told = observed.outcome.value if observed.outcome else "nothing"
            _count(self.told, told)
        for kind, count in result.history.faults.items():
            _count(self.faults, kind, count)
        for violation in result.violations:
            name = violation.invariant.value
            _count(self.violations, name)
            self.examples.setdefault(name, violation.detail)
            seeds = self.failing_seeds.setdefault(name, [])
            if result.seed not in seeds:
                seeds.append(result.seed)


def _count(counts: dict[str, int], name: str, count: int = 1) -> None:
    counts[name] = counts.get(name, 0) + count


def run(seeds: int, first_seed: int = 0) -> Summary:
    """Runs `seeds` consecutive seeds; returns the totals."""
    summary = Summary()
    for seed in range(first_seed, first_seed + seeds):
        summary.add(run_seed(seed))
    return summary
