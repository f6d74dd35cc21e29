"""Load reports of targets as kept by a gate host, and their averages."""

import attrs

NEVER_US = -1_000_000_000
# Average slowdown assumed before the first report. When a quarter of the
# targets take seven times as long, the mean is 2.5.
INITIAL_SLOWDOWN = 2.0


@attrs.define
class Seen:
    """The latest load report of a target.

    Attributes:
        heard_us: Time of the latest report, or `NEVER_US`.
        others: Requests of other gate hosts in flight at the target.
        pace: Processing time there, relative to the usual time.
        silent_until_us: Time until which it counts as unresponsive, after a
            probe that it did not answer in time.
        silences: Consecutive probes that it did not answer in time.
    """

    heard_us: int = NEVER_US
    others: int = 0
    pace: float = 1.0
    silent_until_us: int = 0
    silences: int = 0


@attrs.define
class ServicePace:
    """Averages over the targets of a service.

    Attributes:
        work_us: Processing time at the usual speed; 0 while unknown.
        pace: Average processing time, relative to the usual time.
        others: Average number of other gate hosts' requests in flight at a
            target.
        crowding: Processing time at a target near its capacity, relative to
            the usual time.
        unstated: Consecutive answers without a load report.
    """

    work_us: float = 0.0
    pace: float = INITIAL_SLOWDOWN
    others: float = 0.0
    crowding: float = 1.0
    unstated: int = 0
