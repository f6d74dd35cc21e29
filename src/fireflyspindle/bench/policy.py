"""Policy benchmark: the built-in routing policy against baselines."""

from collections.abc import Callable
import functools
from typing import Any, Protocol

import attrs

from fireflyspindle.bench import policy_baselines
from fireflyspindle.bench import policy_built_in
from fireflyspindle.bench import policy_model
from fireflyspindle.core import records

DRAIN_US = 15_000_000
BUILT_IN = "shipped"
BUILT_IN_HEDGED = "shipped_hedged"
QUANTILES = {"p50_ms": 0.5, "p90_ms": 0.9, "p99_ms": 0.99, "p999_ms": 0.999}


class Sender(Protocol):
    """Sends calls according to one policy."""

    run: policy_baselines.Run

    def send(self, arrival: policy_model.Arrival) -> None:
        """Sends one call."""


SenderFactory = Callable[[policy_model.World, int], Sender]


def compare(plan: policy_model.Plan, seeds: int) -> dict[str, Any]:
    """Runs every policy on the same arrivals; returns the figures.

    Args:
        plan: Parameters of the runs.
        seeds: Number of seeds, starting at 1.
    """
    runs = {
        name: [run_one(plan, seed, make_sender) for seed in range(1, seeds + 1)]
        for name, make_sender in policies(plan).items()
    }
    figures = {name: _figures(plan, results) for name, results in runs.items()}
    return {
        "deployment": plan.deployment.name,
        "load": plan.load,
        "scenario": plan.scenario,
        "service": plan.service,
        "gates": plan.gates,
        "noise": plan.noise,
        "seeds": seeds,
        "policies": figures,
        "p99_ratio_to_exact": _p99_ratio(figures, BUILT_IN, "exact"),
        "p99_ratio_to_random": _p99_ratio(figures, BUILT_IN, "random"),
        "p99_ratio_to_least_own": _p99_ratio(figures, BUILT_IN, "least_own"),
        "p99_hedged_ratio_to_exact": _p99_ratio(
            figures, BUILT_IN_HEDGED, "exact"
        ),
        "p99_ratio_to_exact_by_seed": [
            _p99_ratio_of_runs(policy, exact)
            for policy, exact in zip(runs[BUILT_IN], runs["exact"], strict=True)
        ],
        "p99_hedged_ratio_to_exact_by_seed": [
            _p99_ratio_of_runs(policy, exact)
            for policy, exact in zip(
                runs[BUILT_IN_HEDGED], runs["exact"], strict=True
            )
        ],
    }


def policies(plan: policy_model.Plan) -> dict[str, SenderFactory]:
    """Returns the compared policies by name."""
    probes_per_s = plan.deployment.probes_per_s
    unhedged = records.Policy(probes_per_s=probes_per_s, hedge_share=0.0)
    hedged = records.Policy(probes_per_s=probes_per_s)
    senders: dict[str, SenderFactory] = {
        name: _baseline(name) for name in policy_baselines.NAMES
    }
    senders[BUILT_IN] = _built_in(unhedged)
    senders[BUILT_IN_HEDGED] = _built_in(hedged)
    return senders


def _baseline(name: str) -> SenderFactory:
    return lambda world, seed: policy_baselines.Baseline(name, world, seed)


def _built_in(policy: records.Policy) -> SenderFactory:
    return lambda world, seed: policy_built_in.BuiltInPolicy(
        world, seed, policy
    )


def run_one(
    plan: policy_model.Plan, seed: int, make_sender: SenderFactory
) -> policy_baselines.Run:
    """Runs one policy on one seed."""
    world = policy_model.world(plan, seed)
    sender = make_sender(world, seed)
    for arrival in policy_model.arrivals(plan, seed):
        world.timeline.after(
            arrival.at_us, functools.partial(sender.send, arrival)
        )
    world.timeline.run(plan.duration_us + DRAIN_US)
    return sender.run


def quantile(values: list[int], share: float) -> float:
    """Returns a quantile, or 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _figures(
    plan: policy_model.Plan, runs: list[policy_baselines.Run]
) -> dict[str, Any]:
    latencies_us = [latency for run in runs for latency in run.latencies_us]
    total = policy_baselines.Run()
    for run in runs:
        for field in attrs.fields(policy_baselines.Run):
            if field.name != "latencies_us":
                added = getattr(total, field.name) + getattr(run, field.name)
                setattr(total, field.name, added)
    gate_host_s = plan.duration_us / 1e6 * len(runs) * plan.gates
    figures: dict[str, Any] = {
        name: quantile(latencies_us, share) / 1000
        for name, share in QUANTILES.items()
    }
    figures["p99_ms_by_seed"] = [
        quantile(run.latencies_us, 0.99) / 1000 for run in runs
    ]
    figures["probes_per_call"] = round(total.probes / total.calls, 4)
    figures["attempts_per_call"] = round(total.attempts / total.calls, 4)
    figures["control_bytes_per_s"] = total.control_bytes / gate_host_s
    figures["calls"] = total.calls
    figures["complete"] = total.complete
    figures["not_run"] = total.not_run
    figures["unknown"] = total.unknown
    return figures


def _p99_ratio(figures: dict[str, Any], policy: str, baseline: str) -> float:
    baseline_ms = figures[baseline]["p99_ms"]
    return (
        round(figures[policy]["p99_ms"] / baseline_ms, 3)
        if baseline_ms
        else 0.0
    )


def _p99_ratio_of_runs(
    policy: policy_baselines.Run, baseline: policy_baselines.Run
) -> float:
    baseline_us = quantile(baseline.latencies_us, 0.99)
    policy_us = quantile(policy.latencies_us, 0.99)
    return round(policy_us / baseline_us, 3) if baseline_us else 0.0


def table(figures: dict[str, Any]) -> str:
    """Returns the figures as a human-readable table."""
    columns = [*QUANTILES, "probes_per_call", "attempts_per_call", "not_run"]
    lines = ["policy".ljust(16) + "".join(name.rjust(18) for name in columns)]
    for name, row in figures["policies"].items():
        cells = "".join(f"{row[column]:18.2f}" for column in columns)
        lines.append(name.ljust(16) + cells)
    lines.extend(
        f"{name}: {value}"
        for name, value in figures.items()
        if name.startswith("p99")
    )
    return "\n".join(lines)
