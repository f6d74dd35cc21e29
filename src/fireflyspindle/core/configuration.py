"""The fold of configuration records into the configuration in force."""

import attrs
import result

from fireflyspindle.core import records

STREAM = "configuration"


@attrs.define
class Entry:
    """The accepted state of one key.

    Attributes:
        revision: Offset of the accepted record plus one; 0 means none.
        record: The accepted record.
    """

    revision: int
    record: records.Envelope


@attrs.define
class Configuration:
    """Every accepted record by key, and the payloads in force.

    Attributes:
        next_offset: First offset of the stream that is not folded yet.
        known_offset: Next offset of the log as far as this host has heard.
        entries: Accepted records by key, deletions included.
        services: Services in force by name.
        routes: Services' names in force by path prefix.
        route_prefixes: Path prefixes in force by route name.
        tenants: Tenants in force by name.
        classes: Classes in force by name.
        policies: Policies in force by service name.
        unreadable: Keys whose newest payload this host can't read, with why.
    """

    next_offset: int = 0
    known_offset: int | None = None
    entries: dict[str, Entry] = attrs.field(factory=dict)
    services: dict[str, records.Service] = attrs.field(factory=dict)
    routes: dict[str, str] = attrs.field(factory=dict)
    route_prefixes: dict[str, str] = attrs.field(factory=dict)
    tenants: dict[str, records.Tenant] = attrs.field(factory=dict)
    classes: dict[str, records.TrafficClass] = attrs.field(factory=dict)
    policies: dict[str, records.Policy] = attrs.field(factory=dict)
    unreadable: dict[str, str] = attrs.field(factory=dict)

    def policy(self, service: str) -> records.Policy:
        """Returns the policy in force for a service."""
        return self.policies.get(service, records.Policy())

    @property
    def complete(self) -> bool:
        """Whether the fold has reached the newest offset heard of."""
        if self.known_offset is None:
            return False
        return self.next_offset >= self.known_offset


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
class Unreadable:
    """A record was accepted or skipped, but can't be put in force here."""

    offset: int
    why: str


Folded = Applied | Conflict | Unreadable


def fold(config: Configuration, offset: int, body: str) -> Folded | None:
    """Folds the record at `offset`; one that was folded before is ignored."""
    if offset < config.next_offset:
        return None
    config.next_offset = offset + 1
    match records.decode(body):
        case result.Err(why):
            return Unreadable(offset, why)
        case result.Ok(record):
            return _accept(config, offset, record)


def _accept(
    config: Configuration, offset: int, record: records.Envelope
) -> Folded:
    entry = config.entries.get(record.key)
    found_revision = entry.revision if entry else 0
    if record.expected_revision != found_revision:
        return Conflict(record.key, record.expected_revision, found_revision)
    config.entries[record.key] = Entry(offset + 1, record)
    if record.payload is None:
        _withdraw(config, record)
        return Applied(record.key, offset + 1)
    match records.read_payload(record):
        case result.Err(why):
            config.unreadable[record.key] = why
            return Unreadable(offset, why)
        case result.Ok(payload):
            _put_in_force(config, record, payload)
    return Applied(record.key, offset + 1)


def _put_in_force(
    config: Configuration, record: records.Envelope, payload: records.Payload
) -> None:
    _withdraw(config, record)
    match payload:
        case records.Service():
            config.services[record.name] = payload
        case records.Route():
            config.route_prefixes[record.name] = payload.path_prefix
            config.routes[payload.path_prefix] = payload.service
        case records.Tenant():
            config.tenants[record.name] = payload
        case records.TrafficClass():
            config.classes[record.name] = payload
        case records.Policy():
            config.policies[record.name] = payload


def _withdraw(config: Configuration, record: records.Envelope) -> None:
    config.unreadable.pop(record.key, None)
    match record.kind:
        case "service":
            config.services.pop(record.name, None)
        case "route":
            _withdraw_route(config, record)
        case "tenant":
            config.tenants.pop(record.name, None)
        case "class":
            config.classes.pop(record.name, None)
        case "policy":
            config.policies.pop(record.name, None)


def _withdraw_route(config: Configuration, record: records.Envelope) -> None:
    prefix = config.route_prefixes.pop(record.name, None)
    if prefix is not None:
        config.routes.pop(prefix, None)


def route(config: Configuration, path: str) -> str | None:
    """Returns the service with the longest prefix of `path`, by segments."""
    prefix = path
    while prefix:
        service = config.routes.get(prefix)
        if service is not None:
            return service
        prefix = prefix.rpartition("/")[0]
    return config.routes.get("/")
