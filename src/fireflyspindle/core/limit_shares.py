"""The part of a limit that gate hosts use, each without knowing of the others.

The permits of a host come at regular intervals, at times that are independent
of those of other hosts. The part is chosen so that their sum exceeds what a
target tolerates with a negligible probability only.
"""

import functools
import math

from fireflyspindle.core import targets

# Time after which an unused permit is lost.
PERMIT_LIFETIME_US = 500_000
# Maximum probability that a window has more requests than a target tolerates.
MAX_EXCESS_PROBABILITY = 2e-6
# The same while all hosts count too few hosts and the largest fleet runs.
MAX_MISCOUNTED_PROBABILITY = 1e-4
# Share of that probability below which further terms of its sum are left out.
NEGLIGIBLE_SHARE = 1e-9
# Steps in which the used part of a limit is reduced, down to the smallest part.
FRACTION_STEP = 0.05
MIN_FRACTION = 0.25


@functools.lru_cache(maxsize=1_000)
def used_fraction(
    requests_per_s: float,
    hosts: int,
    tolerance: targets.Tolerance = targets.STATED_TOLERANCE,
    max_probability: float = MAX_EXCESS_PROBABILITY,
) -> float:
    """Returns the part of a limit that the gate hosts use together.

    Each host has a permit at regular intervals, starting at a random time. In a
    window, each host has either the integer part of the mean or one more, so
    that the sum follows a binomial distribution.

    Args:
        requests_per_s: The limit.
        hosts: Number of gate hosts.
        tolerance: How far the target tolerates that the limit is exceeded.
        max_probability: Maximum probability that a window has more.
    """
    window_s = tolerance.window_s + PERMIT_LIFETIME_US / 1e6
    tolerated = tolerance.requests + (
        tolerance.factor * tolerance.window_s * requests_per_s
    )
    fraction = 1.0
    while fraction > MIN_FRACTION:
        mean_per_host = fraction * requests_per_s * window_s / hosts
        certain = math.floor(mean_per_host)
        excess_probability = _binomial_tail(
            math.floor(tolerated) - certain * hosts,
            hosts,
            mean_per_host - certain,
        )
        if excess_probability <= max_probability:
            break
        fraction -= FRACTION_STEP
    return fraction


def _binomial_tail(successes: int, trials: int, probability: float) -> float:
    """Returns the probability of more than a number of successes."""
    if successes < 0:
        return 1.0
    if successes >= trials or not probability:
        return 0.0
    term = math.exp(
        math.lgamma(trials + 1)
        - math.lgamma(successes + 2)
        - math.lgamma(trials - successes)
        + (successes + 1) * math.log(probability)
        + (trials - successes - 1) * math.log1p(-probability)
    )
    odds = probability / (1 - probability)
    total = 0.0
    for count in range(successes + 1, trials + 1):
        total += term
        if term < NEGLIGIBLE_SHARE * total:
            break
        term *= (trials - count) / (count + 1) * odds
    return total
