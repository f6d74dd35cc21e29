"""A caller's HTTP/1.1 connection, with pipelined requests."""

import asyncio
import collections
import socket
import struct
from typing import Protocol

from aiohttp import http
from aiohttp import streams

from fireflyspindle.adapters import caller_room
from fireflyspindle.adapters import caller_times
from fireflyspindle.adapters import head_limits as head_limits_lib
from fireflyspindle.adapters import parse_queue
from fireflyspindle.adapters import pending_request
from fireflyspindle.adapters import request_parser
from fireflyspindle.adapters import send_queue
from fireflyspindle.adapters import shared_buffer
from fireflyspindle.core import caller_budget

# Most requests of one connection that are served concurrently. Further
# requests stay unread, which bounds the memory that one caller can use.
MAX_PENDING_REQUESTS = 8
# Value of SO_LINGER with which closing a connection resets it.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

OVERLOADED = "callers hold as much memory as the gate host has for them"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

PendingRequest = pending_request.PendingRequest
_Parsed = request_parser.Request | http.HttpProcessingError


class Overloaded(http.HttpProcessingError):
    """There is no room for a request.

    Attributes:
        method: Method of the request, if its response depends on it.
    """

    def __init__(self, head: bytes) -> None:
        super().__init__(code=503, message=OVERLOADED)
        self.method = "HEAD" if head.startswith(b"HEAD ") else ""


class Server(Protocol):
    """Serves the requests of callers' connections."""

    connections: "set[CallerConnection]"
    stopping: bool
    idle_limit_s: float
    head_limits: head_limits_lib.HeadLimits
    parse_queue: parse_queue.ParseQueue
    room: caller_room.CallerRoom

    def on_request(
        self,
        pending: PendingRequest,
        message: http.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
        """Serves one request; ended by `PendingRequest.finish`."""

    def on_malformed(
        self, pending: PendingRequest, error: http.HttpProcessingError
    ) -> None:
        """Rejects malformed bytes; ended by `PendingRequest.finish`."""

    def refuse_overloaded(self, pending: PendingRequest) -> None:
        """Refuses a request whose body is being read."""

    def on_undelivered(self, request_id: str, blocked_by: str) -> None:
        """Logs a response that was ready when its caller disconnected."""

    def on_caller_left(self, pending: PendingRequest) -> None:
        """Handles a disconnect before the response was complete."""


class CallerConnection(shared_buffer.ReceivingProtocol):
    """Parses requests and serves several of them concurrently.

    Attributes:
        pending: Requests that are served or wait for earlier responses.
        lingering: Whether the last response has been written, and the caller
            may still be receiving it.
        times: How long the host has waited for the caller.
        relays: Whether the caller is a gate host that relays calls.
    """

    def __init__(
        self,
        server: Server,
        loop: asyncio.AbstractEventLoop,
        buffer: bytearray,
        relays: bool = False,
    ) -> None:
        super().__init__(loop, buffer)
        self.relays = relays
        self._requests = request_parser.RequestParser(
            self,
            loop,
            self._use_parser,
            self._head_limit_bytes,
            self._admit,
        )
        # Memory that the head parsed last and its call take.
        self._head_bytes = 0
        self._given_up = False
        self.times = caller_times.CallerTimes(self, server, loop.time())
        self.pending: collections.deque[PendingRequest] = collections.deque()
        self._server = server
        # What was parsed last, until it may be served.
        self._parsed: _Parsed | None = None
        # Whether received bytes wait in the queue for their turn.
        self._queued = False
        self._accepts_requests = True
        self.lingering = False

    def _use_parser(self, parser: http.HttpRequestParser) -> None:
        """Sets the parser that is paused with the connection."""
        self._parser = parser

    def _head_limit_bytes(self) -> int:
        """Returns the size that a head may have.

        The host that relays a call has applied the configured limit, and has
        added headers of its own.
        """
        if self.relays:
            return head_limits_lib.PARSED_HEAD_BYTES
        return self._server.head_limits.head_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers with the server."""
        super().connection_made(transport)
        self._server.connections.add(self)
        self._server.room.add(self)
        self.on_held_changed()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and serves the requests with complete heads."""
        found = self._parse(data, parse_queue.immediate_turn())
        in_head = not (found or not data or self.pending or self._queued)
        self.times.on_received(self._loop.time(), in_head)
        self.on_held_changed()

    def _parse(self, data: bytes, turn: parse_queue.Turn) -> bool:
        """Parses bytes until the next request is incomplete or has to wait.

        Returns:
            Whether a head, or an error, was parsed.
        """
        found = False
        while self._may_parse():
            try:
                self._parsed = self._requests.feed(data, turn)
            except http.HttpProcessingError as error:
                self._parsed = error
            data = b""
            if self._parsed is not None:
                found = True
                self._serve_parsed()
            if self._requests.turn_ended:
                self._wait_for_turn()
            if self._requests.waiting:
                self._pause_reading_for_buffer()
            if not self._requests.stopped:
                break
        return found

    def _wait_for_turn(self) -> None:
        self._queued = True
        self._pause_reading_for_buffer()
        self._server.parse_queue.add(self._parse_queued)

    def _parse_queued(self, turn: parse_queue.Turn) -> None:
        """Parses received bytes once it is their turn."""
        self._queued = False
        self._parse(b"", turn)
        self._read_on()

    def _read_on(self) -> None:
        """Reads on, unless received bytes still have to be parsed."""
        waiting = self._parsed is not None or self._requests.waiting
        if self._buffer_paused and not self._queued and not waiting:
            self._resume_reading_for_buffer()
        self.on_held_changed()

    def _admit(self, head: bytes) -> bool:
        """Returns whether a head may be parsed now.

        Raises:
            Overloaded: There is no room for it.
        """
        head_bytes = caller_budget.head_bytes(head)
        head_bytes += caller_budget.REQUEST_BYTES
        if self.pending:
            held_bytes = head_bytes + sum(
                pending.held_bytes
                + (pending.exchange.held_bytes if pending.exchange else 0)
                for pending in self.pending
            )
            budget = self._server.room.account.budget
            if (
                held_bytes > budget.connection_bytes
                or len(self.pending) >= MAX_PENDING_REQUESTS
            ):
                return False
        if not self._server.room.make(self, head_bytes):
            raise Overloaded(head)
        self._head_bytes = head_bytes
        return True

    def _may_parse(self) -> bool:
        if self._parsed is not None or self._queued:
            return False
        if self.lingering or self._parser is None:
            return False
        return self._accepts_requests or not self._requests.body_complete

    def _serve_parsed(self) -> None:
        if not self._accepts_requests:
            self._parsed = None
            return
        if len(self.pending) >= MAX_PENDING_REQUESTS:
            self._pause_reading_for_buffer()
            return
        parsed, self._parsed = self._parsed, None
        match parsed:
            case http.HttpProcessingError():
                self._accepts_requests = False
                self._server.on_malformed(self._add_pending(None), parsed)
            case (message, payload):
                self._serve(message, payload)

    def _serve(
        self, message: http.RawRequestMessage, payload: streams.StreamReader
    ) -> None:
        pending = self._add_pending(payload)
        pending.method = message.method
        if message.should_close or message.method == "CONNECT":
            self._accepts_requests = False
        self._server.on_request(pending, message, payload)

    def _continue_parsing(self, turn: parse_queue.Turn) -> None:
        """Serves the request that waited, and those behind it."""
        if self._parsed is not None:
            self._serve_parsed()
        if self._parsed is None:
            self._parse(b"", turn)
            self._read_on()

    def _add_pending(
        self, payload: streams.StreamReader | None
    ) -> PendingRequest:
        pending = PendingRequest(
            self, payload, self._loop.time(), head_bytes=self._head_bytes
        )
        self.pending.append(pending)
        return pending

    def is_first(self, pending: PendingRequest) -> bool:
        """Whether every response before this one has been written."""
        return bool(self.pending) and self.pending[0] is pending

    @property
    def accepts_requests(self) -> bool:
        """Whether further requests may be accepted."""
        return self._accepts_requests and not self._server.stopping

    def close_after(self, pending: PendingRequest) -> bool:
        """Accepts no request behind this one; False if there is one already."""
        if self.pending and self.pending[-1] is not pending:
            return False
        self._accepts_requests = False
        return True

    def write(self, data: bytes) -> None:
        """Writes response bytes, unless the caller has disconnected."""
        if self.transport is None:
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size():
            self.on_held_changed()

    def resume_writing(self) -> None:
        """Resumes the writer once the caller has received enough."""
        super().resume_writing()
        self.on_held_changed()

    async def drain(self) -> None:
        """Waits until more may be written.

        Raises:
            ConnectionError: The caller has disconnected.
        """
        await self._drain_helper()

    def on_request_ended(self, pending: PendingRequest) -> None:
        """Continues with the next response or the next request."""
        if not self.is_first(pending):
            return
        while self.pending and self.pending[0].ended:
            ended = self.pending.popleft()
            if not ended.keep_alive:
                self._start_lingering()
                return
            if self.pending:
                self.pending[0].on_became_first()
        self.times.start_stage(self._loop.time())
        self.on_held_changed()
        if self._parsed is not None or self._requests.waiting:
            self._server.parse_queue.add(self._continue_parsing)

    def _start_lingering(self) -> None:
        """Closes for writing, and reads on so that responses are delivered.

        Bytes that arrive at a closed socket reset its connection, and the
        caller loses what it has not received yet.
        """
        self.lingering = True
        self.times.start_stage(self._loop.time())
        self._parsed = None
        self._close_parser()
        self._abandon_pending()
        transport = self.transport
        if transport is None:
            return
        if not transport.can_write_eof():
            transport.close()
            return
        transport.write_eof()
        self._reading_paused = False
        self._buffer_paused = False
        self._resume_transport_reading()

    def _close_parser(self) -> None:
        if self._parser is not None:
            self._parser = None
            self._requests.close()

    def close(self) -> None:
        """Closes the connection, once its responses have been delivered.

        Requests in progress are abandoned.
        """
        transport = self.transport
        if transport is None or self.lingering:
            return
        if self.pending or send_queue.undelivered_bytes(transport):
            self._start_lingering()
            return
        # A request that arrives now stays unread, so that its caller knows
        # that it was not run.
        transport.close()

    def _abandon_pending(self) -> None:
        """Abandons the requests that can no longer be answered."""
        requests = list(self.pending)
        self.pending.clear()
        first = requests[0].exchange if requests else None
        for pending in requests:
            if pending.finished_request_id:
                blocked_by = first.request_id if first is not None else ""
                self._server.on_undelivered(
                    pending.finished_request_id, blocked_by
                )
            pending.wake()
            payload = pending.payload
            if payload is not None and not payload.is_eof():
                payload.set_exception(
                    ConnectionResetError("the caller disconnected")
                )
            if not pending.ended:
                self._server.on_caller_left(pending)

    def truncate(self, delimited: bool) -> None:
        """Ends the connection within a response.

        Args:
            delimited: Whether the response ends without the connection. The
                end of the connection would complete another one.
        """
        if delimited:
            self._start_lingering()
            return
        if self.transport is not None:
            self.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        self.abort()

    def drop(self) -> None:
        """Closes at once, and holds nothing from now on."""
        self._given_up = True
        self.abort()

    def abort(self) -> None:
        """Closes at once; what the system has not taken is lost."""
        if self.transport is not None:
            self.transport.abort()

    def on_held_changed(self) -> None:
        """Tells the server that the connection holds more or less."""
        if not self._given_up and self.transport is not None:
            self._server.room.update(self)

    @property
    def held_bytes(self) -> int:
        """Memory that the connection takes, beside that of its calls."""
        held_bytes = caller_budget.CONNECTION_BYTES + self._requests.held_bytes
        if self.transport is not None:
            held_bytes += self.transport.get_write_buffer_size()
        if self._buffer_paused or self._reading_paused:
            held_bytes += self._server.room.account.budget.receive_buffer_bytes
        return held_bytes + sum(pending.held_bytes for pending in self.pending)

    def waiting_s(self, now_s: float) -> float | None:
        """Returns how long the host has waited for the caller, if it does."""
        return self.times.waiting_s(now_s)

    def give_up(self) -> None:
        """Closes the connection, since its room is needed for others.

        A request whose body is being read is refused, which promises that it
        is not run.
        """
        pending = self.pending[0] if len(self.pending) == 1 else None
        if pending is None or not pending.reading_body or self.lingering:
            self.drop()
            return
        payload = pending.payload
        self._server.refuse_overloaded(pending)
        if payload is not None:
            payload.set_exception(ConnectionResetError("refused"))

    @property
    def is_idle(self) -> bool:
        """Whether the connection has no request in progress."""
        return not self.pending and self._parsed is None and not self._queued

    @property
    def reads(self) -> bool:
        """Whether bytes are parsed when they arrive."""
        return not self._reading_paused and not self._queued

    def connection_lost(self, exc: BaseException | None) -> None:
        """Reports the unanswered requests to the server."""
        super().connection_lost(exc)
        self._parsed = None
        self._close_parser()
        self._server.connections.discard(self)
        self._server.room.remove(self)
        self._abandon_pending()
