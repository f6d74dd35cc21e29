"""Keyed requests through two real gate hosts and one stand-in log."""

import asyncio
import time

import aiohttp
import pytest
import pytest_asyncio

from fireflyspindle import headers
from fireflyspindle import testing

LIMIT_BYTES = 65_536


class Callers:
    """Callers of two gate hosts, and a target that counts its runs."""

    def __init__(self, log, target, gates, session):
        self.log = log
        self.target = target
        self.gates = gates
        self._session = session

    async def post(
        self, gate, key, body=b"offer", path="/offer", **extra_headers
    ):
        """Sends a keyed request; returns status, outcome and error."""
        url = f"http://{self.gates[gate].callers_address}{path}"
        request_headers = {headers.IDEMPOTENCY_KEY: key, **extra_headers}
        async with self._session.post(
            url, data=body, headers=request_headers
        ) as answer:
            content = await answer.json()
            outcome = answer.headers[headers.OUTCOME]
            return answer.status, outcome, content

    @property
    def runs(self):
        """Number of requests that the target ran."""
        return sum(self.target.journal.values())


def new_key(age_ms=0, name="a"):
    return f"{time.time_ns() // 1_000_000 - age_ms}-{name}"


@pytest_asyncio.fixture
async def callers():
    async with testing.StandInSystem() as system:
        target = testing.StandInTarget("target-1", mean_service_ms=5)
        address = await system.add_target(target)
        testing.publish(
            system.log, "service", "offer", {"targets": [{"address": address}]}
        )
        testing.publish(
            system.log,
            "route",
            "offer",
            {"path_prefix": "/offer", "service": "offer"},
        )
        gates = [await system.add_gate(f"gate-{n}") for n in range(2)]
        async with aiohttp.ClientSession() as session:
            yield Callers(system.log, target, gates, session)


@pytest.mark.parametrize("second_gate", [0, 1])
async def test_second_copy_gets_the_recorded_outcome(callers, second_gate):
    key = new_key()
    status, outcome, _ = await callers.post(0, key)
    assert (status, outcome) == (200, "complete")
    status, outcome, content = await callers.post(second_gate, key)
    assert (status, outcome) == (409, "complete")
    assert content["recorded_status"] == 200
    assert callers.runs == 1
    url = f"http://{callers.gates[second_gate].control_address}/metrics"
    async with callers._session.get(url) as answer:
        metrics = await answer.text()
    assert 'fireflyspindle_events_total{kind="claim_known"} 1' in metrics


async def test_concurrent_copies_run_once(callers):
    key = new_key()
    answers = await asyncio.gather(
        *(callers.post(n % 2, key) for n in range(10))
    )
    assert sorted(status for status, _, _ in answers) == [200] + [409] * 9
    assert {outcome for _, outcome, _ in answers} == {"complete"}
    assert callers.runs == 1


@pytest.mark.parametrize(
    ("extra_headers", "expected_outcome"),
    [
        ({}, "unknown"),
        ({headers.OTHER_COPIES: "yes"}, "unknown"),
        ({headers.OTHER_COPIES: "no"}, "not-run"),
    ],
)
async def test_log_outage_is_reported_and_the_key_can_be_retried(
    callers, extra_headers, expected_outcome
):
    key = new_key()
    callers.log.down = True
    extra_headers = {headers.DEADLINE_MS: "300", **extra_headers}
    status, outcome, _ = await callers.post(0, key, **extra_headers)
    assert (status, outcome, callers.runs) == (504, expected_outcome, 0)
    callers.log.down = False
    status, outcome, _ = await callers.post(1, key)
    assert (status, outcome, callers.runs) == (200, "complete", 1)


async def test_append_with_a_lost_answer_runs_once(callers):
    callers.log.lose_answers = 1
    status, outcome, _ = await callers.post(0, new_key())
    assert (status, outcome, callers.runs) == (200, "complete", 1)


@pytest.mark.parametrize(
    ("key", "body", "status", "error"),
    [
        ("a", b"", 400, "bad_key"),
        ("12-", b"", 400, "bad_key"),
        ("12-a b", b"", 400, "bad_key"),
        (f"12-{'a' * 300}", b"", 400, "bad_key"),
        (400_000, b"", 410, "key_too_old"),
        (-600_000, b"", 400, "key_in_future"),
        (0, b"x" * (LIMIT_BYTES + 1), 413, "body_too_large"),
    ],
)
async def test_bad_key_or_body_is_refused(callers, key, body, status, error):
    if isinstance(key, int):
        key = new_key(age_ms=key)
    found_status, _, content = await callers.post(0, key, body)
    assert (found_status, content["error"]) == (status, error)
    assert callers.runs == 0


async def test_chunked_body_is_buffered_up_to_the_limit(callers):
    async def chunks(count):
        for _ in range(count):
            yield b"x" * 1024

    key = new_key()
    status, _, _ = await callers.post(0, key, chunks(3))
    assert (status, callers.runs) == (200, 1)
    status, _, content = await callers.post(1, key, b"x" * 3072)
    assert (status, content["recorded_status"]) == (409, 200)
    status, _, content = await callers.post(0, new_key(), chunks(65))
    assert (status, content["error"]) == (413, "body_too_large")


@pytest.mark.parametrize(
    "change", [{"body": b"other"}, {"path": "/offer?bureau=2"}]
)
async def test_key_used_for_another_request_is_refused(callers, change):
    key = new_key()
    await callers.post(0, key)
    status, outcome, content = await callers.post(1, key, **change)
    assert (status, outcome) == (422, "not-run")
    assert content["error"] == "key_reused"
    assert callers.runs == 1


async def test_request_without_a_key_needs_no_claim(callers):
    callers.log.down = True
    url = f"http://{callers.gates[0].callers_address}/offer"
    async with callers._session.post(url, data=b"offer") as answer:
        assert answer.status == 200
    assert "claims" not in callers.log.streams or not (
        callers.log.streams["claims"].bodies
    )
