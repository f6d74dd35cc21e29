"""The callers' side of a gate host."""

import asyncio
import itertools
import time
from typing import Protocol

from aiohttp import http
from aiohttp import streams
import result

from fireflyspindle.adapters import answers
from fireflyspindle.adapters import caller_connection
from fireflyspindle.adapters import exchange as exchange_lib
from fireflyspindle.adapters import keyed_requests
from fireflyspindle.adapters import receiving
from fireflyspindle.adapters import requests
from fireflyspindle.core import events

SWEEP_INTERVAL_S = 1.0
CLOSE_LIMIT_S = 2.0
CLOSE_POLL_S = 0.01

Connection = caller_connection.CallerConnection


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
    """

    def __init__(
        self, shell: Shell, host_id: str, body_limits: requests.BodyLimits
    ) -> None:
        self.connections: set[Connection] = set()
        self.stopping = False
        self._shell = shell
        self._body_limits = body_limits
        self._call_ids = itertools.count(1)
        # Request ids stay unique when a host starts anew under its old name.
        self._request_id_prefix = f"{host_id}-{time.time_ns() // 1_000_000:x}"
        self._server: asyncio.Server | None = None
        self._sweep: asyncio.TimerHandle | None = None

    async def start(self, address: str) -> None:
        """Opens the callers' address.

        Raises:
            OSError: The address can't be opened.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        buffer = bytearray(receiving.RECEIVE_BUFFER_BYTES)
        self._server = await loop.create_server(
            lambda: Connection(self, loop, buffer),
            host.strip("[]"),
            int(port),
            backlog=1024,
        )
        self._on_sweep()

    @property
    def address(self) -> str:
        """The address that was opened, with its real port."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def receiving(self) -> bool:
        """Whether the body of a request is read that is no call yet."""
        return any(found.reading_body for found in self.connections)

    def stop_listening(self) -> None:
        """Takes no new connection, and closes each after its next answer."""
        self.stopping = True
        if self._server is not None:
            self._server.close()

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

    def on_malformed(
        self, connection: Connection, error: http.HttpProcessingError
    ) -> None:
        """Answers bytes that are no HTTP request."""
        detail = error.message.strip() or "the request is not HTTP/1.1"
        refusal = answers.BadRequest(400, "bad_http", detail)
        self._refuse(connection, refusal)

    def _refuse(
        self, connection: Connection, refusal: answers.BadRequest
    ) -> None:
        self._shell.on_refused(refusal.error)
        answers.refuse(connection, refusal)

    def on_request(
        self,
        connection: Connection,
        message: http.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
        """Serves one request of a caller."""
        arrived = requests.read(
            message,
            next(self._call_ids),
            self._shell.now_us(),
            self._body_limits.carried_bytes,
        )
        match arrived:
            case result.Err(refusal):
                self._refuse(connection, refusal)
            case result.Ok(event):
                self._read_body(connection, message, payload, event)

    def _read_body(
        self,
        connection: Connection,
        message: http.RawRequestMessage,
        payload: streams.StreamReader,
        event: events.CallArrived,
    ) -> None:
        if payload.is_eof():
            body = payload.read_nowait(-1)
            self._open(connection, message, payload, event, body)
            return
        if "Expect" in message.headers:
            connection.write(caller_connection.CONTINUE)
        stated = message.headers.get("Content-Length")
        limit_bytes = self._body_limits.held_bytes
        known = stated is not None or bool(event.idempotency_key)
        if not known or int(stated or 0) > limit_bytes:
            event.resendable = False
            self._open(connection, message, payload, event, None)
            return
        connection.reading_body = True
        self._shell.spawn(self._hold(connection, message, payload, event))

    async def _hold(
        self,
        connection: Connection,
        message: http.RawRequestMessage,
        payload: streams.StreamReader,
        event: events.CallArrived,
    ) -> None:
        try:
            body = await _read(payload, self._body_limits.held_bytes)
        except asyncio.CancelledError:
            raise
        except Exception:
            # The caller cut its own request short; it never was a call.
            connection.abort()
            return
        connection.reading_body = False
        if connection.transport is None:
            return
        waited_us = self._shell.now_us() - event.now_us
        event.now_us += waited_us
        event.resendable = body is not None
        self._open(connection, message, payload, event, body)

    def _open(
        self,
        connection: Connection,
        message: http.RawRequestMessage,
        payload: streams.StreamReader,
        event: events.CallArrived,
        body: bytes | None,
    ) -> None:
        if event.idempotency_key:
            if body is None:
                detail = keyed_requests.too_large(self._body_limits.held_bytes)
                refusal = answers.BadRequest(413, "body_too_large", detail)
                self._refuse(connection, refusal)
                return
            keyed_requests.stamp(event, message.method, message.path, body)
        exchange = exchange_lib.Exchange(
            call_id=event.call_id,
            request_id=f"{self._request_id_prefix}-{event.call_id}",
            message=message,
            repeatable=event.repeatable,
            body=body,
            payload=payload,
            body_limit_bytes=self._body_limits.carried_bytes,
            caller=connection,
        )
        connection.exchange = exchange
        self._shell.open(exchange, event)

    def on_caller_left(self, connection: Connection) -> None:
        """Tells the reducer that a caller is gone before its answer was."""
        exchange = connection.exchange
        if exchange is None or exchange.caller is not connection:
            return
        exchange.caller = None
        self._shell.submit(
            events.CallerLeft(self._shell.now_us(), exchange.call_id)
        )


async def _read(
    payload: streams.StreamReader, limit_bytes: int
) -> bytes | None:
    """Reads a body; None when it is larger than the limit."""
    body = bytearray()
    while data := await payload.readany():
        body += data
        if len(body) > limit_bytes:
            return None
    return bytes(body)
