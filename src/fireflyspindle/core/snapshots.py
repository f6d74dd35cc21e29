"""Snapshots of the configuration, split into parts that fit one record.

A snapshot holds every entry, and the offset below which it reflects every
record. Merging is idempotent: merging a snapshot twice, or an outdated one,
changes nothing.
"""

from collections.abc import Iterator
import json

import attrs
import result

from fireflyspindle.core import checks
from fireflyspindle.core import configuration
from fireflyspindle.core import entries as entries_lib
from fireflyspindle.core import records

STREAM = "snapshots"
MAX_PART_CHARACTERS = 64 * 1024
ENVELOPE_CHARACTERS = 300
MAX_PARTS = 10_000
MAX_PENDING_SNAPSHOTS = 4


@attrs.define(frozen=True)
class Part:
    """One part of a snapshot.

    Attributes:
        snapshot_id: Id of the snapshot.
        covered_offset: The snapshot reflects every record below this offset.
        number: Number of this part, starting at 0.
        parts: Number of parts of the snapshot.
        entries: Entries of this part.
    """

    snapshot_id: str = attrs.field(validator=checks.name)
    covered_offset: int = attrs.field(
        validator=checks.between(0, records.MAX_REVISION)
    )
    number: int = attrs.field(validator=checks.between(0, MAX_PARTS))
    parts: int = attrs.field(validator=checks.between(1, MAX_PARTS))
    entries: tuple[entries_lib.Entry, ...] = ()


@attrs.define(frozen=True)
class Snapshot:
    """A snapshot assembled from all its parts."""

    snapshot_id: str
    covered_offset: int
    entries: tuple[entries_lib.Entry, ...]


def build(config: configuration.Configuration, snapshot_id: str) -> list[Part]:
    """Returns the parts of a snapshot of the configuration."""
    groups = list(_entry_groups(config))
    return [
        Part(snapshot_id, config.next_offset, number, len(groups), group)
        for number, group in enumerate(groups)
    ]


def _entry_groups(
    config: configuration.Configuration,
) -> Iterator[tuple[entries_lib.Entry, ...]]:
    group: list[entries_lib.Entry] = []
    size = 0
    for _, entry in sorted(config.entries.items()):
        length = _estimated_length(entry)
        if group and size + length > MAX_PART_CHARACTERS:
            yield tuple(group)
            group = []
            size = 0
        group.append(entry)
        size += length
    yield tuple(group)


def _estimated_length(entry: entries_lib.Entry) -> int:
    """Estimates the length of an entry as JSON text, in characters."""
    return sum(
        ENVELOPE_CHARACTERS + len(json.dumps(record.payload))
        for record in (entry.record, *entry.fallbacks)
    )


def encode(part: Part) -> str:
    """Returns a part as JSON text."""
    return json.dumps(to_json_data(part), separators=(",", ":"))


def to_json_data(part: Part) -> dict:
    """Converts a part to JSON data; payloads are shared, not copied."""
    raw = attrs.asdict(part, recurse=False)
    raw["entries"] = [
        {
            "revision": entry.revision,
            "record": attrs.asdict(entry.record, recurse=False),
            "fallbacks": [
                attrs.asdict(record, recurse=False)
                for record in entry.fallbacks
            ],
        }
        for entry in part.entries
    ]
    return raw


def decode(body: str) -> result.Result[Part, str]:
    """Decodes a part; fields of newer versions are ignored."""
    return records.load_json(body).and_then(
        lambda raw: records.structure(raw, Part, records.lenient_converter)
    )


@attrs.define
class SnapshotAssembler:
    """Assembles snapshots from their parts; holds a few incomplete ones."""

    _received: dict[str, dict[int, Part]] = attrs.field(factory=dict)

    def add(self, part: Part) -> Snapshot | None:
        """Adds a part; returns the snapshot once all parts are present."""
        received = self._received.setdefault(part.snapshot_id, {})
        received[part.number] = part
        if len(self._received) > MAX_PENDING_SNAPSHOTS:
            del self._received[next(iter(self._received))]
        if not all(number in received for number in range(part.parts)):
            return None
        self._received.pop(part.snapshot_id, None)
        ordered_parts = [received[number] for number in range(part.parts)]
        return Snapshot(
            part.snapshot_id,
            min(each.covered_offset for each in ordered_parts),
            tuple(entry for each in ordered_parts for entry in each.entries),
        )
