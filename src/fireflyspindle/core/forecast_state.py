"""Load reports of targets as kept by a gate host, and their averages."""

import attrs

NEVER_US = -1_000_000_000
# Average slowdown assumed before the first report. When a quarter of the
# targets take seven times as long, the mean is 2.5.
INITIAL_SLOWDOWN = 2.0


@attrs.define
class LoadReportState:
    """The latest load report of a target.

    Attributes:
        reported_us: Time of the latest report, or `NEVER_US`.
        others_in_flight: Requests of other gate hosts in flight at the target.
        slowdown: Processing time there, relative to the usual time.
        unresponsive_until_us: Time until which it counts as unresponsive, after
            a probe that it did not answer in time.
        missed_probes: Consecutive probes that it did not answer in time.
    """

    reported_us: int = NEVER_US
    others_in_flight: int = 0
    slowdown: float = 1.0
    unresponsive_until_us: int = 0
    missed_probes: int = 0


@attrs.define
class ServiceAverages:
    """Averages over the targets of a service.

    Attributes:
        processing_time_us: Processing time at the usual speed; 0 while unknown.
        slowdown: Average processing time, relative to the usual time.
        others_in_flight: Average number of other gate hosts' requests in
            flight at a target.
        saturation_slowdown: Processing time at a target near its capacity,
            relative to the usual time.
        missing_reports: Consecutive answers without a load report.
    """

    processing_time_us: float = 0.0
    slowdown: float = INITIAL_SLOWDOWN
    others_in_flight: float = 0.0
    saturation_slowdown: float = 1.0
    missing_reports: int = 0
