"""Load for the overhead bench: raw connections, so that it costs little."""

import asyncio
from collections.abc import Callable
import json
import time
from typing import cast

REQUEST = (
    b"GET /dossier/1?page=2 HTTP/1.1\r\n"
    b"Host: dossier.example\r\n"
    b"User-Agent: bench\r\n"
    b"Accept: application/json\r\n"
    b"Fireflyspindle-Tenant: bureau\r\n"
    b"Fireflyspindle-Class: read\r\n"
    b"\r\n"
)
DRAIN_LIMIT_S = 10.0
OPEN_LOOP_CONNECTIONS = 200
START_LIMIT_S = 20.0

_Done = Callable[[bool], None]


class _Connection(asyncio.Protocol):
    """One kept connection with at most one request on it."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._done: _Done | None = None
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._finish(False)

    def send(self, done: _Done) -> None:
        if self.transport is None:
            done(False)
            return
        self._done = done
        self._received = b""
        self.transport.write(REQUEST)

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        if not separator:
            return
        _, _, rest = head.lower().partition(b"content-length:")
        if len(body) >= int(rest.split(b"\r\n", 1)[0]):
            self._finish(head.startswith(b"HTTP/1.1 200"))

    def _finish(self, good: bool) -> None:
        done = self._done
        self._done = None
        if done is not None:
            done(good)


class Client:
    """Sends calls to one address over kept connections."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._idle: list[_Connection] = []

    async def fill(self, count: int) -> None:
        """Opens connections until `count` are idle."""
        loop = asyncio.get_running_loop()
        self._idle = [c for c in self._idle if c.transport is not None]
        while len(self._idle) < count:
            _, connection = await loop.create_connection(
                _Connection, self.host, self.port
            )
            self._idle.append(connection)

    def call(self, done: _Done) -> None:
        """Sends a call; one that finds no idle connection fails."""
        if not self._idle:
            done(False)
            return
        connection = self._idle.pop()

        def ended(good: bool) -> None:
            self._idle.append(connection)
            done(good)

        connection.send(ended)

    def close(self) -> None:
        """Closes every idle connection."""
        for connection in self._idle:
            if connection.transport is not None:
                connection.transport.close()


async def wait_until_serving(client: Client) -> None:
    """Waits until a call is answered with status 200."""
    async with asyncio.timeout(START_LIMIT_S):
        while True:
            try:
                await client.fill(1)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            answered = asyncio.get_running_loop().create_future()
            client.call(answered.set_result)
            if await answered:
                return
            await asyncio.sleep(0.1)


async def open_loop(
    client: Client, rate_per_s: float, seconds: float
) -> tuple[list[float], int]:
    """Starts calls at a fixed rate whatever the answers take.

    Returns:
        The latency of each good call from its scheduled start, in
        microseconds, and the number of calls that failed.
    """
    loop = asyncio.get_running_loop()
    await client.fill(OPEN_LOOP_CONNECTIONS)
    count = int(rate_per_s * seconds)
    latencies_us: list[float] = []
    failed = 0
    left = count
    finished = loop.create_future()

    def start(due_s: float) -> None:
        client.call(lambda good: end(due_s, good))

    def end(due_s: float, good: bool) -> None:
        nonlocal failed, left
        left -= 1
        if good:
            latencies_us.append((time.monotonic() - due_s) * 1e6)
        else:
            failed += 1
        if left == 0:
            finished.set_result(None)

    first_s = time.monotonic() + 0.05
    for index in range(count):
        due_s = first_s + index / rate_per_s
        loop.call_at(due_s, start, due_s)
    async with asyncio.timeout(seconds + DRAIN_LIMIT_S):
        await finished
    return latencies_us, failed


async def closed_loop(
    client: Client, callers: int, seconds: float
) -> tuple[list[float], int]:
    """Keeps `callers` calls in flight; returns as `open_loop` does."""
    loop = asyncio.get_running_loop()
    await client.fill(callers)
    latencies_us: list[float] = []
    failed = 0
    running = callers
    end_s = time.monotonic() + seconds
    finished = loop.create_future()

    def start() -> None:
        started_s = time.monotonic()
        client.call(lambda good: end(started_s, good))

    def end(started_s: float, good: bool) -> None:
        nonlocal failed, running
        now_s = time.monotonic()
        if good:
            latencies_us.append((now_s - started_s) * 1e6)
        else:
            failed += 1
        if now_s < end_s:
            loop.call_soon(start)
            return
        running -= 1
        if running == 0:
            finished.set_result(None)

    for _ in range(callers):
        start()
    async with asyncio.timeout(seconds + DRAIN_LIMIT_S):
        await finished
    return latencies_us, failed


class CpuReader:
    """Asks the measured processes for the processor time they have used."""

    def __init__(self, ports: dict[str, int]) -> None:
        self._ports = ports

    async def read_us(self, path: str) -> float:
        """Returns the processor time; 0 for a path without a proxy."""
        port = self._ports.get(path)
        if port is None:
            return 0.0
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /cpu HTTP/1.0\r\n\r\n")
        answer = await reader.read()
        writer.close()
        body = answer.partition(b"\r\n\r\n")[2]
        return float(json.loads(body)["cpu_us"])
