"""Overhead benchmark: the gate against a bare proxy and a direct connection.

Each role (`target`, `pass-through`, `gate` and `load`) is a separate process,
so that no measured server shares an event loop with the load generator.
`make bench-overhead` starts all four.
"""

import asyncio
import json as json_lib
import math
import sys
from typing import Any

import attrs

from fireflyspindle.bench import decisions
from fireflyspindle.bench import overhead_load
from fireflyspindle.bench import overhead_servers

# Measured paths: directly to a target, through the pass-through proxy ("bare")
# and through the gate.
PATHS = ("direct", "bare", "gate")
ROUNDS = 5
SEGMENT_S = 2.0
CLOSED_LOOP_CALLERS = 32
ROLES = ("target", "pass-through", "gate", "load", "decisions")
ENDPOINTS = (16, 1_000)


@attrs.define
class Samples:
    """Measurements of one path at one load.

    Attributes:
        measured: Latencies and failures.
        seconds: Duration of the measurement.
        cpu_us: CPU time of the proxy; 0 on the direct path.
    """

    measured: overhead_load.Measured = attrs.field(
        factory=overhead_load.Measured
    )
    seconds: float = 0.0
    cpu_us: float = 0.0

    def add(
        self, segment: overhead_load.Measured, seconds: float, cpu_us: float
    ) -> None:
        """Adds the measurements of another segment."""
        self.measured.latencies_us += segment.latencies_us
        self.measured.failed += segment.failed
        self.seconds += seconds
        self.cpu_us += cpu_us


@attrs.define
class Setup:
    """Clients and parameters of the load generator.

    Attributes:
        clients: Client of each path.
        cpu: Reader of the CPU time of the proxies.
        segment_s: Duration of one segment, in seconds.
    """

    clients: dict[str, overhead_load.Client]
    cpu: overhead_load.CpuReader
    segment_s: float


def overhead(
    *,
    role: str = "load",
    base_port: int = 18_300,
    rates: str = "100,400",
    rounds: int = ROUNDS,
    segment_s: float = SEGMENT_S,
    json: bool = False,
) -> int:
    """Measures the latency added by the gate; see `make bench-overhead`.

    Args:
        role: "target", "pass-through", "gate" or "load"; or "decisions",
            which runs alone and measures only the reducer.
        base_port: First of the loopback ports that the roles use.
        rates: Open-loop rates in calls per second, comma-separated.
        rounds: Number of interleaved segments per load and path.
        segment_s: Duration of one segment, in seconds.
        json: Print one line of JSON.

    Returns:
        The exit status: 2 if the role is unknown.
    """
    match role:
        case "target":
            asyncio.run(overhead_servers.run_target(base_port))
        case "pass-through":
            asyncio.run(overhead_servers.run_pass_through(base_port))
        case "gate":
            asyncio.run(overhead_servers.run_gate(base_port))
        case "load":
            rates_per_s = [float(rate) for rate in rates.split(",")]
            results = asyncio.run(
                _measure(base_port, rates_per_s, rounds, segment_s)
            )
            print(json_lib.dumps(results, indent=None if json else 2))
        case "decisions":
            measured = {
                f"{endpoints}_endpoints_us": decisions.measure(endpoints)
                for endpoints in ENDPOINTS
            }
            print(json_lib.dumps(measured, indent=None if json else 2))
        case _:
            return _unknown_role(role)
    return 0


def _unknown_role(role: str) -> int:
    known = ", ".join(ROLES)
    print(
        f"bench overhead: unknown --role {role!r}; use one of {known}",
        file=sys.stderr,
    )
    return 2


async def _measure(
    base_port: int, rates: list[float], rounds: int, segment_s: float
) -> dict:
    ports = overhead_servers.Ports(base_port)
    ports_by_path = {
        "direct": ports.target,
        "bare": ports.pass_through,
        "gate": ports.gate,
    }
    clients = {
        path: overhead_load.Client("127.0.0.1", port)
        for path, port in ports_by_path.items()
    }
    cpu = overhead_load.CpuReader(
        {"bare": ports.cpu(ports.pass_through), "gate": ports.cpu(ports.gate)}
    )
    for path in PATHS:
        await overhead_load.wait_until_serving(clients[path])
    setup = Setup(clients, cpu, segment_s)
    results: dict[str, dict[str, Samples]] = {}
    stolen = overhead_load.StolenTime()
    for _ in range(rounds):
        for rate in rates:
            await _run_open_loop(
                setup, _samples_at(results, f"open_{rate:g}_per_s"), rate
            )
        await _run_closed_loop(setup, _samples_at(results, "closed"))
    report = _report(results)
    report["stolen_share"] = stolen.share()
    for client in clients.values():
        client.close()
    return report


def _samples_at(
    results: dict[str, dict[str, Samples]], label: str
) -> dict[str, Samples]:
    return results.setdefault(label, {path: Samples() for path in PATHS})


async def _run_open_loop(
    setup: Setup, samples: dict[str, Samples], rate_per_s: float
) -> None:
    before_us = {path: await setup.cpu.read_us(path) for path in PATHS}
    clients = [setup.clients[path] for path in PATHS]
    measured = await overhead_load.open_loop(
        clients, rate_per_s, setup.segment_s
    )
    for path, segment in zip(PATHS, measured, strict=True):
        cpu_us = await setup.cpu.read_us(path) - before_us[path]
        samples[path].add(segment, setup.segment_s, cpu_us)


async def _run_closed_loop(setup: Setup, samples: dict[str, Samples]) -> None:
    for path in PATHS:
        before_us = await setup.cpu.read_us(path)
        segment = await overhead_load.closed_loop(
            setup.clients[path], CLOSED_LOOP_CALLERS, setup.segment_s
        )
        cpu_us = await setup.cpu.read_us(path) - before_us
        samples[path].add(segment, setup.segment_s, cpu_us)


def _report(results: dict[str, dict[str, Samples]]) -> dict:
    report: dict = {}
    for label, by_path in results.items():
        section: dict[str, Any] = {
            path: _summary(by_path[path]) for path in PATHS
        }
        report[label] = section
        if label != "closed":
            section["added_p99_ratio_to_bare"] = _added_ratio(by_path, 0.99)
            section["added_p50_ratio_to_bare"] = _added_ratio(by_path, 0.50)
    closed = report["closed"]
    report["added_p99_ratio_to_bare"] = max(
        section["added_p99_ratio_to_bare"]
        for label, section in report.items()
        if label.startswith("open")
    )
    report["capacity_ratio_to_bare"] = round(
        closed["gate"]["calls_per_s"] / closed["bare"]["calls_per_s"], 3
    )
    return report


def _summary(samples: Samples) -> dict:
    ordered = sorted(samples.measured.latencies_us)
    count = max(1, len(ordered))
    return {
        "calls": len(ordered),
        "failed": samples.measured.failed,
        "calls_per_s": round(len(ordered) / samples.seconds, 1),
        "p50_ms": round(percentile(ordered, 0.50) / 1000, 3),
        "p99_ms": round(percentile(ordered, 0.99) / 1000, 3),
        "p99_9_ms": round(percentile(ordered, 0.999) / 1000, 3),
        "cpu_us_per_call": round(samples.cpu_us / count, 1),
    }


def _added_ratio(by_path: dict[str, Samples], share: float) -> float:
    latency_us = {
        path: percentile(sorted(by_path[path].measured.latencies_us), share)
        for path in PATHS
    }
    bare_us = max(1.0, latency_us["bare"] - latency_us["direct"])
    return round((latency_us["gate"] - latency_us["direct"]) / bare_us, 3)


def percentile(ordered: list[float], share: float) -> float:
    """Returns the quantile `share` of sorted values, or NaN without values."""
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
