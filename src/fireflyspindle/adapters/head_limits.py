"""Limits on the heads of callers' requests."""

from aiohttp import http
import attrs

# Longest line unless a limit is configured; the default of aiohttp.
LINE_BYTES = 8_190
TIMEOUT_S = 30.0
# Longest line that is parsed at all. Connections are open while the configured
# limit changes, which may only be lower.
PARSED_LINE_BYTES = 64 * 1024


@attrs.define(frozen=True)
class HeadLimits:
    """Limits on request heads.

    Attributes:
        line_bytes: Longest request target, header name or header value.
        timeout_s: Longest time from the first byte of a head to its end.
    """

    line_bytes: int = LINE_BYTES
    timeout_s: float = TIMEOUT_S

    def check(
        self, message: http.RawRequestMessage
    ) -> http.HttpProcessingError | None:
        """Returns the error of a head with a line that is too long, if any."""
        sizes = [
            max(len(name), len(value)) for name, value in message.raw_headers
        ]
        if max([len(message.path), *sizes]) <= self.line_bytes:
            return None
        detail = f"a line of the head exceeds {self.line_bytes} bytes"
        return http.HttpProcessingError(code=400, message=detail)
