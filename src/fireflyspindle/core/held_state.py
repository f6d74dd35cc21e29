"""State of calls that are held until a read of the configuration has told."""

import attrs

from fireflyspindle.core import events


@attrs.define(frozen=True)
class HeldCall:
    """A call that was not routed yet.

    Attributes:
        event: Its arrival.
        deadline_us: Time at which it is answered, by the configuration of its
            arrival; None if nothing states one.
    """

    event: events.CallArrived
    deadline_us: int | None


@attrs.define
class HeldCalls:
    """The calls that are held, and what came of those of before.

    Attributes:
        calls: Held calls by id, in the order of their arrival.
        since_us: Arrival of the first call of this hold; None while calls are
            not held.
        count: Calls of this hold, also those that have ended meanwhile.
        total: Calls held since the start of this host.
        in_vain: Whether the latest hold ended without a read that showed that
            this host is up to date, and none has shown it since.
    """

    calls: dict[int, HeldCall] = attrs.field(factory=dict)
    since_us: int | None = None
    count: int = 0
    total: int = 0
    in_vain: bool = False
