"""Topics of a store that may restart, and its responses as on the wire."""

import base64
import json

import attrs

from fireflyspindle.adapters import store_records

# What a restart does to the topics: nothing; it drops the log but not the
# newest records; it loses the records that were never acknowledged, so that
# their offsets are given to the next ones; it numbers the newest records anew
# from 0, with or without others up to an end above the previous one.
KEPT = "kept"
HISTORY_DROPPED = "history dropped"
RECORD_LOST = "record lost"
RENUMBERED = "renumbered"
RENUMBERED_LONGER = "renumbered longer"
RESTARTS = (KEPT, HISTORY_DROPPED, RECORD_LOST, RENUMBERED, RENUMBERED_LONGER)
# Key of the records that no host uses.
OTHER_KEY = "other"
# Most records of one page of a listing.
PAGE_ITEMS = 500


@attrs.define
class Topic:
    """One keyed topic.

    Attributes:
        log: All records; the offset of each is its index.
        first_offset: Offset of the first record that can still be read.
        acknowledged: Number of records that have been acknowledged.
    """

    log: list[store_records.Record] = attrs.field(factory=list)
    first_offset: int = 0
    acknowledged: int = 0

    @property
    def end_offset(self) -> int:
        """Offset of the next record."""
        return len(self.log)

    def append(self, key: str, value: bytes | None, acknowledged=True) -> None:
        """Appends a record."""
        self.log.append(store_records.Record(key, value, len(self.log)))
        if acknowledged:
            self.acknowledged = len(self.log)

    def newest(self) -> list[store_records.Record]:
        """Returns the newest record of each key that has a value."""
        by_key = {record.key: record for record in self.log}
        return [record for record in by_key.values() if record.value]

    def restart(self, how: str) -> None:
        """Changes the records as one of `RESTARTS`."""
        if how == HISTORY_DROPPED:
            self.first_offset = self.end_offset
        if how == RECORD_LOST:
            del self.log[self.acknowledged :]
            self.first_offset = min(self.first_offset, self.end_offset)
        if how in (RENUMBERED, RENUMBERED_LONGER):
            previous_end = self.end_offset
            newest = self.newest()
            self.first_offset = 0
            self.log = []
            for record in newest:
                self.append(record.key, record.value)
            while how == RENUMBERED_LONGER and self.end_offset <= previous_end:
                self.append(OTHER_KEY, None)
            self.acknowledged = self.end_offset

    def read(self, offset: int, most: int | None) -> tuple[int, bytes]:
        """Returns the response to a read from an offset."""
        if offset < self.first_offset:
            body = {"why": "trimmed", "first-offset": self.first_offset}
            return 410, json.dumps(body).encode()
        body = self.end_offset.to_bytes(8) + self.first_offset.to_bytes(8)
        for record in self.log[offset:][:most]:
            key = record.key.encode()
            content = bytes([len(key)]) + key + (record.value or b"")
            body += len(content).to_bytes(4) + content
        return 200, body

    def list_newest(self, after: str) -> tuple[int, bytes]:
        """Returns one page of the newest records, behind a key."""
        rest = sorted(
            (record for record in self.newest() if record.key > after),
            key=lambda record: record.key,
        )
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in rest[:PAGE_ITEMS]
        ]
        body = {
            "items": items,
            "has-more": len(rest) > len(items),
            "end-offset": self.end_offset,
        }
        return 200, json.dumps(body).encode()
