"""CPU time of the reducer per call event, without network I/O."""

import time

from fireflyspindle.core import configuration
from fireflyspindle.core import events
from fireflyspindle.core import reducer
from fireflyspindle.core import state as state_lib
from fireflyspindle.testing import records as record_bodies

CALLS = 2_000
IN_FLIGHT = 16


def measure(endpoints: int) -> dict[str, float]:
    """Returns the CPU time in microseconds by type of event.

    Each is the median over `CALLS` calls, with `IN_FLIGHT` in flight at a
    time, on a service with `endpoints` endpoints.
    """
    state = _new_state(endpoints)
    cpu_us: dict[str, list[float]] = {}
    now_us = 2_000_000
    for number in range(1, CALLS + 1):
        now_us += 100
        arrival = events.CallArrived(now_us, number, "/dossier/1")
        _time_event(state, arrival, cpu_us)
        oldest = number - IN_FLIGHT
        if oldest < 1:
            continue
        _time_event(
            state, events.AttemptAnswered(now_us, oldest, 1, 200), cpu_us
        )
        _time_event(state, events.AttemptEnded(now_us, oldest, 1), cpu_us)
    return {
        name: round(sorted(values)[len(values) // 2], 1)
        for name, values in cpu_us.items()
    }


def _time_event(
    state: state_lib.GateState,
    event: events.Event,
    cpu_us: dict[str, list[float]],
) -> None:
    started_ns = time.thread_time_ns()
    reducer.reduce(state, event)
    elapsed_us = (time.thread_time_ns() - started_ns) / 1000
    cpu_us.setdefault(type(event).__name__, []).append(elapsed_us)


def _new_state(endpoints: int) -> state_lib.GateState:
    state = state_lib.new(state_lib.CoreSettings(host_id="bench"), 1)
    now_us = 1_000_000
    reducer.start(state, now_us)
    targets = [
        {"address": f"10.0.{index // 250}.{index % 250 + 1}:80"}
        for index in range(endpoints)
    ]
    route = {"path_prefix": "/dossier", "service": "dossier"}
    bodies = [
        _record("service", {"targets": targets}),
        _record("route", route),
    ]
    entries = [
        events.LogEntry(offset, body) for offset, body in enumerate(bodies)
    ]
    read = events.LogRead(
        now_us, configuration.STREAM, entries, 0, 0, len(entries)
    )
    reducer.reduce(state, read)
    return state


def _record(kind: str, payload: dict) -> str:
    return record_bodies.body(kind, "dossier", payload, record_id=kind)
