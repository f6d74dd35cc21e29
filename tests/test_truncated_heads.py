"""Answers that end within their head or body, at every byte."""

import asyncio
import json

import pytest

from fireflyspindle import headers
from fireflyspindle.adapters import store_records
from fireflyspindle.adapters import target_connection
from fireflyspindle.platform import header_profile
from fireflyspindle.platform import store_client
import platform_driver

REQUEST_ID = "q1"
LINES = (
    f"{header_profile.REQUEST_ID}: {REQUEST_ID}\r\n"
    f"{header_profile.SERVER_SIGNATURE}: s.1\r\n"
)
HEAD = f"HTTP/1.1 200 OK\r\n{LINES}"
ANSWERS = {
    "length": f"{HEAD}Content-Length: 12\r\n\r\nhello, world",
    "length first": (
        f"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n{LINES}\r\nhello, world"
    ),
    "chunks": HEAD
    + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "line feeds only": f"{HEAD}Content-Length: 2\r\n\r\nok".replace("\r", ""),
    "after an interim answer": (
        f"HTTP/1.1 103 Early\r\nX-Y: 1\r\n\r\n{HEAD}Content-Length: 2\r\n\r\nok"
    ),
}
PROFILES = {
    "own interface": headers.DEFAULT_PROFILE,
    "platform": header_profile.HEADER_PROFILE,
}


class Transport:
    """A transport that drops what is written."""

    def write(self, _data):
        """Drops a request."""

    def abort(self):
        """Does nothing; the test ends the connection."""

    def is_closing(self):
        """Returns whether the transport is closing."""
        return False

    def get_extra_info(self, _name):
        """Returns no information."""


class Handler:
    """Records what becomes of a request."""

    request_id = REQUEST_ID

    def __init__(self):
        self.response = None
        self.failures = []

    def on_response(self, response):
        """Records the response."""
        self.response = response

    def on_failed(self, reason, head=None):
        """Records the failure."""
        self.failures.append(reason)


async def receive(profile, parts):
    """Receives bytes and then the end of the connection."""
    loop = asyncio.get_running_loop()
    connection = target_connection.TargetConnection(
        loop, bytearray(16), "127.0.0.1:1", profile
    )
    connection.connection_made(Transport())
    handler = Handler()
    connection.begin(handler, b"", "GET")
    for part in parts:
        connection.data_received(part)
        await asyncio.sleep(0)
    connection.eof_received()
    connection.connection_lost(None)
    await asyncio.sleep(0)
    return handler


def passed_on(handler):
    """Whether the caller would get the response as a complete one."""
    response = handler.response
    return response is not None and (
        response.payload.exception() is None and response.payload.is_eof()
    )


@pytest.mark.parametrize("split", [False, True], ids=["at once", "bytewise"])
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=list(ANSWERS))
@pytest.mark.parametrize("profile", PROFILES.values(), ids=list(PROFILES))
async def test_answer_that_ends_early_is_never_complete(profile, answer, split):
    # A cut head must not pass for one without a length and with an empty body.
    whole = answer.encode()
    for size in range(len(whole)):
        cut = whole[:size]
        parts = [cut[i : i + 1] for i in range(size)] if split else [cut]
        handler = await receive(profile, parts)
        assert not passed_on(handler), cut
    assert passed_on(await receive(profile, [whole]))


async def test_store_answer_with_a_cut_head_is_a_failure():
    # The records of a cut answer would be taken for all of the topic.
    page = json.dumps({"items": [], "has-more": False, "end-offset": 0})
    whole = (
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(page)}\r\n\r\n{page}"
    ).encode()
    size = 0

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(whole[:size])
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    outcomes = []
    for size in range(len(whole) + 1):  # noqa: B007
        client = store_client.StoreClient(f"127.0.0.1:{port}")
        outcomes.append(await client.read("keyed.op", None))
        await client.close()
    server.close()
    *cut, complete = outcomes
    assert all(isinstance(o, store_records.ReadFailed) for o in cut)
    assert isinstance(complete, store_records.Batch)


@pytest.mark.parametrize("size", [12, 60, 150, 190])
async def test_caller_gets_no_success_for_a_cut_answer(size):
    async def cut(request, writer):
        writer.write(platform_driver.answer(request, b"x" * 100)[:size])
        await writer.drain()
        writer.close()

    async with platform_driver.running(
        platform_driver.server_behaviour(cut)
    ) as platform:
        response = await platform.send_request(
            platform_driver.request(platform_driver.STRICT, method="POST")
        )
    assert response.first_line.split()[1] == b"502"
