"""Evacuations on gate hosts that read the store and send over sockets."""

import asyncio

import pytest

import platform_driver
import platform_fleet
import wire

LIMIT_MS = 5_000
TOPIC = "keyed.op"


def received(server):
    """Returns how many requests and probes a server has received."""
    return len(server.requests)


async def evacuate(fleet, domain, value):
    """Writes or removes a record and waits until all hosts have read it."""
    fleet.store.write(TOPIC, f"evacuate/{domain}", value)
    await wire.until(
        lambda: all(
            (domain in host.state.evacuations.by_domain) == (value is not None)
            for host in fleet.hosts
        )
    )


async def test_hosts_and_followers_obey_a_record_of_the_store():
    async with platform_fleet.running(
        hosts=4, servers=2, evacuate_ms=LIMIT_MS
    ) as fleet:
        await fleet.start_server("b")
        await evacuate(fleet, "a", {"by": "op"})
        inside, outside = fleet.servers[:2], fleet.servers[2]
        await asyncio.sleep(0.1)
        before = sum(map(received, inside))
        for number in range(40):
            host = fleet.hosts[number % 4]
            response = await fleet.send(
                host, platform_driver.request(name=f"q{number}")
            )
            assert b"200" in response.first_line
        assert sum(map(received, inside)) == before
        assert received(outside) >= 40
        await evacuate(fleet, "a", None)


# The record is read while the host connects: the request has not been sent.
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_request_that_waits_for_a_connection_goes_elsewhere(method):
    async with platform_fleet.running(
        hosts=1, servers=1, evacuate_ms=LIMIT_MS
    ) as fleet:
        (host,) = fleet.hosts
        client = host.data_path.client
        connect, blocked = client.connect, asyncio.Event()
        connecting = asyncio.Event()

        async def connect_late(target):
            connecting.set()
            await blocked.wait()
            return await connect(target)

        client.connect = connect_late
        client.take_idle = lambda target, repeatable: None
        path = platform_driver.IDEMPOTENT
        if method == "POST":
            path = platform_driver.STRICT
        sent = asyncio.create_task(
            fleet.send(host, platform_driver.request(path + "1", method=method))
        )
        await connecting.wait()
        await wire.until(
            lambda: any(call.attempts for call in host.state.calls.values())
        )
        await evacuate(fleet, "a", {})
        blocked.set()
        response = await sent
        assert b"503" in response.first_line
        assert not any(
            request.first_line.startswith((b"GET /read", b"POST"))
            for request in fleet.servers[0].requests
        )
