"""The operator's limit on hedges, as a share of the requests of a service.

Load pattern: a gate host sees 2 to 7 requests/s of a service, so that a limit
of 2 in 100 allows it less than one hedge in the 10 s for which the platform
bounds resends. Each host keeps two windows. In the long one it never sends more
than the share of its own requests, so that the sum over the fleet holds
whatever the hosts believe of their number. In the short one the host rounds its
allowance up or down by a random phase that it draws once. The mean over the
hosts is then the share of the requests of the fleet, and hosts that have all
been quiet can't use a saved allowance at the same moment.
"""

import attrs

from fireflyspindle.core import budgets

# Window in which the share holds at each single host: 2 requests/s and a share
# of 0.02 give a host two hedges in it.
LONG_WINDOW_US = 60_000_000
# Part of the share that the short window allows. The rounding of 100 hosts with
# half a hedge each has a standard deviation of a tenth of their sum.
SHORT_WINDOW_FRACTION = 0.8


@attrs.define
class HedgeBudget:
    """Limits the hedges of one service at this gate host.

    Attributes:
        share: Hedges as a share of the requests.
        phase: Number from 0 to 1 by which the allowance in the short window is
            rounded.
    """

    share: float
    phase: float
    _long: budgets.WindowBudget
    _short: budgets.WindowBudget
    _second: int = -1

    def earn(self, now_us: int) -> None:
        """Counts one request."""
        self._long.earn(now_us)
        self._short.earn(now_us)
        second = now_us // budgets.BUCKET_US
        if second != self._second:
            # Drops the buckets that have left the windows.
            self._second = second
            self._long.balance(now_us)
            self._short.balance(now_us)

    def allows(self, now_us: int) -> bool:
        """Whether a hedge is within the limit."""
        return (
            self._long.balance(now_us) >= 1.0
            and self.phase + self._short.balance(now_us) >= 1.0
        )

    def spend(self, now_us: int) -> None:
        """Counts one hedge; the caller has asked `allows`."""
        self._long.spend(now_us, 0.0)
        self._short.spend(now_us, self.phase)

    def refund(self) -> None:
        """Takes back the latest hedge, which was not sent."""
        self._long.refund()
        self._short.refund()


def new(share: float, short_window_us: int, phase: float) -> HedgeBudget:
    """Returns a budget that has counted no request."""
    return HedgeBudget(
        share,
        phase,
        budgets.WindowBudget(share, max(LONG_WINDOW_US, short_window_us)),
        budgets.WindowBudget(SHORT_WINDOW_FRACTION * share, short_window_us),
    )
