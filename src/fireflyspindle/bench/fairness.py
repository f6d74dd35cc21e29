"""What one tenant at ten times its share does to another, in virtual time.

The targets and the reducers are those of the policy bench. Tenant "quiet"
offers the same calls in both runs; tenant "noisy" offers its share in one
and ten times as much in the other.
"""

import functools
import random

import attrs

from fireflyspindle.bench import policy
from fireflyspindle.bench import policy_model
from fireflyspindle.bench import policy_shipped
from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import records
from fireflyspindle.testing import records as record_bodies

SHARE_OF_SLOTS = 0.1
QUIET_TENANTS = 4
FIRST_OFFSET = 3
DRAIN_US = 20_000_000
DEADLINE_US = 10_000_000


@attrs.define(frozen=True)
class Offered:
    """One call and its tenant."""

    tenant: str
    arrival: policy_model.Arrival


class TenantSender(policy_shipped.Shipped):
    """Sends the calls of several tenants; keeps the latencies apart."""

    def __init__(self, world: policy_model.World, seed: int) -> None:
        super().__init__(world, seed, records.Policy(hedge_share=0.0))
        self.latencies_us: dict[str, list[int]] = {}
        self._offered: list[Offered] = []
        for number, gate in enumerate(self.gates):
            gate.feed(functools.partial(_list_hosts, len(self.gates), number))
            gate.feed(functools.partial(_tenants, FIRST_OFFSET))

    def offer(self, offered: Offered) -> None:
        """Feeds one call to its gate host."""
        call_id = len(self._arrivals)
        self._arrivals.append(offered.arrival)
        self._offered.append(offered)
        self.gates[offered.arrival.gate].feed(
            lambda now_us: events.CallArrived(
                now_us=now_us,
                call_id=call_id,
                path=policy_shipped.ROUTE_PREFIX,
                tenant=offered.tenant,
                repeatable=offered.arrival.repeatable,
                deadline_us=now_us + DEADLINE_US,
            )
        )

    def _count(self, call_id: int, outcome: effects.Outcome) -> None:
        offered = self._offered[call_id]
        if outcome is not effects.Outcome.COMPLETE:
            return
        taken_us = self._world.timeline.now_us - offered.arrival.at_us
        self.latencies_us.setdefault(offered.tenant, []).append(taken_us)


def _list_hosts(hosts: int, own: int, now_us: int) -> events.HostListRead:
    listed = [
        events.ListedHost(f"gate-{number}", f"10.1.0.{number}:80")
        for number in range(hosts)
        if number != own
    ]
    return events.HostListRead(now_us, listed, [])


def _tenants(first: int, now_us: int) -> events.LogRead:
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


def _offers(
    plan: policy_model.Plan, seed: int, tenant: str, times: float
) -> list[Offered]:
    slots = plan.deployment.targets * plan.deployment.slots
    generator = random.Random(f"{seed}-{tenant}-{times}")
    per_us = SHARE_OF_SLOTS * times * slots / policy_model.MEAN_WORK_US
    found: list[Offered] = []
    at_us = 0.0
    while True:
        at_us += generator.expovariate(per_us)
        if at_us >= plan.duration_us:
            return found
        arrival = policy_model.Arrival(
            int(at_us),
            generator.randrange(plan.gates),
            1 + int(generator.expovariate(1 / policy_model.MEAN_WORK_US)),
            True,
        )
        found.append(Offered(tenant, arrival))


def p99_ms(plan: policy_model.Plan, seed: int, times: float) -> float:
    """Returns the p99 of the quiet tenants beside a noisy one."""
    world = policy_model.world(plan, seed)
    sender = TenantSender(world, seed)
    offers = _offers(plan, seed, "noisy", times)
    for name in _quiet_names():
        offers += _offers(plan, seed, name, 1)
    for offered in offers:
        world.timeline.after(
            offered.arrival.at_us, functools.partial(sender.offer, offered)
        )
    world.timeline.run(plan.duration_us + DRAIN_US)
    quiet = [
        taken_us
        for name in _quiet_names()
        for taken_us in sender.latencies_us[name]
    ]
    return policy.quantile(quiet, 0.99) / 1000


def compare(plan: policy_model.Plan, seeds: int) -> dict:
    """Returns the p99 beside a tenant at its share and at ten times it."""
    at_share = [p99_ms(plan, seed, 1) for seed in range(1, seeds + 1)]
    at_ten = [p99_ms(plan, seed, 10) for seed in range(1, seeds + 1)]
    return {
        "deployment": plan.deployment.name,
        "gates": plan.gates,
        "scenario": plan.scenario,
        "quiet_p99_ms_by_seed": at_share,
        "quiet_p99_beside_ten_times_ms_by_seed": at_ten,
        "ratio": round(sum(at_ten) / sum(at_share), 3),
    }
