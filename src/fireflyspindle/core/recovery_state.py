"""How a whole configuration is reached and kept, as plain data."""

import enum

import attrs

from fireflyspindle.core import snapshots


class SnapshotRead(enum.Enum):
    """What the outstanding read of the snapshots' stream is for."""

    NONE = "none"
    PROBE = "probe"
    LOOK = "look"
    RECOVER = "recover"


@attrs.define
class Transfer:
    """A whole state on its way from a peer.

    Attributes:
        address: Control address of the peer.
        snapshot_id: Snapshot it comes from; empty before the first part.
        asked_us: Time of the latest question.
    """

    address: str
    snapshot_id: str
    asked_us: int


@attrs.define
class Recovery:
    """State of the recovery.

    Attributes:
        collector: Parts of snapshots that were read from the log or peers.
        reading: What the outstanding read of snapshots is for.
        read_offset: Offset that the outstanding read asked for.
        lower_offset: First offset of the part of the stream being read.
        next_offset: Next offset of the snapshots' stream at the last read.
        wanted: Whether a snapshot is wanted once the outstanding read ends.
        covered_offset: Newest offset that is known to be covered by a
            snapshot in the log, or that was reached when this host joined.
        seen_new: Whether a snapshot came into the log since the last look.
        unwritten: Parts of this host's own snapshot that are not yet written.
        writing_offset: Offset that this host's own snapshot covers.
        due_number: Number of the latest timer.
        look_at_us: Time of the next look.
        served: Parts of the snapshot that peers are told.
        served_id: Id of that snapshot.
        transfer: Whole state on its way from a peer.
    """

    collector: snapshots.Collector = attrs.field(factory=snapshots.Collector)
    reading: SnapshotRead = SnapshotRead.NONE
    read_offset: int = 0
    lower_offset: int = 0
    next_offset: int = 0
    wanted: bool = False
    covered_offset: int = 0
    seen_new: bool = False
    unwritten: list[snapshots.Part] = attrs.field(factory=list)
    writing_offset: int = 0
    due_number: int = 0
    look_at_us: int = 0
    served: list[snapshots.Part] = attrs.field(factory=list)
    served_id: str = ""
    transfer: Transfer | None = None
