"""Raw ends of HTTP connections, for tests of what misbehaves on the wire."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

MAX_HEAD_BYTES = 64 * 1024


@attrs.define(eq=False)
class RawMessage:
    """A request or answer, as its bytes came.

    Attributes:
        head: Bytes up to the end of the headers, without the empty line.
        body: Bytes of the body, without the framing of chunks.
        whole: Whether the body came to its end.
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
    """Reads one message; None when the connection ends before a whole head.

    Args:
        reader: Where to read from.
        body_expected: Whether a body follows, if the head states one.
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
    """A caller's connection on which a test writes bytes of its own."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def ask(
        self, request: bytes, body_expected: bool = True
    ) -> RawMessage | None:
        """Writes a request and reads the answer to it."""
        self.writer.write(request)
        return await read_message(self.reader, body_expected)

    def close(self) -> None:
        """Closes the connection at once."""
        self.writer.transport.abort()


async def connect(address: str) -> RawCaller:
    """Opens a connection to "ip:port".

    Raises:
        OSError: Nobody accepts it.
    """
    host, _, port = address.rpartition(":")
    return RawCaller(*await asyncio.open_connection(host, int(port)))


Behaviour = Callable[[RawMessage, asyncio.StreamWriter], Awaitable[None]]


class ScriptedTarget:
    """A target that answers each request as a script says.

    Attributes:
        behaviour: Called with each request, once it is read, and where the
            answer is to be written; it may close or abort the connection.
        reads_bodies: Whether a request's body is read before its answer.
        requests: Every request that came, in order.
        connections: Number of connections accepted.
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
        """Opens a port on loopback; returns its address."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, limit=MAX_HEAD_BYTES
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        work = self._serve(reader, writer)
        task = asyncio.get_running_loop().create_task(work)
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
