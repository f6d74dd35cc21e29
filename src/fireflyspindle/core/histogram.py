"""A histogram of times with fading memory, for quantiles."""

import math

import attrs

BUCKETS_PER_DOUBLING = 8
BUCKETS = 30 * BUCKETS_PER_DOUBLING
MEMORY_SAMPLES = 4_000
REFRESH_SAMPLES = 32


@attrs.define
class Histogram:
    """Counts of times in buckets that widen by a ninth each.

    Old samples fade: once the memory is full, every count is halved.

    Attributes:
        samples: Number of samples kept.
    """

    samples: float = 0.0
    _counts: list[float] = attrs.field(factory=lambda: [0.0] * BUCKETS)
    _since_refresh: int = REFRESH_SAMPLES
    _share: float = -1.0
    _quantile_us: int = 0

    def add(self, time_us: int) -> None:
        """Adds one time."""
        doublings = math.log2(max(1, time_us))
        index = min(BUCKETS - 1, int(doublings * BUCKETS_PER_DOUBLING))
        self._counts[index] += 1
        self.samples += 1
        self._since_refresh += 1
        if self.samples >= MEMORY_SAMPLES:
            self._counts = [count / 2 for count in self._counts]
            self.samples /= 2

    def quantile_us(self, share: float) -> int:
        """Returns the time that a share of the samples stays below.

        It is worked out anew after a number of samples, not at each call.
        """
        if self._since_refresh < REFRESH_SAMPLES and share == self._share:
            return self._quantile_us
        self._since_refresh = 0
        self._share = share
        self._quantile_us = self._find(share)
        return self._quantile_us

    def _find(self, share: float) -> int:
        left = share * self.samples
        for index, count in enumerate(self._counts):
            left -= count
            if left < 0:
                return int(2 ** ((index + 1) / BUCKETS_PER_DOUBLING))
        return int(2 ** (BUCKETS / BUCKETS_PER_DOUBLING))
