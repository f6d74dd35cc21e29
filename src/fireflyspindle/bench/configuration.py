"""How fast a record is in force everywhere, and what control costs."""

from collections.abc import Callable
import json as json_lib
import math
import sys

import attrs

from fireflyspindle.bench import configuration_costs as costs
from fireflyspindle.bench import fleet as fleet_lib
from fireflyspindle.core import offset_table
from fireflyspindle.core import snapshots
from fireflyspindle.core import state as state_lib

SETTLE_S = 40
QUIET_S = 120
MAX_GATES = 512


@attrs.define(frozen=True)
class Sizes:
    """Sizes of one run.

    Attributes:
        gates: Number of gate hosts.
        services: Number of services.
        endpoints: Number of endpoints in all services.
        changes: Number of records that are published and timed.
        routes: Number of route records besides one for each service.
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
    """Measures the sharing of the configuration in virtual time.

    Args:
        gates: Number of gate hosts.
        services: Number of services.
        endpoints: Number of endpoints in all services.
        changes: Number of records that are published and timed in each run.
        routes: Number of route records besides one for each service.
        seeds: Number of seeds, from 1 on.
        json: Print one line of JSON.

    Returns:
        The exit status: 2 when an argument is out of bounds.
    """
    sizes = Sizes(gates, services, endpoints, changes, routes)
    why = _problem(sizes, seeds)
    if why is not None:
        print(f"bench configuration: {why}", file=sys.stderr)
        return 2
    figures = run(sizes, seeds)
    if json:
        print(json_lib.dumps(figures))
        return 0
    for name, value in figures.items():
        print(f"{name}: {value}")
    return 0


def _problem(sizes: Sizes, seeds: int) -> str | None:
    if not 2 <= sizes.gates <= MAX_GATES:
        return f"--gates {sizes.gates}: give 2 to {MAX_GATES}"
    if not 1 <= sizes.services <= sizes.endpoints:
        return (
            f"--services {sizes.services}: give 1 to --endpoints"
            f" {sizes.endpoints}"
        )
    if min(sizes.changes, sizes.routes, seeds) < 1:
        return "--changes, --routes and --seeds: give at least 1"
    return None


def run(sizes: Sizes, seeds: int) -> dict:
    """Returns the figures over all seeds."""
    well: list[float] = []
    part_down: list[float] = []
    one_reader: list[float] = []
    for seed in range(1, seeds + 1):
        well += _in_force_s(sizes, seed, lambda _addresses: 0)
        part_down += _in_force_s(sizes, seed, _third)
        one_reader += _in_force_s(sizes, seed, _all_but_one)
    return {
        **attrs.asdict(sizes),
        "seeds": seeds,
        "in_force_log_well_s": _quantiles(well),
        "in_force_log_down_for_third_s": _quantiles(part_down),
        "in_force_one_host_reads_log_s": _quantiles(one_reader),
        "known_in_force_everywhere_s": _quantiles(_known_s(sizes)),
        **_recovery(sizes),
        **_control(sizes),
        **_costs(sizes),
    }


def _third(addresses: list[str]) -> int:
    return len(addresses) // 3


def _all_but_one(addresses: list[str]) -> int:
    return len(addresses) - 1


def _started(sizes: Sizes, seed: int) -> fleet_lib.Fleet:
    fleet = fleet_lib.Fleet(seed)
    publish_services(fleet, sizes.services, sizes.endpoints)
    for _ in range(sizes.gates):
        fleet.add()
    fleet.run(SETTLE_S)
    return fleet


def publish_services(
    fleet: fleet_lib.Fleet, services: int, endpoints: int
) -> None:
    """Publishes services that share so many endpoints, and their routes."""
    for number in range(services):
        count = endpoints // services + (number < endpoints % services)
        payload = fleet_lib.service_payload(count, number)
        fleet.publish("service", f"s{number}", payload)
        route = {"path_prefix": f"/s{number}", "service": f"s{number}"}
        fleet.publish("route", f"s{number}", route)


def publish_routes(fleet: fleet_lib.Fleet, routes: int) -> None:
    """Publishes route records that all lead to one service."""
    for number in range(routes):
        payload = {"path_prefix": f"/r{number}", "service": "s0"}
        fleet.publish("route", f"r{number}", payload)


def _in_force_s(
    sizes: Sizes, seed: int, count_down: Callable[[list[str]], int]
) -> list[float]:
    """Returns the time from accepted to in force on all hosts."""
    fleet = _started(sizes, seed)
    addresses = sorted(fleet.hosts)
    fleet.log.down_for = set(addresses[: count_down(addresses)])
    fleet.run(SETTLE_S)
    found = []
    revision = 0
    for number in range(sizes.changes):
        payload = {"path_prefix": f"/changed{number}", "service": "s0"}
        revision = fleet.publish("route", "changed", payload, revision)
        taken_s = _time_until_in_force(fleet, revision)
        found.append(math.inf if taken_s is None else taken_s)
        fleet.run(fleet.random.uniform(0, 5))
    return found


def _known_s(sizes: Sizes) -> list[float]:
    """Returns the time from accepted to known to be in force on all hosts."""
    fleet = _started(sizes, 1)
    host = next(iter(fleet.hosts.values()))
    state = host.gate.state
    found = []
    revision = 0
    for number in range(sizes.changes):
        payload = {"path_prefix": f"/known{number}", "service": "s0"}
        revision = fleet.publish("route", "known", payload, revision)
        offset_table.want(state, revision, 60 * fleet_lib.SECOND_US)
        taken_s = _time_until_known(fleet, state, revision)
        found.append(math.inf if taken_s is None else taken_s)
        fleet.run(fleet.random.uniform(0, 5))
    return found


def _time_until_known(
    fleet: fleet_lib.Fleet, state: state_lib.GateState, revision: int
) -> float | None:
    return fleet.run_until(
        lambda: not offset_table.hosts_without(state, revision)
    )


def _time_until_in_force(fleet: fleet_lib.Fleet, revision: int) -> float | None:
    return fleet.run_until(lambda: fleet.in_force(revision))


def _recovery(sizes: Sizes) -> dict:
    """Times a new host from an old log, and a restart of all hosts."""
    fleet = _started(sizes, 1)
    publish_routes(fleet, sizes.routes)
    fleet.run(1_200)
    host = fleet.add()
    new_s = fleet.run_until(lambda: host.configuration.complete)
    down = set(fleet.hosts)
    fleet.log.down_for = down
    fleet.run(10)
    alone = fleet.add()
    down.add(alone.address)
    outage_s = fleet.run_until(lambda: alone.configuration.complete)
    fleet.log.down_for = set()
    fleet.run(10)
    for each in list(fleet.hosts.values()):
        fleet.remove(each)
    fleet.log.reads = 0
    for _ in range(sizes.gates):
        fleet.add()
    hosts = fleet.hosts.values()
    all_s = fleet.run_until(
        lambda: all(each.configuration.complete for each in hosts)
    )
    return {
        "records_in_log": fleet.log.stream("configuration").next_offset,
        "new_host_whole_s": new_s,
        "new_host_whole_in_outage_s": outage_s,
        "all_restarted_whole_s": all_s,
        "all_restarted_reads_per_host": fleet.log.reads / sizes.gates,
    }


def _control(sizes: Sizes) -> dict:
    """Counts what hosts tell each other while nothing changes."""
    fleet = _started(sizes, 1)
    well = _bytes_per_s(fleet)
    messages = sum(host.messages for host in fleet.hosts.values())
    fleet.log.down_for = set(fleet.hosts)
    fleet.run(SETTLE_S)
    outage = _bytes_per_s(fleet)
    return {
        "peer_bytes_per_host_per_s_mean": round(sum(well) / len(well)),
        "peer_bytes_per_host_per_s_max": round(max(well)),
        "peer_bytes_per_host_per_s_max_in_outage": round(max(outage)),
        "peer_messages_per_host_per_s": round(
            messages / QUIET_S / sizes.gates, 2
        ),
    }


def _bytes_per_s(fleet: fleet_lib.Fleet) -> list[float]:
    """Returns the bytes that each host sends and gets, by its peers alone."""
    hosts = fleet.hosts.values()
    for host in hosts:
        host.sent_bytes = host.received_bytes = host.messages = 0
    fleet.run(QUIET_S)
    return [(host.sent_bytes + host.received_bytes) / QUIET_S for host in hosts]


def _costs(sizes: Sizes) -> dict:
    """Times the reducer on messages, changes and the whole state."""
    fleet = _started(attrs.evolve(sizes, gates=min(16, sizes.gates)), 1)
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


def _quantiles(found: list[float]) -> dict:
    ordered = sorted(found)

    def at(share: float) -> float:
        index = min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)
        return round(ordered[index], 2)

    return {"p50": at(0.5), "p99": at(0.99), "max": round(ordered[-1], 2)}
