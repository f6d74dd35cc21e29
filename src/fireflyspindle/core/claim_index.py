"""The index of the claims stream: the owner and outcome of each key.

The claim at the lowest offset owns its key permanently, unless its owner
records that the request was not run; then the key is free and the next claim
owns it. Every host applies the same records in the same order, so all agree.
Keys are evicted by time of issue; the index is complete for keys issued after
`complete_after_ms`.
"""

import attrs

from fireflyspindle.core import claim_keys
from fireflyspindle.core import claim_records

BUCKET_MS = 10_000


@attrs.define
class Entry:
    """The owner of a key.

    Attributes:
        writer: Incarnation of the gate host whose claim owns the key.
        number: Number of that claim.
        digest: Hash of method, path and body of the owner's request.
        outcome: How the request ended, or None until it is recorded.
        status: HTTP status of the target's answer, or 0.
        released: Claims recorded as not run, as (writer, number) pairs.
    """

    writer: str
    number: int
    digest: int
    outcome: claim_records.ClaimOutcome | None = None
    status: int = 0
    released: tuple[tuple[str, int], ...] = ()

    @property
    def free(self) -> bool:
        """Whether the next claim owns the key."""
        return self.outcome is claim_records.ClaimOutcome.NOT_RUN

    def is_owned_by(self, writer: str, number: int) -> bool:
        """Whether the given claim owns the key."""
        if self.free:
            return False
        return self.writer == writer and self.number == number


@attrs.define
class ClaimIndex:
    """Owners of keys, in buckets by the key's time of issue.

    Attributes:
        complete_after_ms: The index is complete only for keys issued after
            this time; claims of older keys may be missing.
        key_count: Number of keys in the index.
    """

    complete_after_ms: int = -1
    key_count: int = 0
    _buckets: dict[int, dict[int, Entry]] = attrs.field(factory=dict)
    _writers: dict[str, str] = attrs.field(factory=dict)

    def covers(self, issued_ms: int) -> bool:
        """Whether the index is complete for keys issued at this time."""
        return issued_ms > self.complete_after_ms

    def get(self, key: claim_keys.KeyRef) -> Entry | None:
        """Returns the entry of a key, if any."""
        bucket = self._buckets.get(key.issued_ms // BUCKET_MS)
        return bucket.get(key.key_id) if bucket is not None else None

    def apply_claim(self, writer: str, claim: claim_records.Claim) -> None:
        """Applies a claim."""
        key = claim.key
        if not self.covers(key.issued_ms):
            return
        bucket = self._buckets.setdefault(key.issued_ms // BUCKET_MS, {})
        entry = bucket.get(key.key_id)
        if entry is None:
            writer = self._writers.setdefault(writer, writer)
            bucket[key.key_id] = Entry(writer, claim.number, key.digest)
            self.key_count += 1
            return
        if entry.free and (writer, claim.number) not in entry.released:
            entry.writer = writer
            entry.number = claim.number
            entry.digest = key.digest
            entry.outcome = None
            entry.status = 0

    def apply_outcome(
        self, writer: str, update: claim_records.OutcomeUpdate
    ) -> None:
        """Applies an outcome; ignores it unless the key's owner recorded it."""
        entry = self.get(update.key)
        if entry is None or not entry.is_owned_by(writer, update.number):
            return
        if entry.outcome is not None:
            if update.outcome is not claim_records.ClaimOutcome.COMPLETE:
                return
        entry.outcome = update.outcome
        entry.status = update.status
        if entry.free:
            entry.released += ((writer, update.number),)

    def evict_before(self, issued_ms: int) -> None:
        """Advances `complete_after_ms` and drops buckets that end before it."""
        if issued_ms <= self.complete_after_ms:
            return
        self.complete_after_ms = issued_ms
        first_kept = issued_ms // BUCKET_MS
        for bucket in [
            bucket for bucket in self._buckets if bucket < first_kept
        ]:
            self.key_count -= len(self._buckets.pop(bucket))

    def evict_oldest_bucket(self) -> None:
        """Evicts the keys of the oldest bucket."""
        oldest = min(self._buckets)
        self.evict_before((oldest + 1) * BUCKET_MS)
