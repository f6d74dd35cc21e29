"""Peer messages between real gate hosts on loopback."""

import asyncio

import aiohttp
import attrs
import pytest

from fireflyspindle import gate as gate_lib
from fireflyspindle import settings as settings_lib
from fireflyspindle import testing
from fireflyspindle.adapters import peers


async def wait_until(condition):
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("status", [204, 413])
async def test_malformed_message_is_counted_and_changes_nothing(system, status):
    body = b"\xff{" if status == 204 else b"x" * (peers.MAX_BODY_BYTES + 1)
    url = f"http://{system.gate.control_address}{peers.PATH}"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, data=body) as answer,
    ):
        assert answer.status == status
    refused = system.gate.state.membership.refused_messages
    assert refused == (status == 204)
    assert system.gate.state.configuration.complete


async def test_gate_host_started_in_a_log_outage_recovers_from_a_peer(
    system,
):
    system.log.down = True
    unreachable = "127.0.0.1:1"
    settings = testing.gate_settings("gate-2", unreachable, unreachable)
    known = settings_lib.PeerSettings((system.gate.control_address,))
    second = gate_lib.Gate(attrs.evolve(settings, peers=known))
    await second.start()
    try:
        await wait_until(lambda: second.state.configuration.complete)
        first = system.gate.state.configuration
        assert second.state.configuration.digest == first.digest
        await wait_until(
            lambda: "gate-2" in system.gate.state.membership.members
        )
    finally:
        second.request_stop()
        await second.wait_closed()


async def test_message_to_an_unreachable_host_is_counted_as_failed():
    client = peers.PeerClient()
    await client.send("127.0.0.1:1", "{}")
    await client.close()
    assert client.failed == 1
