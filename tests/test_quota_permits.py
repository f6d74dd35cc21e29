"""Requests for permits between gate hosts over HTTP."""

import asyncio

import aiohttp
from aiohttp import web
import pytest
import pytest_asyncio

from fireflyspindle import testing
from fireflyspindle.adapters import quota_permits
from fireflyspindle.core.quotas import messages


class Shell:
    """Records events; answers requests for permits as a reader."""

    def __init__(self):
        self.events = asyncio.Queue()
        self.grant = messages.Grant({"acme": 2}, {"acme": 300}, {"b": 40})
        self.adapter = quota_permits.QuotaPermits(self)

    def now_us(self):
        """Returns a fixed time."""
        return 5

    def spawn(self, work):
        """Starts a task."""
        return asyncio.ensure_future(work)

    def submit(self, event):
        """Records an event; a reader answers it."""
        self.events.put_nowait(event)
        if isinstance(event, messages.QuotaPermitsRequested) and (
            self.grant != "silent"
        ):
            self.adapter.execute_effect(
                messages.AnswerQuotaRequest(event.request_id, self.grant)
            )


@pytest_asyncio.fixture
async def reader():
    """Runs a reader on an HTTP server."""
    shell = Shell()
    app = web.Application()
    app.add_routes(shell.adapter.routes())
    server = testing.Server(app)
    shell.address = await server.start()
    yield shell
    await server.close()


async def ask(address):
    """Sends a request for permits; returns the event that it leads to."""
    shell = Shell()
    shell.adapter.execute_effect(
        messages.RequestQuotaPermits(address, 7, 1, {"acme": 3}, {"b": 1})
    )
    event = await asyncio.wait_for(shell.events.get(), 5)
    await shell.adapter.close()
    return event


async def test_request_and_reply_arrive_whole(reader):
    received = await ask(reader.address)
    assert received == messages.QuotaPermitsReceived(
        5, reader.address, 7, reader.grant
    )
    requested = reader.events.get_nowait()
    assert (requested.wanted, requested.ahead) == ({"acme": 3}, {"b": 1})


async def test_silent_reader_fails_in_time(reader):
    reader.grant = "silent"
    started_s = asyncio.get_running_loop().time()
    failed = await ask(reader.address)
    assert isinstance(failed, messages.QuotaRequestFailed)
    assert asyncio.get_running_loop().time() - started_s < 1


async def test_host_that_grants_nothing_fails(reader):
    reader.grant = None
    failed = await ask(reader.address)
    assert (failed.reason, failed.unsupported) == ("status 503", False)


async def test_reader_of_an_older_build_is_told_apart():
    server = testing.Server(web.Application())
    failed = await ask(await server.start())
    await server.close()
    assert failed.unsupported


@pytest.mark.parametrize(
    "body",
    [
        b"[]",
        b"{",
        b'{"wanted": {"acme": -1}}',
        b'{"wanted": {"acme": true}}',
        b'{"wanted": {"acme": 1e30}}',
    ],
)
async def test_malformed_request_is_rejected(reader, body):
    url = f"http://{reader.address}{quota_permits.PATH}"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, data=body) as response,
    ):
        assert response.status == 400
    assert reader.events.empty()
