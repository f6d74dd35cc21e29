"""Applies configuration records from the log to the active configuration."""

from collections.abc import Iterable

import attrs
import result

from fireflyspindle.core import entries as entries_lib
from fireflyspindle.core import record_outcomes as record_outcomes_lib
from fireflyspindle.core import records
from fireflyspindle.core import routes as routes_lib

STREAM = "configuration"
DEFAULTS_KEY = "defaults/policy"

Entry = entries_lib.Entry


@attrs.define
class Configuration:
    """Every accepted record by key, and the active payloads.

    Attributes:
        reader_version: Newest reader version that this host supports.
        next_offset: First offset of the stream that is not yet applied.
        end_offset: End of the stream as last reported by the log or peers,
            which `next_offset` must reach before the configuration is
            complete; None before the first report.
        initialized: Whether the configuration has been complete once.
        lost_before_offset: Records below this offset expired in the log
            before this host could apply them; None if there are none.
        entries: Accepted records by key, including deletions.
        digest: Hash of the keys and their revisions.
        services: Active services by name.
        routes: Active routes.
        tenants: Active tenants by name.
        classes: Active traffic classes by name.
        policies: Active policies by service name.
        default_policy: Policy of services without a policy of their own.
        read_errors: Error by key, for keys whose newest payload this host
            can't read.
        record_outcomes: Outcomes of the latest records.
    """

    reader_version: int = records.READER_VERSION
    next_offset: int = 0
    end_offset: int | None = None
    initialized: bool = False
    lost_before_offset: int | None = None
    entries: dict[str, Entry] = attrs.field(factory=dict)
    digest: int = 0
    services: dict[str, records.Service] = attrs.field(factory=dict)
    routes: routes_lib.RouteTable = attrs.field(factory=routes_lib.RouteTable)
    tenants: dict[str, records.Tenant] = attrs.field(factory=dict)
    classes: dict[str, records.TrafficClass] = attrs.field(factory=dict)
    policies: dict[str, records.Policy] = attrs.field(factory=dict)
    default_policy: records.Policy = attrs.field(factory=records.Policy)
    read_errors: dict[str, str] = attrs.field(factory=dict)
    record_outcomes: record_outcomes_lib.RecordOutcomes = attrs.field(
        factory=record_outcomes_lib.RecordOutcomes
    )

    @property
    def complete(self) -> bool:
        """Whether it has been complete once and no records are missing now."""
        return self.initialized and self.lost_before_offset is None

    def policy(self, service: str) -> records.Policy:
        """Returns the policy of a service, or the default policy."""
        return self.policies.get(service, self.default_policy)


@attrs.define(frozen=True)
class Applied:
    """A record was accepted."""

    key: str
    revision: int


@attrs.define(frozen=True)
class Conflict:
    """A record was refused: its key is not at the expected revision."""

    key: str
    expected_revision: int
    found_revision: int


@attrs.define(frozen=True)
class Duplicate:
    """A record repeats the id of the key's current record; it is ignored."""

    key: str


@attrs.define(frozen=True)
class Unreadable:
    """This host can't read a record.

    The record is skipped if its envelope is invalid; otherwise it is accepted,
    and the key's last readable payload, if any, stays active.
    """

    offset: int
    error: str


@attrs.define(frozen=True)
class Gap:
    """A record was not applied because earlier records are missing."""

    next_offset: int
    offset: int


FoldResult = Applied | Conflict | Duplicate | Unreadable | Gap


def fold(config: Configuration, offset: int, body: str) -> FoldResult | None:
    """Applies the record at `offset`; one already applied is ignored."""
    if offset < config.next_offset:
        return None
    if offset > config.next_offset:
        return Gap(config.next_offset, offset)
    config.next_offset = offset + 1
    match records.decode(body):
        case result.Err(error):
            return Unreadable(offset, error)
        case result.Ok(record):
            return _apply_record(config, offset, record)


def skip_to(config: Configuration, offset: int) -> None:
    """Skips offsets at which the log reports no record."""
    config.next_offset = max(config.next_offset, offset)


def _apply_record(
    config: Configuration, offset: int, record: records.Envelope
) -> FoldResult | None:
    entry = config.entries.get(record.key)
    found_revision = entry.revision if entry else 0
    if found_revision > offset:
        return None
    if entry is not None and entry.record.record_id == record.record_id:
        return Duplicate(record.key)
    if record.expected_revision != found_revision:
        conflict = record_outcomes_lib.Refused(offset, found_revision)
        config.record_outcomes.add(record.record_id, conflict)
        return Conflict(record.key, record.expected_revision, found_revision)
    revision = offset + 1
    config.record_outcomes.add(
        record.record_id, record_outcomes_lib.Accepted(offset)
    )
    _set_entry(
        config,
        entries_lib.replace(entry, revision, record, config.reader_version),
    )
    error = config.read_errors.get(record.key)
    if error is not None:
        return Unreadable(offset, error)
    return Applied(record.key, revision)


def merge(
    config: Configuration, entries: Iterable[Entry], covered_offset: int
) -> None:
    """Merges the complete state of another host or a snapshot.

    Args:
        config: The configuration; an entry replaces the current entry of its
            key if its revision is higher.
        entries: Every entry of the other state.
        covered_offset: `entries` reflects every record below this offset.
    """
    for entry in entries:
        current = config.entries.get(entry.record.key)
        if current is None or current.revision < entry.revision:
            _set_entry(config, entry)
    config.next_offset = max(config.next_offset, covered_offset)
    lost = config.lost_before_offset
    if lost is not None and config.next_offset >= lost:
        config.lost_before_offset = None


def _set_entry(config: Configuration, entry: Entry) -> None:
    key = entry.record.key
    config.digest ^= entries_lib.digest(config.entries.get(key))
    config.digest ^= entries_lib.digest(entry)
    config.entries[key] = entry
    config.read_errors.pop(key, None)
    if entry.record.payload is None:
        _remove_payload(config, entry.record)
        return
    for record in (entry.record, *entry.fallbacks):
        match records.read_payload(record, config.reader_version):
            case result.Ok(payload):
                _activate(config, entry, payload)
                return
            case result.Err(error):
                config.read_errors.setdefault(key, error)


def _activate(
    config: Configuration, entry: Entry, payload: records.Payload
) -> None:
    record = entry.record
    match payload:
        case records.Service():
            config.services[record.name] = payload
        case records.Route():
            config.routes.put(record.name, payload, entry.revision)
        case records.Tenant():
            config.tenants[record.name] = payload
        case records.TrafficClass():
            config.classes[record.name] = payload
        case records.Policy() if record.kind == "policy":
            config.policies[record.name] = payload
        case records.Policy() if record.key == DEFAULTS_KEY:
            config.default_policy = payload


def _remove_payload(config: Configuration, record: records.Envelope) -> None:
    match record.kind:
        case "service":
            config.services.pop(record.name, None)
        case "route":
            config.routes.remove(record.name)
        case "tenant":
            config.tenants.pop(record.name, None)
        case "class":
            config.classes.pop(record.name, None)
        case "policy":
            config.policies.pop(record.name, None)
        case "defaults" if record.key == DEFAULTS_KEY:
            config.default_policy = records.Policy()


def service_for_path(config: Configuration, path: str) -> str | None:
    """Returns the service of the longest matching prefix, by path segments."""
    return config.routes.find_service(path)
