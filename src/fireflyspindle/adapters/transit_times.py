"""How long the messages of a stream were on their way.

A message may wait in the sender's buffers, on a link with a queue and at the
receiver. Neither side sees this wait, and the clocks of two hosts differ. They
run at the same rate, and the first message is sent after the request for the
stream: this bounds the wait of each message from above.
"""

import attrs

# Most by which the clocks of two hosts may drift apart in the lifetime of a
# stream: 500 ppm each, the most by which NTP slews a clock, for 300 s.
MAX_DRIFT_MS = 300


@attrs.define
class TransitTimes:
    """Bounds of the transit times of the messages of one stream.

    Attributes:
        requested_us: Time at which the stream was requested, by the receiver's
            clock.
    """

    requested_us: int
    _first_sent_ms: int | None = None

    def longest_ms(self, sent_ms: int, received_us: int) -> int:
        """Returns the longest time for which a message was on its way.

        The bound is too long by the time between the request and the first
        message, usually one round trip.

        Args:
            sent_ms: Time at which it was sent, by the sender's clock.
            received_us: Time at which it was received, by the receiver's.

        Raises:
            ValueError: It seems to have been received before it was sent, as
                the receiver's clock has stopped for a while.
        """
        if self._first_sent_ms is None:
            self._first_sent_ms = sent_ms
        received_ms = (received_us - self.requested_us) // 1000
        longest_ms = received_ms - (sent_ms - self._first_sent_ms)
        if longest_ms < -MAX_DRIFT_MS:
            raise ValueError(
                f"a line was received {-longest_ms} ms before it was sent; a"
                " clock has stopped or changed its rate"
            )
        return max(0, longest_ms)
