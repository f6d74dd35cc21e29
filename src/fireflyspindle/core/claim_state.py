"""State of claims on a gate host."""

import enum

import attrs

from fireflyspindle.core import claim_index
from fireflyspindle.core import claim_keys
from fireflyspindle.core import claim_records

# Largest accepted lead of a caller's clock over a gate host's.
FUTURE_ALLOWANCE_MS = 60_000
# Largest difference between the clocks of two gate hosts.
CLOCK_SKEW_MS = 5_000


@attrs.define(frozen=True)
class ClaimSettings:
    """Settings of claims, the same on every gate host.

    Attributes:
        fleet_appends_per_s: Limit on appends to the claims stream by all
            gate hosts together.
        max_gate_hosts: Largest number of gate hosts at one time, including
            those being replaced. It fixes each host's share of the appends.
        key_validity_ms: Age up to which a key is accepted.
        max_keys_held: Largest number of keys in memory; the oldest are
            evicted beyond it.
    """

    fleet_appends_per_s: float = 300.0
    max_gate_hosts: int = 20
    key_validity_ms: int = 300_000
    max_keys_held: int = 100_000

    @property
    def required_retention_ms(self) -> int:
        """Required retention of the claims stream."""
        return self.key_validity_ms + FUTURE_ALLOWANCE_MS + 2 * CLOCK_SKEW_MS


class ClaimPhase(enum.Enum):
    """State of a keyed call with respect to its key.

    CLAIMING: its claim has not been read back from the log.
    WAITING: another claim may own the key and its outcome is not known.
    OWNER: its claim has been read back as the owner.
    """

    CLAIMING = "claiming"
    WAITING = "waiting"
    OWNER = "owner"


@attrs.define
class CallClaim:
    """A call's state in the claiming of its key.

    Attributes:
        key: The key.
        other_copies: Whether the caller may have sent the key elsewhere.
        phase: State of the call with respect to the key.
        number: Number of the call's claim, or 0 before it has one.
    """

    key: claim_keys.KeyRef
    other_copies: bool
    phase: ClaimPhase = ClaimPhase.CLAIMING
    number: int = 0


@attrs.define
class PendingClaim:
    """A claim of this gate host that has not been read back.

    Attributes:
        claim: The claim as written to the log.
        call_id: Number of its call, or None once that call has ended.
        appended: Whether the log may hold the claim.
        in_doubt: Whether it was in an append of unknown outcome.
        read_back: Whether it has been read back from the log.
    """

    claim: claim_records.Claim
    call_id: int | None
    appended: bool = False
    in_doubt: bool = False
    read_back: bool = False


@attrs.define
class InFlightBatch:
    """The batch whose append is in flight or in doubt.

    Attributes:
        append_id: Number of the append.
        batch: Content of the append.
        in_doubt_from_us: Time since which its outcome is unknown, or None.
    """

    append_id: int
    batch: claim_records.Batch
    in_doubt_from_us: int | None = None


@attrs.define
class ClaimCounters:
    """Counts since the start, for metrics and benchmarks.

    Attributes:
        made: Claims made for calls.
        appends: Appends to the claims stream.
        in_doubt: Appends of unknown outcome.
        owned: Calls whose claim was read back as the owner.
        known: Calls answered from the claim of another call.
        refused: Calls refused because of their key.
        unreadable: Records that could not be decoded.
        gaps: Gaps found in the stream.
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
    """State of claims on this gate host.

    Attributes:
        settings: Settings of claims.
        writer: Id of this incarnation in the stream, unique in the fleet.
        index: Owners of keys as read from the stream.
        pending: Claims of this host that have not been read back, by key.
        waiters: Calls that wait for another claim's outcome, by key.
        queue: Claims for the next batch.
        outcome_updates: Outcomes for the next batch.
        outcomes_due_us: Earliest time of an append of outcomes without claims.
        in_flight_batch: The batch whose append is in flight or in doubt, if
            any.
        timer_due_us: Time of the earliest claims timer, if any.
        retry_at_us: Earliest time of the next append after a refused one.
        last_own_offset: Highest offset of this host's own batches.
        tokens: Appends that this host could make at `tokens_refilled_us`.
        tokens_refilled_us: Time at which `tokens` was last refilled.
        last_claim_number: Number of the latest claim.
        last_batch_number: Number of the latest batch.
        reading: Whether a read is in flight.
        read_started_us: Time at which that read was requested.
        read_due_us: Time of the next read when none is in flight.
        wall_clock_offset_ms: Wall-clock time minus monotonic time; None if
            unknown.
        after_skip: Whether the next record read follows skipped records.
        gap_open: Whether a gap extends to the present and its keys are not
            evicted yet, because the wall-clock time is unknown.
        counters: Counts since the start.
    """

    settings: ClaimSettings
    writer: str
    index: claim_index.ClaimIndex = attrs.field(factory=claim_index.ClaimIndex)
    pending: dict[int, PendingClaim] = attrs.field(factory=dict)
    waiters: dict[int, list[int]] = attrs.field(factory=dict)
    queue: list[PendingClaim] = attrs.field(factory=list)
    outcome_updates: list[claim_records.OutcomeUpdate] = attrs.field(
        factory=list
    )
    outcomes_due_us: int = 0
    in_flight_batch: InFlightBatch | None = None
    timer_due_us: int | None = None
    retry_at_us: int = 0
    last_own_offset: int = -1
    tokens: float = 0.0
    tokens_refilled_us: int | None = None
    last_claim_number: int = 0
    last_batch_number: int = 0
    reading: bool = False
    read_started_us: int = 0
    read_due_us: int = 0
    wall_clock_offset_ms: int | None = None
    after_skip: bool = False
    gap_open: bool = False
    counters: ClaimCounters = attrs.field(factory=ClaimCounters)

    def wall_ms(self, now_us: int) -> int:
        """Returns the wall-clock time, or 0 if it is unknown."""
        if self.wall_clock_offset_ms is None:
            return 0
        return self.wall_clock_offset_ms + now_us // 1000
