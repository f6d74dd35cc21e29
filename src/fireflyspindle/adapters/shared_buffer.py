"""Socket reads into a receive buffer shared by many connections."""

import asyncio

from aiohttp import base_protocol

RECEIVE_BUFFER_BYTES = 64 * 1024


class ReceivingProtocol(base_protocol.BaseProtocol, asyncio.BufferedProtocol):
    """A protocol that reads into a shared buffer.

    A streaming protocol of asyncio allocates a buffer for each read, which
    costs more than the read. The event loop fills the buffer and delivers it
    in one step, so connections of one event loop can share it.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, buffer: bytearray
    ) -> None:
        super().__init__(loop)
        self._receive_buffer = buffer

    @property
    def reads_paused(self) -> bool:
        """Whether reading is paused until received data has been consumed."""
        return self._reading_paused

    def get_buffer(self, _sizehint: int) -> bytearray:
        """Returns the buffer to read into."""
        return self._receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes a copy of the received bytes to `data_received`."""
        self.data_received(bytes(memoryview(self._receive_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handles received bytes."""
        raise NotImplementedError
