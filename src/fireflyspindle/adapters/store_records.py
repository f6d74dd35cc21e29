"""Records read from the platform's store, and the latest one by key."""

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
    """

    records: list[Record]
    next_offset: int
    is_snapshot: bool
    from_offset: int = 0
    is_complete: bool = True

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
    """

    def __init__(self) -> None:
        self.next_offset: int | None = None
        self._newest: dict[str, Record] = {}
        self._history_from = 0

    def apply(self, batch: Batch) -> bool:
        """Applies a read; one that is older than the current state is ignored.

        Returns:
            False for a read after a gap, which is ignored; otherwise True.
        """
        next_offset = self.next_offset
        if next_offset is not None and batch.next_offset < next_offset:
            return True
        if not batch.is_snapshot and (next_offset or 0) < batch.from_offset:
            return False
        if batch.is_snapshot:
            self._newest = {record.key: record for record in batch.records}
            self._history_from = batch.next_offset
        else:
            for record in batch.records:
                # Moves the key to the end, so that keys are ordered by offset.
                self._newest.pop(record.key, None)
                self._newest[record.key] = record
        self.next_offset = batch.next_offset
        if batch.records:
            self._remove_tombstones()
        return True

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
            del self._newest[key]
        assert self.next_offset is not None
        self._history_from = self.next_offset
