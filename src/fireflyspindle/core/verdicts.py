"""What became of the latest configuration records, by record id."""

import attrs

MAX_OUTCOMES = 2_048


@attrs.define(frozen=True)
class Accepted:
    """The record at this offset was accepted."""

    offset: int


@attrs.define(frozen=True)
class Refused:
    """The record at this offset expected another revision of its key.

    Attributes:
        offset: Offset of the record.
        found_revision: Revision that the key had.
    """

    offset: int
    found_revision: int


RecordOutcome = Accepted | Refused


@attrs.define
class RecordOutcomes:
    """The first verdict on each of the latest records."""

    _by_id: dict[str, RecordOutcome] = attrs.field(factory=dict)

    def add(self, record_id: str, outcome: RecordOutcome) -> None:
        """Keeps a verdict; the first one on a record stands."""
        self._by_id.setdefault(record_id, outcome)
        if len(self._by_id) > MAX_OUTCOMES:
            del self._by_id[next(iter(self._by_id))]

    def get(self, record_id: str) -> RecordOutcome | None:
        """Returns the verdict on a record, if it is among the latest."""
        return self._by_id.get(record_id)
