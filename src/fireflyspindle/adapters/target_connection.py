"""A connection to a target, with at most one request at a time."""

import asyncio
import re
from typing import Protocol

import aiohttp
from aiohttp import http
from aiohttp import streams
import attrs

from fireflyspindle import headers
from fireflyspindle.adapters import message_heads
from fireflyspindle.adapters import overhead
from fireflyspindle.adapters import shared_buffer
from fireflyspindle.core import events

READ_BUFFER_BYTES = 64 * 1024
_HEAD_END = b"\r\n\r\n"
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,6})\b")


@attrs.define(eq=False)
class Response:
    """A target's response whose head has arrived.

    Attributes:
        message: Head of the response.
        payload: Body of the response, which may still be arriving.
        length: Content-Length in bytes, or None.
    """

    message: http.RawResponseMessage
    payload: streams.StreamReader
    length: int | None


class ResponseHandler(Protocol):
    """Receives the response on a connection."""

    @property
    def request_id(self) -> str:
        """Id that the target has to echo."""

    def on_response(self, response: Response) -> None:
        """Handles the response once its head, or all of it, has arrived."""

    def on_failed(
        self,
        reason: events.FailureReason,
        head: http.RawResponseMessage | None = None,
    ) -> None:
        """Handles the loss of the connection before a complete response.

        Args:
            reason: Why there is no complete response.
            head: Head of the incomplete response, if it arrived.
        """


class TargetConnection(shared_buffer.ReceivingProtocol):
    """Writes one request, reads one response, and can then be reused.

    Unexpected bytes from the target close the connection, so that no response
    is matched to the wrong request.

    Attributes:
        target: Address of the target.
        idle_since_s: Event loop time at which the last response ended.
        idle_limit_s: Keep-alive timeout that the target stated, or None.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        buffer: bytearray,
        target: str,
        header_profile: headers.HeaderProfile = headers.DEFAULT_PROFILE,
    ) -> None:
        super().__init__(loop, buffer)
        self.target = target
        self.idle_since_s = 0.0
        self.idle_limit_s: float | None = None
        self._header_profile = header_profile
        self._handler: ResponseHandler | None = None
        self._response: Response | None = None
        self._skipped_body: streams.StreamReader | None = None
        self._body_expected = True
        self._reusable = True
        self._overhead = overhead.OverheadMeter()

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
    def head(self) -> http.RawResponseMessage | None:
        """The head of the response in progress, once it has arrived."""
        return self._response.message if self._response is not None else None

    def begin(self, handler: ResponseHandler, data: bytes, method: str) -> None:
        """Writes a request, or its head, and expects the response."""
        assert self.transport is not None
        self._handler = handler
        self._response = None
        self._overhead.start_message()
        self._body_expected = method != "HEAD"
        self._parser = self._new_parser()
        self.transport.write(data)

    def _new_parser(self) -> http.HttpResponseParser:
        return http.HttpResponseParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            payload_exception=aiohttp.ClientPayloadError,
            response_with_body=self._body_expected,
            read_until_eof=self._header_profile.buffers_unsized_bodies,
            auto_decompress=False,
        )

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
        response = self._response
        complete = response is not None and response.payload.is_eof()
        self._handler = None
        self._response = None
        self._parser = None
        if complete and self.usable:
            self.idle_since_s = self._loop.time()
            return True
        self.abort()
        return False

    def abort(self) -> None:
        """Closes the connection at once, without notifying the handler."""
        self._handler = None
        self._reusable = False
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses response bytes; unexpected bytes close the connection."""
        parser = self._parser
        if parser is None:
            self.abort()
            return
        try:
            messages, upgraded, _tail = parser.feed_data(data)
        except http.HttpProcessingError:
            head = self._head_before_malformed_body(data)
            self._fail(events.FailureReason.MISMATCHED, head)
            return
        if upgraded:
            self._fail(events.FailureReason.MISMATCHED)
            return
        for message, payload in messages:
            if message.code in message_heads.INTERIM_STATUSES:
                continue
            if self._response is not None:
                self._reusable = False
                return
            self._on_head(message, payload)
        self._overhead.add(len(data))
        if self._overhead.exceeded:
            self._fail(events.FailureReason.MISMATCHED)

    def _head_before_malformed_body(
        self, data: bytes
    ) -> http.RawResponseMessage | None:
        """Returns the valid head of a response that came with its body."""
        end = data.find(_HEAD_END)
        if self._handler is None or self._response is not None or end < 0:
            return None
        head_bytes = data[: end + len(_HEAD_END)]
        try:
            messages, _, _ = self._new_parser().feed_data(head_bytes)
        except http.HttpProcessingError:
            return None
        request_id = self._handler.request_id
        for message, _ in messages:
            length = _stated_length(message)
            if self._is_stale(message, request_id):
                continue
            if self._head_failure(message, length, request_id) is None:
                return message
        return None

    def _on_head(
        self, message: http.RawResponseMessage, payload: streams.StreamReader
    ) -> None:
        handler = self._handler
        if handler is None:
            self.abort()
            return
        if message.should_close:
            self._reusable = False
        if self._is_stale(message, handler.request_id):
            self._skipped_body = payload
            return
        length = _stated_length(message)
        failure = self._head_failure(message, length, handler.request_id)
        if failure is not None:
            self._fail(failure)
            return
        if self._is_anonymous_refusal(message):
            self._reusable = False
        self.idle_limit_s = _stated_idle_limit_s(message)
        self._response = Response(message, payload, length)
        self._overhead.start_body(payload)
        if payload.is_eof() or not self._header_profile.buffers_unsized_bodies:
            self._deliver()
            return
        payload.on_eof(self._schedule_delivery)

    def _is_stale(
        self, message: http.RawResponseMessage, request_id: str
    ) -> bool:
        """Whether this is a repeated response to an earlier request."""
        if not self._header_profile.requires_id_echo:
            return False
        echoed = message.headers.getall(self._header_profile.request_id, ())
        return bool(echoed) and request_id not in echoed

    def _echo_required(self, message: http.RawResponseMessage) -> bool:
        # A gate host refuses a relayed call before it has read its id.
        return (
            self._header_profile.requires_id_echo
            and headers.RELAY_OUTCOME not in message.headers
        )

    def _is_anonymous_refusal(self, message: http.RawResponseMessage) -> bool:
        """Whether a target refuses a request without naming it.

        Written once more, such a refusal would pass for that of the next
        request on the connection.
        """
        if self._header_profile.not_run not in message.headers:
            return False
        return self._header_profile.request_id not in message.headers

    def _schedule_delivery(self) -> None:
        # Runs outside the stream's callback, where exceptions are suppressed.
        self._loop.call_soon(self._deliver)

    def _deliver(self) -> None:
        handler, response = self._handler, self._response
        if handler is None or response is None:
            return
        self._handler = None
        handler.on_response(response)

    def pause_reading(self) -> None:
        """Pauses reading, and delivers a response too large to be buffered."""
        super().pause_reading()
        if self._response is not None:
            self._schedule_delivery()
        elif self._skipped_body is not None:
            self._fail(events.FailureReason.MISMATCHED)

    def _head_failure(
        self,
        message: http.RawResponseMessage,
        length: int | None,
        request_id: str,
    ) -> events.FailureReason | None:
        # The library passes any three digits. An unknown interim status is
        # refused as well, since its response may have a body.
        if message.code not in message_heads.FINAL_STATUSES:
            return events.FailureReason.MISMATCHED
        echoed = message.headers.getall(self._header_profile.request_id, ())
        if any(value != request_id for value in echoed):
            return events.FailureReason.MISMATCHED
        if request_id and not echoed and self._echo_required(message):
            return events.FailureReason.MISMATCHED
        codings = message.headers.getall("Transfer-Encoding", ())
        lengths = message.headers.getall("Content-Length", ())
        if len(lengths) > 1 or (codings and lengths):
            return events.FailureReason.MISMATCHED
        if codings and [c.lower() for c in codings] != ["chunked"]:
            return events.FailureReason.MISMATCHED
        if not self._body_expected:
            return None
        if message.code in message_heads.STATUSES_WITHOUT_BODY:
            return None
        if length is None and not message.chunked:
            if not self._header_profile.buffers_unsized_bodies:
                return events.FailureReason.TRUNCATED
            self._reusable = False
        return None

    def _fail(
        self,
        reason: events.FailureReason,
        head: http.RawResponseMessage | None = None,
    ) -> None:
        handler, response = self._handler, self._response
        self.abort()
        if handler is not None:
            head = self.head or head
            handler.on_failed(reason, head)
        elif response is not None and not response.payload.is_eof():
            response.payload.set_exception(
                aiohttp.ClientPayloadError(reason.value)
            )

    def eof_received(self) -> None:
        """Ends a response that is delimited by the end of the connection."""
        response = self._response
        if (
            response is None
            or response.length is not None
            or self._parser is None
        ):
            return
        if (
            not response.message.chunked
            and self._header_profile.buffers_unsized_bodies
        ):
            self._parser.feed_eof()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Reports the loss of the connection to the handler."""
        super().connection_lost(exc)
        self._parser = None
        response = self._response
        if response is not None and response.payload.is_eof():
            self._deliver()
            return
        undelivered = response is not None and self._handler is not None
        self._fail(
            events.FailureReason.TRUNCATED
            if undelivered
            else events.FailureReason.DISCONNECTED
        )


def _stated_length(message: http.RawResponseMessage) -> int | None:
    text = message.headers.get("Content-Length")
    return int(text) if text is not None and text.isdecimal() else None


def _stated_idle_limit_s(message: http.RawResponseMessage) -> float | None:
    found = _KEEP_ALIVE_TIMEOUT.search(message.headers.get("Keep-Alive", ""))
    return float(found[1]) if found else None
