"""State of the recovery of the complete configuration."""

import enum

import attrs

from fireflyspindle.core import snapshots


class SnapshotReadPurpose(enum.Enum):
    """Purpose of the outstanding read of the snapshot stream."""

    NONE = "none"
    PROBE = "probe"
    CHECK = "look"
    RECOVER = "recover"


@attrs.define
class Transfer:
    """An ongoing transfer of the complete state from a peer.

    Attributes:
        address: Control address of the peer.
        snapshot_id: Snapshot being transferred; empty before the first part.
        requested_us: Time of the latest request.
    """

    address: str
    snapshot_id: str
    requested_us: int


@attrs.define
class Recovery:
    """State of the recovery.

    Attributes:
        assembler: Snapshot parts received from the log or peers.
        read_purpose: Purpose of the outstanding read of snapshots.
        read_offset: First offset of the outstanding read.
        scan_start_offset: First offset of the range being scanned.
        next_offset: End of the snapshot stream at the last read.
        snapshot_requested: Whether to look for a snapshot once the
            outstanding read ends.
        waits_for_snapshot: Whether no read of the configuration stream is
            outstanding until a snapshot is found or can't be read.
        covered_offset: Newest offset known to be covered by a snapshot in
            the log, or reached when this host was initialized.
        new_snapshot_seen: Whether a new snapshot was read since the last
            check.
        unwritten_parts: Parts of this host's own snapshot still to be
            written.
        own_covered_offset: Offset that this host's own snapshot covers.
        timer_number: Number of the latest check timer; earlier timers are
            ignored.
        next_check_us: Time of the next check for a new snapshot.
        served_parts: Parts of the snapshot that is sent to peers on request.
        served_snapshot_id: Id of that snapshot.
        transfer: Ongoing transfer of the complete state from a peer.
    """

    assembler: snapshots.SnapshotAssembler = attrs.field(
        factory=snapshots.SnapshotAssembler
    )
    read_purpose: SnapshotReadPurpose = SnapshotReadPurpose.NONE
    read_offset: int = 0
    scan_start_offset: int = 0
    next_offset: int = 0
    snapshot_requested: bool = False
    waits_for_snapshot: bool = False
    covered_offset: int = 0
    new_snapshot_seen: bool = False
    unwritten_parts: list[snapshots.Part] = attrs.field(factory=list)
    own_covered_offset: int = 0
    timer_number: int = 0
    next_check_us: int = 0
    served_parts: list[snapshots.Part] = attrs.field(factory=list)
    served_snapshot_id: str = ""
    transfer: Transfer | None = None
