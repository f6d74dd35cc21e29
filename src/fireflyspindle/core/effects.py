"""Effects that the reducer asks the shell to carry out."""

import enum

import attrs

from fireflyspindle.core import published
from fireflyspindle.core import steps as steps_lib


class Outcome(enum.Enum):
    """What a caller is told of its request."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.define
class SendToTarget:
    """Send the request of a call to a target.

    Attributes:
        call_id: Number of the call.
        attempt: Number of the attempt within the call, from 1.
        target: Address of the target, "ip:port".
        timeout_us: Time left for the attempt.
        hedge: Whether another attempt of the call is still in flight.
        incarnation: Incarnation of the target that the request is meant for,
            or an empty string for any.
        repeatable: Whether the request may run more than once.
    """

    call_id: int
    attempt: int
    target: str
    timeout_us: int
    hedge: bool = False
    incarnation: str = ""
    repeatable: bool = True


@attrs.define
class CancelAttempt:
    """Close the connection of an attempt; its answer is no longer wanted.

    The shell reports the end as `AttemptFailed`.
    """

    call_id: int
    attempt: int


@attrs.define
class ForwardAnswer:
    """Stream the answer of this attempt to the caller.

    The shell reports `AttemptEnded`, or `AttemptFailed` when the answer is
    cut short, in which case it closes the caller's connection too.

    Attributes:
        call_id: Number of the call.
        attempt: Number of the attempt within the call.
        outcome: What the caller is told, unless the answer is cut short.
    """

    call_id: int
    attempt: int
    outcome: Outcome


@attrs.define
class AnswerCaller:
    """Answer the caller from the gate itself.

    Attributes:
        call_id: Number of the call.
        outcome: What is known of the request; COMPLETE only of one that
            came earlier with the same key.
        status: HTTP status.
        error: Short machine-readable code.
        detail: Sentence for a person.
        retry_after_ms: When the caller may ask again, or None.
        recorded_status: HTTP status of the earlier request's answer, or 0.
    """

    call_id: int
    outcome: Outcome
    status: int
    error: str
    detail: str
    retry_after_ms: int | None = None
    recorded_status: int = 0


@attrs.define
class CallFinished:
    """Every part of a call has ended; the shell drops and records it.

    Attributes:
        call_id: Number of the call.
        tenant: Name of the tenant as the configuration knows it.
        traffic_class: Name of the class as the configuration knows it.
        target: Address of the last target, or an empty string.
        outcome: What the caller was told.
        total_us: Time from arrival to the end.
        target_us: Time spent waiting for the answering target.
        attempts: Number of attempts sent.
        route: Name of the published rule that it came by, or "".
        late: Whether it ended after the time within which an answer is
            worth most.
        steps: What was decided for it; kept for published rules only.
    """

    call_id: int
    tenant: str
    traffic_class: str
    target: str
    outcome: Outcome
    total_us: int
    target_us: int
    attempts: int
    route: str = ""
    late: bool = False
    steps: steps_lib.Steps = attrs.field(factory=steps_lib.Steps)


@attrs.define
class ReadLog:
    """Read a stream of the log; the shell long-polls.

    Attributes:
        stream: Name of the stream.
        from_offset: First offset wanted.
        delay_us: Time to wait before the read.
        wait: Whether to wait at the log for new records when there are none.
    """

    stream: str
    from_offset: int
    delay_us: int = 0
    wait: bool = True


@attrs.define
class ReadStore:
    """Read a source of the platform's store; the shell long-polls.

    The shell reports `ConfigurationRead`, `TargetsRead`,
    `StoreHistoryDropped` or `StoreReadFailed`.

    Attributes:
        source: What to read, a value of `store_reads.Source`.
        from_offset: First offset wanted, or None for the whole.
        first_offset: Offset of the oldest record that the store holds, as
            far as it has told.
        delay_us: Time to pass before the read.
        wait_ms: Time for which the read may wait at the store for a record.
    """

    source: str
    from_offset: int | None
    first_offset: int
    delay_us: int
    wait_ms: int


@attrs.define
class StopReading:
    """Give up a read of the platform's store that is under way.

    Attributes:
        source: What is read.
    """

    source: str


@attrs.define
class FollowReader:
    """Follow a host that passes on its reads, in place of any other.

    The shell reports `ReaderMet`, then reads with `events.PassedOn`, and
    `ReaderLost` in the end.

    Attributes:
        stream: Number of the stream.
        address: Control address of the host, "ip:port".
        from_offsets: First offset wanted of each source; None for the whole.
        passes_on: Whether to vouch for these reads to hosts that follow this
            one.
        unlimited: Whether to be told also records that are large in sum.
    """

    stream: int
    address: str
    from_offsets: dict[str, int | None]
    passes_on: bool = False
    unlimited: bool = False


@attrs.define
class StopFollowing:
    """End the stream of the host that is followed."""


@attrs.define
class LimitCallers:
    """Apply limits to what callers send from now on."""

    limits: published.CallerLimits


@attrs.define
class ReadHostList:
    """Read the platform's host list.

    The shell reports `HostListRead` or `HostListReadFailed`.

    Attributes:
        delay_us: Time to wait before the read.
    """

    delay_us: int


@attrs.define
class AppendRecord:
    """Append one record to a stream of the log.

    The shell reports `AppendSettled`.
    """

    append_id: int
    stream: str
    body: str


@attrs.define
class ProbeTarget:
    """Ask a target for its load; the shell reports `ProbeEnded`.

    Attributes:
        probe_id: Number of the probe.
        target: Address of the target.
        path: Path of its load endpoint.
        not_after_us: Monotonic time after which the probe must not be sent;
            the shell then reports it as failed.
    """

    probe_id: int
    target: str
    path: str
    not_after_us: int


@attrs.define
class TellPeer:
    """Send a message to another gate host; a failure is not reported."""

    address: str
    body: str


@attrs.define
class SetTimer:
    """Feed `TimerFired` at this monotonic time; replaces the timer before."""

    at_us: int


@attrs.define
class Report:
    """Write a log line for people on call.

    Attributes:
        level: "info", "warning" or "error".
        code: Short machine-readable code.
        detail: Sentence for a person.
    """

    level: str
    code: str
    detail: str


@attrs.define
class CloseAfterAnswers:
    """Close each caller's connection after its next answer."""


@attrs.define
class AcceptCallers:
    """Accept the connections of callers, which waited to be accepted."""


@attrs.define
class StopListening:
    """Close the address for callers; connections that are open go on."""


@attrs.define
class Exit:
    """Nothing is in flight any more; the process may end."""


Effect = (
    SendToTarget
    | CancelAttempt
    | ForwardAnswer
    | AnswerCaller
    | CallFinished
    | ReadLog
    | ReadStore
    | StopReading
    | FollowReader
    | StopFollowing
    | LimitCallers
    | ReadHostList
    | AppendRecord
    | ProbeTarget
    | TellPeer
    | SetTimer
    | Report
    | CloseAfterAnswers
    | AcceptCallers
    | StopListening
    | Exit
)
