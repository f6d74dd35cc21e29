"""Demo: a complete system in one process, under load and faults."""

import asyncio
from collections.abc import Callable
import statistics

import attrs

from fireflyspindle import demo_load
from fireflyspindle import settings as settings_lib
from fireflyspindle import testing

SERVICE = "tracking"
GATES = ("gate-1", "gate-2")
TARGETS = 17
SLOTS = 6
MEAN_SERVICE_MS = 10.0
CALLERS = 24
SLOWDOWN_FACTOR = 8.0
LOAD_BALANCER_LAG_S = 0.3
DRAIN_GRACE_MS = 1_000


@attrs.define(frozen=True)
class Figures:
    """Figures of a demo run.

    `wrong_answers`, `ran_twice`, `not_run_but_ran` and `cut_in_flight` must
    be 0.
    """

    calls: int
    complete: int
    not_run: int
    unknown: int
    wrong_answers: int
    ran_twice: int
    not_run_but_ran: int
    cut_in_flight: int
    p50_ms: float
    p99_ms: float
    probes: int

    @property
    def promises_kept(self) -> bool:
        """Whether every invariant held."""
        return not (
            self.wrong_answers
            or self.ran_twice
            or self.not_run_but_ran
            or self.cut_in_flight
        )


@attrs.define(eq=False)
class Demo:
    """Components of a running demo."""

    system: testing.StandInSystem
    load: demo_load.Load
    show: Callable[[str], None]


async def run(seconds: float, show: Callable[[str], None]) -> Figures:
    """Runs the demo.

    Args:
        seconds: Duration of the load.
        show: Called with each line of progress.

    Returns:
        The figures, from the results of the callers and the request
        counters of the targets.
    """
    async with testing.StandInSystem() as system:
        await _publish(system)
        for host_id in GATES:
            await system.add_gate(host_id, _gate_settings(system, host_id))
        gates = {
            host_id: gate.callers_address
            for host_id, gate in system.gates.items()
        }
        demo = Demo(system, demo_load.Load(f"/{SERVICE}", gates), show)
        progress = asyncio.create_task(_report_progress(demo))
        await asyncio.gather(
            demo.load.run(CALLERS, seconds), _inject_faults(demo, seconds)
        )
        progress.cancel()
        return _collect_figures(demo)


async def _publish(system: testing.StandInSystem) -> None:
    addresses = []
    for index in range(TARGETS):
        target = testing.StandInTarget(
            f"{SERVICE}-{index}", SLOTS, MEAN_SERVICE_MS, seed=index
        )
        addresses.append(await system.add_target(target))
    targets = [{"address": address, "slots": SLOTS} for address in addresses]
    testing.publish(system.log, "service", SERVICE, {"targets": targets})
    testing.publish(
        system.log,
        "route",
        SERVICE,
        {"path_prefix": f"/{SERVICE}", "service": SERVICE},
    )


async def _inject_faults(demo: Demo, seconds: float) -> None:
    targets = list(demo.system.targets.values())
    step_s = seconds / 6
    await asyncio.sleep(step_s)
    demo.show(f"target {targets[0].name} is draining")
    targets[0].leaving = True
    await asyncio.sleep(step_s)
    demo.show(f"target {targets[1].name} is {SLOWDOWN_FACTOR:g} times slower")
    targets[1].mean_service_ms *= SLOWDOWN_FACTOR
    await asyncio.sleep(step_s)
    demo.show(f"target {targets[2].name} rejects every request")
    targets[2].failing = True
    await asyncio.sleep(step_s)
    demo.show(f"{GATES[1]} is shutting down")
    await _stop_gate(demo, GATES[1])
    demo.show(f"{GATES[1]} has shut down")


def _gate_settings(
    system: testing.StandInSystem, host_id: str
) -> settings_lib.Settings:
    limits = settings_lib.LimitSettings(drain_grace_ms=DRAIN_GRACE_MS)
    return attrs.evolve(system.gate_settings(host_id), limits=limits)


async def _stop_gate(demo: Demo, host_id: str) -> None:
    demo.load.stopping.add(host_id)
    stop = asyncio.create_task(demo.system.stop_gate(host_id))
    await asyncio.sleep(LOAD_BALANCER_LAG_S)
    del demo.load.gates[host_id]
    await stop


async def _report_progress(demo: Demo) -> None:
    while True:
        await asyncio.sleep(1)
        results = demo.load.told
        recent_ms = [result.took_ms for result in results[-500:]]
        if len(recent_ms) > 1:
            p50_ms, p99_ms = _percentiles(recent_ms)
            demo.show(
                f"{len(results)} calls, recent p50 {p50_ms:.1f} ms,"
                f" p99 {p99_ms:.1f} ms"
            )


def _collect_figures(demo: Demo) -> Figures:
    results = demo.load.told
    runs: dict[str, int] = {}
    for target in demo.system.targets.values():
        for path, count in target.runs_by_path.items():
            runs[path] = runs.get(path, 0) + count
    complete = [result for result in results if demo_load.is_complete(result)]
    not_run = [result for result in results if demo_load.is_not_run(result)]
    p50_ms, p99_ms = _percentiles([result.took_ms for result in results])
    return Figures(
        calls=len(results),
        complete=len(complete),
        not_run=len(not_run),
        unknown=len(results) - len(complete) - len(not_run),
        wrong_answers=sum(not result.right for result in complete),
        ran_twice=sum(
            runs.get(result.path, 0) > 1
            for result in results
            if not result.repeatable
        ),
        not_run_but_ran=sum(runs.get(result.path, 0) > 0 for result in not_run),
        cut_in_flight=sum(
            result.stopping and result.outcome is None for result in results
        ),
        p50_ms=round(p50_ms, 2),
        p99_ms=round(p99_ms, 2),
        probes=sum(target.probes for target in demo.system.targets.values()),
    )


def _percentiles(values_ms: list[float]) -> tuple[float, float]:
    percentiles_ms = statistics.quantiles(values_ms, n=100)
    return percentiles_ms[49], percentiles_ms[98]
