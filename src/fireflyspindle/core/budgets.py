"""Budgets for extra work, earned as a share of the calls."""

import attrs


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
