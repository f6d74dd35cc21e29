"""Requests and responses pass through a gate host unchanged."""

import gzip

import pytest

from fireflyspindle import headers
import wire

GZIPPED = gzip.compress(b"dossier" * 100)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize(
    "path",
    [
        "/dossier/%7e%2F?a=%20b&&x=%41",
        "/dossier/a;b=1//c/../d?",
        "/dossier?q=1?2#",
    ],
)
async def test_target_receives_the_path_byte_for_byte(path):
    async with wire.running(wire.replies(OK)) as running:
        response = await running.ask(wire.request("GET", path))
    assert response.first_line == b"HTTP/1.1 200 OK"
    received = running.targets[0].requests[0]
    assert received.first_line == f"GET {path} HTTP/1.1".encode()


async def test_only_end_to_end_headers_reach_the_target():
    lines = [
        "X-Crew: galley",
        "Cookie: a=1; b=2",
        "x-crew: deck",
        "Connection: X-Hop, keep-alive",
        "X-Hop: 1",
        "TE: trailers",
        "Proxy-Authorization: secret",
        "Fireflyspindle-Request-Id: forged",
        "Fireflyspindle-In-Flight: 7",
        "Fireflyspindle-Tenant: bureau",
    ]
    async with wire.running(wire.replies(OK)) as running:
        await running.ask(wire.request("GET", "/dossier", *lines))
    received = running.targets[0].requests[0]
    assert received.head.split(b"\r\n")[1:6] == [
        b"Host: dossier.example",
        b"X-Crew: galley",
        b"Cookie: a=1; b=2",
        b"x-crew: deck",
        b"Fireflyspindle-Tenant: bureau",
    ]
    assert received.values(headers.REQUEST_ID)[0].startswith(b"gate-1-")
    names = {
        line.partition(b":")[0] for line in received.head.split(b"\r\n")[6:]
    }
    assert names == {
        headers.REQUEST_ID.encode(),
        headers.DEADLINE_MS.encode(),
    }


@pytest.mark.parametrize(
    ("lines", "sent", "expected_framing", "expected_body"),
    [
        (["Content-Length: 0"], b"", b"Content-Length: 0", b""),
        (["Content-Length: 3"], b"abc", b"Content-Length: 3", b"abc"),
        (
            ["Content-Encoding: gzip", f"Content-Length: {len(GZIPPED)}"],
            GZIPPED,
            b"Content-Length: %d" % len(GZIPPED),
            GZIPPED,
        ),
        (
            ["Content-Length: 3000000"],
            b"x" * 3_000_000,
            b"Content-Length: 3000000",
            b"x" * 3_000_000,
        ),
        (
            ["Transfer-Encoding: chunked"],
            b"%x\r\n" % 2_000_000 + b"y" * 2_000_000 + b"\r\n0\r\n\r\n",
            b"Transfer-Encoding: chunked",
            b"y" * 2_000_000,
        ),
    ],
    ids=["empty", "small", "packed", "large", "chunked"],
)
async def test_body_reaches_the_target(
    lines, sent, expected_framing, expected_body
):
    async with wire.running(wire.replies(OK)) as running:
        request = wire.request("PUT", "/dossier", *lines) + sent
        response = await running.ask(request)
    assert response.body == b"ok"
    received = running.targets[0].requests[0]
    assert expected_framing in received.head.split(b"\r\n")
    assert received.whole
    assert received.body == expected_body


@pytest.mark.parametrize(
    ("method", "sent", "body", "framing"),
    [
        ("HEAD", b"200 OK\r\nContent-Length: 9\r\n\r\n", b"", b"9"),
        ("GET", b"204 No Content\r\n\r\n", b"", None),
        ("GET", b"304 Not Modified\r\nContent-Length: 9\r\n\r\n", b"", b"9"),
        ("GET", b"200 OK\r\nContent-Length: 0\r\n\r\n", b"", b"0"),
        (
            "GET",
            b"200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n"
            % len(GZIPPED)
            + GZIPPED,
            GZIPPED,
            b"%d" % len(GZIPPED),
        ),
        (
            "GET",
            b"200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
            b"abcde",
            b"5",
        ),
        (
            "GET",
            b"302 Found\r\nLocation: /dossier/2\r\nContent-Length: 1\r\n\r\n-",
            b"-",
            b"1",
        ),
        (
            "GET",
            b"103 Early Hints\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n-",
            b"-",
            b"1",
        ),
        (
            "GET",
            b"200 OK\r\nContent-Length: 4000000\r\n\r\n" + b"z" * 4_000_000,
            b"z" * 4_000_000,
            b"4000000",
        ),
    ],
    ids=[
        "head",
        "204",
        "304",
        "empty",
        "packed",
        "chunked",
        "redirect",
        "hints first",
        "large",
    ],
)
async def test_response_reaches_the_caller(method, sent, body, framing):
    async with wire.running(wire.replies(b"HTTP/1.1 " + sent)) as running:
        caller = await running.caller()
        expects_body = framing is not None and bool(body)
        for _ in range(2):
            response = await caller.ask(wire.request(method), expects_body)
            assert response.body == body
            assert response.values("Content-Length") == (
                [framing] if framing else []
            )
            assert response.values(headers.OUTCOME) == [b"complete"]
        caller.close()
    assert running.targets[0].connections == 1


async def test_response_keeps_repeated_headers_and_drops_reserved_ones():
    sent = (
        b"HTTP/1.1 200 Fine\r\nSet-Cookie: a=1\r\nset-cookie: b=2\r\n"
        b"Connection: X-Hop\r\nX-Hop: 1\r\nFireflyspindle-In-Flight: 3\r\n"
        b"Fireflyspindle-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
    )
    async with wire.running(wire.replies(sent)) as running:
        response = await running.ask(wire.request())
    lines = response.head.split(b"\r\n")
    assert lines[:3] == [
        b"HTTP/1.1 200 Fine",
        b"Set-Cookie: a=1",
        b"set-cookie: b=2",
    ]
    assert response.values(headers.OUTCOME) == [b"complete"]
    assert len(lines) == 6


async def test_cookies_of_one_caller_are_not_sent_for_another():
    sent = b"HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nContent-Length: 0\r\n\r\n"
    async with wire.running(wire.replies(sent)) as running:
        await running.ask(wire.request())
        await running.ask(wire.request())
    assert running.targets[0].requests[1].values("Cookie") == []


async def test_chunks_reach_the_caller_before_the_response_ends():
    async def respond(_request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"3\r\nabc\r\n")
        await wire.until(lambda: first_received)
        writer.write(b"2\r\nde\r\n0\r\n\r\n")

    first_received = []
    async with wire.running(respond) as running:
        caller = await running.caller()
        caller.writer.write(wire.request())
        await caller.reader.readuntil(b"3\r\nabc\r\n")
        first_received.append(True)
        rest = await caller.reader.readuntil(b"0\r\n\r\n")
        caller.close()
    assert rest == b"2\r\nde\r\n0\r\n\r\n"


async def test_pipelined_requests_are_answered_in_order():
    async def respond(request, writer):
        path = request.first_line.split()[1]
        size = b"Content-Length: %d\r\n\r\n" % len(path)
        writer.write(b"HTTP/1.1 200 OK\r\n" + size + path)

    paths = [f"/dossier/{index}" for index in range(20)]
    async with wire.running(respond) as running:
        caller = await running.caller()
        caller.writer.write(b"".join(wire.request("GET", p) for p in paths))
        received = [(await caller.ask(b"")).body.decode() for _ in paths]
        caller.close()
    assert received == paths


async def test_http_1_0_response_is_delimited_by_the_connection_close():
    async def respond(_request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await writer.drain()
        writer.write(b"3\r\nabc\r\n0\r\n\r\n")

    async with wire.running(respond) as running:
        caller = await running.caller()
        caller.writer.write(b"GET /dossier HTTP/1.0\r\n\r\n")
        response = await caller.reader.read()
    assert response.endswith(b"abc")
    assert b"Transfer-Encoding" not in response
    assert running.targets[0].requests[0].values("Host")
