"""Records read from the platform's store, and the latest one by key.

An offset means the same record only within one run of the store's log. A store
that starts anew may number its records anew, or give the offset of a record
that it has lost to another one. So that a position does not outlive the log
that gave it, it is compared with later listings of the store, and a digest of
the records with that of the reader that relays them.
"""

import hashlib

import attrs

# Most tombstones that are retained; beyond it, all are removed. They cover some
# minutes of changes, so that a host that is slightly behind needs no full read.
MAX_TOMBSTONES = 500


@attrs.define(frozen=True)
class Record:
    """One record of a topic.

    Attributes:
        key: The key.
        value: The value; None is a tombstone, for a deleted key.
        offset: Offset in the topic.
    """

    key: str
    value: bytes | None
    offset: int


@attrs.define(frozen=True)
class Batch:
    """The result of a read.

    Attributes:
        records: Records; those of one key are in ascending order of offset.
        next_offset: First offset that has not been read.
        is_snapshot: Whether the records are a full snapshot.
        from_offset: Offset from which the records are complete.
        is_complete: Whether the read reached the end of the topic; the store
            limits the size of a response.
        end_offset: End of the topic as stated with a snapshot; None if it was
            not stated.
        resets_position: Whether the records that were held before belong to
            another log, so that their offsets mean nothing in this one.
        started_us: Earliest time at which the read may have started, if it
            resets the position.
        preceding: The read from an offset that a snapshot followed, if any.
    """

    records: list[Record]
    next_offset: int
    is_snapshot: bool
    from_offset: int = 0
    is_complete: bool = True
    end_offset: int | None = None
    resets_position: bool = False
    started_us: int = 0
    preceding: "Batch | None" = None

    @property
    def value_bytes(self) -> int:
        """Total size of the values."""
        return sum(len(record.value or b"") for record in self.records)


@attrs.define(frozen=True)
class HistoryDropped:
    """The store no longer holds the records at the requested offset.

    Attributes:
        first_offset: Offset of the oldest retained record.
    """

    first_offset: int


@attrs.define(frozen=True)
class ReadFailed:
    """A read failed or timed out.

    Attributes:
        reason: Human-readable reason.
        is_answered: Whether the store answered, but with no records of this
            topic; other topics may still be readable.
    """

    reason: str
    is_answered: bool = False


class LatestRecords:
    """The latest record of every key of one topic, up to the last read.

    Attributes:
        next_offset: First offset that has not been read; None before the
            first read.
        changed_us: Time at which that offset or the log last changed.
        reset_us: Start of the latest read that replaced the records by those
            of another log; None if they never were replaced.
        resets: How often that has happened.
        digest: Digest of the records that are not deleted, with their offsets.
    """

    def __init__(self) -> None:
        self.next_offset: int | None = None
        self.changed_us = 0
        self.reset_us: int | None = None
        self.resets = 0
        self.digest = 0
        self._newest: dict[str, Record] = {}
        self._digests: dict[str, int] = {}
        self._history_from = 0

    def is_outdated(self, started_us: int) -> bool:
        """Whether a read that started then may be one of an earlier log."""
        return self.reset_us is not None and started_us < self.reset_us

    def diverges_from(self, snapshot: Batch, started_us: int) -> bool:
        """Whether a snapshot shows that these records are of another log.

        Args:
            snapshot: A snapshot of the topic.
            started_us: Earliest time at which the read of it may have started.
                Nothing is known unless the records were read before.
        """
        next_offset = self.next_offset
        if next_offset is None or started_us <= self.changed_us:
            return False
        end_offset = snapshot.end_offset
        if end_offset is None:
            end_offset = snapshot.next_offset
        elif end_offset < next_offset:
            return True
        held = {
            record.offset: record
            for record in self._newest.values()
            if record.value is not None
        }
        for record in snapshot.records:
            if record.offset >= next_offset or _is_undecodable(record):
                continue
            if held.get(record.offset) != record:
                return True
        if end_offset > next_offset:
            return False
        offsets = {record.offset for record in snapshot.records}
        return not held.keys() <= offsets

    def differs_from_reader(
        self, batch: Batch, digest: int | None, started_us: int
    ) -> bool:
        """Whether a reader that has read later holds other records.

        Args:
            batch: What the reader has relayed.
            digest: Digest of the records that the reader holds at the end of
                the batch; None from a reader that doesn't state it.
            started_us: Earliest time at which the reader's read may have
                started. An earlier one decides nothing.
        """
        if self.next_offset is None or started_us <= self.changed_us:
            return False
        if digest == self.digest or batch.records:
            # Once records have been applied, the next line tells.
            return False
        if batch.next_offset < self.next_offset:
            return True
        return digest is not None and batch.next_offset == self.next_offset

    def apply(self, batch: Batch, now_us: int = 0) -> bool:
        """Applies a read; one that is older than the current state is ignored.

        Args:
            batch: The read.
            now_us: Current time.

        Returns:
            False for a read after a gap, which is ignored; otherwise True.
        """
        next_offset = self.next_offset
        if batch.resets_position:
            self.reset_us = batch.started_us
            self.resets += 1
        elif next_offset is not None and batch.next_offset < next_offset:
            return True
        elif not batch.is_snapshot and (next_offset or 0) < batch.from_offset:
            return False
        if batch.is_snapshot:
            self._replace(batch)
        else:
            for record in batch.records:
                self._add(record)
        if batch.resets_position or batch.next_offset != next_offset:
            self.changed_us = now_us
        self.next_offset = batch.next_offset
        if batch.records:
            self._remove_tombstones()
        return True

    def _replace(self, snapshot: Batch) -> None:
        if snapshot.next_offset == self.next_offset and all(
            self._newest.get(record.key) == record
            for record in snapshot.records
        ):
            if len(snapshot.records) == len(self._digests):
                # Keeps the deletions, which followers that are behind need.
                return
        self._history_from = snapshot.next_offset
        self._newest.clear()
        self._digests.clear()
        self.digest = 0
        for record in snapshot.records:
            self._add(record)

    def _add(self, record: Record) -> None:
        # Moves the key to the end, so that keys are ordered by offset.
        self._remove(record.key)
        self._newest[record.key] = record
        if record.value is not None:
            digest = _digest(record)
            self._digests[record.key] = digest
            self.digest ^= digest

    def _remove(self, key: str) -> None:
        self._newest.pop(key, None)
        self.digest ^= self._digests.pop(key, 0)

    def since(self, offset: int | None) -> Batch | None:
        """Returns the records from an offset on.

        Args:
            offset: First offset to return, or None for a full snapshot.

        Returns:
            The records, or a full snapshot if changes since the offset are no
            longer known; None before the first read.
        """
        if self.next_offset is None:
            return None
        if offset is None or offset < self._history_from:
            live = [
                record
                for record in self._newest.values()
                if record.value is not None
            ]
            return Batch(live, self.next_offset, is_snapshot=True)
        if offset >= self.next_offset:
            return Batch([], self.next_offset, False, offset)
        newer = [
            record
            for record in self._newest.values()
            if record.offset >= offset
        ]
        return Batch(newer, self.next_offset, False, offset)

    def _remove_tombstones(self) -> None:
        tombstones = [
            record.key
            for record in self._newest.values()
            if record.value is None
        ]
        if len(tombstones) <= MAX_TOMBSTONES:
            return
        for key in tombstones:
            self._remove(key)
        assert self.next_offset is not None
        self._history_from = self.next_offset


def _digest(record: Record) -> int:
    digest = hashlib.blake2b(
        record.key.encode("utf-8", "surrogatepass"), digest_size=8
    )
    digest.update(b" %d " % record.offset)
    digest.update(record.value or b"")
    return int.from_bytes(digest.digest())


def _is_undecodable(record: Record) -> bool:
    """Whether a read from an offset may return the record in another form.

    A listing has an empty value for one that could not be decoded, and keys
    that are no UTF-8 have replacement characters.
    """
    return not record.value or "\ufffd" in record.key
