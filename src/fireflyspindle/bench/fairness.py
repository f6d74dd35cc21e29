"""Fairness benchmark: how an overloading tenant affects the others.

Uses the targets and reducers of the policy benchmark in virtual time. The
"quiet" tenants offer the same calls in both runs; tenant "noisy" offers its
share in one run and ten times its share in the other.
"""

import functools
import random

import attrs

from fireflyspindle.bench import policy
from fireflyspindle.bench import policy_built_in
from fireflyspindle.bench import policy_model
from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import records
from fireflyspindle.testing import records as record_bodies

TENANT_SHARE_OF_SLOTS = 0.1
QUIET_TENANTS = 4
FIRST_TENANT_OFFSET = 3
DRAIN_US = 20_000_000
DEADLINE_US = 10_000_000


@attrs.define(frozen=True)
class TenantCall:
    """One call and its tenant."""

    tenant: str
    arrival: policy_model.Arrival


class TenantSender(policy_built_in.BuiltInPolicy):
    """Sends the calls of several tenants and records latencies by tenant."""

    def __init__(self, world: policy_model.World, seed: int) -> None:
        super().__init__(world, seed, records.Policy(hedge_share=0.0))
        self.latencies_us: dict[str, list[int]] = {}
        self._tenant_calls: list[TenantCall] = []
        for number, gate in enumerate(self.gates):
            gate.feed(functools.partial(_host_list, len(self.gates), number))
            gate.feed(functools.partial(_tenant_records, FIRST_TENANT_OFFSET))

    def offer(self, call: TenantCall) -> None:
        """Feeds one call to its gate host."""
        call_id = len(self._arrivals)
        self._arrivals.append(call.arrival)
        self._tenant_calls.append(call)
        self.gates[call.arrival.gate].feed(
            lambda now_us: events.CallArrived(
                now_us=now_us,
                call_id=call_id,
                path=policy_built_in.ROUTE_PREFIX,
                tenant=call.tenant,
                repeatable=call.arrival.repeatable,
                deadline_us=now_us + DEADLINE_US,
            )
        )

    def _record_outcome(self, call_id: int, outcome: effects.Outcome) -> None:
        call = self._tenant_calls[call_id]
        if outcome is not effects.Outcome.COMPLETE:
            return
        latency_us = self._world.timeline.now_us - call.arrival.at_us
        self.latencies_us.setdefault(call.tenant, []).append(latency_us)


def _host_list(hosts: int, own: int, now_us: int) -> events.HostListRead:
    listed = [
        events.ListedHost(f"gate-{number}", f"10.1.0.{number}:80")
        for number in range(hosts)
        if number != own
    ]
    return events.HostListRead(now_us, listed, [])


def _tenant_records(first: int, now_us: int) -> events.LogRead:
    names = ["noisy", *_quiet_names()]
    bodies = [
        record_bodies.body("tenant", name, {}, record_id=f"tenant-{name}")
        for name in names
    ]
    entries = [
        events.LogEntry(first + index, body)
        for index, body in enumerate(bodies)
    ]
    return events.LogRead(
        now_us, configuration.STREAM, entries, first, 0, first + len(bodies)
    )


def _quiet_names() -> list[str]:
    return [f"quiet-{number}" for number in range(QUIET_TENANTS)]


def _tenant_arrivals(
    plan: policy_model.Plan, seed: int, tenant: str, multiple: float
) -> list[TenantCall]:
    slots = plan.deployment.targets * plan.deployment.slots
    generator = random.Random(f"{seed}-{tenant}-{multiple}")
    rate_per_us = (
        TENANT_SHARE_OF_SLOTS * multiple * slots / policy_model.MEAN_WORK_US
    )
    calls: list[TenantCall] = []
    at_us = 0.0
    while True:
        at_us += generator.expovariate(rate_per_us)
        if at_us >= plan.duration_us:
            return calls
        arrival = policy_model.Arrival(
            int(at_us),
            generator.randrange(plan.gates),
            1 + int(generator.expovariate(1 / policy_model.MEAN_WORK_US)),
            True,
        )
        calls.append(TenantCall(tenant, arrival))


def p99_ms(plan: policy_model.Plan, seed: int, multiple: float) -> float:
    """Returns the p99 latency of the quiet tenants.

    Args:
        plan: Sizes and load of the run.
        seed: Seed of the run.
        multiple: Load of the noisy tenant as a multiple of its share.
    """
    world = policy_model.world(plan, seed)
    sender = TenantSender(world, seed)
    calls = _tenant_arrivals(plan, seed, "noisy", multiple)
    for name in _quiet_names():
        calls += _tenant_arrivals(plan, seed, name, 1)
    for call in calls:
        world.timeline.after(
            call.arrival.at_us, functools.partial(sender.offer, call)
        )
    world.timeline.run(plan.duration_us + DRAIN_US)
    quiet_us = [
        latency_us
        for name in _quiet_names()
        for latency_us in sender.latencies_us[name]
    ]
    return policy.quantile(quiet_us, 0.99) / 1000


def compare(plan: policy_model.Plan, seeds: int) -> dict:
    """Compares the quiet p99 at 1 and 10 times the noisy tenant's share."""
    at_share = [p99_ms(plan, seed, 1) for seed in range(1, seeds + 1)]
    at_ten_times = [p99_ms(plan, seed, 10) for seed in range(1, seeds + 1)]
    return {
        "deployment": plan.deployment.name,
        "gates": plan.gates,
        "scenario": plan.scenario,
        "quiet_p99_ms_by_seed": at_share,
        "quiet_p99_beside_ten_times_ms_by_seed": at_ten_times,
        "ratio": round(sum(at_ten_times) / sum(at_share), 3),
    }
