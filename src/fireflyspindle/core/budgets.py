"""Budgets for extra attempts, earned as a share of the calls."""

import collections

import attrs

BUCKET_US = 1_000_000


@attrs.define
class TokenBudget:
    """A token budget: each call earns a share, each extra attempt costs one.

    Over any sequence of calls at most `share * calls + burst` extra attempts
    are granted. The budget starts full, so that a service with few calls can
    retry its first one.

    Attributes:
        burst: Maximum number of tokens.
        tokens: Available tokens.
    """

    burst: float = 10.0
    tokens: float = 10.0

    def earn(self, share: float) -> None:
        """Credits one call."""
        self.tokens = min(self.burst, self.tokens + share)

    def spend(self) -> bool:
        """Takes one token; False when there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@attrs.define
class WindowBudget:
    """Limits extra attempts to a share of the requests in any time window.

    Extra attempts are counted over a window that is one bucket longer, and
    requests over one that is one bucket shorter, so that the share holds in
    every window, whatever its start.

    Attributes:
        share: Extra attempts as a share of the requests.
        window_us: Length of the window.
    """

    share: float
    window_us: int
    # Bucket number, requests and extra attempts of each bucket.
    _buckets: collections.deque[list[int]] = attrs.field(
        factory=collections.deque
    )

    def earn(self, now_us: int) -> None:
        """Counts one request."""
        self._bucket(now_us)[1] += 1

    def spend(self, now_us: int, slack: float) -> bool:
        """Counts one extra attempt; False when the budget is exhausted.

        Args:
            now_us: Monotonic time.
            slack: Extra attempts granted in addition to the share.
        """
        if slack + self.balance(now_us) < 1.0:
            return False
        self._bucket(now_us)[2] += 1
        return True

    def refund(self) -> None:
        """Takes back the latest extra attempt, which was not sent."""
        for counts in reversed(self._buckets):
            if counts[2]:
                counts[2] -= 1
                return

    def balance(self, now_us: int) -> float:
        """Returns the share of the requests less the extra attempts."""
        bucket_number = now_us // BUCKET_US
        window_buckets = self.window_us // BUCKET_US
        while (
            self._buckets
            and self._buckets[0][0] < bucket_number - window_buckets
        ):
            self._buckets.popleft()
        requests = sum(
            counts[1]
            for counts in self._buckets
            if counts[0] > bucket_number - window_buckets
        )
        extra_attempts = sum(counts[2] for counts in self._buckets)
        return self.share * requests - extra_attempts

    def _bucket(self, now_us: int) -> list[int]:
        bucket_number = now_us // BUCKET_US
        if not self._buckets or self._buckets[-1][0] != bucket_number:
            self._buckets.append([bucket_number, 0, 0])
        return self._buckets[-1]
