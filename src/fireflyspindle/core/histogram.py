"""A histogram of times that decays exponentially, for quantiles."""

import math

import attrs

BUCKETS_PER_DOUBLING = 8
BUCKETS = 30 * BUCKETS_PER_DOUBLING
MAX_SAMPLES = 4_000
REFRESH_SAMPLES = 32


@attrs.define
class Histogram:
    """Counts of times in buckets whose bounds grow by a constant factor.

    Every count is halved once `MAX_SAMPLES` is reached, so that old samples
    lose weight.

    Attributes:
        samples: Total weight of the samples.
    """

    samples: float = 0.0
    _counts: list[float] = attrs.field(factory=lambda: [0.0] * BUCKETS)
    _samples_since_refresh: int = REFRESH_SAMPLES
    _cached_share: float = -1.0
    _cached_quantile_us: int = 0

    def add(self, time_us: int) -> None:
        """Adds a sample."""
        doublings = math.log2(max(1, time_us))
        index = min(BUCKETS - 1, int(doublings * BUCKETS_PER_DOUBLING))
        self._counts[index] += 1
        self.samples += 1
        self._samples_since_refresh += 1
        if self.samples >= MAX_SAMPLES:
            self._counts = [count / 2 for count in self._counts]
            self.samples /= 2

    def quantile_us(self, share: float) -> int:
        """Returns the quantile of a share of the samples.

        The result is cached for `REFRESH_SAMPLES` samples.
        """
        if (
            self._samples_since_refresh < REFRESH_SAMPLES
            and share == self._cached_share
        ):
            return self._cached_quantile_us
        self._samples_since_refresh = 0
        self._cached_share = share
        self._cached_quantile_us = self._compute_quantile_us(share)
        return self._cached_quantile_us

    def _compute_quantile_us(self, share: float) -> int:
        remaining = share * self.samples
        for index, count in enumerate(self._counts):
            remaining -= count
            if remaining < 0:
                return int(2 ** ((index + 1) / BUCKETS_PER_DOUBLING))
        return int(2 ** (BUCKETS / BUCKETS_PER_DOUBLING))
