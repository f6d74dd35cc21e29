"""The callers' side of a gate host."""

import asyncio
import itertools
import socket
import time
from typing import Protocol

from aiohttp import http
from aiohttp import streams
import result

from fireflyspindle import headers
from fireflyspindle import logs
from fireflyspindle.adapters import answers
from fireflyspindle.adapters import caller_connection
from fireflyspindle.adapters import exchange as exchange_lib
from fireflyspindle.adapters import keyed_requests
from fireflyspindle.adapters import receiving
from fireflyspindle.adapters import requests
from fireflyspindle.core import events
from fireflyspindle.core import refusals

SWEEP_INTERVAL_S = 1.0
CLOSE_LIMIT_S = 2.0
CLOSE_POLL_S = 0.01
# Connections that may wait to be accepted; a burst of a second or two.
BACKLOG = 1_024

Connection = caller_connection.CallerConnection
Turn = caller_connection.Turn


class Shell(Protocol):
    """What the server needs of the shell."""

    def now_us(self) -> int:
        """Returns the monotonic time."""

    def open(
        self, exchange: exchange_lib.Exchange, event: events.CallArrived
    ) -> None:
        """Takes in a call."""

    def on_refused(self, error: str) -> None:
        """Counts a request that was refused before it was a call."""

    def submit(self, event: events.Event) -> None:
        """Feeds an event to the reducer."""

    def spawn(self, work: exchange_lib.Work) -> asyncio.Task[None]:
        """Starts a task."""


class GateServer:
    """Turns callers' requests into events.

    Attributes:
        connections: Open connections of callers.
        stopping: Whether each connection is closed after its next answer.
        idle_limit_s: Time after which an idle connection is closed.
        head_limits: Limits on the heads of requests on new connections.
        body_limits: Limits on the bodies of requests.
    """

    def __init__(
        self,
        shell: Shell,
        host_id: str,
        body_limits: requests.BodyLimits,
        dialect: headers.Dialect = headers.OWN,
    ) -> None:
        self.connections: set[Connection] = set()
        self.stopping = False
        self.idle_limit_s = caller_connection.IDLE_LIMIT_S
        self.head_limits = caller_connection.HeadLimits()
        self.body_limits = body_limits
        self._shell = shell
        self._dialect = dialect
        self._call_ids = itertools.count(1)
        # Request ids stay unique when a host starts anew under its old name.
        self._request_id_prefix = f"{host_id}-{time.time_ns() // 1_000_000:x}"
        self._server: asyncio.Server | None = None
        self._sweep: asyncio.TimerHandle | None = None

    async def start(self, address: str, accepting: bool = True) -> None:
        """Opens the callers' address.

        Args:
            address: "ip:port".
            accepting: Whether to accept connections at once. Otherwise they
                wait, already made, until `accept` is called.

        Raises:
            OSError: The address can't be opened.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        listening = socket.create_server(
            (host.strip("[]"), int(port)),
            family=socket.AF_INET6 if ":" in host else socket.AF_INET,
            backlog=BACKLOG,
        )
        listening.setblocking(False)
        buffer = bytearray(receiving.RECEIVE_BUFFER_BYTES)
        self._server = await loop.create_server(
            lambda: Connection(self, loop, buffer),
            sock=listening,
            backlog=BACKLOG,
            start_serving=accepting,
        )
        self._on_sweep()

    async def accept(self) -> None:
        """Accepts the connections that wait, and all further ones."""
        assert self._server is not None
        if not self.stopping:
            await self._server.start_serving()

    @property
    def address(self) -> str:
        """The address that was opened, with its real port."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def receiving(self) -> bool:
        """Whether the body of a request is read that is no call yet."""
        return any(
            turn.reading_body
            for found in self.connections
            for turn in found.turns
        )

    def stop_listening(self) -> None:
        """Takes no new connection, and closes each after its next answer."""
        self.stopping = True
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Closes the connections on which no request is under way."""
        for connection in list(self.connections):
            if connection.idle and connection.transport is not None:
                connection.transport.close()

    async def close(self) -> None:
        """Closes the address and every connection, after what is written."""
        self.stop_listening()
        if self._sweep is not None:
            self._sweep.cancel()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()
        end_s = time.monotonic() + CLOSE_LIMIT_S
        while self.connections and time.monotonic() < end_s:
            await asyncio.sleep(CLOSE_POLL_S)

    def _on_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        for connection in list(self.connections):
            if connection.overdue(now_s):
                connection.abort()
        self._sweep = loop.call_later(SWEEP_INTERVAL_S, self._on_sweep)

    def on_malformed(self, turn: Turn, error: http.HttpProcessingError) -> None:
        """Answers bytes that are no HTTP request."""
        detail = error.message.strip() or "the request is not HTTP/1.1"
        refusal = refusals.Refusal(400, "bad_http", detail)
        self._refuse(turn, refusal)

    def _refuse(self, turn: Turn, refusal: refusals.Refusal) -> None:
        self._shell.on_refused(refusal.error)
        answers.refuse(turn, refusal)

    def on_request(
        self,
        turn: Turn,
        message: http.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
        """Serves one request of a caller."""
        arrived = requests.read(
            message,
            next(self._call_ids),
            self._shell.now_us(),
            self.body_limits.carried_bytes,
            self._dialect,
        )
        match arrived:
            case result.Err(refusal):
                self._refuse(turn, refusal)
            case result.Ok(event):
                self._read_body(turn, message, payload, event)

    def _read_body(
        self,
        turn: Turn,
        message: http.RawRequestMessage,
        payload: streams.StreamReader,
        event: events.CallArrived,
    ) -> None:
        if payload.is_eof():
            body = payload.read_nowait(-1)
            self._open(turn, message, payload, event, body)
            return
        if "Expect" in message.headers:
            turn.write(caller_connection.CONTINUE)
        stated = message.headers.get("Content-Length")
        limit_bytes = self.body_limits.held_bytes
        known = stated is not None or bool(event.idempotency_key)
        held = known or self._dialect.whole_messages
        if not held or int(stated or 0) > limit_bytes:
            event.resendable = False
            self._open(turn, message, payload, event, None)
            return
        turn.reading_body = True
        self._shell.spawn(self._hold(turn, message, payload, event))

    async def _hold(
        self,
        turn: Turn,
        message: http.RawRequestMessage,
        payload: streams.StreamReader,
        event: events.CallArrived,
    ) -> None:
        try:
            body = await _read(payload, self.body_limits.held_bytes)
        except asyncio.CancelledError:
            raise
        except Exception:
            # The caller cut its own request short; it never was a call.
            turn.abort()
            return
        turn.reading_body = False
        if turn.transport is None:
            return
        waited_us = self._shell.now_us() - event.now_us
        event.now_us += waited_us
        if len(body) <= self.body_limits.held_bytes:
            self._open(turn, message, payload, event, body)
            return
        event.resendable = False
        self._open(turn, message, payload, event, None, body)

    def _open(
        self,
        turn: Turn,
        message: http.RawRequestMessage,
        payload: streams.StreamReader,
        event: events.CallArrived,
        body: bytes | None,
        begun: bytes = b"",
    ) -> None:
        if event.idempotency_key:
            if body is None:
                detail = keyed_requests.too_large(self.body_limits.held_bytes)
                refusal = refusals.Refusal(413, "body_too_large", detail)
                self._refuse(turn, refusal)
                return
            keyed_requests.stamp(event, message.method, message.path, body)
        if not event.request_id:
            event.request_id = f"{self._request_id_prefix}-{event.call_id}"
        exchange = exchange_lib.Exchange(
            call_id=event.call_id,
            request_id=event.request_id,
            message=message,
            repeatable=event.repeatable,
            body=body,
            begun=begun,
            payload=payload,
            body_limit_bytes=self.body_limits.carried_bytes,
            caller=turn,
            dialect=self._dialect,
        )
        turn.exchange = exchange
        self._shell.open(exchange, event)

    def on_undelivered(self, request_id: str, behind: str) -> None:
        """Notes an answer that was ready when its caller left."""
        logs.logger.info(
            "an answer was not delivered: the caller left while an earlier"
            " request of its connection was not answered",
            code="answer_undelivered",
            request_id=request_id,
            behind=behind,
        )

    def on_caller_left(self, turn: Turn) -> None:
        """Tells the reducer that a caller is gone before its answer was."""
        exchange = turn.exchange
        if exchange is None or exchange.caller is not turn:
            return
        exchange.caller = None
        self._shell.submit(
            events.CallerLeft(self._shell.now_us(), exchange.call_id)
        )


async def _read(payload: streams.StreamReader, limit_bytes: int) -> bytes:
    """Reads a body to its end, or until it is larger than the limit."""
    body = bytearray()
    while data := await payload.readany():
        body += data
        if len(body) > limit_bytes:
            break
    return bytes(body)
