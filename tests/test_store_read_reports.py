"""What logs and metrics tell of failed reads of the platform's store."""

import asyncio
import types

from aiohttp import web
import pytest_asyncio

from fireflyspindle import testing
from fireflyspindle.platform import store_client
from fireflyspindle.platform import timed_reads
import platform_driver
import test_platform_readers

TOPIC = "keyed.op"


@pytest_asyncio.fixture
async def stalling_store():
    """Reads of a store that sends part of a response and then stops."""

    async def respond(request):
        response = web.StreamResponse(headers={"Content-Length": "1000"})
        await response.prepare(request)
        await response.write(b"x" * 100)
        await asyncio.Event().wait()

    app = web.Application()
    app.add_routes([web.get("/log-read", respond)])
    server = testing.Server(app)
    client = store_client.StoreClient(await server.start())
    shell = types.SimpleNamespace(spawn=asyncio.create_task)
    yield timed_reads.TimedReads(shell, client)
    await client.close()
    await server.close()


async def test_failed_read_tells_what_it_has_received(
    stalling_store, monkeypatch
):
    monkeypatch.setattr(timed_reads, "RESPONSE_TIMEOUT_S", 0.2)
    outcome = await stalling_store.read(TOPIC, 0)
    assert "100 bytes in 0.2 s" in outcome.reason


async def test_metrics_tell_which_source_is_not_read():
    async with platform_driver.running() as platform:
        platform.store.refuse_status = 503
        while not await test_platform_readers.gauge(
            platform.host, "suspended_store_reads"
        ):
            await asyncio.sleep(0.05)
        assert (
            await test_platform_readers.gauge(platform.host, "targets_age_ms")
            >= 0
        )
        assert (
            await test_platform_readers.gauge(platform.host, "crashes_age_ms")
            >= 0
        )
