"""Parses the requests on a caller's connection one at a time."""

import asyncio
from collections.abc import Callable
import re

from aiohttp import http
from aiohttp import streams
from aiohttp import web

from fireflyspindle.adapters import head_limits as head_limits_lib
from fireflyspindle.adapters import overhead
from fireflyspindle.adapters import parse_queue
from fireflyspindle.adapters import shared_buffer

READ_BUFFER_BYTES = 64 * 1024
# End of each head, and of trailers.
_SECTION_END = b"\r\n\r\n"
# End of trailers without a line.
_EMPTY_LINE = b"\r\n"
_LINE_END_CHARACTERS = b"\r\n"
_METHOD = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+(?: |\Z)")
_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]+")
# The library accepts any number of leading zeros.
_MAX_CHUNK_SIZE_DIGITS = 64
# Most headers of a request that an idle connection keeps.
_KEPT_HEADERS = 64

Request = tuple[http.RawRequestMessage, streams.StreamReader]


class HeadTooLong(http.HttpProcessingError):
    """A head, or the trailers of a body, exceed their limit."""

    def __init__(self, section: str, limit_bytes: int) -> None:
        super().__init__(
            code=400, message=f"the {section} exceeds {limit_bytes} bytes"
        )


class RequestParser:
    """Stops at the end of each request, and holds back the bytes behind it.

    The parser of the HTTP library gets no byte behind the request that it
    parses. It would take the last trailer for a header of the next request, and
    drop what is behind a request that asks for an upgrade. Such requests
    therefore end its use, too.

    It gets heads and trailers once they are complete: parsed, their lines take
    many times their bytes.

    Attributes:
        stopped: Whether the last call of `feed` ended at the end of a request.
            There may then be further requests in the bytes that are held back;
            the next call parses them.
        turn_ended: Whether the last call of `feed` left bytes to a later turn.
        waiting: Whether it left a head for which there was no room yet.
    """

    def __init__(
        self,
        protocol: shared_buffer.ReceivingProtocol,
        loop: asyncio.AbstractEventLoop,
        use: Callable[[http.HttpRequestParser], None],
        head_limit_bytes: Callable[[], int] = lambda: (
            head_limits_lib.PARSED_HEAD_BYTES
        ),
        admit: Callable[[bytes], bool] = lambda _head: True,
    ) -> None:
        """Initializes the parser.

        Args:
            protocol: Protocol that is paused when a body is not consumed.
            loop: Event loop.
            use: Called with the library's parser, and with each later one.
            head_limit_bytes: Returns the size that a head, and the trailers of
                a body, may have.
            admit: Returns whether a complete head may be parsed now; raises
                HttpProcessingError if it is refused.
        """
        self.stopped = False
        self.turn_ended = False
        self.waiting = False
        self._admit = admit
        self._turn = parse_queue.Turn()
        self._protocol = protocol
        self._loop = loop
        self._use = use
        self._head_limit_bytes = head_limit_bytes
        self._held = b""
        # Bytes of an incomplete section in which its end was looked for.
        self._searched_bytes = 0
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
            max_line_size=head_limits_lib.PARSED_HEAD_BYTES,
            max_headers=head_limits_lib.PARSED_HEADERS,
            max_field_size=head_limits_lib.PARSED_HEAD_BYTES,
        )
        self._use(self._parser)

    @property
    def held_bytes(self) -> int:
        """Received bytes that are not parsed yet."""
        return len(self._held)

    @property
    def body_complete(self) -> bool:
        """Whether the body of the latest request has been received."""
        return self._body.is_eof()

    def feed(
        self, data: bytes, turn: parse_queue.Turn | None = None
    ) -> Request | None:
        """Parses received bytes, after those that were held back.

        Args:
            data: The received bytes.
            turn: Steps in which they may be parsed; all by default.

        Returns:
            The request whose head is now complete, if there is one. Its body
            may arrive with later calls.

        Raises:
            HttpProcessingError: The bytes are malformed, or there are too many
                that belong to no body.
        """
        self.stopped = self.turn_ended = self.waiting = False
        self._turn = turn or parse_queue.Turn()
        request = self._parse(b"") if self._interrupted else None
        window = self._held + data
        start = 0
        self._held = b""
        while start < len(window) and not (self.stopped or self._interrupted):
            if self._message is None:
                start = _skip_empty_lines(window, start)
            end = self._piece_end(window, start)
            if end == start:
                break
            request = self._parse(window[start:end]) or request
            start = end
        self._check_overhead(start)
        self._held = window[start:]
        return request

    def close(self) -> None:
        """Discards all that is held; nothing may be parsed afterwards.

        A connection and its parser refer to each other, so that they may stay
        for long after the connection has ended.
        """
        self._held = b""
        self._message = None
        self._body = streams.EMPTY_PAYLOAD
        del self._parser

    def _piece_end(self, window: bytes, start: int) -> int:
        """Returns the end of the bytes that the library may parse next."""
        message = self._message
        if message is None:
            return self._head_end(window, start)
        if message.chunked:
            if self._chunk_left_bytes is None:
                return self._trailers_end(window, start)
            return self._skip_chunks(window, start)
        if "Content-Length" in message.headers:
            return min(start + self._body_left_bytes, len(window))
        return len(window)

    def _head_end(self, window: bytes, start: int) -> int:
        end = self._section_end(window, start, "head")
        if end == start and not (
            self.turn_ended or _may_be_head(window[start:])
        ):
            # The library tells what is wrong.
            return len(window)
        if end > start and not self._admit(window[start:end]):
            self.waiting = True
            return start
        return end

    def _trailers_end(self, window: bytes, start: int) -> int:
        if window.startswith(_EMPTY_LINE, start):
            return start + len(_EMPTY_LINE)
        try:
            return self._section_end(window, start, "trailer section")
        except HeadTooLong as error:
            self._fail_body(error)
            raise

    def _section_end(self, window: bytes, start: int, section: str) -> int:
        """Returns the end of a section, or its start if it is incomplete.

        Raises:
            HeadTooLong: The section exceeds the limit.
        """
        found = window.find(_SECTION_END, start + self._searched_bytes)
        end = len(window) if found < 0 else found + len(_SECTION_END)
        limit_bytes = self._head_limit_bytes()
        if end - start > limit_bytes:
            raise HeadTooLong(section, limit_bytes)
        if found < 0:
            self._searched_bytes = max(0, end - start - len(_SECTION_END) + 1)
            return start
        if not self._turn.takes(parse_queue.head_steps(window[start:end])):
            self.turn_ended = True
            return start
        self._searched_bytes = 0
        return end

    def _skip_chunks(self, window: bytes, start: int) -> int:
        """Skips chunks, whose data may hold anything.

        Returns:
            The end of the line of the last chunk, or of the last chunk of the
            turn; the end of the bytes if it is not among them, or they can't be
            parsed by the library either.

        Raises:
            HttpProcessingError: The size of a chunk is too long.
        """
        while True:
            assert self._chunk_left_bytes is not None
            skipped_bytes = min(self._chunk_left_bytes, len(window) - start)
            start += skipped_bytes
            self._chunk_left_bytes -= skipped_bytes
            if start < len(window) and not self._turn.takes(1):
                self.turn_ended = True
                return start
            line_end = window.find(b"\n", start)
            size_end = len(window) if line_end < 0 else line_end
            size_end = min(size_end, start + _MAX_CHUNK_SIZE_DIGITS + 1)
            self._size_line += window[start:size_end]
            self._size_line = self._size_line[: _MAX_CHUNK_SIZE_DIGITS + 1]
            if line_end < 0:
                return len(window)
            size = _CHUNK_SIZE.match(self._size_line)
            self._size_line = b""
            if size is None:
                return len(window)
            if len(size[0]) > _MAX_CHUNK_SIZE_DIGITS:
                detail = "the size of a chunk has too many digits"
                error = http.HttpProcessingError(code=400, message=detail)
                self._fail_body(error)
                raise error
            size_bytes = int(size[0], 16)
            start = line_end + 1
            if size_bytes == 0:
                self._chunk_left_bytes = None
                return start
            self._chunk_left_bytes = size_bytes + len(_EMPTY_LINE)

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
        if message is None:
            return
        # The library keeps the headers until the next request.
        many_headers = len(message.raw_headers) > _KEPT_HEADERS
        if message.chunked or message.upgrade or many_headers:
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


def _may_be_head(start: bytes) -> bool:
    """Whether bytes may be the start of a head."""
    if not _METHOD.match(start) or _BARE_LINE_FEED.search(start):
        return False
    first_line, line_end, _ = start.partition(b"\r\n")
    return not line_end or b" HTTP/" in first_line


def _skip_empty_lines(window: bytes, start: int) -> int:
    """Returns the start of a head, which empty lines may precede."""
    while window[start : start + 1] in (b"\r", b"\n"):
        rest = window[start:]
        start += len(rest) - len(rest.lstrip(_LINE_END_CHARACTERS))
    return start
