"""What a gate host keeps for claims."""

import enum

import attrs

from fireflyspindle.core import claim_index
from fireflyspindle.core import claim_keys
from fireflyspindle.core import claim_records

# How far a caller's clock may run ahead of a gate host's.
FUTURE_ALLOWANCE_MS = 60_000
# How far the clocks of gate hosts may differ.
CLOCK_SKEW_MS = 5_000


@attrs.define(frozen=True)
class ClaimSettings:
    """Settings of claims, the same on every gate host.

    Attributes:
        fleet_appends_per_s: Appends to the claims stream by all gate hosts.
        max_gate_hosts: Largest number of gate hosts at one time, those that
            are being replaced included. It fixes the share of each.
        key_validity_ms: Age up to which a key is taken.
        max_keys_held: Keys held in memory; beyond, the oldest are forgotten.
    """

    fleet_appends_per_s: float = 300.0
    max_gate_hosts: int = 20
    key_validity_ms: int = 300_000
    max_keys_held: int = 100_000

    @property
    def log_keep_ms(self) -> int:
        """Time for which the log must keep the claims stream."""
        return self.key_validity_ms + FUTURE_ALLOWANCE_MS + 2 * CLOCK_SKEW_MS


class ClaimPhase(enum.Enum):
    """Where a keyed call stands with its claim.

    CLAIMING: its claim has not been read back from the log.
    WAITING: another claim owns the key and its outcome is not known.
    OWNER: its claim was read back as the owner.
    """

    CLAIMING = "claiming"
    WAITING = "waiting"
    OWNER = "owner"


@attrs.define
class ClaimUse:
    """A call's part in the claims of its key.

    Attributes:
        key: The key.
        other_copies: Whether the caller may have sent the key elsewhere.
        phase: Where the call stands.
        number: Number of its claim once it has one, otherwise 0.
    """

    key: claim_keys.KeyRef
    other_copies: bool
    phase: ClaimPhase = ClaimPhase.CLAIMING
    number: int = 0


@attrs.define
class Pending:
    """A claim of this gate host that has not been read back.

    Attributes:
        claim: What goes into the log.
        call_id: The call it is for, or None when that has ended.
        appended: Whether an append may have put it into the log.
        in_doubt: Whether an append of unknown outcome carried it.
        landed: Whether it was read in the log.
    """

    claim: claim_records.Claim
    call_id: int | None
    appended: bool = False
    in_doubt: bool = False
    landed: bool = False


@attrs.define
class SentBatch:
    """The batch whose append has not been settled.

    Attributes:
        append_id: Number of the append.
        batch: What was appended.
        in_doubt_from_us: Time since which its outcome is unknown, or None.
    """

    append_id: int
    batch: claim_records.Batch
    in_doubt_from_us: int | None = None


@attrs.define
class ClaimCounters:
    """Counts since the start, for metrics and benches.

    Attributes:
        made: Claims made for calls.
        appends: Appends to the claims stream.
        in_doubt: Appends of unknown outcome.
        owned: Calls whose claim was read back as the owner.
        known: Calls answered from the claim of another call.
        refused: Keyed calls refused for their key.
        unreadable: Records that could not be read.
        gaps: Times that records were missing from the stream.
    """

    made: int = 0
    appends: int = 0
    in_doubt: int = 0
    owned: int = 0
    known: int = 0
    refused: int = 0
    unreadable: int = 0
    gaps: int = 0


@attrs.define
class ClaimState:
    """Everything about claims on this gate host.

    Attributes:
        settings: Settings of claims.
        writer: This incarnation's name in the stream, unique in the fleet.
        index: Owners of keys as read from the stream.
        pending: Claims of this host that were not read back, by key.
        waiters: Calls that wait for another claim's outcome, by key.
        queue: Claims for the next batch.
        notes: Outcomes for the next batch.
        notes_due_us: Time by which the oldest outcome leaves.
        sent: The batch whose append has not been settled.
        armed_us: Time of the earliest timer that is set, if any.
        retry_at_us: Earliest time of the next append after a refused one.
        read_back_offset: Highest offset of this host's own batches.
        tokens: Appends that this host may make at `tokens_at_us`.
        tokens_at_us: Time at which `tokens` was worked out.
        last_claim: Number of the latest claim.
        last_batch: Number of the latest batch.
        reading: Whether a read is in flight.
        read_from_us: Time at which that read was asked for.
        read_due_us: Time of the next read when none is in flight.
        wall_ahead_ms: Wall-clock time less monotonic time; None if unknown.
        skipped: Whether older records were skipped since the last one read.
        gap_open: Whether records are missing up to the present.
        counters: Counts since the start.
    """

    settings: ClaimSettings
    writer: str
    index: claim_index.ClaimIndex = attrs.field(factory=claim_index.ClaimIndex)
    pending: dict[int, Pending] = attrs.field(factory=dict)
    waiters: dict[int, list[int]] = attrs.field(factory=dict)
    queue: list[Pending] = attrs.field(factory=list)
    notes: list[claim_records.OutcomeNote] = attrs.field(factory=list)
    notes_due_us: int = 0
    sent: SentBatch | None = None
    armed_us: int | None = None
    retry_at_us: int = 0
    read_back_offset: int = -1
    tokens: float = 0.0
    tokens_at_us: int | None = None
    last_claim: int = 0
    last_batch: int = 0
    reading: bool = False
    read_from_us: int = 0
    read_due_us: int = 0
    wall_ahead_ms: int | None = None
    skipped: bool = False
    gap_open: bool = False
    counters: ClaimCounters = attrs.field(factory=ClaimCounters)

    def wall_ms(self, now_us: int) -> int:
        """Returns the wall-clock time, 0 when it was never told."""
        if self.wall_ahead_ms is None:
            return 0
        return self.wall_ahead_ms + now_us // 1000
