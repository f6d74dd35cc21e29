"""The fold of the claims stream: who owns each key, and how it ended.

The claim at the lowest offset owns its key. It owns it for good, unless its
owner writes that the request was not run; then the key is free and the next
claim owns it. Every host folds the same records in the same order, so all
agree. Keys are forgotten by their time of issue; `certain_from_ms` says which
keys the index can answer for.
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
        outcome: How the request ended, or None while that is not written.
        status: HTTP status of the target's answer, or 0.
        released: Claims whose owner wrote that they were not run.
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
        """Whether a claim owns the key now."""
        if self.free:
            return False
        return self.writer == writer and self.number == number


@attrs.define
class ClaimIndex:
    """Owners of keys, in buckets by the key's time of issue.

    Attributes:
        certain_from_ms: The index answers only for keys issued after this
            time; others may have been claimed without a trace here.
        held: Number of keys held.
    """

    certain_from_ms: int = -1
    held: int = 0
    _buckets: dict[int, dict[int, Entry]] = attrs.field(factory=dict)
    _writers: dict[str, str] = attrs.field(factory=dict)

    def covers(self, issued_ms: int) -> bool:
        """Whether the index answers for a key issued at this time."""
        return issued_ms > self.certain_from_ms

    def get(self, key: claim_keys.KeyRef) -> Entry | None:
        """Returns the owner of a key, if any."""
        bucket = self._buckets.get(key.issued_ms // BUCKET_MS)
        return bucket.get(key.key_id) if bucket is not None else None

    def apply_claim(self, writer: str, claim: claim_records.Claim) -> None:
        """Folds a claim."""
        key = claim.key
        if not self.covers(key.issued_ms):
            return
        bucket = self._buckets.setdefault(key.issued_ms // BUCKET_MS, {})
        entry = bucket.get(key.key_id)
        if entry is None:
            writer = self._writers.setdefault(writer, writer)
            bucket[key.key_id] = Entry(writer, claim.number, key.digest)
            self.held += 1
            return
        if entry.free and (writer, claim.number) not in entry.released:
            entry.writer = writer
            entry.number = claim.number
            entry.digest = key.digest
            entry.outcome = None
            entry.status = 0

    def apply_outcome(
        self, writer: str, note: claim_records.OutcomeNote
    ) -> None:
        """Folds an outcome; only the owner's counts."""
        entry = self.get(note.key)
        if entry is None or not entry.is_owned_by(writer, note.number):
            return
        if entry.outcome is not None:
            if note.outcome is not claim_records.ClaimOutcome.COMPLETE:
                return
        entry.outcome = note.outcome
        entry.status = note.status
        if entry.free:
            entry.released += ((writer, note.number),)

    def forget_before(self, issued_ms: int) -> None:
        """Stops answering for keys issued up to a time, and drops them."""
        if issued_ms <= self.certain_from_ms:
            return
        self.certain_from_ms = issued_ms
        last = issued_ms // BUCKET_MS
        for number in [number for number in self._buckets if number < last]:
            self.held -= len(self._buckets.pop(number))

    def forget_oldest(self) -> None:
        """Drops the keys of the oldest bucket."""
        oldest = min(self._buckets)
        self.forget_before((oldest + 1) * BUCKET_MS)
