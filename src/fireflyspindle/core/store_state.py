"""State of a gate host that reads the platform's store."""

import enum

import attrs

from fireflyspindle.core import events


@attrs.define(frozen=True)
class StoreSettings:
    """Settings of a gate host that is configured by the platform's store.

    Attributes:
        read_spacing_ms: Minimum time between two reads of one source while
            there are changes.
        rejoin_ms: Grace period after an outage of the store in which a target
            whose entry expired may register again.
        probes_per_s: Probes of one target per second, over all gate hosts.
        repeat_share: Resends (retries and hedges) as a share of the requests,
            over all gate hosts.
        repeat_slack: Resends allowed in addition to that share, over all
            gate hosts.
        repeat_window_ms: Length of the sliding window of that budget.
        first_start: Whether the whole system starts for the first time.
        control_address: Address on which other hosts follow this one.
        is_reader: Whether this host reads the store for others.
        readers: Control addresses of the other readers.
        read_wait_ms: Maximum time that a read long-polls the store.
    """

    read_spacing_ms: int = 1_000
    rejoin_ms: int = 2_000
    probes_per_s: float = 10.0
    repeat_share: float = 0.1
    repeat_slack: float = 10.0
    repeat_window_ms: int = 10_000
    first_start: bool = False
    control_address: str = ""
    is_reader: bool = False
    readers: tuple[str, ...] = ()
    read_wait_ms: int = 800


class Source(enum.Enum):
    """A topic that is read from the store."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"


@attrs.define
class Reads:
    """State of the reads of one source.

    Attributes:
        next_offset: First offset that has not been read; None when the whole
            source has to be read.
        first_offset: Offset of the oldest record that the store holds, as
            last reported by the store.
        asked_us: Time for which the latest read was scheduled.
        failures: Consecutive failed reads.
        lost_us: Time of the first of these failures.
        regained_us: Time of the first success after the last failures.
        succeeded: Whether a read ever succeeded.
        parked: Whether the next read is suspended until another source has
            been read successfully.
        under_way: Whether a read by this host is scheduled or in progress.
        told_us: End of the latest successful read that the reader relayed;
            None before the first.
        lacks_records: Whether the reader left out records of this source.
        reader_failed: Whether the latest read relayed by the reader failed.
    """

    next_offset: int | None = None
    first_offset: int = 0
    asked_us: int = 0
    failures: int = 0
    lost_us: int = 0
    regained_us: int | None = None
    succeeded: bool = False
    parked: bool = False
    under_way: bool = False
    told_us: int | None = None
    lacks_records: bool = False
    reader_failed: bool = False


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
class Following:
    """The reader that this host follows.

    Attributes:
        is_reader: Whether this host reads the store for others.
        readers: The other readers, by control address.
        number: Number of the latest stream; events of older ones are ignored.
        address: Control address of the followed reader, or None.
        met: Whether that reader has answered.
        since_us: Start of the stream.
        unlimited: Whether the stream has no limit on the total size of the
            records that are relayed.
        own_reads_from_us: Earliest time at which this host may read the store.
        due_us: Time of the next scheduled check of the stream, or None.
    """

    is_reader: bool = False
    readers: dict[str, Reader] = attrs.field(factory=dict)
    number: int = 0
    address: str | None = None
    met: bool = False
    since_us: int = 0
    unlimited: bool = False
    own_reads_from_us: int = 0
    due_us: int | None = None


@attrs.define
class Known:
    """State of one registered target.

    Attributes:
        entry: Its newest entry.
        leaving: Whether this start of the target is leaving.
        cold_until_us: End of its warm-up after the start.
        missing: Whether its entry was removed after an outage of the store.
    """

    entry: events.TargetEntry
    leaving: bool = False
    cold_until_us: int = 0
    missing: bool = False
