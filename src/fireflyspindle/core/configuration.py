"""The fold of configuration records into the configuration in force."""

from collections.abc import Iterable

import attrs
import result

from fireflyspindle.core import entries as entries_lib
from fireflyspindle.core import records
from fireflyspindle.core import routes as routes_lib
from fireflyspindle.core import verdicts as verdicts_lib

STREAM = "configuration"
DEFAULTS_KEY = "defaults/policy"

Entry = entries_lib.Entry


@attrs.define
class Configuration:
    """Every accepted record by key, and the payloads in force.

    Attributes:
        reader_version: Newest payloads that this host can read.
        next_offset: First offset of the stream that is not folded yet.
        known_offset: Next offset that must be reached before this host holds
            a whole configuration; None before anyone has told.
        joined: Whether a whole configuration was reached once.
        lost_before_offset: Records below this offset were lost to this host
            before it could fold them; None when there are none.
        entries: Accepted records by key, deletions included.
        digest: Hash of the keys and their revisions.
        services: Services in force by name.
        routes: Routes in force.
        tenants: Tenants in force by name.
        classes: Classes in force by name.
        policies: Policies in force by service name.
        default_policy: Policy of services that have none of their own.
        unreadable: Keys whose newest payload this host can't read, with why.
        verdicts: What became of the latest records.
    """

    reader_version: int = records.READER_VERSION
    next_offset: int = 0
    known_offset: int | None = None
    joined: bool = False
    lost_before_offset: int | None = None
    entries: dict[str, Entry] = attrs.field(factory=dict)
    digest: int = 0
    services: dict[str, records.Service] = attrs.field(factory=dict)
    routes: routes_lib.RouteTable = attrs.field(factory=routes_lib.RouteTable)
    tenants: dict[str, records.Tenant] = attrs.field(factory=dict)
    classes: dict[str, records.TrafficClass] = attrs.field(factory=dict)
    policies: dict[str, records.Policy] = attrs.field(factory=dict)
    default_policy: records.Policy = attrs.field(factory=records.Policy)
    unreadable: dict[str, str] = attrs.field(factory=dict)
    verdicts: verdicts_lib.Verdicts = attrs.field(factory=verdicts_lib.Verdicts)

    @property
    def complete(self) -> bool:
        """Whether a whole configuration was reached and none was lost since."""
        return self.joined and self.lost_before_offset is None

    def policy(self, service: str) -> records.Policy:
        """Returns the policy of a service."""
        return self.policies.get(service, self.default_policy)


@attrs.define(frozen=True)
class Applied:
    """A record was accepted."""

    key: str
    revision: int


@attrs.define(frozen=True)
class Conflict:
    """A record was refused since its key has another revision by now."""

    key: str
    expected_revision: int
    found_revision: int


@attrs.define(frozen=True)
class Repeated:
    """A record that is in the log already came again; it changes nothing."""

    key: str


@attrs.define(frozen=True)
class Unreadable:
    """A record was accepted or skipped, but can't be put in force here."""

    offset: int
    why: str


@attrs.define(frozen=True)
class Missing:
    """A record was not folded since records before it are missing here."""

    next_offset: int
    offset: int


Folded = Applied | Conflict | Repeated | Unreadable | Missing


def fold(config: Configuration, offset: int, body: str) -> Folded | None:
    """Folds the record at `offset`; one that was folded before is ignored."""
    if offset < config.next_offset:
        return None
    if offset > config.next_offset:
        return Missing(config.next_offset, offset)
    config.next_offset = offset + 1
    match records.decode(body):
        case result.Err(why):
            return Unreadable(offset, why)
        case result.Ok(record):
            return _accept(config, offset, record)


def skip_to(config: Configuration, offset: int) -> None:
    """Passes over offsets that the log itself states to hold no record."""
    config.next_offset = max(config.next_offset, offset)


def _accept(
    config: Configuration, offset: int, record: records.Envelope
) -> Folded | None:
    entry = config.entries.get(record.key)
    found_revision = entry.revision if entry else 0
    if found_revision > offset:
        return None
    if entry is not None and entry.record.record_id == record.record_id:
        return Repeated(record.key)
    if record.expected_revision != found_revision:
        conflict = verdicts_lib.Refused(offset, found_revision)
        config.verdicts.add(record.record_id, conflict)
        return Conflict(record.key, record.expected_revision, found_revision)
    revision = offset + 1
    config.verdicts.add(record.record_id, verdicts_lib.Accepted(offset))
    _set_entry(
        config,
        entries_lib.replace(entry, revision, record, config.reader_version),
    )
    why = config.unreadable.get(record.key)
    if why is not None:
        return Unreadable(offset, why)
    return Applied(record.key, revision)


def merge(
    config: Configuration, entries: Iterable[Entry], covered_offset: int
) -> None:
    """Takes in the whole state of another host.

    Args:
        config: The configuration; only keys with a higher revision change.
        entries: Every entry of the other state.
        covered_offset: Every record below it is accounted for in `entries`.
    """
    for entry in entries:
        mine = config.entries.get(entry.record.key)
        if mine is None or mine.revision < entry.revision:
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
    config.unreadable.pop(key, None)
    if entry.record.payload is None:
        _withdraw(config, entry.record)
        return
    for record in (entry.record, *entry.fallbacks):
        match records.read_payload(record, config.reader_version):
            case result.Ok(payload):
                _put_in_force(config, entry, payload)
                return
            case result.Err(why):
                config.unreadable.setdefault(key, why)


def _put_in_force(
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


def _withdraw(config: Configuration, record: records.Envelope) -> None:
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


def route(config: Configuration, path: str) -> str | None:
    """Returns the service with the longest prefix of `path`, by segments."""
    return config.routes.service_of(path)
