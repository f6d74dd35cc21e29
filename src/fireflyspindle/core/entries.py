"""Accepted records by key, including deletions.

Of two entries of a key, the one with the higher revision supersedes the other
completely, so entries from any source are merged by maximum revision.
"""

import hashlib

import attrs

from fireflyspindle.core import records

MAX_FALLBACKS = 2


@attrs.define(frozen=True)
class Entry:
    """The accepted state of one key.

    Attributes:
        revision: Offset of the accepted record plus one; 0 means none.
        record: The accepted record.
        fallbacks: Records accepted earlier, newest first, for hosts that
            can't read `record`.
    """

    revision: int
    record: records.Envelope
    fallbacks: tuple[records.Envelope, ...] = ()


def replace(
    entry: Entry | None,
    revision: int,
    record: records.Envelope,
    reader_version: int,
) -> Entry:
    """Returns the entry of a key after a record is accepted.

    An earlier record is kept as a fallback if it is the newest that some
    older reader version can apply, or the newest that this host can read.
    """
    if entry is None or record.payload is None:
        return Entry(revision, record)
    fallbacks: list[records.Envelope] = []
    oldest_reader = record.oldest_reader_version
    readable = is_readable(record, reader_version)
    for earlier in (entry.record, *entry.fallbacks):
        older = earlier.oldest_reader_version < oldest_reader
        only_readable = not readable and is_readable(earlier, reader_version)
        if older or only_readable:
            fallbacks.append(earlier)
        oldest_reader = min(oldest_reader, earlier.oldest_reader_version)
        readable = readable or only_readable
    return Entry(revision, record, tuple(fallbacks[:MAX_FALLBACKS]))


def is_readable(record: records.Envelope, reader_version: int) -> bool:
    """Whether a reader version can apply a record; true for deletions."""
    if record.payload is None:
        return True
    return records.read_payload(record, reader_version).is_ok()


def digest(entry: Entry | None) -> int:
    """Returns a 64-bit hash of an entry's key and revision; 0 for none.

    The exclusive or over all entries is the digest of a configuration.
    """
    if entry is None:
        return 0
    text = f"{entry.record.key}@{entry.revision}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
