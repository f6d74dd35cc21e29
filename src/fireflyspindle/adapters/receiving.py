"""Reading from sockets into one buffer for all connections of an owner."""

import asyncio

from aiohttp import base_protocol

RECEIVE_BUFFER_BYTES = 64 * 1024


class ReceivingProtocol(base_protocol.BaseProtocol, asyncio.BufferedProtocol):
    """A protocol that reads into a buffer which it shares.

    A stream protocol of asyncio allocates a buffer of its own for each read,
    which costs more than the read. The loop fills the buffer and hands it
    over in one step, so that connections of one loop may share it.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, buffer: bytearray
    ) -> None:
        super().__init__(loop)
        self._receive_buffer = buffer

    def get_buffer(self, _sizehint: int) -> bytearray:
        """Returns the buffer to read into."""
        return self._receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes the bytes that were read."""
        self.data_received(bytes(memoryview(self._receive_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Takes bytes that were read."""
        raise NotImplementedError
