"""Outcomes of the latest configuration records, by record id."""

import attrs

MAX_OUTCOMES = 2_048


@attrs.define(frozen=True)
class Accepted:
    """The record at this offset was accepted."""

    offset: int


@attrs.define(frozen=True)
class Refused:
    """The record at this offset did not match the revision of its key.

    Attributes:
        offset: Offset of the record.
        found_revision: Revision that the key had.
    """

    offset: int
    found_revision: int


RecordOutcome = Accepted | Refused


@attrs.define
class RecordOutcomes:
    """The first outcome of each of the latest records."""

    _by_id: dict[str, RecordOutcome] = attrs.field(factory=dict)

    def add(self, record_id: str, outcome: RecordOutcome) -> None:
        """Stores an outcome; the first outcome of a record id is kept."""
        self._by_id.setdefault(record_id, outcome)
        if len(self._by_id) > MAX_OUTCOMES:
            del self._by_id[next(iter(self._by_id))]

    def get(self, record_id: str) -> RecordOutcome | None:
        """Returns the outcome of a record, or None if it is not stored."""
        return self._by_id.get(record_id)
