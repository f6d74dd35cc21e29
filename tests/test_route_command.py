"""The command `route` against running gate hosts."""

import asyncio
import json

import aiohttp
import pytest

from fireflyspindle import testing
from fireflyspindle.adapters import route_api
from fireflyspindle.commands import route
import platform_driver

URL = "http://dossier.example/read/1"


@pytest.fixture
def ask(monkeypatch, capsys):
    """Returns a function that runs the command beside the test's loop."""
    monkeypatch.setattr(route_api, "MIN_INTERVAL_US", 0)

    async def run(address, url=URL, **options):
        status = await asyncio.to_thread(
            route.route, "GET", url, host=address, **options
        )
        return status, capsys.readouterr()

    return run


async def test_host_on_the_platform_answers(ask):
    """Guards against a command that sends the request that it is asked of."""
    address = testing.free_address()
    behaviours = [
        platform_driver.server_behaviour(instance=f"i-{n}") for n in (0, 1, 2)
    ]
    async with platform_driver.running(
        *behaviours, control_address=address
    ) as platform:
        status, first = await ask(address)
        assert status == 0
        assert "would first probe 127.0.0.1:" in first.out
        assert platform.requests == []
        await platform.send_request(platform_driver.request())
        status, second = await ask(address, json=True)
        assert status == 0
        decision = json.loads(second.out)
        assert decision["service"] and len(decision["candidates"]) == 3
        status, unknown = await ask(address, "http://dossier.example/none")
        assert (status, unknown.out) == (1, "")
        assert len(unknown.err.splitlines()) == 1
        status, other = await ask(address, organisation="nobody")
        assert status == 1
        assert "unknown_organisation" in other.err
        status, bad = await ask(address, "dossier.example/read/1")
        assert status == 2
        assert len(bad.err.splitlines()) == 1


async def test_host_that_does_not_answer_is_one_line(ask):
    """Guards against a traceback when a host is down."""
    status, captured = await ask(testing.free_address())
    assert status == 1
    assert len(captured.err.splitlines()) == 1
    status, captured = await ask("no-such-host")
    assert status == 2
    assert captured.err.startswith("--host is 'no-such-host'")


async def test_own_interface_asks_for_a_token(system, ask):
    """Guards against previews for anyone who reaches the control address."""
    address = system.gate.control_address
    status, captured = await ask(address, "http://x.example/dossier/1")
    assert status == 1
    assert "token" in captured.err
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}/route") as response,
    ):
        assert response.status == 401
