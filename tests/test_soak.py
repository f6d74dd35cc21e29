"""The fault soak: a short run, and that its checks can fail."""

import random

import pytest

from fireflyspindle import testing
from fireflyspindle.bench import soak
from fireflyspindle.bench import soak_callers
from fireflyspindle.platform import dialect
from fireflyspindle.testing import platform_server

# Seeds that ever failed, with the cause.
REGRESSIONS: dict[int, str] = {}


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
    callers._told["q"] = soak_callers.Told(strict, status)
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
