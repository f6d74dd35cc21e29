"""Command-line commands of the benchmarks."""

import asyncio
import json as json_lib
import pathlib
import sys
from typing import Literal

import attrs

from fireflyspindle.bench import claims as claims_lib
from fireflyspindle.bench import configuration as configuration_lib
from fireflyspindle.bench import fairness as fairness_lib
from fireflyspindle.bench import history_run
from fireflyspindle.bench import overhead as overhead_lib
from fireflyspindle.bench import policy as policy_lib
from fireflyspindle.bench import policy_model
from fireflyspindle.bench import quotas as quotas_lib
from fireflyspindle.bench import slopes as slopes_lib
from fireflyspindle.bench import soak as soak_lib

CLAIM_RATES_PER_S = (5.0, 100.0, 1000.0, 3000.0)


def policy(
    *,
    deployment: Literal["zeevaart", "taller"] = "zeevaart",
    load: float = 0.8,
    scenario: Literal[
        "steady",
        "noisy",
        "drain",
        "cold",
        "fail-fast",
        "straggler",
        "burst",
        "stale",
        "lying",
        "missing",
        "uneven",
    ] = "noisy",
    service: Literal["exponential", "heavy"] = "exponential",
    seeds: int = 3,
    gates: int = 16,
    noise: Literal["start", "rate"] = "start",
    seconds: float = 4.0,
    json: bool = False,
) -> int:
    """Compares the built-in routing policy with baselines in virtual time.

    Args:
        deployment: Deployment whose sizes are used.
        load: Offered load as a fraction of the targets' slot capacity.
        scenario: Fault or load pattern.
        service: Distribution of service times.
        seeds: Number of seeds, starting at 1.
        gates: Number of gate hosts.
        noise: "start" if a request that starts during a slow period is slowed
            for its whole duration, "rate" if a slow period slows work only
            while it lasts.
        seconds: Length of a run in virtual time.
        json: Print one line of JSON.

    Returns:
        The exit status: 2 if an argument is out of bounds.
    """
    if not 0 < load <= 2 or seeds < 1 or gates < 1 or seconds <= 0:
        print(
            "bench policy: --load must be in (0, 2], --seeds and --gates at"
            " least 1, and --seconds above 0",
            file=sys.stderr,
        )
        return 2
    plan = policy_model.Plan(
        deployment=policy_model.DEPLOYMENTS[deployment],
        load=load,
        scenario=scenario,
        service=service,
        gates=gates,
        duration_us=int(seconds * 1e6),
        noise=noise,
    )
    figures = policy_lib.compare(plan, seeds)
    if json:
        print(json_lib.dumps(figures))
    else:
        print(policy_lib.table(figures))
    return 0


def history(*, seeds: int = 10, first_seed: int = 0, json: bool = False) -> int:
    """Runs simulated gate hosts under random faults and checks invariants.

    Args:
        seeds: Number of seeds, at least 1.
        first_seed: First seed. Use it with --seeds 1 to replay one seed.
        json: Print one line of JSON.

    Returns:
        The exit status: 1 if an invariant was violated, 2 if an argument
        is out of bounds.
    """
    if seeds < 1:
        print(
            f"bench history: --seeds is {seeds}; give at least 1",
            file=sys.stderr,
        )
        return 2
    summary = history_run.run(seeds, first_seed)
    if json:
        print(json_lib.dumps(attrs.asdict(summary)))
    else:
        print(json_lib.dumps(attrs.asdict(summary), indent=2))
    return 1 if summary.violations else 0


def fairness(
    *,
    deployment: Literal["zeevaart", "taller"] = "zeevaart",
    gates: int = 16,
    seeds: int = 2,
    seconds: float = 3.0,
) -> int:
    """Measures how a tenant at ten times its share affects the others.

    Args:
        deployment: Deployment whose sizes are used.
        gates: Number of gate hosts.
        seeds: Number of seeds, starting at 1.
        seconds: Length of a run in virtual time.

    Returns:
        The exit status: 2 if an argument is out of bounds.
    """
    if seeds < 1 or gates < 1 or seconds <= 0:
        print(
            "bench fairness: --seeds and --gates must be at least 1 and"
            " --seconds above 0",
            file=sys.stderr,
        )
        return 2
    plan = policy_model.Plan(
        deployment=policy_model.DEPLOYMENTS[deployment],
        load=0.0,
        scenario="steady",
        service="exponential",
        gates=gates,
        duration_us=int(seconds * 1e6),
    )
    print(json_lib.dumps(fairness_lib.compare(plan, seeds)))
    return 0


def slopes(*, json: bool = False) -> int:
    """Measures how state size, message traffic and CPU time scale.

    Args:
        json: Print one line of JSON.

    Returns:
        The exit status.
    """
    lines = slopes_lib.run()
    if json:
        print(json_lib.dumps([attrs.asdict(line) for line in lines]))
        return 0
    for line in lines:
        print(line.text)
    return 0


def claims(
    *, gates: int = 17, seconds: float = 20.0, json: bool = False
) -> int:
    """Measures the latency and log load of claims in virtual time.

    Args:
        gates: Number of gate hosts.
        seconds: Length of each load in virtual time.
        json: Print one line of JSON.

    Returns:
        The exit status: 2 if an argument is out of bounds.
    """
    if not 1 <= gates <= 100 or not 0 < seconds <= 600:
        print(
            f"bench claims: --gates must be 1 to 100, got {gates}; --seconds"
            f" must be above 0 and at most 600, got {seconds}",
            file=sys.stderr,
        )
        return 2
    loads = [
        attrs.asdict(claims_lib.run_load(gates, calls_per_s, seconds))
        for calls_per_s in CLAIM_RATES_PER_S
    ]
    index = attrs.asdict(claims_lib.measure_index())
    if json:
        print(json_lib.dumps({"loads": loads, "index": index}))
        return 0
    for figures in [*loads, index]:
        print("  ".join(f"{name}={value}" for name, value in figures.items()))
    return 0


def soak(
    *,
    seed: int = 1,
    seeds: int = 1,
    seconds: float = 20.0,
    hosts: int = 3,
    targets: int = 6,
    other_build: str = "",
    json: bool = False,
) -> int:
    """Runs gate host processes under random faults and checks invariants.

    Args:
        seed: First seed.
        seeds: Number of seeds, one run each.
        seconds: Time in each run during which faults are injected.
        hosts: Number of gate host processes.
        targets: Number of targets.
        other_build: Directory with the sources of another build; gate hosts
            then start from either build by turns.
        json: Print one line of JSON per run.

    Returns:
        The exit status: 1 if an invariant was violated, 2 if an argument
        is out of bounds.
    """
    if not 1 <= hosts <= 200 or not 2 <= targets <= 200 or seconds <= 0:
        print(
            f"bench soak: --hosts must be 1 to 200, got {hosts}; --targets 2"
            f" to 200, got {targets}; --seconds above 0, got {seconds}",
            file=sys.stderr,
        )
        return 2
    other_sources = pathlib.Path(other_build) if other_build else None
    if other_sources and not (other_sources / "fireflyspindle").is_dir():
        print(
            f"bench soak: --other-build: {other_build} has no package"
            " fireflyspindle",
            file=sys.stderr,
        )
        return 2
    failed_runs = 0
    for number in range(seed, seed + seeds):
        run = soak_lib.Soak(number, seconds, hosts, targets, other_sources)
        report = asyncio.run(run.run())
        failed_runs += bool(report.violations)
        if json:
            print(json_lib.dumps(attrs.asdict(report)), flush=True)
            continue
        print(
            f"seed {number}: {report.served} of {report.calls} calls served,"
            f" {len(report.faults)} faults,"
            f" {len(report.violations)} violations",
            flush=True,
        )
        for line in report.violations[:20]:
            print(f"  {line}")
        if report.violations:
            print("  faults: " + "; ".join(report.faults))
    return 1 if failed_runs else 0


COMMANDS = {
    "claims": claims,
    "configuration": configuration_lib.configuration,
    "fairness": fairness,
    "history": history,
    "overhead": overhead_lib.overhead,
    "policy": policy,
    "quotas": quotas_lib.quotas,
    "slopes": slopes,
    "soak": soak,
}
