"""Snapshots of the configuration, in parts that fit one record.

A snapshot holds every entry and the offset below which every record is
accounted for. Taking one in twice, or an old one, changes nothing.
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
PART_CHARACTERS = 64 * 1024
ENVELOPE_CHARACTERS = 300
MAX_PARTS = 10_000
MAX_COLLECTED = 4


@attrs.define(frozen=True)
class Part:
    """One part of a snapshot.

    Attributes:
        snapshot_id: Id of the snapshot.
        covered_offset: Every record below it is accounted for.
        number: Number of this part, from 0.
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
    """A snapshot with all its parts."""

    snapshot_id: str
    covered_offset: int
    entries: tuple[entries_lib.Entry, ...]


def build(config: configuration.Configuration, snapshot_id: str) -> list[Part]:
    """Returns the parts of a snapshot of the configuration."""
    groups = list(_groups(config))
    return [
        Part(snapshot_id, config.next_offset, number, len(groups), group)
        for number, group in enumerate(groups)
    ]


def _groups(
    config: configuration.Configuration,
) -> Iterator[tuple[entries_lib.Entry, ...]]:
    group: list[entries_lib.Entry] = []
    size = 0
    for _, entry in sorted(config.entries.items()):
        length = _length(entry)
        if group and size + length > PART_CHARACTERS:
            yield tuple(group)
            group = []
            size = 0
        group.append(entry)
        size += length
    yield tuple(group)


def _length(entry: entries_lib.Entry) -> int:
    """Returns roughly the characters of an entry as JSON text."""
    return sum(
        ENVELOPE_CHARACTERS + len(json.dumps(record.payload))
        for record in (entry.record, *entry.fallbacks)
    )


def encode(part: Part) -> str:
    """Returns a part as JSON text."""
    return json.dumps(plain(part), separators=(",", ":"))


def plain(part: Part) -> dict:
    """Returns a part as JSON data; payloads are shared, not copied."""
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
    """Reads a part; fields of newer versions are ignored."""
    return records.load_json(body).and_then(
        lambda raw: records.structure(raw, Part, records.lenient_converter)
    )


@attrs.define
class Collector:
    """Parts that came so far, of a few snapshots."""

    _parts: dict[str, dict[int, Part]] = attrs.field(factory=dict)

    def add(self, part: Part) -> Snapshot | None:
        """Adds a part; returns the snapshot once it is whole."""
        found = self._parts.setdefault(part.snapshot_id, {})
        found[part.number] = part
        if len(self._parts) > MAX_COLLECTED:
            del self._parts[next(iter(self._parts))]
        if not all(number in found for number in range(part.parts)):
            return None
        self._parts.pop(part.snapshot_id, None)
        whole = [found[number] for number in range(part.parts)]
        return Snapshot(
            part.snapshot_id,
            min(each.covered_offset for each in whole),
            tuple(entry for each in whole for entry in each.entries),
        )
