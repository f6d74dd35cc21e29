"""Buffer of the latest configuration records, for sending to peers."""

import collections

import attrs

MAX_CHARACTERS = 512 * 1024
MAX_REPLY_CHARACTERS = 64 * 1024


@attrs.define
class RecentRecords:
    """A contiguous run of records, oldest first.

    Attributes:
        next_offset: Offset after the last record.
    """

    next_offset: int = 0
    _bodies: collections.deque[str] = attrs.field(factory=collections.deque)
    _characters: int = 0

    @property
    def first_offset(self) -> int:
        """Offset of the oldest buffered record."""
        return self.next_offset - len(self._bodies)

    def add(self, offset: int, body: str) -> None:
        """Adds a record; a gap in the offsets discards the earlier ones."""
        if offset != self.next_offset:
            self._bodies.clear()
            self._characters = 0
        self._bodies.append(body)
        self._characters += len(body)
        self.next_offset = offset + 1
        while self._characters > MAX_CHARACTERS and len(self._bodies) > 1:
            self._characters -= len(self._bodies.popleft())

    def since(self, offset: int) -> tuple[str, ...] | None:
        """Returns records from an offset on, or None if it is not buffered.

        Returns at least one record, and more only while they fit in one reply.
        """
        if not self.first_offset <= offset < self.next_offset:
            return None
        bodies: list[str] = []
        size = 0
        for index in range(offset - self.first_offset, len(self._bodies)):
            body = self._bodies[index]
            size += len(body)
            if bodies and size > MAX_REPLY_CHARACTERS:
                break
            bodies.append(body)
        return tuple(bodies)
