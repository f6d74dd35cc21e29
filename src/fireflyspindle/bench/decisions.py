"""What the decisions on a call cost, without network or shell."""

import time

from fireflyspindle.core import configuration
from fireflyspindle.core import events
from fireflyspindle.core import reducer
from fireflyspindle.core import state as state_lib
from fireflyspindle.testing import records as record_bodies

CALLS = 2_000
IN_FLIGHT = 16


def measure(endpoints: int) -> dict[str, float]:
    """Returns microseconds of processor time by event, at some endpoints.

    Each is the median over `CALLS` calls, of which `IN_FLIGHT` are in flight
    at a time.
    """
    state = _gate(endpoints)
    took_us: dict[str, list[float]] = {}
    now_us = 2_000_000
    for number in range(1, CALLS + 1):
        now_us += 100
        arrived = events.CallArrived(now_us, number, "/dossier/1")
        _feed(state, arrived, took_us)
        oldest = number - IN_FLIGHT
        if oldest < 1:
            continue
        _feed(state, events.AttemptAnswered(now_us, oldest, 1, 200), took_us)
        _feed(state, events.AttemptEnded(now_us, oldest, 1), took_us)
    return {
        name: round(sorted(values)[len(values) // 2], 1)
        for name, values in took_us.items()
    }


def _feed(
    state: state_lib.GateState,
    event: events.Event,
    took_us: dict[str, list[float]],
) -> None:
    began_ns = time.thread_time_ns()
    reducer.reduce(state, event)
    took = (time.thread_time_ns() - began_ns) / 1000
    took_us.setdefault(type(event).__name__, []).append(took)


def _gate(endpoints: int) -> state_lib.GateState:
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
