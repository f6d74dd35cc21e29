"""Limits on the heads of callers' requests."""

from aiohttp import http
import attrs

from fireflyspindle.adapters import overhead
from fireflyspindle.core import refusals

# Limits unless others are configured; the defaults of aiohttp.
LINE_BYTES = 8_190
HEADER_COUNT = 128
TIMEOUT_S = 30.0
# Bytes of the shortest line of a header: a name, a colon and the line end.
MIN_HEADER_BYTES = 4
# Largest head, and most headers, that are parsed at all. Connections are open
# while the configured limits change.
PARSED_HEAD_BYTES = overhead.MAX_OVERHEAD_BYTES
PARSED_HEADERS = PARSED_HEAD_BYTES // MIN_HEADER_BYTES


@attrs.define(frozen=True)
class HeadLimits:
    """Limits on request heads.

    Attributes:
        line_bytes: Longest request target, header name or header value.
        timeout_s: Longest time from the first byte of a head to its end.
        header_count: Most headers of a head.
        head_bytes: Largest head, with its line ends, and largest trailers of a
            body.
    """

    line_bytes: int = LINE_BYTES
    timeout_s: float = TIMEOUT_S
    header_count: int = HEADER_COUNT
    head_bytes: int = PARSED_HEAD_BYTES

    def check(self, message: http.RawRequestMessage) -> refusals.Refusal | None:
        """Returns the refusal of a head that exceeds the limits, if it does."""
        if len(message.raw_headers) > self.header_count:
            detail = f"the head has more than {self.header_count} headers"
            return refusals.Refusal(400, "bad_http", detail, over_limit=True)
        sizes = [
            max(len(name), len(value)) for name, value in message.raw_headers
        ]
        if max([len(message.path), *sizes]) <= self.line_bytes:
            return None
        detail = f"a line of the head exceeds {self.line_bytes} bytes"
        return refusals.Refusal(400, "bad_http", detail, over_limit=True)
