"""Estimates the load of targets from own attempts and load reports.

An answer reports how many requests its target has in flight. The part that
exceeds this gate host's own attempts comes from other gate hosts. Single
reports are stale and noisy, so that part is averaged over time.

A correct report includes this gate host's own attempts: over many answers it
rises by one for each of them. The slope of reports over own attempts therefore
shows whether reports are correct and fresh, and is used to weight them.
"""

import math

import attrs

from fireflyspindle.core import histogram

NEVER_US = -1_000_000_000
OTHER_HOSTS_DECAY_US = 100_000
REPORT_EXPIRY_US = 1_000_000
OTHER_HOSTS_WEIGHT = 0.5

SLOPE_SAMPLES = 250
ZERO_TRUST_SLOPE = 0.1
FULL_TRUST_SLOPE = 0.4
UNDER_REPORT_SMOOTHING = 0.02
UNDER_REPORT_LIMIT = 0.05

LATENCY_SMOOTHING = 0.01
MEAN_OTHER_HOSTS_SMOOTHING = 0.01


@attrs.define
class TargetLoad:
    """Load estimate of one target.

    Attributes:
        others_in_flight: Moving average of other gate hosts' attempts in
            flight.
        reported_us: Time of the latest load report, or `NEVER_US`.
        probed_us: Time of the latest probe, or `NEVER_US`.
        started_sum_us: Sum of the start times of own attempts in flight.
        under_report_share: Moving average of the share of reports that are
            below the own attempts in flight.
    """

    others_in_flight: float = 0.0
    reported_us: int = NEVER_US
    probed_us: int = NEVER_US
    started_sum_us: int = 0
    under_report_share: float = 0.0


@attrs.define
class ServiceLoad:
    """Load estimates over all targets of a service.

    Attributes:
        mean_latency_us: Moving average of the answer latency.
        mean_others_in_flight: Moving average of other gate hosts' attempts in
            flight.
        latencies: Histogram of answer latencies.
    """

    mean_latency_us: float = 10_000.0
    mean_others_in_flight: float = 0.0
    latencies: histogram.Histogram = attrs.field(factory=histogram.Histogram)
    _own_mean: float = 0.0
    _report_mean: float = 0.0
    _own_variance: float = 0.3
    _covariance: float = 0.0

    def report_weight(self) -> float:
        """Returns the weight of reports, from 0 (ignored) to 1 (full)."""
        slope = self._covariance / max(self._own_variance, 1e-6)
        span = FULL_TRUST_SLOPE - ZERO_TRUST_SLOPE
        return min(1.0, max(0.0, (slope - ZERO_TRUST_SLOPE) / span))

    def update_slope(self, own: int, reported: int) -> None:
        """Updates the slope with a report and the own attempts at that time."""
        own_deviation = own - self._own_mean
        report_deviation = reported - self._report_mean
        step = 1 / SLOPE_SAMPLES
        self._own_mean += step * own_deviation
        self._report_mean += step * report_deviation
        self._own_variance += step * (
            own_deviation * own_deviation - self._own_variance
        )
        self._covariance += step * (
            own_deviation * report_deviation - self._covariance
        )


def on_attempt_started(target: TargetLoad, now_us: int) -> None:
    """Adds an attempt that starts."""
    target.started_sum_us += now_us


def on_attempt_ended(target: TargetLoad, started_us: int) -> None:
    """Removes an attempt that has ended."""
    target.started_sum_us -= started_us


def on_latency(service: ServiceLoad, latency_us: int) -> None:
    """Adds the latency of an answer."""
    service.latencies.add(latency_us)
    service.mean_latency_us += LATENCY_SMOOTHING * (
        latency_us - service.mean_latency_us
    )


def on_report(
    service: ServiceLoad,
    target: TargetLoad,
    reported: int,
    own: int,
    now_us: int,
) -> None:
    """Updates the estimates from a load report.

    Args:
        service: Estimates of the service.
        target: Estimates of the reporting target.
        reported: Requests in flight that the target reports.
        own: Own attempts in flight there, excluding the answered one.
        now_us: Monotonic time.
    """
    service.update_slope(own, reported)
    under_report = 1.0 if reported < own else 0.0
    target.under_report_share += UNDER_REPORT_SMOOTHING * (
        under_report - target.under_report_share
    )
    others = max(0, reported - own)
    age_us = now_us - target.reported_us
    decay = math.exp(-age_us / OTHER_HOSTS_DECAY_US)
    target.others_in_flight = (
        others + (target.others_in_flight - others) * decay
    )
    target.reported_us = now_us
    if target.under_report_share < UNDER_REPORT_LIMIT:
        deviation = others - service.mean_others_in_flight
        service.mean_others_in_flight += MEAN_OTHER_HOSTS_SMOOTHING * deviation


def expected_others_in_flight(
    service: ServiceLoad, target: TargetLoad, now_us: int
) -> float:
    """Returns the weighted load on a target from other gate hosts.

    As a target's average ages, the result moves to the average of the service.

    Args:
        service: Estimates of the service.
        target: Estimates of the target.
        now_us: Monotonic time.
    """
    mean = service.mean_others_in_flight
    age_us = now_us - target.reported_us
    if (
        age_us >= REPORT_EXPIRY_US
        or target.under_report_share >= UNDER_REPORT_LIMIT
    ):
        return OTHER_HOSTS_WEIGHT * mean
    freshness = 1.0 - age_us / REPORT_EXPIRY_US
    return OTHER_HOSTS_WEIGHT * (
        mean + (target.others_in_flight - mean) * freshness
    )
