"""Timer queue of the reducer, driven by a single timer of the shell."""

import heapq

import attrs

# Time after which a timer that has not fired is taken for lost.
LOST_TIMER_US = 1_000_000


@attrs.define
class CallDeadline:
    """The deadline or the overrun limit of a call has passed."""

    call_id: int


@attrs.define
class HeldCallsDue:
    """The longest hold of calls, or the deadline of a held one, has passed."""


@attrs.define
class HedgeDue:
    """A call without an answer may be hedged."""

    call_id: int


@attrs.define
class QueueWaitExpired:
    """A queued call can no longer be answered before its deadline."""

    call_id: int


@attrs.define
class ProbeRoundTimeout:
    """The probe round of a call has timed out.

    Attributes:
        call_id: Number of the call.
        round_id: Number of the round; timers of earlier ones are ignored.
    """

    call_id: int
    round_id: int


@attrs.define
class DispatchDue:
    """A check for free slots for the waiting calls of a service is due."""

    service: str


@attrs.define
class DispatchWaitExpired:
    """The maximum wait of a call for a free slot has passed."""

    call_id: int


@attrs.define
class ReregistrationGraceExpired:
    """Targets lost in an outage of the store have had time to re-register."""


@attrs.define
class AcceptTimeout:
    """The time limit for accepting callers after a start has passed."""


@attrs.define
class FollowCheckDue:
    """A check whether the followed host still sends is due."""


@attrs.define
class ConfigurationProofDue:
    """A check of the proof of the configuration is due."""


@attrs.define
class HostCountDue:
    """A count of the gate hosts by a reader is due."""


@attrs.define
class ReachabilityCheckDue:
    """A check whether targets are reachable is due."""


@attrs.define
class HelperListDue:
    """The next request for the list of helpers is due."""


@attrs.define
class CrashReportDue:
    """A write of new crashes to the store is due."""


@attrs.define
class CrashExpiryDue:
    """A removal of crashes that are no longer of use is due."""


@attrs.define
class QuotaWaitExpired:
    """The maximum wait of a call for a permit of its quota has passed."""

    call_id: int


@attrs.define
class QuotaCheckDue:
    """A check of the calls that wait for permits is due."""


@attrs.define
class DrainGraceExpired:
    """The load balancer has had time to stop using this gate host."""


@attrs.define
class DrainDeadline:
    """The hard limit of a planned stop has passed."""


@attrs.define
class StopCheckDue:
    """A check of the calls that wait at a stopping host is due."""


@attrs.define
class GossipRoundDue:
    """A round of messages to peers is due."""


@attrs.define
class SnapshotCheckDue:
    """A check whether the log needs a snapshot is due.

    Attributes:
        number: Number of the timer; earlier ones are ignored.
    """

    number: int


@attrs.define
class ProbeCheckDue:
    """A check of the probe slot and of probes is due."""


@attrs.define
class ClaimsDue:
    """An append or a read of the claims stream is due."""


Timer = (
    CallDeadline
    | HeldCallsDue
    | HedgeDue
    | QueueWaitExpired
    | ProbeRoundTimeout
    | DispatchDue
    | DispatchWaitExpired
    | ReregistrationGraceExpired
    | AcceptTimeout
    | FollowCheckDue
    | HostCountDue
    | ConfigurationProofDue
    | ReachabilityCheckDue
    | HelperListDue
    | CrashReportDue
    | CrashExpiryDue
    | QuotaWaitExpired
    | QuotaCheckDue
    | DrainGraceExpired
    | DrainDeadline
    | StopCheckDue
    | GossipRoundDue
    | SnapshotCheckDue
    | ClaimsDue
    | ProbeCheckDue
)


@attrs.define
class TimerQueue:
    """Timers by due time; obsolete ones are ignored when they fire.

    Attributes:
        armed_for_us: Time for which the shell's timer is set, or None.
        armed_us: Time at which it was set.
    """

    armed_for_us: int | None = None
    armed_us: int = 0
    _heap: list[tuple[int, int, Timer]] = attrs.field(factory=list)
    _sequence: int = 0

    def add(self, at_us: int, timer: Timer) -> None:
        """Adds a timer that is due at `at_us`."""
        self._sequence += 1
        heapq.heappush(self._heap, (at_us, self._sequence, timer))

    def is_lost(self, now_us: int) -> bool:
        """Whether the shell's timer has not fired though it was due long ago.

        An error may have lost it. A busy shell fires it late.
        """
        if self.armed_for_us is None:
            return False
        due_us = max(self.armed_for_us, self.armed_us)
        return now_us > due_us + LOST_TIMER_US

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
