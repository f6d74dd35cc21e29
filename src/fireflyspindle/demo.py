"""A whole system in one process, under load and faults, checked at the end."""

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
SLOWDOWN = 8.0
BALANCER_LAG_S = 0.3
GRACE_MS = 1_000


@attrs.define(frozen=True)
class Figures:
    """What the demo saw; the four counters before the times must be 0."""

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
        """Whether none of the promises was broken."""
        return not (
            self.wrong_answers
            or self.ran_twice
            or self.not_run_but_ran
            or self.cut_in_flight
        )


@attrs.define(eq=False)
class Demo:
    """The parts of a running demo."""

    system: testing.StandInSystem
    load: demo_load.Load
    show: Callable[[str], None]


async def run(seconds: float, show: Callable[[str], None]) -> Figures:
    """Runs the demo.

    Args:
        seconds: How long load is sent.
        show: Takes a line of progress.

    Returns:
        The figures, counted from the callers' notes and the targets' journals.
    """
    async with testing.StandInSystem() as system:
        await _publish(system)
        for host_id in GATES:
            await system.add_gate(host_id, _settings(system, host_id))
        gates = {
            host_id: gate.callers_address
            for host_id, gate in system.gates.items()
        }
        running = Demo(system, demo_load.Load(f"/{SERVICE}", gates), show)
        progress = asyncio.create_task(_progress(running))
        await asyncio.gather(
            running.load.run(CALLERS, seconds), _faults(running, seconds)
        )
        progress.cancel()
        return _figures(running)


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


async def _faults(running: Demo, seconds: float) -> None:
    targets = list(running.system.targets.values())
    step_s = seconds / 6
    await asyncio.sleep(step_s)
    running.show(f"target {targets[0].name} drains")
    targets[0].leaving = True
    await asyncio.sleep(step_s)
    running.show(f"target {targets[1].name} takes {SLOWDOWN:g} times longer")
    targets[1].mean_service_ms *= SLOWDOWN
    await asyncio.sleep(step_s)
    running.show(f"target {targets[2].name} fails every request at once")
    targets[2].failing = True
    await asyncio.sleep(step_s)
    running.show(f"{GATES[1]} is stopped as planned")
    await _stop_gate(running, GATES[1])
    running.show(f"{GATES[1]} has ended")


def _settings(
    system: testing.StandInSystem, host_id: str
) -> settings_lib.Settings:
    limits = settings_lib.LimitSettings(drain_grace_ms=GRACE_MS)
    return attrs.evolve(system.gate_settings(host_id), limits=limits)


async def _stop_gate(running: Demo, host_id: str) -> None:
    running.load.stopping.add(host_id)
    stop = asyncio.create_task(running.system.stop_gate(host_id))
    await asyncio.sleep(BALANCER_LAG_S)
    del running.load.gates[host_id]
    await stop


async def _progress(running: Demo) -> None:
    while True:
        await asyncio.sleep(1)
        told = running.load.told
        recent = [each.took_ms for each in told[-500:]]
        if len(recent) > 1:
            p50_ms, p99_ms = _percentiles(recent)
            running.show(
                f"{len(told)} calls, latest p50 {p50_ms:.1f} ms,"
                f" p99 {p99_ms:.1f} ms"
            )


def _figures(running: Demo) -> Figures:
    told = running.load.told
    runs: dict[str, int] = {}
    for target in running.system.targets.values():
        for path, count in target.runs_by_path.items():
            runs[path] = runs.get(path, 0) + count
    complete = [each for each in told if demo_load.is_complete(each)]
    not_run = [each for each in told if demo_load.is_not_run(each)]
    p50_ms, p99_ms = _percentiles([each.took_ms for each in told])
    return Figures(
        calls=len(told),
        complete=len(complete),
        not_run=len(not_run),
        unknown=len(told) - len(complete) - len(not_run),
        wrong_answers=sum(not each.right for each in complete),
        ran_twice=sum(
            runs.get(each.path, 0) > 1 for each in told if not each.repeatable
        ),
        not_run_but_ran=sum(runs.get(each.path, 0) > 0 for each in not_run),
        cut_in_flight=sum(
            each.stopping and each.outcome is None for each in told
        ),
        p50_ms=round(p50_ms, 2),
        p99_ms=round(p99_ms, 2),
        probes=sum(target.probes for target in running.system.targets.values()),
    )


def _percentiles(values_ms: list[float]) -> tuple[float, float]:
    hundredths = statistics.quantiles(values_ms, n=100)
    return hundredths[49], hundredths[98]
