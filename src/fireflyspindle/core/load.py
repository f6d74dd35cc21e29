"""Estimates of the load of targets, from own counts and free reports.

An answer reports how many requests its target holds. What exceeds this gate
host's own attempts there belongs to other gate hosts. Single reports are
stale and noisy, so the others' share is averaged over time.

A true report counts this gate host's own attempts too: over many answers it
rises by one for each of them. The slope of reports over own attempts is
therefore a check of whether reports are true and fresh, and weights them.
"""

import math

import attrs

from fireflyspindle.core import histogram

NEVER_US = -1_000_000_000
OTHERS_DECAY_US = 100_000
FORGET_US = 1_000_000
OTHERS_WEIGHT = 0.5

TRUST_SAMPLES = 250
TRUST_FROM_SLOPE = 0.25
TRUST_FULL_SLOPE = 0.65
UNDER_REPORT_STEP = 0.02
UNDER_REPORT_LIMIT = 0.05

TYPICAL_STEP = 0.01
MEAN_OTHERS_STEP = 0.01


@attrs.define
class TargetLoad:
    """What this gate host estimates of the load of one target.

    Attributes:
        others: Moving average of other gate hosts' attempts.
        heard_us: Time of the latest report or probe, or `NEVER_US`.
        probed_us: Time of the latest probe, or `NEVER_US`.
        started_sum_us: Sum of the start times of own attempts in flight.
        under_reports: Moving share of reports below own attempts.
    """

    others: float = 0.0
    heard_us: int = NEVER_US
    probed_us: int = NEVER_US
    started_sum_us: int = 0
    under_reports: float = 0.0


@attrs.define
class ServiceLoad:
    """What this gate host estimates over all targets of a service.

    Attributes:
        typical_us: Moving average of the time to an answer.
        mean_others: Moving average of other gate hosts' attempts.
        latencies: Times to an answer.
    """

    typical_us: float = 10_000.0
    mean_others: float = 0.0
    latencies: histogram.Histogram = attrs.field(factory=histogram.Histogram)
    _own_mean: float = 0.0
    _report_mean: float = 0.0
    _own_variance: float = 0.3
    _covariance: float = 0.0

    def trust(self) -> float:
        """Returns the weight of reports, from 0 (none) to 1 (whole)."""
        slope = self._covariance / max(self._own_variance, 1e-6)
        span = TRUST_FULL_SLOPE - TRUST_FROM_SLOPE
        return min(1.0, max(0.0, (slope - TRUST_FROM_SLOPE) / span))

    def compare(self, own: int, reported: int) -> None:
        """Takes one report and the own attempts at that time."""
        own_gap = own - self._own_mean
        report_gap = reported - self._report_mean
        step = 1 / TRUST_SAMPLES
        self._own_mean += step * own_gap
        self._report_mean += step * report_gap
        self._own_variance += step * (own_gap * own_gap - self._own_variance)
        self._covariance += step * (own_gap * report_gap - self._covariance)


def on_begin(target: TargetLoad, now_us: int) -> None:
    """Counts an attempt that begins."""
    target.started_sum_us += now_us


def on_end(target: TargetLoad, started_us: int) -> None:
    """Counts an attempt that has ended."""
    target.started_sum_us -= started_us


def on_latency(service: ServiceLoad, latency_us: int) -> None:
    """Takes the time that an attempt took to its answer."""
    service.latencies.add(latency_us)
    service.typical_us += TYPICAL_STEP * (latency_us - service.typical_us)


def on_report(
    service: ServiceLoad,
    target: TargetLoad,
    reported: int,
    own: int,
    now_us: int,
) -> None:
    """Takes a load report.

    Args:
        service: Estimates of the service.
        target: Estimates of the reporting target.
        reported: Requests that the target states to hold.
        own: Own attempts in flight there, without the answered one.
        now_us: Monotonic time.
    """
    service.compare(own, reported)
    under = 1.0 if reported < own else 0.0
    target.under_reports += UNDER_REPORT_STEP * (under - target.under_reports)
    others = max(0, reported - own)
    age_us = now_us - target.heard_us
    kept = math.exp(-age_us / OTHERS_DECAY_US)
    target.others = others + (target.others - others) * kept
    target.heard_us = now_us
    if target.under_reports < UNDER_REPORT_LIMIT:
        gap = others - service.mean_others
        service.mean_others += MEAN_OTHERS_STEP * gap


def expected_others(
    service: ServiceLoad, target: TargetLoad, now_us: int
) -> float:
    """Returns the weighted load that other gate hosts put on a target.

    The average of a target fades to that of the service with its age.

    Args:
        service: Estimates of the service.
        target: Estimates of the target.
        now_us: Monotonic time.
    """
    mean = service.mean_others
    age_us = now_us - target.heard_us
    if age_us >= FORGET_US or target.under_reports >= UNDER_REPORT_LIMIT:
        return OTHERS_WEIGHT * mean
    fresh = 1.0 - age_us / FORGET_US
    return OTHERS_WEIGHT * (mean + (target.others - mean) * fresh)
