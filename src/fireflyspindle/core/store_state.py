"""What a gate host keeps of the platform's store."""

import enum

import attrs

from fireflyspindle.core import events


@attrs.define(frozen=True)
class StoreSettings:
    """Settings of a gate host that is driven by the platform's store.

    Attributes:
        read_spacing_ms: Least time between two reads of one source while
            there are changes.
        rejoin_ms: Time after an outage of the store for which a target whose
            entry lapsed may register again.
        probes_per_s: Probes of one target per second, over all gate hosts.
        repeat_share: Sends beyond the first of each request, as a share of
            the requests, over all gate hosts.
        repeat_slack: Sends beyond that share that all gate hosts may make.
        repeat_window_ms: Length of any time in which that holds.
        first_start: Whether the whole system starts for the first time.
        control_address: Address on which others follow this host.
        is_reader: Whether this host reads the store for others.
        readers: Control addresses of the other hosts that do.
        read_wait_ms: Longest wait of a read at the store.
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
    """What is read from the store."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"


@attrs.define
class Reads:
    """The reads of one source.

    Attributes:
        next_offset: First offset that has not been read; None when the whole
            has to be read.
        first_offset: Offset of the oldest record that the store holds, as
            far as it has told.
        asked_us: Time at which the latest read was to start.
        failures: Reads that have failed since one succeeded.
        lost_us: Time of the first of these failures.
        regained_us: Time at which the store was last regained.
        succeeded: Whether a read ever succeeded.
        parked: Whether the next read waits until another source is read.
        under_way: Whether a read by this host is under way or due.
        told_us: End of the latest read that a reader told of; None while it
            has told of none that succeeded.
        lacks_records: Whether the reader told of records that it left out.
        reader_failed: Whether the latest read that the reader told of failed.
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
        failure_domain: Failure domain that it runs in, once it told.
        avoided_until_us: Time until which others are tried first.
    """

    failure_domain: str | None = None
    avoided_until_us: int = 0


@attrs.define
class Following:
    """Whom this host follows for what the store says.

    Attributes:
        is_reader: Whether this host reads the store for others.
        readers: The other hosts that do, by control address.
        number: Number of the latest stream; older ones do not count.
        address: Host that is followed, or None.
        met: Whether that host has answered.
        since_us: Start of the stream.
        unlimited: Whether it tells also records that are large in sum.
        own_reads_from_us: Time from which this host may read the store.
        due_us: Time of the next look after the stream, if one is planned.
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
    """What is known of one registered target.

    Attributes:
        entry: Its newest entry.
        leaving: Whether this start was seen leaving.
        cold_until_us: Time until which it is slow after its start.
        missing: Whether its entry went while the store was away.
    """

    entry: events.TargetEntry
    leaving: bool = False
    cold_until_us: int = 0
    missing: bool = False
