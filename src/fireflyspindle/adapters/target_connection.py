"""A connection to a target, with at most one request on it at a time."""

import asyncio
from http import HTTPStatus
from typing import Protocol

import aiohttp
from aiohttp import http
from aiohttp import streams
import attrs

from fireflyspindle import headers
from fireflyspindle.adapters import receiving
from fireflyspindle.adapters import wire
from fireflyspindle.core import events

READ_BUFFER_BYTES = 64 * 1024


@attrs.define(eq=False)
class Answer:
    """A target's answer whose head has arrived.

    Attributes:
        message: Head of the answer.
        payload: Body of the answer, which may still be arriving.
        length: Length that the target stated, in bytes, or None.
    """

    message: http.RawResponseMessage
    payload: streams.StreamReader
    length: int | None


class Waiter(Protocol):
    """Whoever waits for the answer on a connection."""

    @property
    def request_id(self) -> str:
        """Id that the target is to echo."""

    def on_answer(self, answer: Answer) -> None:
        """Takes the answer once its head is here."""

    def on_failed(self, reason: events.FailureReason) -> None:
        """Takes the end of the connection before an answer."""


class TargetConnection(receiving.ReceivingProtocol):
    """Writes one request, reads one answer, and is then free again.

    Anything that a target sends out of turn closes the connection, so that no
    answer is taken for another's.

    Attributes:
        target: Address of the target.
        idle_since_s: Time of the loop at which the last answer ended.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, buffer: bytearray, target: str
    ) -> None:
        super().__init__(loop, buffer)
        self.target = target
        self.idle_since_s = 0.0
        self._waiter: Waiter | None = None
        self._payload: streams.StreamReader | None = None
        self._body_expected = True
        self._reusable = True

    @property
    def usable(self) -> bool:
        """Whether a request may be written."""
        transport = self.transport
        return (
            self._reusable
            and transport is not None
            and not transport.is_closing()
        )

    @property
    def holds_back(self) -> bool:
        """Whether reading waits until what was read has been taken."""
        return self._reading_paused

    def begin(self, waiter: Waiter, data: bytes, method: str) -> None:
        """Writes a request, or its head, and waits for the answer."""
        assert self.transport is not None
        self._waiter = waiter
        self._payload = None
        self._body_expected = method != "HEAD"
        self._parser = http.HttpResponseParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            payload_exception=aiohttp.ClientPayloadError,
            response_with_body=self._body_expected,
            read_until_eof=False,
            auto_decompress=False,
        )
        self.transport.write(data)

    def write(self, data: bytes) -> None:
        """Writes a part of the body, unless the connection is closing."""
        if self.transport is not None:
            self.transport.write(data)

    async def drain(self) -> None:
        """Waits until more may be written.

        Raises:
            ConnectionError: The connection has closed.
        """
        await self._drain_helper()

    def release(self) -> bool:
        """Ends the exchange; returns whether the connection may be kept."""
        payload = self._payload
        whole = payload is not None and payload.is_eof()
        self._waiter = None
        self._payload = None
        self._parser = None
        if whole and self.usable:
            self.idle_since_s = self._loop.time()
            return True
        self.abort()
        return False

    def abort(self) -> None:
        """Closes the connection at once; nobody is told."""
        self._waiter = None
        self._reusable = False
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Takes bytes of the answer; any others close the connection."""
        parser = self._parser
        if parser is None:
            self.abort()
            return
        try:
            messages, upgraded, _tail = parser.feed_data(data)
        except http.HttpProcessingError:
            self._fail(events.FailureReason.MISMATCHED)
            return
        final = [pair for pair in messages if pair[0].code not in wire.INTERIM]
        if upgraded or len(final) > 1 or (final and self._payload is not None):
            self._reusable = False
        if upgraded:
            self._fail(events.FailureReason.MISMATCHED)
            return
        if final and self._payload is None:
            self._on_head(*final[0])

    def _on_head(
        self, message: http.RawResponseMessage, payload: streams.StreamReader
    ) -> None:
        waiter = self._waiter
        if waiter is None:
            self.abort()
            return
        if message.should_close:
            self._reusable = False
        length = _stated_length(message)
        problem = self._problem(message, length, waiter.request_id)
        if problem is not None:
            self._fail(problem)
            return
        self._payload = payload
        self._waiter = None
        waiter.on_answer(Answer(message, payload, length))

    def _problem(
        self,
        message: http.RawResponseMessage,
        length: int | None,
        request_id: str,
    ) -> events.FailureReason | None:
        if message.code == HTTPStatus.SWITCHING_PROTOCOLS:
            return events.FailureReason.MISMATCHED
        echoed = message.headers.getall(headers.REQUEST_ID, ())
        if any(value != request_id for value in echoed):
            return events.FailureReason.MISMATCHED
        codings = message.headers.getall("Transfer-Encoding", ())
        lengths = message.headers.getall("Content-Length", ())
        if len(lengths) > 1 or (codings and lengths):
            return events.FailureReason.MISMATCHED
        if codings and [c.lower() for c in codings] != ["chunked"]:
            return events.FailureReason.MISMATCHED
        if not self._body_expected:
            return None
        if message.code in wire.STATUSES_WITHOUT_BODY:
            return None
        if length is None and not message.chunked:
            return events.FailureReason.TRUNCATED
        return None

    def _fail(self, reason: events.FailureReason) -> None:
        waiter = self._waiter
        payload = self._payload
        self.abort()
        if waiter is not None:
            waiter.on_failed(reason)
        elif payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(reason.value))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Tells whoever waits that the connection has closed."""
        super().connection_lost(exc)
        self._parser = None
        self._fail(events.FailureReason.DISCONNECTED)


def _stated_length(message: http.RawResponseMessage) -> int | None:
    text = message.headers.get("Content-Length")
    return int(text) if text is not None and text.isdecimal() else None
