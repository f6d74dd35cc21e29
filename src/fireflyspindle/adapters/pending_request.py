"""One request of a caller's connection and its place in the pipeline."""

import asyncio
from typing import TYPE_CHECKING

from aiohttp import streams
import attrs

from fireflyspindle.adapters import exchange as exchange_lib

if TYPE_CHECKING:
    from fireflyspindle.adapters import caller_connection

# Most response bytes that are buffered while earlier responses are pending.
BUFFERED_RESPONSE_LIMIT_BYTES = 256 * 1024


@attrs.define(eq=False)
class PendingRequest:
    """A request that is served, or waits for earlier responses.

    Written bytes are buffered until every earlier response is complete.

    Attributes:
        connection: The caller's connection.
        payload: Body of the request, or None for malformed bytes.
        head_read_s: Event loop time at which the request's head was read.
        exchange: The call's exchange, once the call has been opened.
        reading_body: Whether the body is being buffered before the call is
            opened.
        ended: Whether the complete response has been written.
        finished_request_id: Id of the request, once its response has been
            written.
        keep_alive: Whether the connection stays open after the response.
        aborted: Whether the response was aborted.
        head_bytes: Memory that the head and the call take.
        method: Method of the request; empty for malformed bytes.
    """

    connection: "caller_connection.CallerConnection"
    payload: streams.StreamReader | None
    head_read_s: float
    exchange: exchange_lib.Exchange | None = None
    reading_body: bool = False
    ended: bool = False
    keep_alive: bool = True
    finished_request_id: str = ""
    aborted: bool = False
    head_bytes: int = 0
    method: str = ""
    _delimited: bool = True
    _buffered: list[bytes] = attrs.field(factory=list)
    _buffered_bytes: int = 0
    _became_first: asyncio.Future[None] | None = None

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes, beside that of its call."""
        held_bytes = self._buffered_bytes
        if self.exchange is None and not self.ended:
            held_bytes += self.head_bytes
        if self.reading_body and self.payload is not None:
            held_bytes += self.payload.total_bytes
        return held_bytes

    @property
    def transport(self) -> asyncio.Transport | None:
        """The transport of the connection; None once it is closed."""
        return self.connection.transport

    def keep_alive_after(self, delimited: bool = True) -> bool:
        """Decides whether the connection stays open after this response.

        Otherwise no further request is accepted on it, since its response could
        not be delivered.

        Args:
            delimited: Whether the response ends without the connection.
        """
        connection = self.connection
        self._delimited = delimited
        body_complete = self.payload is not None and self.payload.is_eof()
        if delimited and body_complete and connection.accepts_requests:
            return True
        return not connection.close_after(self) and delimited

    @property
    def writing_paused(self) -> bool:
        """Whether a writer should wait in `drain`."""
        if self.connection.is_first(self):
            return self.connection.writing_paused
        return self._buffered_bytes > BUFFERED_RESPONSE_LIMIT_BYTES

    def write(self, data: bytes) -> None:
        """Writes response bytes, or buffers them behind earlier responses."""
        if self.connection.is_first(self):
            self.connection.write(data)
            return
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        self.connection.on_held_changed()

    async def drain(self) -> None:
        """Waits until more may be written.

        Raises:
            ConnectionError: The caller has disconnected.
        """
        if not self.connection.is_first(self):
            self._became_first = asyncio.get_running_loop().create_future()
            await self._became_first
        await self.connection.drain()

    def finish(self, keep_alive: bool) -> None:
        """Ends the request after its response has been written."""
        self.ended = True
        self.keep_alive = keep_alive
        self.reading_body = False
        if self.exchange is not None:
            self.finished_request_id = self.exchange.request_id
        self.exchange = None
        self.connection.on_request_ended(self)

    def abort(self) -> None:
        """Ends the connection within the response; the caller detects it.

        Earlier responses are still delivered.
        """
        self.aborted = True
        if self.connection.is_first(self):
            self.connection.truncate(self._delimited)

    def discard_written(self) -> bool:
        """Discards what was written; False if some of it may have been sent."""
        if self.connection.is_first(self):
            return False
        self._buffered.clear()
        self._buffered_bytes = 0
        self.wake()
        return True

    def on_became_first(self) -> None:
        """Writes the buffered bytes; every earlier response is complete."""
        if self.aborted:
            self.connection.truncate(self._delimited)
            return
        for data in self._buffered:
            self.connection.write(data)
        self._buffered.clear()
        self._buffered_bytes = 0
        self.wake()

    def wake(self) -> None:
        """Resumes a writer that waits for earlier responses."""
        if self._became_first is not None and not self._became_first.done():
            self._became_first.set_result(None)
