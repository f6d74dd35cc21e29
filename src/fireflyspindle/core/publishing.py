"""What a publisher can say of its record after the append.

An append is made once. When its answer is lost, the publisher reads on and
looks for the record's id. A record that doesn't show may still reach the log
later, so the publisher says "unknown"; asking again with the same record id
is harmless, since the expected revision lets one copy through at most.
"""

import attrs

from fireflyspindle.core import configuration as configuration_lib
from fireflyspindle.core import events
from fireflyspindle.core import records
from fireflyspindle.core import verdicts

RESOLVE_TIMEOUT_MS = 5_000


@attrs.define(frozen=True)
class Attempt:
    """A record whose append has ended.

    Attributes:
        record: The record.
        outcome: How the append ended.
        offset: Offset of the record when `outcome` is DONE.
        ended_us: Monotonic time at which the append ended.
    """

    record: records.Envelope
    outcome: events.AppendOutcome
    offset: int
    ended_us: int


@attrs.define(frozen=True)
class Accepted:
    """The record is in force here; its revision is its offset plus one."""

    offset: int

    @property
    def revision(self) -> int:
        """Revision of the key."""
        return self.offset + 1


@attrs.define(frozen=True)
class Conflict:
    """The record is in the log, but its key had another revision."""

    offset: int
    found_revision: int


@attrs.define(frozen=True)
class NotAppended:
    """The record is not in the log and won't come into force."""


@attrs.define(frozen=True)
class Pending:
    """The fold has not reached the record yet; ask again."""


@attrs.define(frozen=True)
class Unknown:
    """The record may be in the log, or come into it later."""


Settled = Accepted | Conflict | NotAppended | Pending | Unknown


def reader_problem(
    record: records.Envelope, lowest_reader_version: int
) -> str | None:
    """Returns why a record must not be published yet, or None.

    Args:
        record: The record.
        lowest_reader_version: Oldest reader among the live hosts.
    """
    if record.payload is None:
        return None
    needed = records.needed_reader_version(record)
    stated = record.oldest_reader_version
    if stated < needed:
        return (
            f"oldest_reader_version = {stated}; schema version"
            f" {record.schema_version} of {record.kind} needs {needed}"
        )
    if stated > lowest_reader_version:
        return (
            f"oldest_reader_version = {stated}; a live gate host reads up to"
            f" {lowest_reader_version}: replace it first, or publish an older"
            " schema version"
        )
    return None


def settle(
    config: configuration_lib.Configuration, attempt: Attempt, now_us: int
) -> Settled:
    """Returns what is known of a record by reading on."""
    match config.verdicts.get(attempt.record.record_id):
        case verdicts.Accepted(offset):
            return Accepted(offset)
        case verdicts.Refused(offset, found_revision):
            return Conflict(offset, found_revision)
    entry = config.entries.get(attempt.record.key)
    if entry and entry.record.record_id == attempt.record.record_id:
        return Accepted(entry.revision - 1)
    if attempt.outcome is events.AppendOutcome.REFUSED:
        return NotAppended()
    if now_us < attempt.ended_us + RESOLVE_TIMEOUT_MS * 1000:
        return Pending()
    return Unknown()
