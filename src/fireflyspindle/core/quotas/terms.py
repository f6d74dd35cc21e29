"""How the tolerance of a quota is divided among the causes of excess.

See docs/design/quotas.md for the proof that the sum of these terms keeps every
window within its bound. All functions are pure.
"""

import functools
import math

import attrs

from fireflyspindle.core import store_state

# Longest validity of a permit. Hosts learn of a lowered limit later than that
# anyway, and a longer validity hardly saves messages.
MAX_VALID_S = 1.0
# Largest shares of the tolerated excess for grants before a window and for a
# faster refill, and the smallest for the fallback of hosts that no reader
# answers. The rest deepens the buckets.
OLDER_GRANTS_SHARE = 0.25
REFILL_SHARE = 0.1
MIN_FALLBACK_SHARE = 0.15
# Largest part by which buckets are refilled faster than the quota. At 0.95 of a
# small quota 13 tokens refuse 2% of random requests, and 0.4% with this part.
MAX_FASTER_REFILL = 0.1
# Most requests by which the tolerance deepens the buckets of all readers. More
# gain nothing: 16 tokens smooth random arrivals at 0.95 of a small quota.
MAX_DEPTH_REQUESTS = 16.0
# Tokens in the bucket of a reader that has restarted, and their sum over the
# largest number of readers. Without one, an organisation with a request in 10 s
# is refused for half a minute after a restart of all.
RESTART_TOKENS = 1.0
RESTART_REQUESTS = 3 * RESTART_TOKENS
# Largest relative difference between the speeds of two hosts' clocks, with a
# margin: quartz clocks differ by less than 0.0002.
CLOCK_DRIFT = 0.001
# Rate of the fallback as a share of the quota, where the tolerance allows it.
MAX_FALLBACK_RATE = 0.4
# Share of the fleet that may use the fallback while readers grant the whole
# quota to the others: a third cut off, and 1.5 times as many hosts as counted.
FALLBACK_HOSTS_SHARE = 0.5
# Hosts accrue fallback permits at independent times, so that their number in a
# window varies like a Poisson variable. It exceeds its term with at most this
# probability, if also every permit is used and the readers grant everything.
FALLBACK_EXCESS_PROBABILITY = 1e-3
# Longest validity of a fallback permit: as long as counts of hosts are kept.
MAX_FALLBACK_VALID_S = 60.0
# Steps of the bisection for the mean of the fallback permits.
BISECTION_STEPS = 20
# Quotas whose division is kept: more than an ordinary number of organisations,
# since a division takes up to a millisecond and configurations change often.
CACHED_DIVISIONS = 4_096


@attrs.define(frozen=True)
class Terms:
    """Division of the tolerance of one organisation's quota.

    Attributes:
        refill_per_s: Rate at which the buckets of all readers are refilled.
        valid_us: Validity of a permit.
        depth_requests: Requests by which the buckets of all readers together
            are deeper than the burst.
        fallback_requests: Fallback permits in a window that are covered.
        fallback_per_s: Rate of fallback permits over all hosts.
        fallback_valid_us: Validity of a fallback permit.
    """

    refill_per_s: float
    valid_us: int
    depth_requests: float
    fallback_requests: float
    fallback_per_s: float
    fallback_valid_us: int


def excess_requests(
    requests_per_s: float,
    burst_requests: float,
    tolerance: store_state.QuotaTolerance,
) -> float:
    """Returns the requests that a window tolerates beyond the quota."""
    window_s = tolerance.window_ms / 1000
    quota = requests_per_s * window_s + burst_requests
    return tolerance.overage * quota + tolerance.slack_requests


@functools.lru_cache(maxsize=CACHED_DIVISIONS)
def divide(
    requests_per_s: float,
    burst_requests: float,
    tolerance: store_state.QuotaTolerance,
) -> Terms:
    """Divides the tolerance of a quota.

    Load pattern: quotas differ by a factor of a thousand (Zipf). The tolerance
    of a small one consists of the slack mainly, which buys it a long validity,
    a faster refill and a deeper bucket.
    """
    excess = excess_requests(requests_per_s, burst_requests, tolerance)
    window_s = tolerance.window_ms / 1000
    faster = min(
        MAX_FASTER_REFILL, REFILL_SHARE * excess / (requests_per_s * window_s)
    )
    refill_per_s = (1 + faster) * requests_per_s
    valid_s = min(MAX_VALID_S, OLDER_GRANTS_SHARE * excess / refill_per_s)
    left = excess - faster * requests_per_s * window_s - RESTART_REQUESTS
    left -= older_grants(refill_per_s, valid_s)
    depth = left - MIN_FALLBACK_SHARE * excess
    depth = max(0.0, min(MAX_DEPTH_REQUESTS, depth))
    left -= depth
    rate, fallback_valid_s = _fallback(requests_per_s, window_s, valid_s, left)
    return Terms(
        refill_per_s=refill_per_s,
        valid_us=int(valid_s * 1000) * 1000,
        depth_requests=depth,
        fallback_requests=left,
        fallback_per_s=rate,
        fallback_valid_us=int(fallback_valid_s * 1e6),
    )


def older_grants(refill_per_s: float, valid_s: float) -> float:
    """Returns the requests that grants before a window may add to it."""
    return refill_per_s * valid_s * (1 + CLOCK_DRIFT)


def _fallback(
    requests_per_s: float, window_s: float, valid_s: float, requests: float
) -> tuple[float, float]:
    """Returns the rate and the validity in seconds of fallback permits.

    Those that accrue in a window and the validity before it may be used in it.
    """
    mean = _largest_mean(requests)
    rate = MAX_FALLBACK_RATE * requests_per_s
    span_s = mean / (FALLBACK_HOSTS_SHARE * rate)
    if span_s < window_s + valid_s:
        rate = mean / (FALLBACK_HOSTS_SHARE * (window_s + valid_s))
        return rate, valid_s
    return rate, min(MAX_FALLBACK_VALID_S, span_s - window_s)


def _largest_mean(requests: float) -> float:
    """Returns the largest mean of a Poisson variable that fits a number.

    It exceeds the number with `FALLBACK_EXCESS_PROBABILITY` at most.
    """
    if requests < 1:
        return 0.0
    low, high = 0.0, requests
    for _ in range(BISECTION_STEPS):
        mean = (low + high) / 2
        if _excess_probability(mean, int(requests)) > (
            FALLBACK_EXCESS_PROBABILITY
        ):
            high = mean
        else:
            low = mean
    return low


def _excess_probability(mean: float, most: int) -> float:
    """Returns the probability that a Poisson variable exceeds a number."""
    if mean <= 0:
        return 0.0
    log_mean = math.log(mean)
    at_most = sum(
        math.exp(count * log_mean - mean - math.lgamma(count + 1))
        for count in range(most + 1)
    )
    return max(0.0, 1 - at_most)
