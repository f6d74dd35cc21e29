"""Built-in policy of the policy benchmark, with one reducer per gate host."""

import random

import attrs

from fireflyspindle.bench import fake_log
from fireflyspindle.bench import policy_baselines
from fireflyspindle.bench import policy_model
from fireflyspindle.bench import virtual
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import probe_slots
from fireflyspindle.core import records
from fireflyspindle.core import state as state_lib
from fireflyspindle.testing import records as record_bodies

ROUTE_PREFIX = "/call"


@attrs.define(eq=False)
class Attempt:
    """An attempt of the built-in policy.

    Attributes:
        gate: Gate host that sent it.
        gate_index: Index of the gate host.
        call_id: Call that it belongs to.
        attempt: Number of the attempt.
        target: Target of the attempt.
        job: The request at the target.
        open: Whether it has not ended.
    """

    gate: virtual.VirtualGate
    gate_index: int
    call_id: int
    attempt: int
    target: policy_model.Target
    job: policy_model.Job
    open: bool = True


class BuiltInPolicy:
    """Runs one reducer per gate host against the simulated targets."""

    def __init__(
        self, world: policy_model.World, seed: int, policy: records.Policy
    ) -> None:
        self.run = policy_baselines.Run()
        self._world = world
        self._log = fake_log.FakeLog(
            world.timeline,
            random.Random(f"log-{seed}"),
            lambda stream, offset, body: None,
        )
        self._targets = {target.address: target for target in world.targets}
        self._arrivals: list[policy_model.Arrival] = []
        self._attempts: dict[tuple[int, int], Attempt] = {}
        self._gate_indexes: dict[virtual.VirtualGate, int] = {}
        self.gates: list[virtual.VirtualGate] = []
        for number in range(world.plan.gates):
            domain = f"domain-{number % policy_model.FAILURE_DOMAINS}"
            gate = virtual.VirtualGate(
                world.timeline,
                state_lib.CoreSettings(f"gate-{number}", domain),
                seed * 1000 + number,
                self._execute,
            )
            self._gate_indexes[gate] = number
            self.gates.append(gate)
            gate.start()
            gate.feed(lambda now_us: _configuration_read(now_us, world, policy))

    def send(self, arrival: policy_model.Arrival) -> None:
        """Feeds one call to its gate host."""
        call_id = len(self._arrivals)
        self._arrivals.append(arrival)
        self.run.calls += 1
        self.gates[arrival.gate].feed(
            lambda now_us: events.CallArrived(
                now_us=now_us,
                call_id=call_id,
                path=ROUTE_PREFIX,
                repeatable=arrival.repeatable,
            )
        )

    def _execute(
        self, gate: virtual.VirtualGate, effect: effects.Effect
    ) -> None:
        match effect:
            case effects.SendToTarget():
                self._send(gate, effect)
            case effects.CancelAttempt(call_id, number):
                self._cancel(self._attempts[call_id, number])
            case effects.ForwardAnswer(call_id, number, outcome):
                self._record_outcome(call_id, outcome)
                self._end(call_id, number)
            case effects.AnswerCaller(outcome=effects.Outcome.NOT_RUN):
                self.run.not_run += 1
            case effects.AnswerCaller():
                self.run.unknown += 1
            case effects.ProbeTarget():
                self._probe(gate, effect)
            case effects.ReadLog(stream=probe_slots.STREAM):
                self._log.on_read(gate, gate.state.settings.host_id, effect)
            case effects.AppendRecord(stream=probe_slots.STREAM, body=body):
                self.run.control_bytes += len(body)
                self._log.on_append(gate, gate.state.settings.host_id, effect)
            case effects.SendToPeer(_, body):
                self.run.control_bytes += len(body)

    def _send(
        self, gate: virtual.VirtualGate, effect: effects.SendToTarget
    ) -> None:
        timeline = self._world.timeline
        target = self._targets[effect.target]
        number = self._gate_indexes[gate]
        one_way_us = self._world.one_way_us(number, target)
        arrival = self._arrivals[effect.call_id]

        def on_done(ran: bool) -> None:
            report = events.LoadReport(target.report(), target.leaving)
            timeline.after(
                one_way_us, lambda: self._deliver_response(attempt, ran, report)
            )

        job = policy_model.Job(arrival.work_us, on_done)
        attempt = Attempt(
            gate, number, effect.call_id, effect.attempt, target, job
        )
        self._attempts[effect.call_id, effect.attempt] = attempt
        self.run.attempts += 1
        timeline.after(one_way_us, lambda: target.enqueue(job))

    def _deliver_response(
        self, attempt: Attempt, ran: bool, report: events.LoadReport
    ) -> None:
        if not attempt.open:
            return
        attempt.gate.feed(
            lambda now_us: events.AttemptAnswered(
                now_us=now_us,
                call_id=attempt.call_id,
                attempt=attempt.attempt,
                status=200 if ran else 503,
                not_run=not ran,
                report=report,
            )
        )

    def _record_outcome(self, call_id: int, outcome: effects.Outcome) -> None:
        match outcome:
            case effects.Outcome.COMPLETE:
                now_us = self._world.timeline.now_us
                arrival = self._arrivals[call_id]
                self.run.complete += 1
                self.run.add_latency(self._world.plan, arrival, now_us)
            case effects.Outcome.NOT_RUN:
                self.run.not_run += 1
            case effects.Outcome.UNKNOWN:
                self.run.unknown += 1

    def _end(self, call_id: int, number: int) -> None:
        attempt = self._attempts[call_id, number]
        attempt.open = False
        self._world.timeline.after(
            0,
            lambda: attempt.gate.feed(
                lambda now_us: events.AttemptEnded(now_us, call_id, number)
            ),
        )

    def _cancel(self, attempt: Attempt) -> None:
        if not attempt.open:
            return
        attempt.open = False
        timeline = self._world.timeline
        one_way_us = self._world.one_way_us(attempt.gate_index, attempt.target)
        timeline.after(one_way_us, lambda: attempt.target.cancel(attempt.job))
        timeline.after(
            0,
            lambda: attempt.gate.feed(
                lambda now_us: events.AttemptFailed(
                    now_us=now_us,
                    call_id=attempt.call_id,
                    attempt=attempt.attempt,
                    reason=events.FailureReason.CANCELLED,
                    sent=True,
                )
            ),
        )

    def _probe(
        self, gate: virtual.VirtualGate, effect: effects.ProbeTarget
    ) -> None:
        timeline = self._world.timeline
        if timeline.now_us < self._world.plan.duration_us:
            self.run.probes += 1
        target = self._targets[effect.target]
        one_way_us = self._world.one_way_us(self._gate_indexes[gate], target)

        def respond() -> None:
            report = events.LoadReport(target.report(), target.leaving)
            timeline.after(one_way_us, lambda: deliver(report))

        def deliver(report: events.LoadReport) -> None:
            gate.feed(
                lambda now_us: events.ProbeEnded(
                    now_us, effect.probe_id, report
                )
            )

        timeline.after(one_way_us, respond)


def _configuration_read(
    now_us: int, world: policy_model.World, policy: records.Policy
) -> events.LogRead:
    deployment = world.plan.deployment
    service = records.Service(
        tuple(
            records.TargetSpec(
                target.address,
                f"domain-{target.domain}",
                deployment.slots,
                deployment.connection_limit,
            )
            for target in world.targets
        )
    )
    route = records.Route(ROUTE_PREFIX, deployment.service)
    bodies = [
        _record("service", deployment.service, service),
        _record("route", deployment.service, route),
        _record("policy", deployment.service, policy),
    ]
    entries = [
        events.LogEntry(offset, body) for offset, body in enumerate(bodies)
    ]
    return events.LogRead(now_us, "configuration", entries, 0, 0, len(entries))


def _record(kind: str, name: str, payload: records.Payload) -> str:
    fields = attrs.asdict(payload)
    return record_bodies.body(kind, name, fields, record_id=f"{kind}-{name}")
