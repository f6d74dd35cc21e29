"""What targets state of their load and pace, as a gate host keeps it."""

import attrs

NEVER_US = -1_000_000_000
# Pace of targets of which nothing is known: the mean of the users' targets, a
# quarter of which work seven times as long, is 2.5.
FIRST_PACE = 2.0


@attrs.define
class Seen:
    """What a target last stated.

    Attributes:
        heard_us: Time of the latest statement, or `NEVER_US`.
        others: Requests of other gate hosts that it held.
        pace: Time that work took there, relative to the usual time.
        silent_until_us: Time until which it counts as silent, since it did
            not answer when it was asked for its load.
        silences: Times in a row that it did not answer.
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
        work_us: Time that work takes at the usual pace; 0 for none known.
        pace: Average pace.
        others: Average number of other gate hosts' requests at a target.
        crowding: Time that work takes at a target whose slots are nearly all
            taken, relative to the usual time.
        unstated: Answers in a row that stated no load.
    """

    work_us: float = 0.0
    pace: float = FIRST_PACE
    others: float = 0.0
    crowding: float = 1.0
    unstated: int = 0
