"""A proxy on loopback that harms the connections that go through it."""

import asyncio
import contextlib
import enum

READ_BYTES = 64 * 1024
DELAY_S = 0.05


class Harm(enum.Enum):
    """What happens to the bytes of a proxy's connections."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one_way"
    RESET = "reset"
    RESET_ANSWERS = "reset_answers"


class TcpProxy:
    """Passes connections on to an address.

    Attributes:
        harm: What happens to bytes from now on; a reset closes each
            connection at its next byte.
    """

    def __init__(self, upstream: str) -> None:
        self.harm = Harm.NONE
        self._upstream = upstream
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Opens a port; returns its address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._upstream.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            self._pass_on(reader, far_writer, answers=False),
            self._pass_on(far_reader, writer, answers=True),
        )
        self._writers -= {writer, far_writer}

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                if not await self._harm(answers=answers):
                    break
                writer.write(data)
                await writer.drain()
        writer.transport.abort()

    async def _harm(self, *, answers: bool) -> bool:
        """Harms some bytes; returns whether they are passed on."""
        match self.harm:
            case Harm.DELAY:
                await asyncio.sleep(DELAY_S)
            case Harm.RESET:
                return False
            case Harm.RESET_ANSWERS:
                # What was asked has run; the one who asked can't know.
                return not answers
            case Harm.SILENCE:
                await self._wait_for_end(Harm.SILENCE)
            case Harm.ONE_WAY if answers:
                await self._wait_for_end(Harm.ONE_WAY)
            case _:
                pass
        return True

    async def _wait_for_end(self, harm: Harm) -> None:
        while self.harm is harm:
            await asyncio.sleep(DELAY_S)

    async def close(self) -> None:
        """Closes the port and every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
