"""Budgets for extra work, earned as a share of the calls."""

import collections

import attrs

BUCKET_US = 1_000_000


@attrs.define
class ShareBudget:
    """A token budget: each call earns a share, each extra attempt costs one.

    Over any run of calls at most `share * calls + burst` extra attempts are
    granted. The budget starts full, so that a service with few calls can
    retry its first one.

    Attributes:
        burst: Most tokens that are kept.
        tokens: Tokens at hand.
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
    """Extra sends as a share of the requests in any window of time.

    Extra sends are counted over a window that is one bucket too long, and
    requests over one that is one bucket too short, so that the share holds in
    every window, wherever it begins.

    Attributes:
        share: Extra sends as a share of the requests.
        slack: Extra sends granted beyond that share.
        window_us: Length of the window.
    """

    share: float
    slack: float
    window_us: int
    _buckets: collections.deque[list[int]] = attrs.field(
        factory=collections.deque
    )

    def earn(self, now_us: int) -> None:
        """Counts one request."""
        self._bucket(now_us)[1] += 1

    def spend(self, now_us: int) -> bool:
        """Counts one extra send; False when there is none left."""
        if self.left(now_us) < 1.0:
            return False
        self._bucket(now_us)[2] += 1
        return True

    def left(self, now_us: int) -> float:
        """Returns the extra sends that may be made now."""
        bucket = now_us // BUCKET_US
        width = self.window_us // BUCKET_US
        while self._buckets and self._buckets[0][0] < bucket - width:
            self._buckets.popleft()
        requests = sum(
            found[1] for found in self._buckets if found[0] > bucket - width
        )
        extra = sum(found[2] for found in self._buckets)
        return self.slack + self.share * requests - extra

    def _bucket(self, now_us: int) -> list[int]:
        number = now_us // BUCKET_US
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0, 0])
        return self._buckets[-1]
