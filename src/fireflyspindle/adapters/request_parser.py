"""Parses the requests on a caller's connection one at a time."""

import asyncio
from collections.abc import Callable
import re

from aiohttp import http
from aiohttp import streams
from aiohttp import web

from fireflyspindle.adapters import head_limits as head_limits_lib
from fireflyspindle.adapters import overhead
from fireflyspindle.adapters import shared_buffer

READ_BUFFER_BYTES = 64 * 1024
# End of each head and of each body in chunks.
_SECTION_END = b"\r\n\r\n"
# Bytes in which it may begin, and one before.
_SECTION_END_START_BYTES = 4
# End of a head, which empty lines may precede. The last line of the head may
# have begun before these bytes.
_HEAD_END = re.compile(rb"(?:\A|[^\n])\r\n\r\n")
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]+")
# The library accepts any number of leading zeros.
_MAX_CHUNK_SIZE_DIGITS = 64

Request = tuple[http.RawRequestMessage, streams.StreamReader]


class RequestParser:
    """Stops at the end of each request, and holds back the bytes behind it.

    The parser of the HTTP library gets no byte behind the request that it
    parses. It would take the last trailer for a header of the next request, and
    drop what is behind a request that asks for an upgrade. Such requests
    therefore end its use, too.

    Attributes:
        stopped: Whether the last call of `feed` ended at the end of a request.
            There may then be further requests in the bytes that are held back;
            the next call parses them.
    """

    def __init__(
        self,
        protocol: shared_buffer.ReceivingProtocol,
        loop: asyncio.AbstractEventLoop,
        use: Callable[[http.HttpRequestParser], None],
    ) -> None:
        """Initializes the parser.

        Args:
            protocol: Protocol that is paused when a body is not consumed.
            loop: Event loop.
            use: Called with the library's parser, and with each later one.
        """
        self.stopped = False
        self._protocol = protocol
        self._loop = loop
        self._use = use
        self._held = b""
        # Last bytes parsed, in which the end of a section may begin.
        self._recent = b""
        # Whether the library's parser may hold back bytes of a body.
        self._interrupted = False
        self._message: http.RawRequestMessage | None = None
        self._body: streams.StreamReader = streams.EMPTY_PAYLOAD
        self._body_left_bytes = 0
        # Bytes of the current chunk, with the end of its last line, that are
        # not parsed yet; None behind the line of the last chunk.
        self._chunk_left_bytes: int | None = 0
        # Start of the line with the size of the next chunk.
        self._size_line = b""
        self._overhead = overhead.OverheadMeter()
        self._renew()

    def _renew(self) -> None:
        """Replaces the parser of the HTTP library."""
        self._parser = http.HttpRequestParser(
            self._protocol,
            self._loop,
            READ_BUFFER_BYTES,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_line_size=head_limits_lib.PARSED_LINE_BYTES,
            max_headers=head_limits_lib.PARSED_HEADERS,
            max_field_size=head_limits_lib.PARSED_LINE_BYTES,
        )
        self._use(self._parser)

    @property
    def body_complete(self) -> bool:
        """Whether the body of the latest request has been received."""
        return self._body.is_eof()

    def feed(self, data: bytes) -> Request | None:
        """Parses received bytes, after those that were held back.

        Returns:
            The request whose head is now complete, if there is one. Its body
            may arrive with later calls.

        Raises:
            HttpProcessingError: The bytes are malformed, or there are too many
                that belong to no body.
        """
        self.stopped = False
        request = self._parse(b"") if self._interrupted else None
        window = self._recent + self._held + data
        start = first = len(self._recent)
        self._recent = self._held = b""
        while start < len(window) and not (self.stopped or self._interrupted):
            end = self._piece_end(window, start)
            request = self._parse(window[start:end]) or request
            start = end
        self._check_overhead(start - first)
        if not self.stopped:
            recent_start = max(0, start - _SECTION_END_START_BYTES)
            self._recent = window[recent_start:start]
        self._held = window[start:]
        return request

    def _piece_end(self, window: bytes, start: int) -> int:
        """Returns the end of the bytes that the library may parse next."""
        message = self._message
        if message is None:
            return _head_end(window, start)
        if not message.chunked:
            if "Content-Length" in message.headers:
                return min(start + self._body_left_bytes, len(window))
            return len(window)
        at = max(0, start - _SECTION_END_START_BYTES)
        if self._chunk_left_bytes is not None:
            last_line_end = self._skip_chunks(window, start)
            if last_line_end is None:
                return len(window)
            at = last_line_end
        while (at := window.find(_SECTION_END, at)) >= 0:
            end = at + len(_SECTION_END)
            if end > start:
                return end
            at += 2
        return len(window)

    def _skip_chunks(self, window: bytes, start: int) -> int | None:
        """Skips chunks, whose data may hold anything.

        Returns:
            Position of the end of the line of the last chunk; None if the bytes
            end before, or can't be parsed by the library either.

        Raises:
            HttpProcessingError: The size of a chunk is too long.
        """
        while True:
            assert self._chunk_left_bytes is not None
            skipped_bytes = min(self._chunk_left_bytes, len(window) - start)
            start += skipped_bytes
            self._chunk_left_bytes -= skipped_bytes
            line_end = window.find(b"\n", start)
            size_end = len(window) if line_end < 0 else line_end
            size_end = min(size_end, start + _MAX_CHUNK_SIZE_DIGITS + 1)
            self._size_line += window[start:size_end]
            self._size_line = self._size_line[: _MAX_CHUNK_SIZE_DIGITS + 1]
            if line_end < 0:
                return None
            size = _CHUNK_SIZE.match(self._size_line)
            self._size_line = b""
            if size is None:
                return None
            if len(size[0]) > _MAX_CHUNK_SIZE_DIGITS:
                detail = "the size of a chunk has too many digits"
                error = http.HttpProcessingError(code=400, message=detail)
                self._fail_body(error)
                raise error
            size_bytes = int(size[0], 16)
            if size_bytes == 0:
                self._chunk_left_bytes = None
                return max(0, line_end - 1)
            self._chunk_left_bytes = size_bytes + len(b"\r\n")
            start = line_end + 1

    def _parse(self, data: bytes) -> Request | None:
        had_body = not self.body_complete
        try:
            requests, _, _ = self._parser.feed_data(data)
        except http.HttpProcessingError as error:
            self._fail_body(error)
            raise
        if requests:
            self._start(*requests[0])
        else:
            self._body_left_bytes -= len(data)
        body_complete = self.body_complete
        self._interrupted = self._protocol.reads_paused and not body_complete
        self.stopped = body_complete and bool(requests or had_body)
        if self.stopped:
            self._end()
        return requests[0] if requests else None

    def _start(
        self, message: http.RawRequestMessage, body: streams.StreamReader
    ) -> None:
        """Starts a request, whose head is complete and whose body is not."""
        self._message = message
        self._body = body
        self._body_left_bytes = int(message.headers.get("Content-Length", "0"))
        self._chunk_left_bytes = 0
        self._size_line = b""
        self._overhead.start_message(body)

    def _end(self) -> None:
        """Ends a request, whose body is complete."""
        message, self._message = self._message, None
        if message is not None and (message.chunked or message.upgrade):
            self._renew()

    def _check_overhead(self, parsed_bytes: int) -> None:
        self._overhead.add(parsed_bytes)
        if self._overhead.exceeded:
            detail = "too many bytes that belong to no body"
            error = http.HttpProcessingError(code=400, message=detail)
            self._fail_body(error)
            raise error

    def _fail_body(self, error: http.HttpProcessingError) -> None:
        """Fails the reader of a body that can't be completed."""
        if not self._body.is_eof():
            self._body.set_exception(web.RequestPayloadError(error.message))
        self._body = streams.EMPTY_PAYLOAD


def _head_end(window: bytes, start: int) -> int:
    """Returns the first position behind a start at which a head may end."""
    at = max(0, start - _SECTION_END_START_BYTES)
    while found := _HEAD_END.search(window, at):
        if found.end() > start:
            return found.end()
        at = found.start() + 1
    return len(window)
