"""Benchmark of configuration propagation and of control-plane costs."""

from collections.abc import Callable
import json as json_lib
import math
import sys

import attrs

from fireflyspindle.bench import configuration_costs as costs
from fireflyspindle.bench import fleet as fleet_lib
from fireflyspindle.core import rollout
from fireflyspindle.core import snapshots
from fireflyspindle.core import state as state_lib

SETTLE_S = 40
IDLE_S = 120
MAX_GATES = 512


@attrs.define(frozen=True)
class Sizes:
    """Sizes of one run.

    Attributes:
        gates: Number of gate hosts.
        services: Number of services.
        endpoints: Total number of endpoints of all services.
        changes: Number of records published and timed.
        routes: Number of route records in addition to one per service.
    """

    gates: int
    services: int
    endpoints: int
    changes: int
    routes: int


def configuration(
    *,
    gates: int = 16,
    services: int = 45,
    endpoints: int = 1_000,
    changes: int = 40,
    routes: int = 2_000,
    seeds: int = 3,
    json: bool = False,
) -> int:
    """Measures configuration propagation in virtual time.

    Args:
        gates: Number of gate hosts.
        services: Number of services.
        endpoints: Total number of endpoints of all services.
        changes: Number of records published and timed in each run.
        routes: Number of route records in addition to one per service.
        seeds: Number of seeds, starting at 1.
        json: Print one line of JSON.

    Returns:
        The exit status: 2 if an argument is out of bounds.
    """
    sizes = Sizes(gates, services, endpoints, changes, routes)
    problem = _invalid_size(sizes, seeds)
    if problem is not None:
        print(f"bench configuration: {problem}", file=sys.stderr)
        return 2
    figures = run(sizes, seeds)
    if json:
        print(json_lib.dumps(figures))
        return 0
    for name, value in figures.items():
        print(f"{name}: {value}")
    return 0


def _invalid_size(sizes: Sizes, seeds: int) -> str | None:
    if not 2 <= sizes.gates <= MAX_GATES:
        return f"--gates is {sizes.gates}; give 2 to {MAX_GATES}"
    if not 1 <= sizes.services <= sizes.endpoints:
        return (
            f"--services is {sizes.services}; give 1 to --endpoints"
            f" ({sizes.endpoints})"
        )
    if min(sizes.changes, sizes.routes, seeds) < 1:
        return "--changes, --routes and --seeds must be at least 1"
    return None


def run(sizes: Sizes, seeds: int) -> dict:
    """Returns the figures over all seeds."""
    log_up: list[float] = []
    third_down: list[float] = []
    single_reader: list[float] = []
    for seed in range(1, seeds + 1):
        log_up += _activation_s(sizes, seed, lambda _addresses: 0)
        third_down += _activation_s(sizes, seed, _one_third)
        single_reader += _activation_s(sizes, seed, _all_but_one)
    return {
        **attrs.asdict(sizes),
        "seeds": seeds,
        "in_force_log_well_s": _quantiles(log_up),
        "in_force_log_down_for_third_s": _quantiles(third_down),
        "in_force_one_host_reads_log_s": _quantiles(single_reader),
        "known_in_force_everywhere_s": _quantiles(_confirmation_s(sizes)),
        **_bootstrap_figures(sizes),
        **_peer_traffic_figures(sizes),
        **_cost_figures(sizes),
    }


def _one_third(addresses: list[str]) -> int:
    return len(addresses) // 3


def _all_but_one(addresses: list[str]) -> int:
    return len(addresses) - 1


def _start_fleet(sizes: Sizes, seed: int) -> fleet_lib.Fleet:
    fleet = fleet_lib.Fleet(seed)
    publish_services(fleet, sizes.services, sizes.endpoints)
    for _ in range(sizes.gates):
        fleet.start_host()
    fleet.run(SETTLE_S)
    return fleet


def publish_services(
    fleet: fleet_lib.Fleet, services: int, endpoints: int
) -> None:
    """Publishes services that share `endpoints` endpoints, with routes."""
    for number in range(services):
        count = endpoints // services + (number < endpoints % services)
        payload = fleet_lib.service_payload(count, number)
        fleet.publish("service", f"s{number}", payload)
        route = {"path_prefix": f"/s{number}", "service": f"s{number}"}
        fleet.publish("route", f"s{number}", route)


def publish_routes(fleet: fleet_lib.Fleet, routes: int) -> None:
    """Publishes `routes` route records, all for one service."""
    for number in range(routes):
        payload = {"path_prefix": f"/r{number}", "service": "s0"}
        fleet.publish("route", f"r{number}", payload)


def _activation_s(
    sizes: Sizes, seed: int, count_without_log: Callable[[list[str]], int]
) -> list[float]:
    """Returns the times from acceptance until active on all hosts, in s."""
    fleet = _start_fleet(sizes, seed)
    addresses = sorted(fleet.hosts)
    fleet.log.unreachable_for = set(addresses[: count_without_log(addresses)])
    fleet.run(SETTLE_S)
    times_s = []
    revision = 0
    for number in range(sizes.changes):
        payload = {"path_prefix": f"/changed{number}", "service": "s0"}
        revision = fleet.publish("route", "changed", payload, revision)
        elapsed_s = _time_until_active(fleet, revision)
        times_s.append(math.inf if elapsed_s is None else elapsed_s)
        fleet.run(fleet.random.uniform(0, 5))
    return times_s


def _confirmation_s(sizes: Sizes) -> list[float]:
    """Returns the times until a host knows that all applied a change, in s."""
    fleet = _start_fleet(sizes, 1)
    host = next(iter(fleet.hosts.values()))
    state = host.gate.state
    times_s = []
    revision = 0
    for number in range(sizes.changes):
        payload = {"path_prefix": f"/known{number}", "service": "s0"}
        revision = fleet.publish("route", "known", payload, revision)
        rollout.poll_until_applied(state, revision, 60 * fleet_lib.SECOND_US)
        elapsed_s = _time_until_confirmed(fleet, state, revision)
        times_s.append(math.inf if elapsed_s is None else elapsed_s)
        fleet.run(fleet.random.uniform(0, 5))
    return times_s


def _time_until_confirmed(
    fleet: fleet_lib.Fleet, state: state_lib.GateState, revision: int
) -> float | None:
    return fleet.run_until(lambda: not rollout.lagging_hosts(state, revision))


def _time_until_active(fleet: fleet_lib.Fleet, revision: int) -> float | None:
    return fleet.run_until(lambda: fleet.is_active(revision))


def _bootstrap_figures(sizes: Sizes) -> dict:
    """Times the bootstrap of a new host and a restart of all hosts."""
    fleet = _start_fleet(sizes, 1)
    publish_routes(fleet, sizes.routes)
    fleet.run(1_200)
    host = fleet.start_host()
    new_host_s = fleet.run_until(lambda: host.configuration.complete)
    without_log = set(fleet.hosts)
    fleet.log.unreachable_for = without_log
    fleet.run(10)
    late_host = fleet.start_host()
    without_log.add(late_host.address)
    outage_s = fleet.run_until(lambda: late_host.configuration.complete)
    fleet.log.unreachable_for = set()
    fleet.run(10)
    for each in list(fleet.hosts.values()):
        fleet.kill_host(each)
    fleet.log.reads = 0
    for _ in range(sizes.gates):
        fleet.start_host()
    hosts = fleet.hosts.values()
    all_hosts_s = fleet.run_until(
        lambda: all(each.configuration.complete for each in hosts)
    )
    return {
        "records_in_log": fleet.log.stream("configuration").next_offset,
        "new_host_whole_s": new_host_s,
        "new_host_whole_in_outage_s": outage_s,
        "all_restarted_whole_s": all_hosts_s,
        "all_restarted_reads_per_host": fleet.log.reads / sizes.gates,
    }


def _peer_traffic_figures(sizes: Sizes) -> dict:
    """Measures the peer traffic of a fleet without changes."""
    fleet = _start_fleet(sizes, 1)
    log_up = _bytes_per_s(fleet)
    messages = sum(host.messages for host in fleet.hosts.values())
    fleet.log.unreachable_for = set(fleet.hosts)
    fleet.run(SETTLE_S)
    outage = _bytes_per_s(fleet)
    return {
        "peer_bytes_per_host_per_s_mean": round(sum(log_up) / len(log_up)),
        "peer_bytes_per_host_per_s_max": round(max(log_up)),
        "peer_bytes_per_host_per_s_max_in_outage": round(max(outage)),
        "peer_messages_per_host_per_s": round(
            messages / IDLE_S / sizes.gates, 2
        ),
    }


def _bytes_per_s(fleet: fleet_lib.Fleet) -> list[float]:
    """Returns the peer traffic of each host, sent and received, per second."""
    hosts = fleet.hosts.values()
    for host in hosts:
        host.sent_bytes = host.received_bytes = host.messages = 0
    fleet.run(IDLE_S)
    return [(host.sent_bytes + host.received_bytes) / IDLE_S for host in hosts]


def _cost_figures(sizes: Sizes) -> dict:
    """Measures CPU time per message, change and snapshot merge."""
    fleet = _start_fleet(attrs.evolve(sizes, gates=min(16, sizes.gates)), 1)
    publish_routes(fleet, sizes.routes)
    fleet.run(SETTLE_S)
    host = next(iter(fleet.hosts.values()))
    parts = snapshots.build(host.configuration, "size")
    bodies = [snapshots.encode(part) for part in parts]
    return {
        "message_cpu_us": round(costs.message_cpu_us(host), 1),
        "change_cpu_us": round(costs.change_cpu_us(fleet, host), 1),
        "state_merge_cpu_ms": round(costs.merge_cpu_us(bodies) / 1_000, 1),
        "snapshot_bytes": sum(len(body) for body in bodies),
        "snapshot_parts": len(bodies),
    }


def _quantiles(times_s: list[float]) -> dict:
    ordered = sorted(times_s)

    def quantile(fraction: float) -> float:
        index = min(len(ordered) - 1, math.ceil(fraction * len(ordered)) - 1)
        return round(ordered[index], 2)

    return {
        "p50": quantile(0.5),
        "p99": quantile(0.99),
        "max": round(ordered[-1], 2),
    }
