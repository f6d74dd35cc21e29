"""Raw HTTP endpoints, for tests of protocol errors and broken peers."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

MAX_HEAD_BYTES = 256 * 1024


@attrs.define(eq=False)
class RawMessage:
    """A request or response as received.

    Attributes:
        head: Bytes up to the end of the headers, without the empty line.
        body: Bytes of the body, without the chunk framing.
        whole: Whether the body is complete.
    """

    head: bytes
    body: bytes = b""
    whole: bool = True

    @property
    def first_line(self) -> bytes:
        """The request line or status line."""
        return self.head.partition(b"\r\n")[0]

    def values(self, name: str) -> list[bytes]:
        """Returns the values of a header, in order."""
        lines = self.head.split(b"\r\n")[1:]
        pairs = [line.partition(b":") for line in lines]
        wanted = name.lower().encode()
        return [v.strip() for n, _, v in pairs if n.lower() == wanted]


async def read_message(
    reader: asyncio.StreamReader, body_expected: bool = True
) -> RawMessage | None:
    """Reads one message; None if the connection ends before a complete head.

    Args:
        reader: Stream to read from.
        body_expected: Whether to read the body that the head declares.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    message = RawMessage(head[:-4])
    if not body_expected:
        return message
    try:
        if message.values("Transfer-Encoding"):
            await _read_chunks(reader, message)
        elif lengths := message.values("Content-Length"):
            message.body = await reader.readexactly(int(lengths[0]))
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
        message.whole = False
    except (ConnectionError, ValueError):
        message.whole = False
    return message


async def _read_chunks(
    reader: asyncio.StreamReader, message: RawMessage
) -> None:
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        message.body += data[:-2]


@attrs.define(eq=False)
class RawCaller:
    """A caller's connection on which a test writes arbitrary bytes."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def ask(
        self, request: bytes, body_expected: bool = True
    ) -> RawMessage | None:
        """Writes a request and reads its response."""
        self.writer.write(request)
        return await read_message(self.reader, body_expected)

    def close(self) -> None:
        """Closes the connection at once."""
        self.writer.transport.abort()


async def connect(address: str) -> RawCaller:
    """Opens a connection to "ip:port".

    Raises:
        OSError: The connection was not established.
    """
    host, _, port = address.rpartition(":")
    return RawCaller(*await asyncio.open_connection(host, int(port)))


Behaviour = Callable[[RawMessage, asyncio.StreamWriter], Awaitable[None]]


class ScriptedTarget:
    """A target whose response to each request is scripted.

    Attributes:
        behaviour: Called with each request and the writer for its response;
            it may close or abort the connection.
        reads_bodies: Whether to read a request's body before its response.
        requests: Every received request, in order.
        connections: Number of accepted connections.
        closed: Number of connections that have ended.
    """

    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.reads_bodies = True
        self.requests: list[RawMessage] = []
        self.connections = 0
        self.closed = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listens on a loopback port and returns its address."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, limit=MAX_HEAD_BYTES
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        connection = self._serve(reader, writer)
        task = asyncio.get_running_loop().create_task(connection)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_message(reader, self.reads_bodies)
                if request is None:
                    return
                self.requests.append(request)
                await self.behaviour(request, writer)
        except ConnectionError:
            pass
        finally:
            self.closed += 1
            writer.close()

    async def close(self) -> None:
        """Closes the port and every connection."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
