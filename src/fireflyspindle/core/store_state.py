"""State of a gate host that reads the platform's store."""

import collections
import enum

import attrs

from fireflyspindle.core import events

# Share of the slots of a service in use above which no call of it is hedged. In
# the replay of rising load, hedges help at 0.44 and harm at 0.54
# (docs/design/hedging.md).
HEDGE_LOAD_LIMIT = 0.5


@attrs.define(frozen=True)
class QuotaTolerance:
    """How far the quotas of organisations may be exceeded over all hosts.

    In any window of `window_ms` an organisation may have run
    `(1 + overage)` times its quota and `slack_requests` more.
    """

    window_ms: int
    overage: float
    slack_requests: float


@attrs.define(frozen=True)
class ColdTolerance:
    """How far the rate of a cold target may be exceeded over all hosts.

    In any second a cold target tolerates `factor` times its rate and
    `slack_requests` more.
    """

    factor: float
    slack_requests: float


@attrs.define(frozen=True)
class StoreSettings:
    """Settings of a gate host that is configured by the platform's store.

    Attributes:
        min_read_interval_ms: Minimum time between two reads of one source
            while there are changes.
        apply_limit_ms: Time within which a published configuration has to be in
            force on every gate host.
        reregistration_grace_ms: Grace period after an outage of the store in
            which a target whose entry expired may register again.
        probes_per_s: Probes per target and second, on average over all
            targets, by all gate hosts.
        resend_share: Resends (retries and hedges) as a share of the requests,
            over all gate hosts.
        resend_slack: Resends allowed in addition to that share, over all
            gate hosts.
        resend_window_ms: Length of the sliding window of that budget.
        first_start: Whether the whole system starts for the first time.
        control_address: Address on which other hosts follow this one.
        is_reader: Whether this host reads the store for others.
        other_reader_addresses: Control addresses of the other readers.
        long_poll_wait_ms: Maximum time that a read of the configuration or the
            targets long-polls the store.
        crash_wait_ms: The same for a read of crashes.
        relay_address: Address on which this host takes calls that other gate
            hosts relay; empty if it takes none.
        revocation_limit_ms: Time after which no request may run with a
            withdrawn API key, on any host; None if the limit for changes holds
            for hosts that reach the store only.
        quota_tolerance: Tolerance of quotas; None if quotas are not enforced.
        cold_tolerance: Tolerance of cold targets; None if their rate is not
            limited.
        evacuation_limit_ms: Time after which no request may reach an evacuated
            failure domain; None if evacuations are not supported.
        hedge_share: Most hedges as a share of the requests of a service, over
            all gate hosts; 0 if the operator sets no limit, so that late calls
            are hedged within the resend budget only.
        hedge_routes: Names of the routes whose calls may be hedged; empty for
            all.
        hedge_load_limit: Share of the slots of a service in use above which no
            call of it is hedged.
    """

    min_read_interval_ms: int = 1_000
    apply_limit_ms: int = 2_000
    reregistration_grace_ms: int = 2_000
    probes_per_s: float = 10.0
    resend_share: float = 0.1
    resend_slack: float = 10.0
    resend_window_ms: int = 10_000
    first_start: bool = False
    control_address: str = ""
    is_reader: bool = False
    other_reader_addresses: tuple[str, ...] = ()
    long_poll_wait_ms: int = 800
    relay_address: str = ""
    crash_wait_ms: int = 1_500
    revocation_limit_ms: int | None = None
    quota_tolerance: QuotaTolerance | None = None
    cold_tolerance: ColdTolerance | None = None
    evacuation_limit_ms: int | None = None
    hedge_share: float = 0.0
    hedge_routes: frozenset[str] = frozenset()
    hedge_load_limit: float = HEDGE_LOAD_LIMIT

    def wait_us(self, source: "Source") -> int:
        """Returns the maximum time that a read of a source waits."""
        if source is Source.CRASHES:
            return self.crash_wait_ms * 1000
        return self.long_poll_wait_ms * 1000


class Source(enum.Enum):
    """A topic that is read from the store."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    CRASHES = "crashes"


# Sources by which a silent reader is detected. Readers of older builds relay no
# others.
FREQUENT_SOURCES = (Source.CONFIGURATION, Source.TARGETS)


@attrs.define
class SourceReads:
    """State of the reads of one source.

    Attributes:
        next_offset: First offset that has not been read; None when the whole
            source has to be read.
        first_offset: Offset of the oldest record that the store holds, as
            last reported by the store.
        scheduled_us: Time for which the latest read was scheduled.
        wait_ms: How long that read may long-poll the store.
        failures: Consecutive failed reads.
        failing_since_us: Time of the first of these failures.
        recovered_us: Time of the first success after the last failures that
            may have been an outage of the store.
        succeeded: Whether a read ever succeeded.
        succeeded_us: Time of the latest success, None before the first.
        suspended: Whether the next read is suspended until another source has
            been read successfully, or it is this one's turn to be retried.
        suspended_us: Time at which it was suspended.
        pending: Whether a read by this host is scheduled or in progress.
        relayed_us: End of the latest successful read that the reader relayed;
            None before the first.
        has_relay_gap: Whether the reader left out records of this source.
        complete_until_us: Time up to which every record is known; None before
            the first successful read.
        has_unread_records: Whether the latest read was cut by the store, so
            that newer records are known to exist.
        has_undecodable_record: Whether the newest configuration could not be
            decoded, so that an older one is in force.
        listed_us: Start of the latest read by this host that listed the whole
            source; None before the first.
        differed_us: Time at which a reader was last found to hold other
            records; None if it never was.
    """

    next_offset: int | None = None
    first_offset: int = 0
    scheduled_us: int = 0
    wait_ms: int = 0
    failures: int = 0
    failing_since_us: int = 0
    recovered_us: int | None = None
    succeeded: bool = False
    succeeded_us: int | None = None
    suspended: bool = False
    suspended_us: int = 0
    pending: bool = False
    relayed_us: int | None = None
    has_relay_gap: bool = False
    complete_until_us: int | None = None
    has_unread_records: bool = False
    has_undecodable_record: bool = False
    listed_us: int | None = None
    differed_us: int | None = None

    def own_read_start_us(self, event: events.StoreRead) -> int:
        """Returns when a read by this host started.

        Unless the read is late, it must be the latest scheduled one.
        """
        if event.late_start_us is not None:
            return event.late_start_us
        return min(event.now_us, self.scheduled_us)


@attrs.define
class UnprovenCalls:
    """Calls routed while the configuration may not have been the newest.

    Attributes:
        since_us: Time of the first of them; None while there are none.
        calls: Number of them since then.
    """

    since_us: int | None = None
    calls: int = 0


@attrs.define
class Reader:
    """A host that reads the store for others.

    Attributes:
        failure_domain: Failure domain that it runs in, None if unknown.
        avoided_until_us: Time until which other readers are preferred.
    """

    failure_domain: str | None = None
    avoided_until_us: int = 0


@attrs.define
class FollowState:
    """The reader that this host follows.

    Attributes:
        is_reader: Whether this host reads the store for others.
        readers: The other readers, by control address.
        stream_number: Number of the latest stream; events of older ones are
            ignored.
        address: Control address of the followed reader, or None.
        connected: Whether that reader has answered.
        stream_started_us: Start of the stream.
        stream_end_us: Time at which a new stream replaces it.
        has_reported: Whether the outcome of a read has arrived on the stream.
        silent_readers: Readers that were replaced before any outcome arrived,
            since one relayed a successful read.
        unlimited_size: Whether the stream has no limit on the total size of
            the records that are relayed.
        own_reads_allowed_us: Earliest time at which this host may read the
            store.
        next_check_us: Time of the next scheduled check of the stream, or None.
        failure_reported_us: Time at which a reader reported a failed read; None
            once a reader has reported a successful one.
    """

    is_reader: bool = False
    readers: dict[str, Reader] = attrs.field(factory=dict)
    stream_number: int = 0
    address: str | None = None
    connected: bool = False
    stream_started_us: int = 0
    stream_end_us: int = 0
    has_reported: bool = False
    silent_readers: int = 0
    unlimited_size: bool = False
    own_reads_allowed_us: int = 0
    next_check_us: int | None = None
    failure_reported_us: int | None = None


@attrs.define
class RecentMaximum:
    """The largest value of a recent period.

    A value holds from the time at which it is added to the next one.

    Attributes:
        period_us: Length of the period.
    """

    period_us: int
    # Values by descending size, with the time at which each was replaced; the
    # last one holds now. A value that a later one reaches is removed.
    _values: collections.deque[tuple[int, int]] = attrs.field(
        factory=collections.deque
    )

    def add(self, now_us: int, value: int) -> None:
        """Adds a value, which replaces the latest one."""
        if self._values:
            self._values[-1] = (now_us, self._values[-1][1])
        while self._values and self._values[-1][1] <= value:
            self._values.pop()
        self._values.append((now_us, value))

    def largest(self, now_us: int) -> int | None:
        """Returns the largest value, or None before the first one."""
        while (
            len(self._values) > 1
            and self._values[0][0] < now_us - self.period_us
        ):
            self._values.popleft()
        return self._values[0][1] if self._values else None


@attrs.define(frozen=True)
class ReaderCount:
    """A reader's count of the hosts that follow it, and of itself.

    Attributes:
        hosts: The count.
        counted_us: Time of the count.
    """

    hosts: int
    counted_us: int


# Time for which a larger count of the gate hosts is used.
HOST_COUNT_PERIOD_US = 60_000_000


@attrs.define
class HostCounts:
    """Counts of the gate hosts of the fleet.

    Attributes:
        started_us: Time at which this host started.
        by_reader: On a reader, the latest count of each reader by address.
        unanswered: Readers that did not answer the latest count.
        scheduled: Whether the next count is scheduled.
        recent: The largest recent count of all hosts.
        logged: The count in the latest log line.
    """

    started_us: int = 0
    by_reader: dict[str, ReaderCount] = attrs.field(factory=dict)
    unanswered: set[str] = attrs.field(factory=set)
    scheduled: bool = False
    recent: RecentMaximum = attrs.field(
        factory=lambda: RecentMaximum(HOST_COUNT_PERIOD_US)
    )
    logged: int = 0


@attrs.define
class RegisteredTarget:
    """State of one registered target.

    Attributes:
        entry: Its newest entry.
        leaving: Whether this start of the target is leaving.
        warmup_until_us: End of its warm-up after the start.
        expired_us: Time at which its entry was found removed after an outage of
            the store; None while it has one.
    """

    entry: events.TargetRegistration
    leaving: bool = False
    warmup_until_us: int = 0
    expired_us: int | None = None

    @property
    def start(self) -> events.TargetStart:
        """The start of the target that the entry describes."""
        return events.TargetStart(self.entry.target_id, self.entry.started_ms)
