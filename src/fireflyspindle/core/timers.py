"""Timers of the reducer: one queue, driven by a single timer of the shell."""

import heapq

import attrs


@attrs.define
class CallDeadline:
    """The deadline of a call has come."""

    call_id: int


@attrs.define
class HedgeDue:
    """A call that is still waiting may be hedged."""

    call_id: int


@attrs.define
class QueueDue:
    """A queued call can't be answered in time any more."""

    call_id: int


@attrs.define
class LookDue:
    """A call no longer waits for the load of the targets that it looks at.

    Attributes:
        call_id: Number of the call.
        look: Number of the look; only the latest one counts.
    """

    call_id: int
    look: int


@attrs.define
class RoomDue:
    """It is time to look for room for the waiting calls of a service."""

    service: str


@attrs.define
class WaitOver:
    """A call that waits for room can't be answered in time any more."""

    call_id: int


@attrs.define
class RejoinOver:
    """Targets that an outage of the store cost have had time to come back."""


@attrs.define
class AcceptDue:
    """Callers have waited long enough for a host that has just started."""


@attrs.define
class FollowDue:
    """It is time to see whether the host that is followed still tells."""


@attrs.define
class DrainGraceOver:
    """The platform's balancer has had time to leave this gate host."""


@attrs.define
class DrainDeadline:
    """The hard limit of a planned stop has come."""


@attrs.define
class PeersDue:
    """A round of messages to peers is due."""


@attrs.define
class SnapshotDue:
    """It is time to see whether the log needs a snapshot.

    Attributes:
        number: Number of the timer; only the latest one counts.
    """

    number: int


@attrs.define
class ProbesDue:
    """It is time to see to the probe slot and to probes."""


@attrs.define
class ClaimsDue:
    """A batch of claims may leave, or their stream be read."""


Timer = (
    CallDeadline
    | HedgeDue
    | QueueDue
    | LookDue
    | RoomDue
    | WaitOver
    | RejoinOver
    | AcceptDue
    | FollowDue
    | DrainGraceOver
    | DrainDeadline
    | PeersDue
    | SnapshotDue
    | ClaimsDue
    | ProbesDue
)


@attrs.define
class TimerQueue:
    """Timers by time; a timer whose subject has gone is ignored when due.

    Attributes:
        armed_at_us: Time that the shell was last asked for, or None.
    """

    armed_at_us: int | None = None
    _heap: list[tuple[int, int, Timer]] = attrs.field(factory=list)
    _sequence: int = 0

    def add(self, at_us: int, timer: Timer) -> None:
        """Adds a timer that is due at `at_us`."""
        self._sequence += 1
        heapq.heappush(self._heap, (at_us, self._sequence, timer))

    def pop_due(self, now_us: int) -> Timer | None:
        """Removes and returns the first timer that is due, if any."""
        if not self._heap or self._heap[0][0] > now_us:
            return None
        return heapq.heappop(self._heap)[2]

    def first(self) -> Timer | None:
        """Returns the earliest timer, if any."""
        return self._heap[0][2] if self._heap else None

    def drop_first(self) -> None:
        """Removes the earliest timer."""
        heapq.heappop(self._heap)

    def next_at_us(self) -> int | None:
        """Returns the time of the earliest timer, if any."""
        return self._heap[0][0] if self._heap else None
