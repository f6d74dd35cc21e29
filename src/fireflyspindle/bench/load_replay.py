"""Replays loads on the reducers of a whole fleet, in virtual time.

Callers arrive at random hosts. A refused caller comes back once, to a random
host, if the Retry-After is at most a third of its remaining time. Targets slow
down at random, have a bounded queue, and reset or ignore what exceeds it.
"""

from collections.abc import Callable
import functools
import itertools
import random
import time

import attrs

from fireflyspindle.bench import load_replay_targets
from fireflyspindle.bench import virtual
from fireflyspindle.core import api_keys
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state

SERVICE = "s"
# Start of the replay: hosts use the counted number of hosts after 5 s.
START_US = 10_000_000
# Time from a host to a target or back.
HOP_US = 300
# Quota of an organisation, as a multiple of its usual rate.
QUOTA_FACTOR = 1.6
# Share of the remaining time up to which callers honour a Retry-After.
RETRY_AFTER_SHARE = 1 / 3


@attrs.define(frozen=True)
class Organisation:
    """An organisation of the replay.

    Attributes:
        name: Name; empty for calls without an organisation.
        share: Share of the usual requests.
        load_factor: Rate as a multiple of the usual one, by time in seconds.
    """

    name: str = ""
    share: float = 1.0
    load_factor: Callable[[float], float] = lambda _: 1.0


@attrs.define(frozen=True)
class Load:
    """What a replay offers.

    Attributes:
        hosts: Number of gate hosts.
        targets: Number of targets.
        slots: Slots of each target.
        queue: Requests that a target queues beyond its slots.
        hangs_when_full: Whether a full target ignores requests; otherwise it
            resets their connections.
        slow_share: Share of the targets that are slow at a time.
        requests_per_s: Usual rate over all hosts.
        duration_s: Duration of the arrivals.
        work_us: Mean processing time at the usual speed.
        objective_factor: Latency objective, as a multiple of that.
        timeout_factor: Time-out of callers, as a multiple of that.
        repeatable_share: Share of the requests that may run again.
        probes_per_s: Probe budget per target over all hosts.
        organisations: Organisations that send the requests.
        has_quotas: Whether hosts know the organisations and their quotas.
        seed: Seed of everything random.
    """

    hosts: int = 230
    targets: int = 60
    slots: int = 2
    queue: int = 8
    hangs_when_full: bool = False
    slow_share: float = 0.3
    requests_per_s: float = 420.0
    duration_s: float = 8.0
    work_us: int = 80_000
    objective_factor: float = 3.0
    timeout_factor: float = 8.0
    repeatable_share: float = 0.5
    probes_per_s: float = 42.0
    organisations: tuple[Organisation, ...] = (Organisation(),)
    has_quotas: bool = True
    seed: int = 1


@attrs.define
class Caller:
    """A caller and what became of its request.

    Attributes:
        organisation: Name of its organisation.
        arrived_us: Time of its first arrival.
        repeatable: Whether its request may run again.
        answered_us: Time of the complete response, or None.
        refusals: Refusals that it received.
        runs: Times that a target ran its request.
        last_ended_us: Time of the last response, of whatever kind.
    """

    organisation: str
    arrived_us: int
    repeatable: bool
    answered_us: int | None = None
    refusals: int = 0
    runs: int = 0
    last_ended_us: int = 0


@attrs.define
class Results:
    """What a replay measured.

    Attributes:
        callers: All callers.
        sends: Requests sent to targets.
        probes: Probes sent to targets.
        ignored: Requests that a full target ignored or reset.
        objective_us: Latency objective.
        wall_s: Duration of the replay on this machine.
    """

    callers: list[Caller] = attrs.field(factory=list)
    sends: int = 0
    probes: int = 0
    ignored: int = 0
    objective_us: int = 0
    wall_s: float = 0.0

    def in_time(self, caller: Caller) -> bool:
        """Whether a caller was answered within the latency objective."""
        if caller.answered_us is None:
            return False
        return caller.answered_us - caller.arrived_us <= self.objective_us

    def share_in_time(self, callers: list[Caller] | None = None) -> float:
        """Returns the share of callers that were answered in time."""
        chosen = self.callers if callers is None else callers
        return sum(map(self.in_time, chosen)) / max(1, len(chosen))

    def share_answered(self) -> float:
        """Returns the share of callers with a complete response."""
        answered = sum(c.answered_us is not None for c in self.callers)
        return answered / max(1, len(self.callers))

    def worst_second(self) -> float:
        """Returns the share in time of the second with the lowest one."""
        seconds: dict[int, list[Caller]] = {}
        for caller in self.callers:
            seconds.setdefault(caller.arrived_us // 1_000_000, []).append(
                caller
            )
        return min(map(self.share_in_time, seconds.values()))

    def by_organisation(self) -> dict[str, float]:
        """Returns the share in time of each organisation."""
        callers: dict[str, list[Caller]] = {}
        for caller in self.callers:
            callers.setdefault(caller.organisation, []).append(caller)
        return {name: self.share_in_time(c) for name, c in callers.items()}

    def worst_tenth(self) -> float:
        """Returns the mean share in time of the worst tenth of organisations.

        Organisations with fewer than 10 callers are left out.
        """
        counts: dict[str, int] = {}
        for caller in self.callers:
            name = caller.organisation
            counts[name] = counts.get(name, 0) + 1
        shares = sorted(
            share
            for name, share in self.by_organisation().items()
            if counts[name] >= 10
        )
        worst = shares[: max(1, len(shares) // 10)]
        return sum(worst) / max(1, len(worst))

    def summary(self) -> str:
        """Returns one line of figures."""
        waits = sorted(c.last_ended_us - c.arrived_us for c in self.callers)
        tail_ms = waits[int(0.99 * len(waits))] // 1000 if waits else 0
        return (
            f"callers {len(self.callers)}, in time {self.share_in_time():.4f},"
            f" answered {self.share_answered():.4f}, worst second"
            f" {self.worst_second():.3f}, worst tenth {self.worst_tenth():.3f},"
            f" refused {sum(c.refusals for c in self.callers)}, sends"
            f" {self.sends}, ignored {self.ignored}, probes {self.probes},"
            f" 99% ended in {tail_ms} ms, {self.wall_s:.0f} s"
        )


class Replay:
    """A fleet of reducers, its callers and its targets."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.results = Results(
            objective_us=int(load.objective_factor * load.work_us)
        )
        self.timeline = virtual.Timeline(START_US)
        # Separate generators, so that replays of different builds have the
        # same arrivals and slow targets.
        self.random = random.Random(load.seed)
        self._returns = random.Random(load.seed)
        self.fleet = load_replay_targets.Targets(
            self.timeline, load.seed, load.work_us
        )
        self._callers: dict[tuple[int, int], Caller] = {}
        self._call_ids = itertools.count(1)
        self._attempts: dict[tuple[int, int, int], object] = {}
        self.gates: list[virtual.VirtualGate] = []

    def run(self) -> Results:
        """Runs the replay."""
        started_s = time.monotonic()
        load = self.load
        for number in range(load.targets):
            self.fleet.add(
                f"10.0.0.{number}:80",
                load.slots,
                load.queue,
                hangs_when_full=load.hangs_when_full,
            )
        self.fleet.redraw_forever(load.slow_share)
        for index in range(load.hosts):
            self._add_gate(index)
        for organisation in load.organisations:
            self._schedule_arrival(organisation)
        end_us = int((load.duration_s + 3) * 1e6)
        self.timeline.run(START_US + end_us)
        self.results.wall_s = time.monotonic() - started_s
        self.results.ignored = self.fleet.ignored
        return self.results

    def _add_gate(self, index: int) -> None:
        load = self.load
        settings = state_lib.CoreSettings(
            host_id=f"gate-{index}",
            store=store_state.StoreSettings(
                apply_limit_ms=virtual.UNREAD_LIMIT_MS,
                probes_per_s=load.probes_per_s,
                resend_share=0.2,
                resend_slack=62.0,
            ),
        )
        gate = virtual.VirtualGate(
            self.timeline,
            settings,
            load.seed * 1_000 + index,
            functools.partial(self._execute, index),
        )
        self.gates.append(gate)
        gate.state.now_us = START_US
        gate.start()
        gate.feed(
            lambda now_us: events.ConfigurationRead(now_us, _document(load), 1)
        )
        gate.feed(
            lambda now_us: events.TargetsRead(
                now_us, _registrations(load), [], False, 1
            )
        )
        gate.state.host_counts.started_us = 0
        gate.state.host_counts.recent.add(START_US, load.hosts)

    def _schedule_arrival(self, organisation: Organisation) -> None:
        """Schedules arrivals by thinning a process of ten times the rate."""
        peak_per_s = self.load.requests_per_s * organisation.share * 10
        delay_us = int(self.random.expovariate(peak_per_s) * 1e6)
        self.timeline.after(
            delay_us, functools.partial(self._arrive, organisation)
        )

    def _arrive(self, organisation: Organisation) -> None:
        now_s = (self.timeline.now_us - START_US) / 1e6
        if now_s >= self.load.duration_s:
            return
        self._schedule_arrival(organisation)
        if self.random.random() * 10 > organisation.load_factor(now_s):
            return
        caller = Caller(
            organisation.name,
            self.timeline.now_us,
            self.random.random() < self.load.repeatable_share,
        )
        self.results.callers.append(caller)
        host = self.random.randrange(self.load.hosts)
        self._send_to_host(caller, host, self._deadline_us(caller))

    def _deadline_us(self, caller: Caller) -> int:
        timeout_us = int(self.load.timeout_factor * self.load.work_us)
        return caller.arrived_us + timeout_us

    def _send_to_host(
        self, caller: Caller, host: int, deadline_us: int
    ) -> None:
        call_id = next(self._call_ids)
        self._callers[host, call_id] = caller
        path = "/repeatable/" if caller.repeatable else "/once/"
        self.gates[host].feed(
            lambda now_us: events.CallArrived(
                now_us,
                call_id,
                path,
                host="h.example",
                request_id=f"q{call_id}",
                deadline_us=deadline_us,
                key_digest=api_keys.digest(caller.organisation),
            )
        )

    def _execute(
        self, host: int, gate: virtual.VirtualGate, effect: effects.Effect
    ) -> None:
        match effect:
            case effects.ProbeTarget():
                self._probe(gate, effect)
            case effects.SendToTarget():
                self._send(host, gate, effect)
            case effects.CancelAttempt(call_id, attempt):
                self._cancel(host, gate, call_id, attempt)
            case effects.ForwardAnswer(call_id, attempt):
                self._forward(host, gate, call_id, attempt)
            case effects.AnswerCaller():
                self._refuse(host, effect)
            case _:
                pass

    def _probe(
        self, gate: virtual.VirtualGate, effect: effects.ProbeTarget
    ) -> None:
        self.results.probes += 1
        target = self.fleet.by_address[effect.target]

        def answer() -> None:
            report = target.report()
            self.timeline.after(
                load_replay_targets.PROBE_US // 2,
                lambda: gate.feed(
                    lambda now_us: events.ProbeEnded(
                        now_us, effect.probe_id, report
                    )
                ),
            )

        self.timeline.after(load_replay_targets.PROBE_US // 2, answer)

    def _send(
        self,
        host: int,
        gate: virtual.VirtualGate,
        effect: effects.SendToTarget,
    ) -> None:
        self.results.sends += 1
        key = (host, effect.call_id, effect.attempt)
        caller = self._callers[host, effect.call_id]
        self._attempts[key] = None
        target = self.fleet.by_address[effect.target]

        def on_done(report: events.LoadReport) -> None:
            caller.runs += 1
            self.timeline.after(HOP_US, lambda: answer(report))

        def answer(report: events.LoadReport) -> None:
            if key in self._attempts:
                gate.feed(
                    lambda now_us: events.AttemptAnswered(
                        now_us, *key[1:], status=200, report=report
                    )
                )

        def on_reset() -> None:
            self.timeline.after(HOP_US, reset)

        def reset() -> None:
            if self._attempts.pop(key, key) is None:
                self._fail(gate, key, events.FailureReason.DISCONNECTED)

        self.timeline.after(HOP_US, lambda: target.take(on_done, on_reset))

    def _fail(
        self,
        gate: virtual.VirtualGate,
        key: tuple[int, int, int],
        reason: events.FailureReason,
    ) -> None:
        gate.feed(
            lambda now_us: events.AttemptFailed(now_us, *key[1:], reason, True)
        )

    def _cancel(
        self, host: int, gate: virtual.VirtualGate, call_id: int, attempt: int
    ) -> None:
        key = (host, call_id, attempt)
        if self._attempts.pop(key, key) is None:
            reason = events.FailureReason.CANCELLED
            self.timeline.after(0, lambda: self._fail(gate, key, reason))

    def _forward(
        self, host: int, gate: virtual.VirtualGate, call_id: int, attempt: int
    ) -> None:
        caller = self._callers[host, call_id]
        caller.answered_us = caller.last_ended_us = self.timeline.now_us
        self._attempts.pop((host, call_id, attempt), None)
        self.timeline.after(
            0,
            lambda: gate.feed(
                lambda now_us: events.AttemptEnded(now_us, call_id, attempt)
            ),
        )

    def _refuse(self, host: int, effect: effects.AnswerCaller) -> None:
        caller = self._callers[host, effect.call_id]
        caller.refusals += 1
        caller.last_ended_us = self.timeline.now_us
        deadline_us = self._deadline_us(caller)
        wait_us = (effect.retry_after_ms or 0) * 1_000
        left_us = deadline_us - self.timeline.now_us
        if caller.refusals > 1 or wait_us > left_us * RETRY_AFTER_SHARE:
            return
        if effect.status != 503:
            return
        other = (host + 1 + self._returns.randrange(self.load.hosts - 1)) % (
            self.load.hosts
        )
        self.timeline.after(
            wait_us, lambda: self._send_to_host(caller, other, deadline_us)
        )


def _document(load: Load) -> published.Document:
    rules = tuple(
        published.Rule(
            name=name,
            host="h.example",
            path_prefix=f"/{name}/",
            parts=(published.Part(SERVICE, 1),),
            repeatable=name == "repeatable",
            timeout_ms=int(load.timeout_factor * load.work_us) // 1_000,
            latency_objective_ms=int(load.objective_factor * load.work_us)
            // 1_000,
            max_attempts=2,
            priority=0,
        )
        for name in ("repeatable", "once")
    )
    return published.Document(
        version=1,
        rules=rules,
        services=(published.ServiceSettings(SERVICE, "/health", 2_000),),
        limits=published.CallerLimits(16_384, 1_000_000, 3_000, 15_000),
        organisations=tuple(
            published.Organisation(
                organisation.name,
                frozenset({api_keys.digest(organisation.name)}),
                requests_per_s=QUOTA_FACTOR
                * organisation.share
                * load.requests_per_s,
            )
            for organisation in load.organisations
            if organisation.name and load.has_quotas
        ),
    )


def _registrations(load: Load) -> list[events.TargetRegistration]:
    return [
        events.TargetRegistration(
            target_id=f"i-{number}",
            service=SERVICE,
            address=f"10.0.0.{number}:80",
            failure_domain="",
            slots=load.slots,
            draining=False,
            warmup_left_ms=0,
            started_ms=1_000,
            sequence=1,
        )
        for number in range(load.targets)
    ]
