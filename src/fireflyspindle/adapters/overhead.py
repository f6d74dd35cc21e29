"""Bounds the bytes of a connection that belong to no body.

A parser skips the extensions of chunks, and stores heads until they are
complete. A peer in trouble may send either without end.
"""

from aiohttp import streams
import attrs

# Most bytes beside the body of a message: heads, interim and repeated
# responses, empty lines and the framing of chunks.
MAX_OVERHEAD_BYTES = 256 * 1024
# Framing bytes that a body may have for each of its bytes; a chunk of one byte
# has five.
MAX_FRAMING_FACTOR = 16


@attrs.define
class OverheadMeter:
    """Counts the received bytes that no body accounts for."""

    _overhead_bytes: int = 0
    _body: streams.StreamReader | None = None
    _body_bytes: int = 0

    @property
    def exceeded(self) -> bool:
        """Whether there are more such bytes than a message may have."""
        return self._overhead_bytes > MAX_OVERHEAD_BYTES

    def start_message(self, body: streams.StreamReader | None = None) -> None:
        """Starts to count for a message.

        Args:
            body: Body of the message; None before its head is complete.
        """
        self._overhead_bytes = 0
        self.start_body(body)

    def start_body(self, body: streams.StreamReader | None) -> None:
        """Counts the body of the message from now on."""
        self._body = body
        self._body_bytes = 0

    def add(self, received_bytes: int) -> None:
        """Counts bytes that have been parsed."""
        growth_bytes = 0
        if self._body is not None:
            growth_bytes = self._body.total_bytes - self._body_bytes
            self._body_bytes = self._body.total_bytes
        accounted_bytes = (1 + MAX_FRAMING_FACTOR) * growth_bytes
        self._overhead_bytes = max(
            0, self._overhead_bytes + received_bytes - accounted_bytes
        )
