"""Records of the platform's store as they were read, and a copy of them."""

import attrs

# Keys that were dropped are kept up to this number, some minutes of changes,
# so that a host that is a little behind need not read the whole.
MAX_TOMBSTONES = 500


@attrs.define(frozen=True)
class Record:
    """The newest record of a key.

    Attributes:
        key: The key.
        value: What was written; None for a key that was dropped.
        offset: Its number in the topic.
    """

    key: str
    value: bytes | None
    offset: int


@attrs.define(frozen=True)
class Batch:
    """What a read brought.

    Attributes:
        records: Records, those of one key by ascending offset.
        next_offset: First offset that has not been read.
        whole: Whether the records are all that there are.
        from_offset: Offset from which no record is missing.
    """

    records: list[Record]
    next_offset: int
    whole: bool
    from_offset: int = 0

    @property
    def value_bytes(self) -> int:
        """Size of all values."""
        return sum(len(record.value or b"") for record in self.records)


@attrs.define(frozen=True)
class Dropped:
    """The store no longer holds the records from the offset asked for.

    Attributes:
        first_offset: Offset of the oldest record that it holds.
    """

    first_offset: int


@attrs.define(frozen=True)
class Failed:
    """A call failed or was not answered in time.

    Attributes:
        why: Sentence for a person.
    """

    why: str


class LatestRecords:
    """The newest record of every key of one topic, as far as it was read.

    Attributes:
        next_offset: First offset that has not been read; None before the
            first read.
    """

    def __init__(self) -> None:
        self.next_offset: int | None = None
        self._newest: dict[str, Record] = {}
        self._history_from = 0

    def apply(self, batch: Batch) -> bool:
        """Takes a read in; one that is older than the copy changes nothing.

        Returns:
            Whether the copy has all that was read; False for a read that
            leaves a gap, which changes nothing.
        """
        next_offset = self.next_offset
        if next_offset is not None and batch.next_offset < next_offset:
            return True
        if not batch.whole and (next_offset or 0) < batch.from_offset:
            return False
        if batch.whole:
            self._newest = {record.key: record for record in batch.records}
            self._history_from = batch.next_offset
        else:
            for record in batch.records:
                # Moves the key to the end, so that the order is by offset.
                self._newest.pop(record.key, None)
                self._newest[record.key] = record
        self.next_offset = batch.next_offset
        if batch.records:
            self._remove_tombstones()
        return True

    def since(self, offset: int | None) -> Batch | None:
        """Returns what a host lacks that has read up to an offset.

        Args:
            offset: First offset that the host has not read, or None.

        Returns:
            The records; None before the first read.
        """
        if self.next_offset is None:
            return None
        if offset is None or offset < self._history_from:
            live = [
                record
                for record in self._newest.values()
                if record.value is not None
            ]
            return Batch(live, self.next_offset, whole=True)
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
