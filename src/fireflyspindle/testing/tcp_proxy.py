"""A loopback TCP proxy that injects faults into its connections."""

import asyncio
import contextlib
import enum

READ_BYTES = 64 * 1024
# Delay of data where a test sets no other.
DEFAULT_DELAY_S = 0.05
POLL_INTERVAL_S = 0.05

_Queue = asyncio.Queue[tuple[float, bytes]]


class Fault(enum.Enum):
    """Faults that a proxy can inject.

    Attributes:
        NONE: Data is forwarded unchanged.
        DELAY: Each piece of data is delayed by `delay_s` of the proxy.
        SILENCE: Data in both directions is held back until the fault changes.
        ONE_WAY: Responses are held back until the fault changes.
        RESET: Connections are aborted at the next data in either direction.
        RESET_ANSWERS: Connections are aborted at the next response data.
        REFUSE: Requests are answered with `refuse_status` of the proxy and
            aren't forwarded. A request must fit into one piece of data.
    """

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one_way"
    RESET = "reset"
    RESET_ANSWERS = "reset_answers"
    REFUSE = "refuse"


class TcpProxy:
    """Forwards connections to an upstream address.

    Attributes:
        fault: Fault applied to all data from now on; a reset aborts each
            connection when it next receives data.
        delay_s: Delay of each piece of data during `Fault.DELAY`.
        refuse_status: Status of the answers during `Fault.REFUSE`.
        queue_s: Time that each piece of data waits in the queue of its
            direction, beside the others, as on a link that is full.
    """

    def __init__(self, upstream: str) -> None:
        self.fault = Fault.NONE
        self.delay_s = DEFAULT_DELAY_S
        self.refuse_status = 503
        self.queue_s = 0.0
        self._upstream = upstream
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: str = "127.0.0.1:0") -> str:
        """Listens on a loopback address, and returns it with its port."""
        host, _, port_text = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port_text)
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self._address = f"{host}:{port}"
        return self._address

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._upstream.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        await asyncio.gather(
            self._forward(reader, upstream_writer, refusals=writer),
            self._forward(upstream_reader, writer),
        )
        self._writers -= {writer, upstream_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        refusals: asyncio.StreamWriter | None = None,
    ) -> None:
        """Forwards data in one direction.

        Args:
            reader: Where the data comes from.
            writer: Where it goes.
            refusals: Where requests are refused; None for responses.
        """
        is_response = refusals is None
        loop = asyncio.get_running_loop()
        queue: _Queue = asyncio.Queue()
        sender: asyncio.Task[None] | None = None
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                if not await self._apply_fault(is_response=is_response):
                    break
                if refusals is not None and self.fault is Fault.REFUSE:
                    refusals.write(self._refusal())
                    await refusals.drain()
                    continue
                if sender is None and not self.queue_s:
                    writer.write(data)
                    await writer.drain()
                    continue
                if sender is None:
                    sender = loop.create_task(_send(queue, writer))
                if sender.done():
                    break
                queue.put_nowait((loop.time() + self.queue_s, data))
        if sender is not None:
            queue.put_nowait((loop.time() + self.queue_s, b""))
            await sender
        writer.transport.abort()

    async def _apply_fault(self, *, is_response: bool) -> bool:
        """Applies the fault to received data; returns whether to forward it."""
        match self.fault:
            case Fault.DELAY:
                await asyncio.sleep(self.delay_s)
            case Fault.RESET:
                return False
            case Fault.RESET_ANSWERS:
                # The request has run, but its sender can't know.
                return not is_response
            case Fault.SILENCE:
                await self._wait_until_cleared(Fault.SILENCE)
            case Fault.ONE_WAY if is_response:
                await self._wait_until_cleared(Fault.ONE_WAY)
            case _:
                pass
        return True

    def _refusal(self) -> bytes:
        head = f"HTTP/1.1 {self.refuse_status} Refused\r\nContent-Length: 0\r\n"
        return f"{head}\r\n".encode()

    async def _wait_until_cleared(self, fault: Fault) -> None:
        while self.fault is fault:
            await asyncio.sleep(POLL_INTERVAL_S)

    def refuse_connections(self) -> None:
        """Closes the port, but no connection."""
        if self._server is not None:
            self._server.close()

    async def accept_connections(self) -> None:
        """Listens again on the address of the start."""
        await self.start(self._address)

    async def close(self) -> None:
        """Closes the port and every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def _send(queue: _Queue, writer: asyncio.StreamWriter) -> None:
    """Sends each piece of data at its time, until an empty one."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(ConnectionError):
        while True:
            at_s, data = await queue.get()
            await asyncio.sleep(max(0.0, at_s - loop.time()))
            if not data:
                return
            writer.write(data)
            await writer.drain()
