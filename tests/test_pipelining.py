"""Callers that send further requests before the first is answered."""

import asyncio

import pytest

from fireflyspindle import headers
from fireflyspindle.adapters import caller_connection
from fireflyspindle.adapters import gate_server
from fireflyspindle.adapters import head_limits
import wire

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
PIPELINED = 20


async def send_in_two_parts(running, caller, request, first_bytes):
    """Sends a request whose rest arrives after its start has been read."""
    caller.writer.write(request[:first_bytes])
    server = running.gate.data_path.server
    await wire.until(
        lambda: any(
            pending.reading_body
            for connection in server.connections
            for pending in connection.pending
        )
    )
    return await caller.ask(request[first_bytes:])


async def test_requests_behind_a_body_that_came_late_are_answered():
    # Requests stayed in the parser for ever, since it counted each body that
    # came after its head as a request that was still queued.
    upload = wire.request("PUT", body=b"x" * 100)
    paths = [f"/dossier/{number}" for number in range(PIPELINED)]
    async with wire.running(wire.replies(OK)) as running:
        caller = await running.caller()
        for _ in range(4):
            await send_in_two_parts(running, caller, upload, len(upload) - 1)
        caller.writer.write(
            b"".join(wire.request("GET", path) for path in paths)
        )
        async with asyncio.timeout(wire.WAIT_S):
            answers = [await caller.ask(b"") for _ in paths]
        caller.close()
    assert [answer.body for answer in answers] == [b"ok"] * PIPELINED
    received = [r.first_line for r in running.targets[0].requests[4:]]
    assert sorted(received) == sorted(
        f"GET {path} HTTP/1.1".encode() for path in paths
    )


async def test_requests_beyond_those_served_at_once_wait_and_are_answered():
    # The caller's further requests are read again once there is room.
    async def respond(_request, writer):
        await wire.until(lambda: released)
        writer.write(OK)

    def pending(running):
        [connection] = running.gate.data_path.server.connections
        return len(connection.pending)

    released = []
    limit = caller_connection.MAX_PENDING_REQUESTS
    upload = wire.request("PUT", body=b"x" * 200_000)
    async with wire.running(respond) as running:
        caller = await running.caller()
        reads = [wire.request("GET", f"/dossier/{n}") for n in range(12)]
        caller.writer.write(b"".join(reads) + upload + reads[0])
        await wire.until(lambda: running.targets[0].requests)
        assert pending(running) == limit
        released.append(True)
        async with asyncio.timeout(wire.WAIT_S):
            answers = [await caller.ask(b"") for _ in range(14)]
        caller.close()
    assert [answer.body for answer in answers] == [b"ok"] * 14
    assert [
        received.body
        for received in running.targets[0].requests
        if received.first_line.startswith(b"PUT")
    ] == [b"x" * 200_000]


async def test_request_before_malformed_bytes_is_answered():
    # Bytes that can't be parsed took the requests of the same read with them.
    async with wire.running(wire.replies(OK)) as running:
        caller = await running.caller()
        answer = await caller.ask(wire.request() + b"nonsense\r\n\r\n")
        refusal = await caller.ask(b"")
        caller.close()
    assert answer.body == b"ok"
    assert refusal.first_line.split()[1] == b"400"


async def test_kept_connection_is_not_taken_for_one_with_half_a_head(
    monkeypatch,
):
    # The time limit of a head begins with its first byte.
    monkeypatch.setattr(gate_server, "SWEEP_INTERVAL_S", 0.01)
    async with wire.running(wire.replies(OK)) as running:
        server = running.gate.data_path.server
        server.head_limits = head_limits.HeadLimits(timeout_s=0.05)
        caller = await running.caller()
        refusal = await caller.ask(wire.request("GET", "/nowhere"))
        await asyncio.sleep(0.2)
        answer = await caller.ask(wire.request())
        caller.close()
    assert refusal.first_line.split()[1] == b"404"
    assert answer.body == b"ok"


async def test_no_request_behind_a_refusal_that_closes_reaches_a_target():
    # It was sent to a target, and its response was dropped with the connection.
    refused = wire.request("GET", "/dossier", f"{headers.REPEATABLE}: perhaps")
    async with wire.running(wire.replies(OK)) as running:
        caller = await running.caller()
        requests = [wire.request(), refused, wire.request("DELETE")]
        answer = await caller.ask(b"".join(requests))
        refusal = await caller.ask(b"")
        rest = await caller.reader.read()
        caller.close()
        received = [r.first_line for r in running.targets[0].requests]
    assert answer.body == b"ok"
    assert refusal.first_line.split()[1] == b"400"
    assert refusal.values("Connection") == [b"close"]
    assert rest == b""
    assert received == [b"GET /dossier/1 HTTP/1.1"]


async def test_no_request_behind_an_early_response_reaches_a_target():
    # A response that begins before the upload has ended closes the connection.
    async def respond(request, writer):
        if request.first_line.startswith(b"PUT"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
            await wire.until(lambda: released)
            writer.write(b"k")
        else:
            writer.write(OK)

    released = []
    size = 1_000_000
    upload = wire.request("PUT", "/dossier", f"Content-Length: {size}")
    async with wire.running(respond) as running:
        running.targets[0].reads_bodies = False
        caller = await running.caller()
        caller.writer.write(upload)
        await caller.reader.readuntil(b"\r\n\r\n")
        caller.writer.write(b"x" * size + wire.request("DELETE"))
        await wire.until(lambda: running.gate.data_path.exchanges)
        await asyncio.sleep(0.2)
        released.append(True)
        rest = await caller.reader.read()
        caller.close()
        received = [r.first_line for r in running.targets[0].requests]
    assert rest == b"ok"
    assert received == [b"PUT /dossier HTTP/1.1"]


async def test_responses_behind_one_that_breaks_off_are_delivered():
    # A response that broke off while it waited took those behind it along.
    async def respond(request, writer):
        path = request.first_line.split()[1]
        if path.endswith(b"slow"):
            await wire.until(lambda: running.outcomes().get("unknown"))
        if path.endswith(b"broken"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.close()
        else:
            writer.write(OK)

    names = ["slow", "broken", "last"]
    async with wire.running(respond) as running:
        caller = await running.caller()
        requests = [wire.request("GET", f"/dossier/{name}") for name in names]
        caller.writer.write(b"".join(requests))
        async with asyncio.timeout(wire.WAIT_S):
            answers = [await caller.ask(b"") for _ in names]
            answers.append(await caller.ask(wire.request()))
        caller.close()
    statuses = [answer.first_line.split()[1] for answer in answers]
    assert statuses == [b"200", b"502", b"200", b"200"]
    assert [answers[0].body, answers[2].body] == [b"ok", b"ok"]
    assert answers[1].values(headers.OUTCOME) == [b"unknown"]


async def test_cut_response_to_http_1_0_does_not_look_complete():
    # The end of the connection is the end of such a response.
    async def respond(_request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"3\r\nabc\r\n")
        await writer.drain()
        await wire.until(lambda: received)
        writer.close()

    received = []
    async with wire.running(respond) as running:
        caller = await running.caller()
        caller.writer.write(b"GET /dossier HTTP/1.0\r\n\r\n")
        await caller.reader.readuntil(b"abc")
        received.append(True)
        with pytest.raises(ConnectionResetError):
            await caller.reader.read()
        caller.close()
