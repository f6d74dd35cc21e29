"""What a read has received so far: a limit on silence needs to know it."""

import asyncio

import aiohttp
import attrs


def _loop_time_s() -> float:
    return asyncio.get_running_loop().time()


@attrs.define(eq=False)
class Progress:
    """Progress of a read.

    Attributes:
        started_s: Loop time at which it started.
        received_s: Loop time at which it last received data, or of its start.
        received_bytes: Size of the parts of bodies that it has received.
        opened_connection: Whether it was made over a new connection.
    """

    started_s: float = attrs.field(factory=_loop_time_s)
    received_s: float = attrs.field(
        default=attrs.Factory(lambda self: self.started_s, takes_self=True)
    )
    received_bytes: int = 0
    opened_connection: bool = False

    async def read_body(
        self, response: aiohttp.ClientResponse, max_bytes: int
    ) -> bytes:
        """Returns the body of a response and records its progress.

        Raises:
            aiohttp.ClientPayloadError: The body is longer than `max_bytes`.
        """
        self.received_s = _loop_time_s()
        body = bytearray()
        async for part in response.content.iter_any():
            body += part
            self.received_s = _loop_time_s()
            self.received_bytes += len(part)
            if len(body) > max_bytes:
                raise aiohttp.ClientPayloadError(
                    f"the body has more than {max_bytes} bytes"
                )
        return bytes(body)

    def elapsed_s(self) -> float:
        """Returns the time since the start."""
        return _loop_time_s() - self.started_s

    def silent_s(self) -> float:
        """Returns the time since data arrived, or since the start."""
        return _loop_time_s() - self.received_s

    def describe_timeout(self) -> str:
        """Returns why the read failed, for one that ran out of time."""
        if not self.received_bytes:
            return f"no response in time, after {self.elapsed_s():.1f} s"
        return (
            f"no complete response in time: {self.received_bytes} bytes in"
            f" {self.elapsed_s():.1f} s"
        )
