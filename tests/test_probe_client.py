"""Load probes sent over HTTP."""

import itertools

import pytest

from fireflyspindle import testing
from fireflyspindle.adapters import probe_client
from fireflyspindle.core import effects
from fireflyspindle.core import events
import wire

LOAD_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nFireflyspindle-In-Flight: 3\r\n"
    b"Content-Length: 0\r\n\r\n"
)


def probe_effect(address: str) -> effects.ProbeTarget:
    return effects.ProbeTarget(
        probe_id=1, target=address, path="/load", not_after_us=5
    )


@pytest.mark.parametrize(
    ("sent", "report"),
    [
        (LOAD_RESPONSE, events.LoadReport(in_flight=3)),
        (
            LOAD_RESPONSE.replace(b"200 OK", b"503 No"),
            events.LoadReport(in_flight=3, healthy=False),
        ),
        (b"garbage\r\n\r\n", None),
        (b"", None),
    ],
    ids=["loaded", "unavailable", "garbage", "closed"],
)
async def test_probe_returns_the_reported_load(sent, report):
    target = testing.ScriptedTarget(wire.replies(sent, "close"))
    address = await target.start()
    client = probe_client.ProbeClient(lambda: 0)
    assert await client.probe(probe_effect(address)) == report
    await wire.until(lambda: target.closed == 1)
    await target.close()
    refused = events.FailureReason.REFUSED
    assert await client.probe(probe_effect(address)) == refused
    assert [received.first_line for received in target.requests] == [
        b"GET /load HTTP/1.1"
    ]


async def test_probe_that_connects_too_late_is_not_sent():
    target = testing.ScriptedTarget(wire.replies(LOAD_RESPONSE))
    address = await target.start()
    clock = itertools.chain([0], itertools.repeat(10))
    client = probe_client.ProbeClient(lambda: next(clock))
    assert await client.probe(probe_effect(address)) is None
    await wire.until(lambda: target.closed == 1)
    await target.close()
    assert target.requests == []
