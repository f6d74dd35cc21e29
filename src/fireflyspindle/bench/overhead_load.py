"""Load generator of the overhead benchmark.

It uses raw connections to keep its own CPU cost low.
"""

import asyncio
from collections.abc import Callable
import json
import pathlib
import time
from typing import cast

import attrs

REQUEST = (
    b"GET /dossier/1?page=2 HTTP/1.1\r\n"
    b"Host: dossier.example\r\n"
    b"User-Agent: bench\r\n"
    b"Accept: application/json\r\n"
    b"Fireflyspindle-Tenant: bureau\r\n"
    b"Fireflyspindle-Class: read\r\n"
    b"\r\n"
)
DRAIN_TIMEOUT_S = 10.0
OPEN_LOOP_CONNECTIONS = 200
START_TIMEOUT_S = 20.0

_DoneCallback = Callable[[bool], None]


@attrs.define
class Measured:
    """Measurements of one path.

    Attributes:
        latencies_us: Latency of each successful call from its scheduled start.
        failed: Number of calls without a complete response of status 200.
    """

    latencies_us: list[float] = attrs.field(factory=list)
    failed: int = 0

    def add(self, latency_s: float, succeeded: bool) -> None:
        """Records the end of a call."""
        if succeeded:
            self.latencies_us.append(latency_s * 1e6)
        else:
            self.failed += 1


class _Connection(asyncio.Protocol):
    """A persistent connection with at most one request in flight."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._done: _DoneCallback | None = None
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._finish(False)

    def send(self, done: _DoneCallback) -> None:
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

    def _finish(self, succeeded: bool) -> None:
        done = self._done
        self._done = None
        if done is not None:
            done(succeeded)


class Client:
    """Sends calls to one address over persistent connections."""

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

    def call(self, done: _DoneCallback) -> None:
        """Sends a call; it fails if no connection is idle."""
        if not self._idle:
            done(False)
            return
        connection = self._idle.pop()

        def finish(succeeded: bool) -> None:
            self._idle.append(connection)
            done(succeeded)

        connection.send(finish)

    def close(self) -> None:
        """Closes every idle connection."""
        for connection in self._idle:
            if connection.transport is not None:
                connection.transport.close()


async def wait_until_serving(client: Client) -> None:
    """Waits until a call is answered with status 200."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                await client.fill(1)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            status_ok = asyncio.get_running_loop().create_future()
            client.call(status_ok.set_result)
            if await status_ok:
                return
            await asyncio.sleep(0.1)


async def open_loop(
    clients: list[Client], rate_per_s: float, seconds: float
) -> list[Measured]:
    """Starts calls at a fixed rate on each client, without awaiting responses.

    The calls of the clients alternate, so that other load on the machine
    affects all of them equally.

    Returns:
        The measurements of each client.
    """
    loop = asyncio.get_running_loop()
    for client in clients:
        await client.fill(OPEN_LOOP_CONNECTIONS)
    count = int(rate_per_s * seconds) * len(clients)
    measured = [Measured() for _ in clients]
    remaining = count
    finished = loop.create_future()

    def start(index: int, due_s: float) -> None:
        clients[index].call(lambda succeeded: end(index, due_s, succeeded))

    def end(index: int, due_s: float, succeeded: bool) -> None:
        nonlocal remaining
        remaining -= 1
        measured[index].add(time.monotonic() - due_s, succeeded)
        if remaining == 0:
            finished.set_result(None)

    first_s = time.monotonic() + 0.05
    for call_index in range(count):
        due_s = first_s + call_index / rate_per_s / len(clients)
        loop.call_at(due_s, start, call_index % len(clients), due_s)
    async with asyncio.timeout(seconds + DRAIN_TIMEOUT_S):
        await finished
    return measured


async def closed_loop(client: Client, callers: int, seconds: float) -> Measured:
    """Keeps `callers` calls in flight; returns the measurements."""
    loop = asyncio.get_running_loop()
    await client.fill(callers)
    measured = Measured()
    running = callers
    end_s = time.monotonic() + seconds
    finished = loop.create_future()

    def start() -> None:
        started_s = time.monotonic()
        client.call(lambda succeeded: end(started_s, succeeded))

    def end(started_s: float, succeeded: bool) -> None:
        nonlocal running
        now_s = time.monotonic()
        measured.add(now_s - started_s, succeeded)
        if now_s < end_s:
            loop.call_soon(start)
            return
        running -= 1
        if running == 0:
            finished.set_result(None)

    for _ in range(callers):
        start()
    async with asyncio.timeout(seconds + DRAIN_TIMEOUT_S):
        await finished
    return measured


class CpuReader:
    """Reads the CPU time of the measured processes."""

    def __init__(self, ports: dict[str, int]) -> None:
        self._ports = ports

    async def read_us(self, path: str) -> float:
        """Returns the CPU time in microseconds, or 0 for the direct path."""
        port = self._ports.get(path)
        if port is None:
            return 0.0
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /cpu HTTP/1.0\r\n\r\n")
        response = await reader.read()
        writer.close()
        body = response.partition(b"\r\n\r\n")[2]
        return float(json.loads(body)["cpu_us"])


class StolenTime:
    """CPU time stolen by the hypervisor, on Linux."""

    def __init__(self) -> None:
        self._before = self._read()

    def share(self) -> float | None:
        """Returns stolen time as a fraction of busy plus stolen time."""
        after = self._read()
        if self._before is None or after is None:
            return None
        stolen = after[0] - self._before[0]
        busy = after[1] - self._before[1]
        return round(stolen / max(1, stolen + busy), 3)

    def _read(self) -> tuple[int, int] | None:
        try:
            line = pathlib.Path("/proc/stat").read_text().split("\n", 1)[0]
        except OSError:
            return None
        user, nice, system, _idle, _iowait, irq, softirq, stolen = map(
            int, line.split()[1:9]
        )
        return stolen, user + nice + system + irq + softirq
