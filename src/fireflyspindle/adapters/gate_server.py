"""The callers' side of a gate host."""

import asyncio
import itertools
import time
from typing import Protocol

from aiohttp import http
from aiohttp import streams
import attrs
import result

from fireflyspindle import headers
from fireflyspindle.adapters import answers
from fireflyspindle.adapters import caller_connection
from fireflyspindle.adapters import exchange as exchange_lib
from fireflyspindle.adapters import keyed_requests
from fireflyspindle.adapters import receiving
from fireflyspindle.core import events

REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_NAME_CHARACTERS = 100
MAX_DEADLINE_MS = 3_600_000
MAX_DEADLINE_DIGITS = 7
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

    def submit(self, event: events.Event) -> None:
        """Feeds an event to the reducer."""

    def spawn(self, work: exchange_lib.Work) -> asyncio.Task[None]:
        """Starts a task."""


@attrs.define(frozen=True)
class BodyLimits:
    """Limits on the bodies of requests.

    Attributes:
        held_bytes: Largest body that is held whole, for a retry.
        carried_bytes: Largest body that is carried.
    """

    held_bytes: int
    carried_bytes: int


class GateServer:
    """Turns callers' requests into events.

    Attributes:
        connections: Open connections of callers.
        stopping: Whether each connection is closed after its next answer.
    """

    def __init__(
        self, shell: Shell, host_id: str, body_limits: BodyLimits
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
        answers.refuse(connection, refusal)

    def on_request(
        self,
        connection: Connection,
        message: http.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> None:
        """Serves one request of a caller."""
        arrived = self._arrival(message).and_then(
            lambda event: _with_key(event, message)
        )
        match arrived:
            case result.Err(refusal):
                answers.refuse(connection, refusal)
            case result.Ok(event):
                self._read_body(connection, message, payload, event)

    def _arrival(
        self, message: http.RawRequestMessage
    ) -> result.Result[events.CallArrived, answers.BadRequest]:
        given = message.headers
        if message.method == "CONNECT":
            return result.Err(
                answers.BadRequest(405, "bad_method", "CONNECT is not served")
            )
        problem = self._body_problem(message)
        if problem is not None:
            return result.Err(problem)
        repeatable = given.get(headers.REPEATABLE, "").lower()
        if repeatable not in ("", "yes", "no"):
            return _bad(headers.REPEATABLE, repeatable, '"yes" or "no"')
        tenant = given.get(headers.TENANT, "")
        traffic_class = given.get(headers.CLASS, "")
        if len(tenant) > MAX_NAME_CHARACTERS:
            return _bad(headers.TENANT, tenant, "at most 100 characters")
        if len(traffic_class) > MAX_NAME_CHARACTERS:
            return _bad(headers.CLASS, traffic_class, "at most 100 characters")
        now_us = self._shell.now_us()
        deadline_us = None
        text = given.get(headers.DEADLINE_MS)
        if text is not None:
            if not _is_deadline(text):
                accepted = f"whole milliseconds from 1 to {MAX_DEADLINE_MS}"
                return _bad(headers.DEADLINE_MS, text, accepted)
            deadline_us = now_us + int(text) * 1000
        return result.Ok(
            events.CallArrived(
                now_us=now_us,
                call_id=next(self._call_ids),
                path=_route_path(message),
                tenant=tenant,
                traffic_class=traffic_class,
                repeatable=repeatable == "yes"
                or (not repeatable and message.method in REPEATABLE_METHODS),
                deadline_us=deadline_us,
            )
        )

    def _body_problem(
        self, message: http.RawRequestMessage
    ) -> answers.BadRequest | None:
        expected = message.headers.get("Expect", "100-continue")
        if expected.lower() != "100-continue":
            detail = f'header Expect is {expected[:40]!r}; give "100-continue"'
            return answers.BadRequest(417, "bad_header", detail)
        coding = message.headers.get("Transfer-Encoding", "chunked")
        if coding.lower() != "chunked":
            detail = f'Transfer-Encoding is {coding[:40]!r}; give "chunked"'
            return answers.BadRequest(400, "bad_header", detail)
        stated = message.headers.get("Content-Length")
        limit_bytes = self._body_limits.carried_bytes
        if stated is not None and int(stated) > limit_bytes:
            detail = f"the body has {stated} bytes; give at most {limit_bytes}"
            return answers.BadRequest(413, "body_too_large", detail)
        return None

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
                answers.refuse(connection, refusal)
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


def _with_key(
    event: events.CallArrived, message: http.RawRequestMessage
) -> result.Result[events.CallArrived, answers.BadRequest]:
    """Puts the idempotency key of a non-repeatable request on its event."""
    if event.repeatable:
        return result.Ok(event)
    match keyed_requests.read(message.headers):
        case result.Err(why):
            return result.Err(answers.BadRequest(400, "bad_key", why))
        case result.Ok(key):
            keyed_requests.put(event, key)
    return result.Ok(event)


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


def _is_deadline(text: str) -> bool:
    if not text.isascii() or not text.isdecimal():
        return False
    return len(text) <= MAX_DEADLINE_DIGITS and 0 < int(text) <= MAX_DEADLINE_MS


def _route_path(message: http.RawRequestMessage) -> str:
    path = message.path
    if not path.startswith("/") and message.url.absolute:
        path = message.url.raw_path
    return path.partition("?")[0]


def _bad(
    name: str, value: str, accepted: str
) -> result.Err[answers.BadRequest]:
    detail = f"header {name} is {value[:40]!r}; give {accepted}"
    return result.Err(answers.BadRequest(400, "bad_header", detail))
