"""A caller's connection: requests come in order and are answered in order."""

import asyncio
import collections
from typing import Protocol

from aiohttp import http
from aiohttp import streams
from aiohttp import web

from fireflyspindle.adapters import exchange as exchange_lib
from fireflyspindle.adapters import receiving

READ_BUFFER_BYTES = 64 * 1024
MAX_QUEUED_REQUESTS = 4
IDLE_LIMIT_S = 75.0
BODY_LIMIT_S = 30.0
LINGER_LIMIT_S = 2.0

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_Request = tuple[http.RawRequestMessage, streams.StreamReader]


class Server(Protocol):
    """Whoever serves the requests of callers' connections."""

    connections: "set[CallerConnection]"
    stopping: bool

    def on_request(
        self,
        connection: "CallerConnection",
        message: http.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
        """Serves one request; `finish` ends it."""

    def on_malformed(
        self, connection: "CallerConnection", error: http.HttpProcessingError
    ) -> None:
        """Answers bytes that are no HTTP request; `finish` ends it."""

    def on_caller_left(self, connection: "CallerConnection") -> None:
        """Takes the loss of a connection whose request is unanswered."""


class CallerConnection(receiving.ReceivingProtocol):
    """Parses requests and hands them out one at a time.

    Attributes:
        since_s: Time of the loop at which the present stage began: waiting
            for a request, serving it, or lingering after the last answer.
        busy: Whether a request is being served.
        reading_body: Whether the request being served is still read, before
            it is a call.
        exchange: The latest exchange on the connection.
    """

    def __init__(
        self,
        server: Server,
        loop: asyncio.AbstractEventLoop,
        buffer: bytearray,
    ) -> None:
        super().__init__(loop, buffer)
        self._parser = http.HttpRequestParser(
            self,
            loop,
            READ_BUFFER_BYTES,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=MAX_QUEUED_REQUESTS,
        )
        self.since_s = loop.time()
        self.busy = False
        self.reading_body = False
        self.exchange: exchange_lib.Exchange | None = None
        self._server = server
        self._queued: collections.deque[_Request] = collections.deque()
        self._malformed: http.HttpProcessingError | None = None
        self._payload: streams.StreamReader | None = None
        self._keep_alive = True
        self._lingering = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Joins the server's connections."""
        super().connection_made(transport)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parses what arrived and serves the next request, if it is whole."""
        if self._lingering or self._malformed is not None:
            return
        parser = self._parser
        if parser is None:
            return
        try:
            messages, upgraded, _tail = parser.feed_data(data)
        except http.HttpProcessingError as error:
            self._malformed = error
            messages = []
            upgraded = False
        if messages:
            self._queued.extend(messages)
            if len(self._queued) >= MAX_QUEUED_REQUESTS:
                self._pause_reading_for_buffer()
        if upgraded:
            self._keep_alive = False
        if not self.busy:
            self._serve_next()

    def _serve_next(self) -> None:
        if self.busy or self._lingering or self.transport is None:
            return
        if not self._queued:
            if self._malformed is not None:
                self._begin()
                self._keep_alive = False
                self._server.on_malformed(self, self._malformed)
            return
        message, payload = self._queued.popleft()
        self._begin()
        self._payload = payload
        if message.should_close:
            self._keep_alive = False
        assert self._parser is not None
        self._parser.message_consumed()
        if self._buffer_paused:
            self._resume_reading_for_buffer()
            self.data_received(b"")
        self._server.on_request(self, message, payload)

    def _begin(self) -> None:
        self.busy = True
        self.since_s = self._loop.time()

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection stays open after the present answer."""
        payload = self._payload
        return (
            self._keep_alive
            and not self._server.stopping
            and payload is not None
            and payload.is_eof()
        )

    def write(self, data: bytes) -> None:
        """Writes bytes of the answer, unless the caller has gone."""
        if self.transport is not None:
            self.transport.write(data)

    async def drain(self) -> None:
        """Waits until more may be written.

        Raises:
            ConnectionError: The caller has gone.
        """
        await self._drain_helper()

    def finish(self, keep_alive: bool) -> None:
        """Ends the request being served; its answer has been written."""
        self.busy = False
        self.reading_body = False
        self.exchange = None
        self.since_s = self._loop.time()
        if not keep_alive:
            self._linger()
            return
        self._payload = None
        if self._queued or self._malformed is not None:
            self._loop.call_soon(self._serve_next)

    def _linger(self) -> None:
        """Closes for writing, and reads on so that the answer gets there."""
        self._lingering = True
        self._queued.clear()
        transport = self.transport
        if transport is None:
            return
        whole = self._payload is not None and self._payload.is_eof()
        if whole or not transport.can_write_eof():
            transport.close()
            return
        transport.write_eof()
        self._reading_paused = False
        self._buffer_paused = False
        self._resume_transport_reading()

    def abort(self) -> None:
        """Closes at once, so that the caller sees that its answer was cut."""
        if self.transport is not None:
            self.transport.abort()

    def overdue(self, now_s: float) -> bool:
        """Whether the connection has been in its stage for too long."""
        age_s = now_s - self.since_s
        if self._lingering:
            return age_s > LINGER_LIMIT_S
        if self.reading_body:
            return age_s > BODY_LIMIT_S
        return not self.busy and age_s > IDLE_LIMIT_S

    def connection_lost(self, exc: BaseException | None) -> None:
        """Tells the server when a request is left unanswered."""
        super().connection_lost(exc)
        self._parser = None
        self._queued.clear()
        self._server.connections.discard(self)
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(ConnectionResetError("the caller left"))
        if self.busy:
            self._server.on_caller_left(self)
