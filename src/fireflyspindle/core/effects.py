"""Effects that the reducer asks the shell to carry out."""

import enum

import attrs

from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import steps as steps_lib
from fireflyspindle.core.quotas import messages


class Outcome(enum.Enum):
    """Outcome of a request as reported to its caller."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.define(frozen=True)
class KeyHandling:
    """How the headers of an API key are treated on a send.

    The header with the key is always removed.

    Attributes:
        organisation: Name of the organisation, stated to the target; empty to
            state none.
        key_digest: Digest of the key, stated to a gate host that carries the
            call.
        valid_until_us: Time after which the request must not be sent; None for
            no limit.
    """

    organisation: str = ""
    key_digest: str = ""
    valid_until_us: int | None = None


@attrs.define
class SendToTarget:
    """Send the request of a call to a target.

    Attributes:
        call_id: Number of the call.
        attempt: Number of the attempt within the call, from 1.
        target: Address of the target, "ip:port".
        timeout_us: Time limit of the attempt.
        hedge: Whether another attempt of the call is still in flight.
        incarnation: Incarnation of the target that must receive the request,
            or an empty string for any.
        repeatable: Whether the request may run more than once.
        relayed: Whether the target is a gate host that carries the call.
        target_started_ms: Wall-clock time of the target's start, if known.
        service: Service that a gate host has to carry the call to; empty for
            any other target.
        key: How the headers of its API key are treated; None to forward them
            like any other.
        max_attempts: Number of targets that a gate host may send the request
            to; 0 for any other target.
    """

    call_id: int
    attempt: int
    target: str
    timeout_us: int
    hedge: bool = False
    incarnation: str = ""
    repeatable: bool = True
    relayed: bool = False
    target_started_ms: int = 0
    service: str = ""
    key: KeyHandling | None = None
    max_attempts: int = 0


@attrs.define
class CancelAttempt:
    """Cancel an attempt by closing its connection.

    The shell reports the end as `AttemptFailed`.
    """

    call_id: int
    attempt: int


@attrs.define
class ForwardAnswer:
    """Stream the answer of this attempt to the caller.

    The shell reports `AttemptEnded`, or `AttemptFailed` if the answer is
    truncated, in which case it also closes the caller's connection.

    Attributes:
        call_id: Number of the call.
        attempt: Number of the attempt within the call.
        outcome: Outcome reported to the caller, unless the answer is
            truncated.
    """

    call_id: int
    attempt: int
    outcome: Outcome


@attrs.define
class AnswerCaller:
    """Answer the caller without a target's answer.

    Attributes:
        call_id: Number of the call.
        outcome: Outcome of the request; COMPLETE only if an earlier request
            with the same key completed.
        status: HTTP status.
        error: Short machine-readable code.
        detail: Human-readable explanation.
        retry_after_ms: Time after which the caller may retry, or None.
        recorded_status: HTTP status of the earlier request's answer, or 0.
        not_carried: Whether this host could not carry a relayed call, unlike
            one whose targets declined it.
    """

    call_id: int
    outcome: Outcome
    status: int
    error: str
    detail: str
    retry_after_ms: int | None = None
    recorded_status: int = 0
    not_carried: bool = False


@attrs.define
class CallFinished:
    """A call and all its attempts have ended; the shell logs and drops it.

    Attributes:
        call_id: Number of the call.
        tenant: Name of the tenant, or "" if it is not configured.
        traffic_class: Name of the class, or "" if it is not configured.
        target: Address of the last target, or an empty string.
        outcome: Outcome reported to the caller.
        total_us: Time from arrival to the end.
        target_us: Time spent waiting for the target that answered.
        attempts: Number of attempts sent.
        route: Name of the published rule that matched it, or "".
        past_soft_deadline: Whether it ended after its soft deadline.
        relayed: Whether it was relayed to or by another gate host.
        steps: Decisions made for it; recorded for published rules only.
        configuration_version: Version of the published configuration that
            routed or refused it, or 0.
        configuration_unproven: Whether that version may not have been the
            newest when it routed the call.
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
    past_soft_deadline: bool = False
    relayed: bool = False
    steps: steps_lib.Steps = attrs.field(factory=steps_lib.Steps)
    configuration_version: int = 0
    configuration_unproven: bool = False


@attrs.define(frozen=True)
class ReadLimits:
    """Time limits of a read whose duration the other side decides.

    Attributes:
        repeat_after_us: Time without data after which another try is started
            beside the unanswered one.
        retry_after_us: Time after a failed try for the same.
        limit_us: Time without data after which the read fails.
    """

    repeat_after_us: int
    retry_after_us: int
    limit_us: int


# A record has to be in force within 8 s. A read waits at the log for up to 5 s
# and has 2 s for the rest; the limit bounds how slow a log may be.
LOG_READ_LIMITS = ReadLimits(7_000_000, 2_000_000, 60_000_000)


@attrs.define
class ReadLog:
    """Read a stream of the log; the shell long-polls.

    The shell reports `LogRead` or `LogReadFailed`, and before it
    `LogReadUnanswered` for each further try that it starts.

    Attributes:
        stream: Name of the stream.
        from_offset: First offset requested.
        delay_us: Time to wait before the read.
        wait: Whether the read may wait for new records if there are none.
        limits: Time limits of the read.
    """

    stream: str
    from_offset: int
    delay_us: int = 0
    wait: bool = True
    limits: ReadLimits = LOG_READ_LIMITS


@attrs.define
class ReadStore:
    """Read a source of the platform's store; the shell long-polls.

    The shell reports `ConfigurationRead`, `TargetsRead`,
    `StoreHistoryDropped` or `StoreReadFailed`.

    Attributes:
        source: Source to read, a value of `store_state.Source`.
        from_offset: First offset requested, or None for the complete source.
        first_offset: Offset of the oldest record held by the store, as last
            reported.
        delay_us: Time to wait before the read.
        wait_ms: Time for which the read may wait for a new record.
        lists_over_new_connection: Whether to list the source if the read was
            made over a new connection: the store may have started anew, and no
            reader tells.
    """

    source: str
    from_offset: int | None
    first_offset: int
    delay_us: int
    wait_ms: int
    lists_over_new_connection: bool = False


@attrs.define
class CancelStoreRead:
    """Cancel a read of the platform's store, scheduled or in flight.

    Attributes:
        source: Source being read.
    """

    source: str


@attrs.define
class AppendCrashes:
    """Write records about requests that may crash targets to the store.

    The shell reports `CrashesAppended`.

    Attributes:
        append_id: Number of the append.
        records: The records; None removes the record of the key.
    """

    append_id: int
    records: dict[events.CrashKey, events.CrashRecord | None]


@attrs.define
class FollowReader:
    """Follow a reader, which relays its reads of the store.

    Replaces the current stream, if any.

    The shell reports `ReaderConnected`, then reads with `events.RelayedRead`,
    and finally `ReaderDisconnected`.

    Attributes:
        stream: Number of the stream.
        address: Control address of the reader, "ip:port".
        from_offsets: First offset requested of each source; None for the
            complete source.
        relays: Whether to relay these reads to the followers of this host
            as if it had made them.
        unlimited_size: Whether to request records whatever their total size.
        is_reader: Whether this host is a reader too, which counts itself.
        longest_waits_us: Longest time for which a read of each source waits at
            the store.
    """

    stream: int
    address: str
    from_offsets: dict[str, int | None]
    relays: bool = False
    unlimited_size: bool = False
    is_reader: bool = False
    longest_waits_us: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class StopFollowing:
    """Close the stream from the followed reader."""


@attrs.define
class CountHosts:
    """Ask the readers how many hosts follow them; count the own followers.

    Attributes:
        readers: Control addresses of the other readers.
    """

    readers: tuple[str, ...]


@attrs.define
class ReportHosts:
    """Report the number of gate hosts to the followers.

    Attributes:
        hosts: Number of gate hosts of the fleet.
    """

    hosts: int


@attrs.define
class AskConfigurationProof:
    """Ask a reader how old its proof of the configuration is.

    The shell reports `ConfigurationProofAnswered`, and once more when the
    answer comes after the time-out.

    Attributes:
        reader: Control address of the reader.
        timeout_us: Time after which the reader counts as not answering.
        limit_us: Time for which its answer is of use.
    """

    reader: str
    timeout_us: int
    limit_us: int


@attrs.define
class ListHelpers:
    """Ask the readers which gate hosts may carry calls for this one.

    Attributes:
        readers: Control addresses of the other readers.
        cut_off: Whether this host can't carry calls itself.
    """

    readers: tuple[str, ...]
    cut_off: bool


@attrs.define
class SetCallerLimits:
    """Apply limits to subsequent requests of callers."""

    limits: published.CallerLimits


@attrs.define
class ReadHostList:
    """Read the platform's host list.

    The shell reports `HostListRead` or `HostListReadFailed`, and before it
    `HostListReadUnanswered` for each further try that it starts.

    Attributes:
        delay_us: Time to wait before the read.
        limits: Time limits of the read.
    """

    delay_us: int
    limits: ReadLimits


@attrs.define
class AppendRecord:
    """Append one record to a stream of the log.

    The shell reports `AppendEnded`.

    Attributes:
        append_id: Number of the append.
        stream: Name of the stream.
        body: The record.
        timeout_us: Time after which the outcome is unknown.
        limit_us: Time after which the append is given up.
    """

    append_id: int
    stream: str
    body: str
    timeout_us: int
    limit_us: int


@attrs.define
class ProbeTarget:
    """Ask a target for its load; the shell reports `ProbeEnded`.

    Attributes:
        probe_id: Number of the probe.
        target: Address of the target.
        path: Path of its load endpoint.
        not_after_us: Monotonic time after which the probe must not be sent;
            the shell then reports it as failed.
        new_connection: Whether the probe needs a connection of its own.
        timeout_us: Time limit of the probe; None for the usual one.
    """

    probe_id: int
    target: str
    path: str
    not_after_us: int
    new_connection: bool = False
    timeout_us: int | None = None


@attrs.define
class SendToPeer:
    """Send a message to another gate host; failures are not reported."""

    address: str
    body: str


@attrs.define
class SetTimer:
    """Report `TimerFired` at this monotonic time; replaces the previous one."""

    at_us: int


@attrs.define
class WriteLogLine:
    """Write a log line for operators.

    Attributes:
        level: "info", "warning" or "error".
        code: Short machine-readable code.
        detail: Human-readable explanation.
    """

    level: str
    code: str
    detail: str


@attrs.define
class CloseAfterAnswers:
    """Close each caller's connection after its next answer."""


@attrs.define
class AcceptCallers:
    """Start accepting connections of callers, pending ones included."""


@attrs.define
class StopListening:
    """Stop listening for callers; open connections continue."""


@attrs.define
class Exit:
    """Exit the process; nothing is in flight."""


Effect = (
    SendToTarget
    | CancelAttempt
    | ForwardAnswer
    | AnswerCaller
    | CallFinished
    | ReadLog
    | ReadStore
    | CancelStoreRead
    | AppendCrashes
    | FollowReader
    | StopFollowing
    | CountHosts
    | ReportHosts
    | ListHelpers
    | AskConfigurationProof
    | messages.RequestQuotaPermits
    | messages.AnswerQuotaRequest
    | SetCallerLimits
    | ReadHostList
    | AppendRecord
    | ProbeTarget
    | SendToPeer
    | SetTimer
    | WriteLogLine
    | CloseAfterAnswers
    | AcceptCallers
    | StopListening
    | Exit
)
