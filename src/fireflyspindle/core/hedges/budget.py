"""The operator's limit on hedges, as a share of the requests of a service.

Load pattern: a gate host sees 2 to 7 requests/s of a service, so that a limit
of 2 in 100 allows it less than one hedge in the 10 s for which the platform
bounds resends. Each host therefore rounds its allowance in that window up or
down, by a random phase. The mean over the hosts is the share of the requests of
the fleet, whatever the hosts believe of their number, and hosts that have all
been quiet can't use a saved allowance at the same moment. Since its start no
host sends more than the share of its own requests.
"""

import random

import attrs

from fireflyspindle.core import budgets

# Part of the share that a window allows. The rounding of 100 hosts with half a
# hedge each has a standard deviation of a tenth of their sum, and hosts that
# draw a new phase add up to a sixth.
WINDOW_FRACTION = 0.7
# Time after which a host draws a new phase, so that no host is left without
# hedges for good.
PHASE_US = 60_000_000


@attrs.define
class HedgeBudget:
    """Limits the hedges of one service at this gate host.

    Attributes:
        share: Hedges as a share of the requests.
        phase: Number from 0 to 1 by which the allowance in a window is rounded.
        phase_until_us: Time at which a new one is drawn.
    """

    share: float
    phase: float
    phase_until_us: int
    _window: budgets.WindowBudget
    _total: budgets.TokenBudget = attrs.field(
        factory=lambda: budgets.TokenBudget(tokens=0.0)
    )
    _second: int = -1

    def earn(self, now_us: int, generator: random.Random) -> None:
        """Counts one request."""
        self._total.earn(self.share)
        self._window.earn(now_us)
        second = now_us // budgets.BUCKET_US
        if second != self._second:
            # Drops the buckets that have left the window.
            self._second = second
            self._window.balance(now_us)
        if now_us >= self.phase_until_us:
            self.phase = generator.random()
            self.phase_until_us = now_us + PHASE_US

    def allows(self, now_us: int) -> bool:
        """Whether a hedge is within the limit."""
        return (
            self._total.tokens >= 1.0
            and self.phase + self._window.balance(now_us) >= 1.0
        )

    def spend(self, now_us: int) -> None:
        """Counts one hedge; the caller has asked `allows`."""
        self._total.spend()
        self._window.spend(now_us, self.phase)

    def refund(self) -> None:
        """Takes back the latest hedge, which was not sent."""
        self._total.earn(1.0)
        self._window.refund()


def new(
    share: float, window_us: int, now_us: int, generator: random.Random
) -> HedgeBudget:
    """Returns a budget that has counted no request.

    Args:
        share: Hedges as a share of the requests.
        window_us: Length of the window in which the share holds.
        now_us: Monotonic time.
        generator: Draws the phase and the time until which it holds, so that
            hosts that start together change theirs at different times.
    """
    return HedgeBudget(
        share,
        generator.random(),
        now_us + int(generator.random() * PHASE_US),
        budgets.WindowBudget(WINDOW_FRACTION * share, window_us),
    )
