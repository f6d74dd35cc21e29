"""The fault soak: a short run, and that its checks can fail."""

import asyncio
import random

import pytest
import pytest_asyncio

from fireflyspindle import testing
from fireflyspindle.bench import soak
from fireflyspindle.bench import soak_callers
from fireflyspindle.bench import soak_promises
from fireflyspindle.platform import dialect
from fireflyspindle.testing import platform_server

# Seeds that ever failed, with the cause.
REGRESSIONS: dict[int, str] = {
    501: "hosts that followed each other vouched in circles for old reads",
}


@pytest.mark.parametrize("seed", [7, *REGRESSIONS])
async def test_short_run_keeps_every_promise(seed):
    report = await soak.Soak(seed, 5.0, hosts=2, servers=4).run()
    assert report.violations == []
    assert report.served > 0
    assert report.faults


@pytest.fixture
def callers():
    """Callers that were told something of one request."""
    return soak_callers.Callers([], random.Random(1))


@pytest.mark.parametrize(
    ("strict", "status", "runs", "broken"),
    [
        (True, 200, {"q": 1}, []),
        (True, 200, {"q": 2}, ["ran 2 times"]),
        (False, 200, {"q": 2}, []),
        (True, 503, {"q": 1}, ["told 503 and it ran"]),
        (True, 421, {"q": 1}, ["told 421 and it ran"]),
        (True, 502, {"q": 1}, []),
        (False, 200, {}, ["never ran"]),
        (True, 0, {"q": 1}, []),
        (True, 0, {"x": 1}, ["nobody sent it"]),
    ],
)
def test_broken_promise_on_runs_is_found(callers, strict, status, runs, broken):
    callers.told["q"] = soak_callers.Told(strict, status)
    found = callers.check_runs(runs)
    assert len(found) == len(broken)
    for line, named in zip(found, broken, strict=True):
        assert named in line


@pytest.mark.parametrize(
    ("body", "echoed", "signature", "count"),
    [
        (platform_server.body_for("q"), "q", "s.q", 0),
        (platform_server.body_for("x"), "q", "s.q", 1),
        (platform_server.body_for("q"), "x", "s.q", 1),
        (platform_server.body_for("q"), "q", "s.x", 1),
    ],
)
def test_anothers_answer_is_found(callers, body, echoed, signature, count):
    head = (
        f"HTTP/1.1 200 OK\r\n{dialect.REQUEST_ID}: {echoed}\r\n"
        f"{dialect.SERVER_SIGNATURE}: {signature}"
    )
    found = testing.RawMessage(head.encode(), body)
    callers._check_answer("q", 200, found)
    assert len(callers.violations) == count


@pytest_asyncio.fixture
async def configurations():
    """Versions 1 and 2, the second written 10 s ago."""
    now_s = asyncio.get_running_loop().time()
    made = soak_promises.Configurations(lambda: -1e9)
    made._written_s = {1: now_s - 60, 2: now_s - 10}
    return made


@pytest.mark.parametrize(
    ("version", "status", "after_s", "served", "broken"),
    [
        (2, 200, 3.0, 0, 0),
        (2, 404, 2.4, 0, 0),
        (2, 404, 3.0, 0, 1),
        (1, 200, 2.4, 0, 0),
        (1, 200, 3.0, 0, 1),
        (1, 404, 3.0, 0, 0),
        (2, 404, 0.1, 2, 1),
        (1, 200, 0.1, 2, 1),
    ],
)
async def test_configuration_that_is_late_or_taken_back_is_found(
    configurations, version, status, after_s, served, broken
):
    gate = soak_promises.Watched("g", served=served)
    sent_s = configurations._written_s[2] + after_s
    configurations.judge(gate, version, 2, status, sent_s)
    assert len(configurations.violations) == broken


@pytest.mark.parametrize("of_store", [True, False])
async def test_late_configuration_in_a_fault_breaks_nothing(
    configurations, of_store
):
    fault_s = configurations._written_s[2] + 1.0
    gate = soak_promises.Watched("g")
    if of_store:
        configurations._store_calm_since_s = lambda: fault_s
    else:
        gate.disturbed_s = fault_s
    configurations.judge(gate, 2, 2, 404, fault_s + 5.0)
    assert configurations.violations == []
    configurations.judge(gate, 2, 2, 404, fault_s + 6.0)
    assert len(configurations.violations) == 1


@pytest.mark.parametrize(
    ("status", "runs", "sent_s", "ended_s", "faults", "broken"),
    [
        (0, 1, 10.5, 10.7, [], 1),
        (0, 1, 9.0, 10.1, [], 1),
        (0, 0, 10.5, 10.7, [], 0),
        (200, 1, 10.5, 10.7, [], 0),
        (0, 1, 8.0, 9.9, [], 0),
        (0, 1, 12.5, 12.7, [], 0),
        (0, 1, 10.5, 10.7, [("g", 10.6, 11.0)], 0),
        (0, 1, 10.5, 10.7, [("", 10.0, 11.0)], 0),
        (0, 1, 10.5, 10.7, [("h", 10.0, 11.0)], 1),
    ],
)
def test_request_that_a_planned_stop_cut_is_found(
    status, runs, sent_s, ended_s, faults, broken
):
    told = soak_callers.Told(True, status, "g", sent_s, ended_s)
    stops = [soak_promises.Span("g", 10.0, 12.0)]
    harms = [soak_promises.Span(*each) for each in faults]
    found = soak_promises.cut_at_stops({"q": told}, {"q": runs}, stops, harms)
    assert len(found) == broken
