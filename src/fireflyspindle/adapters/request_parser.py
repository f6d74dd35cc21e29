"""Parses the requests on a caller's connection one at a time."""

import asyncio

from aiohttp import base_protocol
from aiohttp import http
from aiohttp import streams
from aiohttp import web

from fireflyspindle.adapters import head_limits as head_limits_lib
from fireflyspindle.adapters import overhead

READ_BUFFER_BYTES = 64 * 1024

Request = tuple[http.RawRequestMessage, streams.StreamReader]


class RequestParser:
    """Stops at the end of each request, and holds back the bytes behind it.

    Attributes:
        parser: The parser of the HTTP library.
        stopped: Whether the last call of `feed` ended at the end of a request.
            There may then be further requests in the bytes that are held back;
            the next call parses them.
        upgraded: Whether the bytes behind the latest request are not HTTP/1.1.
    """

    def __init__(
        self,
        protocol: base_protocol.BaseProtocol,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.stopped = False
        self.upgraded = False
        self.parser = http.HttpRequestParser(
            protocol,
            loop,
            READ_BUFFER_BYTES,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_line_size=head_limits_lib.PARSED_LINE_BYTES,
            max_headers=head_limits_lib.PARSED_HEADERS,
            max_field_size=head_limits_lib.PARSED_LINE_BYTES,
            max_msg_queue_size=1,
        )
        self._body: streams.StreamReader = streams.EMPTY_PAYLOAD
        self._overhead = overhead.OverheadMeter()

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
        was_complete = self.body_complete
        self.stopped = False
        if was_complete:
            self.parser.message_consumed()
        try:
            requests, self.upgraded, _ = self.parser.feed_data(data)
            self._check_overhead(requests, len(data))
        except http.HttpProcessingError as error:
            self._fail_body(error)
            raise
        self.stopped = self.body_complete and bool(requests or not was_complete)
        return requests[0] if requests else None

    def _check_overhead(
        self, requests: list[Request], received_bytes: int
    ) -> None:
        if requests:
            self._body = requests[0][1]
            self._overhead.start_message(self._body)
        self._overhead.add(received_bytes)
        if self._overhead.exceeded:
            detail = "too many bytes that belong to no body"
            raise http.HttpProcessingError(code=400, message=detail)

    def _fail_body(self, error: http.HttpProcessingError) -> None:
        """Fails the reader of a body that can't be completed."""
        if not self._body.is_eof():
            self._body.set_exception(web.RequestPayloadError(error.message))
        self._body = streams.EMPTY_PAYLOAD
