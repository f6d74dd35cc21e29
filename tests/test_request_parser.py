"""Requests on one connection are told apart wherever their bytes are cut."""

import asyncio
import random
import time

from aiohttp import http
from aiohttp import web
import pytest

from fireflyspindle.adapters import request_parser
from fireflyspindle.adapters import shared_buffer

# Bytes of bodies that look like the ends of heads and of bodies in chunks.
FRAGMENTS = [
    b"\r\n",
    b"\r\n\r\n",
    b"0\r\n\r\n",
    b"X: y\r\n\r\n",
    b"GET / HTTP/1.1\r\n",
    b"0",
    b":",
    b"\r",
    b"\n",
    b"bytes" * 20,
]
TRAILERS = [b"Host: z\r\n", b"T: 0\r\n", b"X-Q:\r\n", b"Connection: close\r\n"]


class Transport:
    """A transport without bytes of its own."""

    def pause_reading(self):
        """Ignores that reading is paused."""

    def resume_reading(self):
        """Ignores that reading is resumed."""


class Connection(shared_buffer.ReceivingProtocol):
    """Parses what it receives, as the connection of a caller does."""

    def __init__(self):
        loop = asyncio.get_running_loop()
        super().__init__(loop, bytearray())
        self.requests = request_parser.RequestParser(self, loop, self.use)
        self.transport = Transport()
        self.bodies = []
        self.messages = []

    def use(self, parser):
        """Sets the parser that is paused with the connection."""
        self._parser = parser

    def data_received(self, data):
        """Parses the requests in received bytes."""
        stopped = True
        while stopped:
            request = self.requests.feed(data)
            data = b""
            stopped = self.requests.stopped
            if request is not None:
                message, payload = request
                self.messages.append((message.path, len(message.headers)))
                self.bodies.append(asyncio.ensure_future(read_all(payload)))


async def read_all(payload):
    body = b""
    while data := await payload.readany():
        body += data
    return body


def chunks(chance, body):
    """Returns a body in chunks of random sizes, with a trailer or none."""
    encoded = b""
    while body:
        size = chance.randint(1, min(len(body), chance.choice([3, 100_000])))
        extension = chance.choice([b"", b";e=f", b';q="a;b: c"'])
        zeros = b"0" * chance.choice([0, 0, 1, 20])
        size_line = b"%b%x%b" % (zeros, size, extension)
        encoded += b"%b\r\n%b\r\n" % (size_line, body[:size])
        body = body[size:]
    last = chance.choice([b"0", b"000", b"0;x=y"])
    return encoded + last + b"\r\n" + chance.choice([b"", *TRAILERS]) + b"\r\n"


def request(chance, number):
    """Returns the path, header count, body and bytes of a random request."""
    count = chance.randint(0, chance.choice([3, 20, 4_000]))
    body = b"".join(chance.choices(FRAGMENTS, k=count))
    lines = ["Host: x"]
    if chance.random() < 0.3:
        lines += ["Connection: Upgrade", "Upgrade: h2c"]
    match chance.randrange(3):
        case 0:
            body = encoded = b""
        case 1:
            lines.append(f"Content-Length: {len(body)}")
            encoded = body
        case _:
            lines.append("Transfer-Encoding: chunked")
            encoded = chunks(chance, body)
    path = f"/{number}"
    head = "\r\n".join([f"PUT {path} HTTP/1.1", *lines, "", ""]).encode()
    empty_lines = b"\r\n" * chance.choice([0, 0, 1, 2])
    return path, len(lines), body, empty_lines + head + encoded


@pytest.mark.parametrize("seed", range(100))
async def test_random_requests_in_random_pieces_are_told_apart(seed):
    chance = random.Random(seed)
    count = chance.randint(1, 12)
    expected = [request(chance, number) for number in range(count)]
    stream = b"".join(encoded for *_, encoded in expected)
    connection = Connection()
    most_bytes = chance.choice([7, 100, 5_000, 65_536])
    async with asyncio.timeout(20):
        while stream:
            while connection.reads_paused:
                await asyncio.sleep(0)
            size = chance.randint(1, most_bytes)
            connection.data_received(stream[:size])
            stream = stream[size:]
            if chance.random() < 0.1:
                await asyncio.sleep(0)
        await asyncio.sleep(0.001)
        while connection.reads_paused:
            await asyncio.sleep(0)
        bodies = await asyncio.gather(*connection.bodies)
    assert connection.messages == [(path, n) for path, n, _, _ in expected]
    assert bodies == [body for _, _, body, _ in expected]


# Each end of a body that is looked for in its data costs time, in which no
# other call is served.
@pytest.mark.parametrize(
    "unit", [b"0\r\n\r\n", b"a: b\r\n\r\n", b"\r\n\r\n", b"ab\r\n\r\n"]
)
async def test_data_of_chunks_costs_no_time_whatever_it_holds(unit):
    connection = Connection()
    data = unit * (1_000_000 // len(unit))
    stream = b"PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    stream += b"%x\r\n%b\r\n0\r\n\r\n" % (len(data), data)
    busy_s = 0.0
    while stream:
        while connection.reads_paused:
            await asyncio.sleep(0)
        started_s = time.process_time()
        connection.data_received(stream[:65_536])
        busy_s += time.process_time() - started_s
        stream = stream[65_536:]
    (body,) = await asyncio.gather(*connection.bodies)
    assert body == data
    assert busy_s < 0.1


async def test_too_many_digits_of_a_chunk_size_end_the_request():
    connection = Connection()
    head = b"PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    connection.data_received(head)
    with pytest.raises(http.HttpProcessingError, match="too many digits"):
        for digit in b"0" * 64 + b"1\r\n":
            connection.data_received(bytes([digit]))
    (body,) = connection.bodies
    with pytest.raises(web.RequestPayloadError):
        await body
