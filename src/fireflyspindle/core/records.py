"""Configuration records: a fixed envelope and versioned payloads.

The envelope format is the same in all versions of the software. Whether a
record is accepted depends on the envelopes alone, so that hosts of different
versions accept the same records. The schema version selects the payload
format. If this host doesn't know the schema version, but its reader version
satisfies `oldest_reader_version`, it reads the payload with the newest schema
that it knows and ignores unknown fields.
"""

from collections.abc import Callable
import json
from typing import Any

import attrs
import cattrs
import result

from fireflyspindle.core import checks
from fireflyspindle.core import json_documents

READER_VERSION = 2
MAX_RECORD_BYTES = 256 * 1024
MAX_REVISION = 2**53
MAX_VERSION = 10_000
MAX_TARGETS = 1_000


def _new_converter(*, forbid_extra_keys: bool) -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=forbid_extra_keys)
    converter.register_structure_hook(int, checks.strict_int)
    converter.register_structure_hook(float, checks.strict_float)
    converter.register_structure_hook(str, checks.strict_str)
    converter.register_structure_hook(bool, checks.strict_bool)
    return converter


strict_converter = _new_converter(forbid_extra_keys=True)
lenient_converter = _new_converter(forbid_extra_keys=False)


@attrs.define(frozen=True)
class Envelope:
    """A configuration record as stored in the log.

    Attributes:
        record_id: Unique id, chosen by the publisher.
        kind: "service", "route", "tenant", "class", "policy" or "defaults";
            other kinds are stored but have no effect.
        name: Name of the object within its kind.
        expected_revision: Revision that this record replaces; 0 for none.
        schema_version: Version of the payload format.
        oldest_reader_version: Oldest reader version that can apply the
            payload.
        author: Who published the record.
        payload: The object, or None to delete it.
    """

    record_id: str = attrs.field(validator=checks.name)
    kind: str = attrs.field(validator=checks.name)
    name: str = attrs.field(validator=checks.name)
    expected_revision: int = attrs.field(
        validator=checks.between(0, MAX_REVISION)
    )
    schema_version: int = attrs.field(validator=checks.between(1, MAX_VERSION))
    oldest_reader_version: int = attrs.field(
        validator=checks.between(1, MAX_VERSION)
    )
    author: str = attrs.field(validator=checks.name)
    payload: dict[str, Any] | None

    @property
    def key(self) -> str:
        """Key of the object, "kind/name"; each key has its own revisions."""
        return f"{self.kind}/{self.name}"


def _check_targets(
    _: object, field: attrs.Attribute, value: tuple["TargetSpec", ...]
) -> None:
    if len(value) > MAX_TARGETS:
        raise ValueError(
            f"{field.name} has {len(value)} targets; the limit is {MAX_TARGETS}"
        )
    seen: set[str] = set()
    for target in value:
        if target.address in seen:
            raise ValueError(
                f"{field.name}: {target.address} is listed twice; list each"
                " address once"
            )
        seen.add(target.address)


@attrs.define(frozen=True)
class TargetSpec:
    """One target of a service.

    Attributes:
        address: "ip:port".
        failure_domain: Name of the failure domain it runs in.
        slots: Requests that it runs concurrently.
        connection_limit: Maximum connections to it from all gate hosts.
    """

    address: str = attrs.field(validator=checks.address)
    failure_domain: str = attrs.field(
        default="", validator=checks.optional_name
    )
    slots: int = attrs.field(default=4, validator=checks.between(1, 10_000))
    connection_limit: int = attrs.field(
        default=200, validator=checks.between(1, 1_000_000)
    )

    @property
    def key(self) -> str:
        """Key of the target, unique within its service."""
        return self.address


@attrs.define(frozen=True)
class Service:
    """A set of interchangeable targets; schema version 1 of the payload."""

    targets: tuple[TargetSpec, ...] = attrs.field(validator=_check_targets)


@attrs.define(frozen=True)
class TargetGroup:
    """Targets that differ only in their address.

    Attributes:
        addresses: "ip:port" of each target.
        failure_domain: Name of the failure domain they run in.
        slots: Requests that each target runs concurrently.
        connection_limit: Maximum connections to each target from all gate
            hosts.
    """

    addresses: tuple[str, ...]
    failure_domain: str = ""
    slots: int = 4
    connection_limit: int = 200


@attrs.define(frozen=True)
class GroupedService:
    """Schema version 2 of a service; more compact for many targets."""

    groups: tuple[TargetGroup, ...]

    def service(self) -> Service:
        """Returns the service with one `TargetSpec` per address."""
        return Service(
            tuple(
                TargetSpec(
                    address,
                    group.failure_domain,
                    group.slots,
                    group.connection_limit,
                )
                for group in self.groups
                for address in group.addresses
            )
        )


@attrs.define(frozen=True)
class Route:
    """Routes paths with a prefix to a service."""

    path_prefix: str = attrs.field(validator=checks.path_prefix)
    service: str = attrs.field(validator=checks.name)


@attrs.define(frozen=True)
class Tenant:
    """A tenant and its limits.

    Attributes:
        weight: Relative share among tenants when a gate host queues calls,
            1 to 1000.
        max_in_flight: Maximum calls in flight per gate host, 1 to 1000000.
        max_calls_per_s: Maximum calls admitted per second across all gate
            hosts, 0.1 to 1000000; None for no limit.
    """

    weight: int = attrs.field(default=1, validator=checks.between(1, 1000))
    max_in_flight: int = attrs.field(
        default=1000, validator=checks.between(1, 1_000_000)
    )
    max_calls_per_s: float | None = attrs.field(
        default=None, validator=checks.between(0.1, 1_000_000)
    )


@attrs.define(frozen=True)
class TrafficClass:
    """A class of calls and its limits.

    Attributes:
        weight: Relative share among the classes of a tenant when a gate host
            queues calls, 1 to 1000.
        max_in_flight: Maximum calls in flight per gate host, 1 to 1000000.
    """

    weight: int = attrs.field(default=1, validator=checks.between(1, 1000))
    max_in_flight: int = attrs.field(
        default=1_000_000, validator=checks.between(1, 1_000_000)
    )


@attrs.define(frozen=True)
class Policy:
    """Tuning of one service.

    Attributes:
        probes_per_s: Probe budget across all gate hosts, 0 to 10000.
        default_deadline_ms: Deadline of calls without their own, 1 to
            3600000.
        retry_share: Maximum retries as a share of calls, 0 to 1.
        hedge_share: Maximum hedged attempts as a share of calls, 0 to 1.
        max_queued_calls: Maximum calls queued per gate host, 0 to 100000.
        max_ejected_share: Maximum share of the targets that a gate host
            ejects at the same time, 0 to 0.9.
        slow_start_ms: Time in which a new or returned target ramps up to its
            full share of the calls, 0 to 600000.
        load_path: Path of the targets' load endpoint, for probes.
        gate_hosts_max: Maximum gate hosts running at the same time, including
            those being replaced; connection limits are divided by it, 1 to
            10000.
    """

    probes_per_s: float = attrs.field(
        default=10.0, validator=checks.between(0, 10_000)
    )
    default_deadline_ms: int = attrs.field(
        default=10_000, validator=checks.between(1, 3_600_000)
    )
    retry_share: float = attrs.field(
        default=0.10, validator=checks.between(0, 1)
    )
    hedge_share: float = attrs.field(
        default=0.05, validator=checks.between(0, 1)
    )
    max_queued_calls: int = attrs.field(
        default=200, validator=checks.between(0, 100_000)
    )
    max_ejected_share: float = attrs.field(
        default=0.5, validator=checks.between(0, 0.9)
    )
    slow_start_ms: int = attrs.field(
        default=5_000, validator=checks.between(0, 600_000)
    )
    load_path: str = attrs.field(default="/load", validator=checks.path_prefix)
    gate_hosts_max: int = attrs.field(
        default=32, validator=checks.between(1, 10_000)
    )


Payload = Service | Route | Tenant | TrafficClass | Policy


@attrs.define(frozen=True)
class Schema:
    """One version of a kind's payload.

    Attributes:
        version: Schema version.
        reader_version: Oldest reader version that supports it.
        payload_class: Class of the payload.
    """

    version: int
    reader_version: int
    payload_class: type


# Schemas of each kind, oldest first.
SCHEMAS: dict[str, tuple[Schema, ...]] = {
    "service": (Schema(1, 1, Service), Schema(2, 2, GroupedService)),
    "route": (Schema(1, 1, Route),),
    "tenant": (Schema(1, 1, Tenant),),
    "class": (Schema(1, 1, TrafficClass),),
    "policy": (Schema(1, 1, Policy),),
    "defaults": (Schema(1, 1, Policy),),
}


def encode(envelope: Envelope) -> str:
    """Returns the envelope as JSON text."""
    return json.dumps(attrs.asdict(envelope), separators=(",", ":"))


def decode(body: str) -> result.Result[Envelope, str]:
    """Decodes an envelope, or returns an error message."""
    size_bytes = len(body.encode(errors="replace"))
    if size_bytes > MAX_RECORD_BYTES:
        return result.Err(
            f"record has {size_bytes} bytes; the limit is"
            f" {MAX_RECORD_BYTES} bytes"
        )
    return load_json(body).and_then(lambda raw: structure(raw, Envelope))


def load_json(body: str) -> result.Result[object, str]:
    """Parses JSON text that may be truncated or malicious."""
    try:
        return result.Ok(json_documents.parse(body))
    except RecursionError:
        return result.Err("JSON is nested too deeply")
    except ValueError as error:
        return result.Err(f"invalid JSON: {error}")


def read_payload(
    envelope: Envelope, reader_version: int = READER_VERSION
) -> result.Result[Payload, str]:
    """Decodes the payload of a record that is not a deletion.

    Args:
        envelope: The record.
        reader_version: Reader version to apply; the newest by default.
    """
    if envelope.oldest_reader_version > reader_version:
        return result.Err(
            f"{envelope.key} requires reader version"
            f" {envelope.oldest_reader_version}; this host supports up to"
            f" {reader_version}"
        )
    if envelope.kind not in SCHEMAS:
        known = ", ".join(sorted(SCHEMAS))
        return result.Err(f"unknown kind {envelope.kind!r}; use one of {known}")
    schemas = [
        schema
        for schema in SCHEMAS[envelope.kind]
        if schema.reader_version <= reader_version
    ]
    newest = schemas[-1]
    if envelope.schema_version > newest.version:
        return _read_as(
            envelope.payload, newest.payload_class, lenient_converter
        )
    for schema in schemas:
        if schema.version == envelope.schema_version:
            return _read_as(
                envelope.payload, schema.payload_class, strict_converter
            )
    return result.Err(
        f"{envelope.key}: schema version {envelope.schema_version} is no"
        f" longer supported; use {newest.version}"
    )


def needed_reader_version(envelope: Envelope) -> int:
    """Returns the oldest reader version that supports a record's schema.

    Returns 1 for an unknown schema.
    """
    for schema in SCHEMAS.get(envelope.kind, ()):
        if schema.version == envelope.schema_version:
            return schema.reader_version
    return 1


def _read_as(
    raw: object, payload_class: type, converter: cattrs.Converter
) -> result.Result[Payload, str]:
    match structure(raw, payload_class, converter):
        case result.Ok(GroupedService() as grouped):
            return build(grouped.service)
        case read:
            return read


def structure(
    raw: object,
    expected_class: type,
    converter: cattrs.Converter = strict_converter,
) -> result.Result[Any, str]:
    """Validates parsed JSON data against a class and builds an instance."""
    if not isinstance(raw, dict):
        return result.Err(f"expected a JSON object, found {raw!r:.100}")
    return build(lambda: converter.structure(raw, expected_class))


def build(make: Callable[[], Any]) -> result.Result[Any, str]:
    """Runs a constructor; a validation failure becomes an error result."""
    try:
        return result.Ok(make())
    except cattrs.BaseValidationError as error:
        found = cattrs.transform_error(error, format_exception=_describe)
        return result.Err("; ".join(found))
    except json_documents.DECODE_ERRORS as error:
        return result.Err(str(error))


def _describe(error: BaseException, kind: type | None) -> str:
    if isinstance(error, ValueError) and error.args:
        return str(error)
    return cattrs.v.format_exception(error, kind)
