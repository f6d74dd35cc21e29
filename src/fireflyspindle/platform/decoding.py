"""What reads of the store brought, as events."""

import result

from fireflyspindle import logs
from fireflyspindle.adapters import store_records
from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import store_state
from fireflyspindle.platform import documents
from fireflyspindle.platform import entries

CONFIGURATION_KEY = "config"


class Decoder:
    """Decodes records, and reports those that can't be read once.

    Attributes:
        unreadable: Newest value that could not be read, by key.
    """

    def __init__(self) -> None:
        self.unreadable: dict[str, bytes] = {}

    def event(
        self,
        now_us: int,
        source: store_state.Source,
        found: store_records.Batch | store_records.Failed,
        passed_on: events.PassedOn | None,
    ) -> events.Event:
        """Returns the event for the outcome of a read.

        Args:
            now_us: Monotonic time.
            source: What was read.
            found: The outcome.
            passed_on: Set when another host made the read.
        """
        match found:
            case store_records.Failed(why):
                return events.StoreReadFailed(
                    now_us, source.value, why, passed_on
                )
            case store_records.Batch() if source is store_state.Source.TARGETS:
                return self._targets(now_us, found, passed_on)
            case store_records.Batch():
                return self._configuration(now_us, found, passed_on)

    def _configuration(
        self,
        now_us: int,
        batch: store_records.Batch,
        passed_on: events.PassedOn | None,
    ) -> events.ConfigurationRead:
        newest: published.Document | None = None
        for record in batch.records:
            if record.key != CONFIGURATION_KEY or record.value is None:
                continue
            decoded = documents.decode(record.value)
            if isinstance(decoded, result.Err):
                self._report_unreadable(record, decoded.err_value)
                continue
            document = decoded.ok_value
            if newest is None or document.version > newest.version:
                newest = document
        return events.ConfigurationRead(
            now_us, newest, batch.next_offset, passed_on
        )

    def _targets(
        self,
        now_us: int,
        batch: store_records.Batch,
        passed_on: events.PassedOn | None,
    ) -> events.TargetsRead:
        found: dict[str, list[events.TargetEntry]] = {}
        removed: set[str] = set()
        for record in batch.records:
            if record.value is None:
                removed.add(record.key)
                found.pop(record.key, None)
                continue
            decoded = entries.decode(record.key, record.value)
            if isinstance(decoded, result.Err):
                self._report_unreadable(record, decoded.err_value)
                # What was known of the target before still holds.
                found.setdefault(record.key, [])
                continue
            removed.discard(record.key)
            found.setdefault(record.key, []).append(decoded.ok_value)
        return events.TargetsRead(
            now_us=now_us,
            entries=[entry for each in found.values() for entry in each],
            removed=sorted(removed),
            whole=batch.whole,
            next_offset=batch.next_offset,
            passed_on=passed_on,
        )

    def _report_unreadable(
        self, record: store_records.Record, why: str
    ) -> None:
        """Writes a log line of a record, once for each value."""
        assert record.value is not None
        if self.unreadable.get(record.key) == record.value:
            return
        self.unreadable[record.key] = record.value
        logs.logger.warning(
            f"the entry {record.key!r} can't be read: {why}",
            code="entry_unreadable",
        )
