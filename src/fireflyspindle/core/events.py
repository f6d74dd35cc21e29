"""Events that the shell feeds to the reducer.

Every event carries `now_us`, the host's monotonic clock in microseconds; the
reducer reads no clock of its own.
"""

import enum

import attrs

from fireflyspindle.core import published
from fireflyspindle.core.quotas import messages


class FailureReason(enum.Enum):
    """Why an attempt ended without a complete answer."""

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    CONNECT_TIMEOUT = "connect_timeout"
    DISCONNECTED = "disconnected"
    TIMEOUT = "timeout"
    MISMATCHED = "mismatched"
    TRUNCATED = "truncated"
    CANCELLED = "cancelled"


@attrs.define
class LoadReport:
    """The load that a target reported with an answer or to a probe.

    Attributes:
        in_flight: Requests at the target, excluding the answered one.
        leaving: Whether the target is draining.
        incarnation: Id of the target's incarnation, new for each start, or
            an empty string.
        slots: Requests that the target runs concurrently, if stated.
        slowdown: Current service time at the target, relative to its usual
            one, if stated.
        rate_limit: Limit on the requests that the target takes, if stated.
        retry_after_s: Time for which the target wants no further requests of
            this host, if stated.
        invalid_headers: Names of headers whose values were ignored.
        healthy: Whether the target answered a probe with success.
        cold_left_ms: Time for which the target stays cold; None if it says
            nothing.
    """

    in_flight: int | None = None
    leaving: bool = False
    incarnation: str = ""
    slots: int | None = None
    slowdown: float | None = None
    rate_limit: "RateLimitHeader | None" = None
    retry_after_s: float | None = None
    invalid_headers: tuple[str, ...] = ()
    healthy: bool = True
    cold_left_ms: float | None = None


@attrs.define(frozen=True)
class RateLimitHeader:
    """A target's limit on the requests from all gate hosts together.

    Attributes:
        requests_per_s: Requests per second; None if the value is invalid.
    """

    requests_per_s: float | None


@attrs.define(frozen=True)
class TargetStart:
    """One start of a target that registered itself.

    Attributes:
        target_id: Id of the target.
        started_ms: Wall-clock time of its start; a target may restart under the
            same id.
    """

    target_id: str
    started_ms: int


@attrs.define(frozen=True)
class CrashKey:
    """Key of a record about a request that may crash targets.

    Attributes:
        fingerprint: Fingerprint of the request.
        start: Target that crashed while the request was in progress; None for
            the record that the request came again.
    """

    fingerprint: str
    start: TargetStart | None = None


@attrs.define(frozen=True)
class CrashRecord:
    """A crash of a target, or a repetition of a request that caused crashes.

    Attributes:
        service: Name of the target's service.
        age_us: Time since then.
    """

    service: str
    age_us: int


@attrs.define
class CallArrived:
    """The headers of a caller's request have arrived.

    Attributes:
        now_us: Monotonic time.
        call_id: Number of the call, unique on this gate host.
        path: Request path, without the query.
        tenant: Name of the tenant, or an empty string.
        traffic_class: Name of the traffic class, or an empty string.
        repeatable: Whether the request may run more than once.
        resendable: Whether the complete body is buffered, so that it can be
            sent again.
        deadline_us: Monotonic time at which the caller gives up, if stated.
        idempotency_key: The caller's key, or an empty string.
        body_digest: Hex digest of method, path and body; keyed calls only.
        key_issued_ms: Wall-clock time in the caller's key, in milliseconds.
        wall_ms: Wall-clock time of arrival, in milliseconds.
        other_copies: Whether the caller has sent the key before or to another
            host, if stated.
        host: Requested host name, in lower case.
        request_id: Id of the request, for targets and log lines.
        relayed: Whether another gate host relayed the call.
        fingerprint: Fingerprint of the request, equal for its copies; empty if
            its body is not buffered completely.
        relay_service: Service that the gate host which relayed the call has
            chosen; empty if it states none.
        relay_repeatable: Whether a relayed request may run more than once, as
            far as that gate host knows.
        relay_max_attempts: Number of targets that a relayed request may still
            be sent to; None if the gate host that relayed it states none.
        key_digest: Digest of the API key of the request; empty if it has none
            or a malformed one.
        relay_keyed: Whether the gate host that relayed the call states the
            digest, and so has checked the key.
    """

    now_us: int
    call_id: int
    path: str
    tenant: str = ""
    traffic_class: str = ""
    repeatable: bool = True
    resendable: bool = True
    deadline_us: int | None = None
    idempotency_key: str = ""
    body_digest: str = ""
    key_issued_ms: int = 0
    wall_ms: int = 0
    other_copies: bool | None = None
    host: str = ""
    request_id: str = ""
    relayed: bool = False
    fingerprint: str = ""
    relay_service: str = ""
    relay_repeatable: bool = True
    relay_max_attempts: int | None = None
    key_digest: str = ""
    relay_keyed: bool = False


@attrs.define
class AttemptAnswered:
    """The headers of a target's answer have arrived.

    Attributes:
        now_us: Monotonic time.
        call_id: Number of the call.
        attempt: Number of the attempt within the call, from 1.
        status: HTTP status of the answer.
        not_run: Whether the target states that it did not run the request.
        report: Load report on the answer, if any.
        not_carried: Whether a helper states that it could not carry the call,
            unlike one whose targets declined it.
        leaving_start: Start of the target that answered through a helper, if it
            says that it is leaving.
    """

    now_us: int
    call_id: int
    attempt: int
    status: int
    not_run: bool = False
    report: LoadReport | None = None
    not_carried: bool = False
    leaving_start: TargetStart | None = None


@attrs.define
class AttemptEnded:
    """The last byte of a forwarded answer was written to the caller."""

    now_us: int
    call_id: int
    attempt: int


@attrs.define
class AttemptFailed:
    """An attempt ended without a complete answer.

    Attributes:
        now_us: Monotonic time.
        call_id: Number of the call.
        attempt: Number of the attempt within the call.
        reason: Reason of the failure.
        sent: Whether any byte of the request may have left this host.
        status: HTTP status of an answer whose head arrived; 0 without one.
        report: What the head of that answer states.
    """

    now_us: int
    call_id: int
    attempt: int
    reason: FailureReason
    sent: bool
    status: int = 0
    report: LoadReport | None = None


@attrs.define
class CallerDisconnected:
    """The caller closed its connection before its answer was complete."""

    now_us: int
    call_id: int


@attrs.define
class TimerFired:
    """The timer set by the latest `SetTimer` has expired."""

    now_us: int


@attrs.define
class LogEntry:
    """One record of the log."""

    offset: int
    body: str


@attrs.define
class LogRead:
    """A read of a log stream succeeded.

    Attributes:
        now_us: Monotonic time.
        stream: Name of the stream.
        entries: Records by ascending offset.
        from_offset: First offset requested.
        earliest_offset: Oldest offset that the log still holds.
        next_offset: Offset that the next appended record will get.
    """

    now_us: int
    stream: str
    entries: list[LogEntry]
    from_offset: int
    earliest_offset: int
    next_offset: int


@attrs.define
class LogReadFailed:
    """A read of a log stream failed or timed out."""

    now_us: int
    stream: str


@attrs.define
class LogReadUnanswered:
    """A read of a log stream is late; it is still in progress."""

    now_us: int
    stream: str


class AppendOutcome(enum.Enum):
    """Outcome of an append, as far as it is known."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@attrs.define
class AppendEnded:
    """An append ended.

    Attributes:
        now_us: Monotonic time.
        append_id: Number given by `AppendRecord`.
        outcome: Outcome of the append.
        offset: Offset of the record if the outcome is DONE, otherwise -1.
    """

    now_us: int
    append_id: int
    outcome: AppendOutcome
    offset: int = -1


@attrs.define
class ListedHost:
    """One entry of the platform's host list.

    Attributes:
        host_id: Id of the host's incarnation, new for each start.
        address: "ip:port".
        leaving: Whether the host is draining.
    """

    host_id: str
    address: str
    leaving: bool = False


@attrs.define
class HostListRead:
    """The platform's host list was read; it may be out of date.

    Attributes:
        now_us: Monotonic time.
        gate_hosts: Gate hosts on the list.
        targets: Targets on the list.
        size_bytes: Size of the list as read; 0 if it was unchanged and not
            transferred.
    """

    now_us: int
    gate_hosts: list[ListedHost]
    targets: list[ListedHost]
    size_bytes: int = 0


@attrs.define
class HostListReadFailed:
    """A read of the host list failed or timed out."""

    now_us: int


@attrs.define
class HostListReadUnanswered:
    """A read of the host list is late; it is still in progress."""

    now_us: int


@attrs.define
class PeerMessageReceived:
    """A message from another gate host arrived.

    Attributes:
        now_us: Monotonic time.
        body: The message as JSON text, not validated.
    """

    now_us: int
    body: str


@attrs.define
class ProbeEnded:
    """A probe ended.

    Attributes:
        now_us: Monotonic time.
        probe_id: Number given by `ProbeTarget`.
        report: The load report, or None if the probe failed.
        refused: Whether no process listens at the target's address.
    """

    now_us: int
    probe_id: int
    report: LoadReport | None
    refused: bool = False


@attrs.define
class StopRequested:
    """The operator or platform requested that this gate host stop."""

    now_us: int


@attrs.define(frozen=True)
class TargetRegistration:
    """A target's registration in the platform's store.

    Attributes:
        target_id: Id of the target's incarnation.
        service: Name of its service.
        address: "ip:port".
        failure_domain: Failure domain that it runs in.
        slots: Requests that it runs concurrently.
        draining: Whether it is draining.
        warmup_left_ms: Remaining warm-up time, during which it is slow.
        started_ms: Wall-clock time of its start.
        sequence: Increases with each entry of one start.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    warmup_left_ms: int
    started_ms: int
    sequence: int


@attrs.define(frozen=True)
class RelayedRead:
    """Origin of a store read that was relayed by the followed reader.

    Attributes:
        stream: Number of the stream that delivered it.
        age_us: Time since the read ended.
        from_offset: Offset from which the delivered records are complete.
        delay_us: Time that the read took beyond its wait at the store.
        differs: Whether the reader holds other records than this host, though
            it has read the store later.
    """

    stream: int
    age_us: int
    from_offset: int = 0
    delay_us: int = 0
    differs: bool = False


@attrs.define
class ConfigurationRead:
    """The published configuration was read from the platform's store.

    Attributes:
        now_us: Monotonic time.
        document: Newest document read, or None if there was none.
        next_offset: First offset that has not been read.
        relayed: Origin of the read if a reader relayed it.
        newest_is_decodable: Whether the newest configuration record of the
            read could be decoded; None if the read has none.
        evacuated: Failure domains whose evacuation was requested.
        evacuations_ended: Failure domains whose evacuation was ended.
        is_snapshot: Whether the read covers all existing records.
        is_complete: Whether the read reached the end of the topic.
        late_start_us: Start of a read by this host that succeeded after it had
            failed for want of data in time; None for any other read.
        resets_position: Whether what was read before is of another log, so that
            its offsets mean nothing in this one.
    """

    now_us: int
    document: published.Document | None
    next_offset: int
    relayed: RelayedRead | None = None
    newest_is_decodable: bool | None = None
    evacuated: frozenset[str] = frozenset()
    evacuations_ended: frozenset[str] = frozenset()
    is_snapshot: bool = False
    is_complete: bool = True
    late_start_us: int | None = None
    resets_position: bool = False


@attrs.define
class TargetsRead:
    """Target registrations were read from the platform's store.

    Attributes:
        now_us: Monotonic time.
        entries: Written entries by ascending offset.
        removed: Ids of targets whose entries were removed.
        is_snapshot: Whether the read covers all existing entries.
        next_offset: First offset that has not been read.
        relayed: Origin of the read if a reader relayed it.
        is_complete: Whether the read reached the end of the topic.
        late_start_us: Start of a read by this host that succeeded after it had
            failed for want of data in time; None for any other read.
        resets_position: Whether what was read before is of another log, so that
            its offsets mean nothing in this one.
    """

    now_us: int
    entries: list[TargetRegistration]
    removed: list[str]
    is_snapshot: bool
    next_offset: int
    relayed: RelayedRead | None = None
    is_complete: bool = True
    late_start_us: int | None = None
    resets_position: bool = False


@attrs.define
class CrashesRead:
    """Records about requests that may crash targets were read from the store.

    Attributes:
        now_us: Monotonic time.
        records: Newest record of each key that was written.
        removed: Keys whose records were removed.
        is_snapshot: Whether the read covers all existing records.
        next_offset: First offset that has not been read.
        relayed: Origin of the read if a reader relayed it.
        is_complete: Whether the read reached the end of the topic.
        late_start_us: Start of a read by this host that succeeded after it had
            failed for want of data in time; None for any other read.
        resets_position: Whether what was read before is of another log, so that
            its offsets mean nothing in this one.
    """

    now_us: int
    records: dict[CrashKey, CrashRecord]
    removed: list[CrashKey]
    is_snapshot: bool
    next_offset: int
    relayed: RelayedRead | None = None
    is_complete: bool = True
    late_start_us: int | None = None
    resets_position: bool = False


StoreRead = ConfigurationRead | TargetsRead | CrashesRead


@attrs.define
class CrashesAppended:
    """An append of `AppendCrashes` ended.

    Attributes:
        now_us: Monotonic time.
        append_id: Number of the append.
        error: Why it failed, or may have failed; empty on success.
    """

    now_us: int
    append_id: int
    error: str = ""


@attrs.define
class StoreHistoryDropped:
    """The platform's store no longer holds the requested records.

    Attributes:
        now_us: Monotonic time.
        source: Source that was read.
        first_offset: Offset of the oldest record still held.
    """

    now_us: int
    source: str
    first_offset: int


@attrs.define
class StoreReadFailed:
    """A read of the platform's store failed or timed out.

    Attributes:
        now_us: Monotonic time.
        source: Source that was read.
        reason: Human-readable reason.
        relayed: Origin of the read if a reader relayed it.
        is_answered: Whether the store answered, but with no records of this
            source.
    """

    now_us: int
    source: str
    reason: str
    relayed: RelayedRead | None = None
    is_answered: bool = False


@attrs.define
class ReaderConnected:
    """The followed reader has answered.

    Attributes:
        now_us: Monotonic time.
        stream: Number of the stream.
        failure_domain: Failure domain that it runs in.
    """

    now_us: int
    stream: int
    failure_domain: str


@attrs.define
class ReaderDisconnected:
    """The stream from the followed reader has ended.

    Attributes:
        now_us: Monotonic time.
        stream: Number of the stream.
        reason: Human-readable reason.
    """

    now_us: int
    stream: int
    reason: str


@attrs.define
class ReadersChanged:
    """The platform listed the hosts that read the store for others.

    Attributes:
        now_us: Monotonic time.
        is_reader: Whether this host is one of them.
        readers: Control addresses of the others.
    """

    now_us: int
    is_reader: bool
    readers: tuple[str, ...]


@attrs.define
class ConfigurationProofAnswered:
    """A reader was asked how old its proof of the configuration is.

    Attributes:
        now_us: Monotonic time.
        sent_us: Time before the question was sent.
        version: Version in force at the reader, or None.
        age_us: Age of its proof when it answered; None if it has none or did
            not answer.
        unsupported: Whether the reader is of a build that gives no proofs.
        late: Whether it was reported before that the reader did not answer.
    """

    now_us: int
    sent_us: int
    version: int | None = None
    age_us: int | None = None
    unsupported: bool = False
    late: bool = False


@attrs.define
class HostsCounted:
    """The readers were asked how many hosts follow them.

    Attributes:
        now_us: Monotonic time.
        hosts_by_reader: Count of each reader, itself included, by control
            address; None for one that can't be reached.
    """

    now_us: int
    hosts_by_reader: dict[str, int | None]


@attrs.define(frozen=True)
class HelperAddress:
    """Where a gate host takes the calls of other gate hosts.

    Attributes:
        address: "ip:port".
        failure_domain: Failure domain that it runs in.
    """

    address: str
    failure_domain: str


@attrs.define
class HelpersListed:
    """The readers listed gate hosts that may carry calls for this one.

    Attributes:
        now_us: Monotonic time.
        helpers: The hosts.
        complete: Whether every reader that can be reached has answered.
    """

    now_us: int
    helpers: tuple[HelperAddress, ...]
    complete: bool = True


@attrs.define
class HostsReported:
    """The followed reader reported the number of gate hosts.

    Attributes:
        now_us: Monotonic time.
        stream: Number of the stream.
        hosts: Number of gate hosts of the fleet.
    """

    now_us: int
    stream: int
    hosts: int


Event = (
    CallArrived
    | AttemptAnswered
    | AttemptEnded
    | AttemptFailed
    | CallerDisconnected
    | TimerFired
    | LogRead
    | LogReadFailed
    | LogReadUnanswered
    | AppendEnded
    | HostListRead
    | HostListReadFailed
    | HostListReadUnanswered
    | PeerMessageReceived
    | ProbeEnded
    | StopRequested
    | ConfigurationRead
    | TargetsRead
    | CrashesRead
    | CrashesAppended
    | StoreHistoryDropped
    | StoreReadFailed
    | ReaderConnected
    | ReaderDisconnected
    | ReadersChanged
    | HostsCounted
    | HostsReported
    | HelpersListed
    | ConfigurationProofAnswered
    | messages.QuotaPermitsRequested
    | messages.QuotaPermitsReceived
    | messages.QuotaRequestFailed
)
