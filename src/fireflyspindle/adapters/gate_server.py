"""The server for callers' connections."""

import asyncio
from collections.abc import Callable
import itertools
import time
from typing import Protocol

from aiohttp import http
from aiohttp import http_exceptions
from aiohttp import streams
import result

from fireflyspindle import headers
from fireflyspindle import logs
from fireflyspindle.adapters import api_key_headers
from fireflyspindle.adapters import caller_connection
from fireflyspindle.adapters import caller_room
from fireflyspindle.adapters import caller_times
from fireflyspindle.adapters import exchange as exchange_lib
from fireflyspindle.adapters import head_limits as head_limits_lib
from fireflyspindle.adapters import keyed_requests
from fireflyspindle.adapters import listener as listener_lib
from fireflyspindle.adapters import parse_queue as parse_queue_lib
from fireflyspindle.adapters import pending_request
from fireflyspindle.adapters import request_fingerprints
from fireflyspindle.adapters import request_parser
from fireflyspindle.adapters import requests
from fireflyspindle.adapters import responses
from fireflyspindle.adapters import shared_buffer
from fireflyspindle.core import caller_budget
from fireflyspindle.core import events
from fireflyspindle.core import refusals

SWEEP_INTERVAL_S = 1.0
CLOSE_POLL_S = 0.01
# When a caller that was refused for want of memory may come again. Another host
# may have room at once.
OVERLOAD_RETRY_AFTER_MS = 250

Connection = caller_connection.CallerConnection
PendingRequest = pending_request.PendingRequest


class Shell(Protocol):
    """The part of the shell that the server uses."""

    def now_us(self) -> int:
        """Returns the monotonic time."""

    def open_call(
        self, exchange: exchange_lib.Exchange, event: events.CallArrived
    ) -> None:
        """Registers a call."""

    def on_refused(self, error: str) -> None:
        """Counts a request that was rejected before it became a call."""

    def on_callers_closed(self, reason: str, count: int) -> None:
        """Counts connections that were closed to make room for others."""

    def submit(self, event: events.Event) -> None:
        """Feeds an event to the reducer."""

    def spawn(self, work: exchange_lib.Work) -> asyncio.Task[None]:
        """Starts a task."""


class GateServer:
    """Turns callers' requests into events.

    Attributes:
        connections: Open connections of callers.
        stopping: Whether each connection closes after its next response.
        idle_limit_s: Time after which an idle connection is closed.
        head_limits: Limits on request heads.
        body_limits: Limits on request bodies.
        parse_queue: Connections whose received bytes wait for their turn.
        room: Limits on what all connections hold, and on their number.
        limits_are_current: Returns whether these limits are known to be those
            of the newest configuration.
    """

    def __init__(
        self,
        shell: Shell,
        host_id: str,
        body_limits: requests.BodyLimits,
        header_profile: headers.HeaderProfile = headers.DEFAULT_PROFILE,
        budget: caller_budget.CallerBudget | None = None,
    ) -> None:
        self.room = caller_room.CallerRoom(
            budget or caller_budget.CallerBudget(), shell.on_callers_closed
        )
        self.connections: set[Connection] = set()
        self.stopping = False
        self.idle_limit_s = caller_times.IDLE_LIMIT_S
        self.head_limits = head_limits_lib.HeadLimits()
        self.body_limits = body_limits
        self.parse_queue = parse_queue_lib.ParseQueue()
        self.limits_are_current: Callable[[], bool] = lambda: True
        self._initial_body_limits = body_limits
        self._shell = shell
        self._header_profile = header_profile
        self._call_ids = itertools.count(1)
        # Keeps request ids unique when a host restarts with the same host id.
        self._request_id_prefix = f"{host_id}-{time.time_ns() // 1_000_000:x}"
        self._listener: listener_lib.Listener | None = None
        self._relay_listener: listener_lib.Listener | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self, address: str, accepting: bool = True) -> None:
        """Opens the callers' address.

        Args:
            address: "ip:port".
            accepting: Whether to accept connections at once. Otherwise
                established connections wait until `accept` is called.

        Raises:
            OSError: The address can't be opened.
        """
        self._listener = await self._listen(address, accepting, relays=False)
        self._close_overdue()

    async def start_relays(self, address: str, accepting: bool = True) -> None:
        """Opens the address at which other gate hosts relay calls.

        Args:
            address: "ip:port".
            accepting: Whether to accept connections at once.

        Raises:
            OSError: The address can't be opened.
        """
        self._relay_listener = await self._listen(
            address, accepting, relays=True
        )

    async def _listen(
        self, address: str, accepting: bool, *, relays: bool
    ) -> listener_lib.Listener:
        loop = asyncio.get_running_loop()
        buffer = bytearray(shared_buffer.RECEIVE_BUFFER_BYTES)
        return await listener_lib.Listener.open(
            address,
            lambda: Connection(self, loop, buffer, relays),
            self.room.account.budget.receive_buffer_bytes,
            accepting,
        )

    @property
    def _listeners(self) -> list[listener_lib.Listener]:
        listeners = (self._listener, self._relay_listener)
        return [listener for listener in listeners if listener is not None]

    async def accept(self) -> None:
        """Accepts waiting and further connections."""
        if self.stopping:
            return
        for listener in self._listeners:
            await listener.accept()

    @property
    def address(self) -> str:
        """The callers' address, with its actual port."""
        assert self._listener is not None
        return self._listener.address

    @property
    def relay_address(self) -> str:
        """The address of relaying hosts, with its actual port."""
        assert self._relay_listener is not None
        return self._relay_listener.address

    @property
    def receiving(self) -> bool:
        """Whether requests are being read whose calls are not open yet."""
        return any(listener.receiving for listener in self._listeners) or any(
            pending.reading_body
            for connection in self.connections
            for pending in connection.pending
        )

    def stop_listening(self) -> None:
        """Stops accepting; each connection closes after its next response."""
        self.stopping = True
        for listener in self._listeners:
            listener.close()

    async def close(self, limit_s: float) -> None:
        """Closes the address, and each connection once it is flushed.

        Args:
            limit_s: Longest time in which callers may receive their responses.
        """
        self.stop_listening()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for connection in list(self.connections):
            connection.close()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        while self.connections and loop.time() < end_s:
            self._abort_overdue()
            await asyncio.sleep(CLOSE_POLL_S)

    def _abort_overdue(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            if connection.times.is_overdue(now_s):
                connection.abort()

    def _close_overdue(self) -> None:
        self._abort_overdue()
        self._sweep_timer = asyncio.get_running_loop().call_later(
            SWEEP_INTERVAL_S, self._close_overdue
        )

    def on_malformed(
        self, pending: PendingRequest, error: http.HttpProcessingError
    ) -> None:
        """Rejects malformed bytes, or a request without room."""
        if isinstance(error, caller_connection.Overloaded):
            self._refuse(pending, _overload_refusal(), error.method)
            return
        detail = error.message.strip() or "the request is not HTTP/1.1"
        over_limit = isinstance(
            error, (http_exceptions.LineTooLong, request_parser.HeadTooLong)
        )
        refusal = refusals.Refusal(400, "bad_http", detail, over_limit)
        self._refuse(pending, refusal, "")

    def _refuse(
        self, pending: PendingRequest, refusal: refusals.Refusal, method: str
    ) -> None:
        """Rejects a request before it is a call.

        A caller does not come back after a 4xx, so it is only told that its
        request exceeds a limit if no newer configuration can have raised it.
        """
        if refusal.over_limit and not self.limits_are_current():
            detail = f"{refusal.detail}; a newer configuration may allow more"
            refusal = refusals.Refusal(503, "configuration_outdated", detail)
        self._shell.on_refused(refusal.error)
        responses.refuse(
            pending,
            refusal,
            head_only=method == "HEAD",
            header_profile=self._header_profile,
        )

    def refuse_overloaded(self, pending: PendingRequest) -> None:
        """Refuses a request whose body is being read."""
        self._refuse(pending, _overload_refusal(), pending.method)

    def on_request(
        self,
        pending: PendingRequest,
        message: http.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
        """Serves one request of a caller."""
        # The host that relays a call has applied the limits on its head.
        if not pending.connection.relays:
            too_large = self.head_limits.check(message)
            if too_large is not None:
                self._refuse(pending, too_large, message.method)
                return
        parsed = requests.read(
            message,
            next(self._call_ids),
            self._shell.now_us(),
            self._body_limit_bytes(pending),
            self._header_profile,
        )
        match parsed:
            case result.Err(refusal):
                self._refuse(pending, refusal, message.method)
            case result.Ok(event):
                event.relayed = pending.connection.relays
                if event.relayed:
                    api_key_headers.read_relayed(event, message)
                    repeatable = message.headers.get(headers.RELAY_REPEATABLE)
                    event.relay_repeatable = repeatable != "no"
                    event.relay_max_attempts = headers.parse_max_attempts(
                        message.headers.getall(headers.RELAY_MAX_ATTEMPTS, ())
                    )
                self._read_body(pending, message, payload, event)

    def _read_body(
        self,
        pending: PendingRequest,
        message: http.RawRequestMessage,
        payload: streams.StreamReader,
        event: events.CallArrived,
    ) -> None:
        if payload.is_eof():
            body = payload.read_nowait(-1)
            self._open_call(pending, message, payload, event, body)
            return
        length = int(message.headers.get("Content-Length", "0"))
        needed_bytes = min(
            length,
            max(self.body_limits.buffered_bytes, exchange_lib.STREAM_BYTES),
        )
        if not self.room.make(pending.connection, needed_bytes):
            self._refuse(pending, _overload_refusal(), message.method)
            return
        if requests.expects_continue(message):
            pending.write(caller_connection.CONTINUE)
        content_length = message.headers.get("Content-Length")
        limit_bytes = self.body_limits.buffered_bytes
        bufferable = content_length is not None or bool(event.idempotency_key)
        buffered = bufferable or self._header_profile.buffers_unsized_bodies
        if not buffered or int(content_length or 0) > limit_bytes:
            event.resendable = False
            self._open_call(pending, message, payload, event, None)
            return
        pending.reading_body = True
        self._shell.spawn(self._buffer_body(pending, message, payload, event))

    async def _buffer_body(
        self,
        pending: PendingRequest,
        message: http.RawRequestMessage,
        payload: streams.StreamReader,
        event: events.CallArrived,
    ) -> None:
        try:
            async with asyncio.timeout(self._left_s(event)):
                body = await _read_up_to(
                    payload, self.body_limits.buffered_bytes
                )
        except asyncio.CancelledError:
            raise
        except TimeoutError:
            detail = "the body did not arrive before the deadline"
            refusal = refusals.Refusal(408, "body_timeout", detail)
            self._refuse(pending, refusal, message.method)
            return
        except Exception as error:
            exchange_lib.drop_frames(error)
            # The caller truncated its request before a call was opened for it.
            pending.abort()
            return
        pending.reading_body = False
        if pending.transport is None:
            return
        body_read_us = self._shell.now_us() - event.now_us
        event.now_us += body_read_us
        if len(body) <= self.body_limits.buffered_bytes:
            self._open_call(pending, message, payload, event, body)
            return
        event.resendable = False
        self._open_call(pending, message, payload, event, None, body)

    def _left_s(self, event: events.CallArrived) -> float | None:
        """Returns the time left to the deadline, if the caller states one."""
        if event.deadline_us is None:
            return None
        return max(0.0, (event.deadline_us - self._shell.now_us()) / 1e6)

    def _open_call(
        self,
        pending: PendingRequest,
        message: http.RawRequestMessage,
        payload: streams.StreamReader,
        event: events.CallArrived,
        body: bytes | None,
        body_prefix: bytes = b"",
    ) -> None:
        if event.idempotency_key:
            if body is None:
                detail = keyed_requests.too_large_detail(
                    self.body_limits.buffered_bytes
                )
                refusal = refusals.Refusal(413, "body_too_large", detail)
                self._refuse(pending, refusal, message.method)
                return
            keyed_requests.set_digest(event, message.method, message.path, body)
        if not event.request_id:
            event.request_id = f"{self._request_id_prefix}-{event.call_id}"
        event.fingerprint = _fingerprint(pending, message, body)
        exchange = exchange_lib.Exchange(
            call_id=event.call_id,
            request_id=event.request_id,
            fingerprint=event.fingerprint,
            head_bytes=pending.head_bytes,
            message=message,
            repeatable=event.repeatable,
            body=body,
            body_prefix=body_prefix,
            payload=payload,
            body_limit_bytes=self._body_limit_bytes(pending),
            body_limit_is_current=self.limits_are_current,
            caller=pending,
            header_profile=self._header_profile,
            relayed=event.relayed,
        )
        pending.exchange = exchange
        self.room.account.set(exchange, exchange.held_bytes)
        self._shell.open_call(exchange, event)

    def _body_limit_bytes(self, pending: PendingRequest) -> int:
        """Returns the largest body of a request that is forwarded.

        The host that relays a call has applied the configured limit, possibly
        that of a newer configuration.
        """
        if pending.connection.relays:
            return self._initial_body_limits.forwarded_bytes
        return self.body_limits.forwarded_bytes

    def on_undelivered(self, request_id: str, blocked_by: str) -> None:
        """Logs a response that was ready when its caller disconnected."""
        logs.logger.info(
            "response not delivered: the caller disconnected before an earlier"
            " request on its connection was answered",
            code="answer_undelivered",
            request_id=request_id,
            behind=blocked_by,
        )

    def on_caller_left(self, pending: PendingRequest) -> None:
        """Reports a disconnect before the response was complete."""
        exchange = pending.exchange
        if exchange is None or exchange.caller is not pending:
            return
        exchange.caller = None
        self._shell.submit(
            events.CallerDisconnected(self._shell.now_us(), exchange.call_id)
        )


def _overload_refusal() -> refusals.Refusal:
    return refusals.Refusal(
        503,
        "overloaded",
        caller_connection.OVERLOADED,
        retry_after_ms=OVERLOAD_RETRY_AFTER_MS,
    )


def _fingerprint(
    pending: PendingRequest,
    message: http.RawRequestMessage,
    body: bytes | None,
) -> str:
    """Returns the fingerprint of a request; "" if its body is streamed."""
    if pending.connection.relays:
        stated = message.headers.get(headers.RELAY_FINGERPRINT, "")
        return request_fingerprints.parse(stated)
    if body is None:
        return ""
    return request_fingerprints.compute(message, body)


async def _read_up_to(payload: streams.StreamReader, limit_bytes: int) -> bytes:
    """Reads a body to its end, or until it exceeds the limit."""
    body = bytearray()
    while data := await payload.readany():
        body += data
        if len(body) > limit_bytes:
            break
    return bytes(body)
