"""Determines the outcome of a published record after its append.

An append is sent once. If its response is lost, the publisher keeps reading
the log and searches for the record id. A record that isn't found may still
reach the log later, so the outcome is "unknown". A retry with the same record
id is safe, because the expected revision lets at most one copy be accepted.
"""

import attrs

from fireflyspindle.core import configuration as configuration_lib
from fireflyspindle.core import events
from fireflyspindle.core import record_outcomes
from fireflyspindle.core import records

RESOLVE_TIMEOUT_MS = 5_000


@attrs.define(frozen=True)
class Attempt:
    """A record whose append has ended.

    Attributes:
        record: The record.
        outcome: Outcome of the append.
        offset: Offset of the record when `outcome` is DONE.
        ended_us: Monotonic time at which the append ended.
    """

    record: records.Envelope
    outcome: events.AppendOutcome
    offset: int
    ended_us: int


@attrs.define(frozen=True)
class Accepted:
    """The record is accepted; its revision is its offset plus one."""

    offset: int

    @property
    def revision(self) -> int:
        """Revision of the key."""
        return self.offset + 1


@attrs.define(frozen=True)
class Conflict:
    """The record is in the log, but its key had a different revision."""

    offset: int
    found_revision: int


@attrs.define(frozen=True)
class NotAppended:
    """The record is not in the log and will not be applied."""


@attrs.define(frozen=True)
class Pending:
    """The record has not been read back yet; check again later."""


@attrs.define(frozen=True)
class Unknown:
    """The record may be in the log, or may still reach it."""


PublishOutcome = Accepted | Conflict | NotAppended | Pending | Unknown


def reader_version_error(
    record: records.Envelope, lowest_reader_version: int
) -> str | None:
    """Returns why a record can't be published yet, or None.

    Checks that every live host supports the reader version of the record.

    Args:
        record: The record.
        lowest_reader_version: Lowest reader version of the live hosts.
    """
    if record.payload is None:
        return None
    needed = records.needed_reader_version(record)
    stated = record.oldest_reader_version
    if stated < needed:
        return (
            f"oldest_reader_version = {stated}; schema version"
            f" {record.schema_version} of {record.kind} needs {needed} or later"
        )
    if stated > lowest_reader_version:
        return (
            f"oldest_reader_version = {stated}; a live gate host supports up to"
            f" {lowest_reader_version}: upgrade it first, or publish an older"
            " schema version"
        )
    return None


def resolve_outcome(
    config: configuration_lib.Configuration, attempt: Attempt, now_us: int
) -> PublishOutcome:
    """Returns the outcome of a record, as far as the log read so far shows."""
    match config.record_outcomes.get(attempt.record.record_id):
        case record_outcomes.Accepted(offset):
            return Accepted(offset)
        case record_outcomes.Refused(offset, found_revision):
            return Conflict(offset, found_revision)
    entry = config.entries.get(attempt.record.key)
    if entry and entry.record.record_id == attempt.record.record_id:
        return Accepted(entry.revision - 1)
    if attempt.outcome is events.AppendOutcome.REFUSED:
        return NotAppended()
    if now_us < attempt.ended_us + RESOLVE_TIMEOUT_MS * 1000:
        return Pending()
    return Unknown()
