"""Configuration records: the frozen envelope and the versioned payloads.

The envelope has one form for all versions of the software. Whether a record
is accepted follows from the envelopes alone, so that hosts of different
versions accept the same records. The payload's form is named by its schema
version.
"""

from collections.abc import Callable
import json
from typing import Any

import attrs
import cattrs
import result

READER_VERSION = 1
MAX_RECORD_BYTES = 256 * 1024

_converter = cattrs.Converter(forbid_extra_keys=True)


def _within(low: float, high: float) -> Callable[..., None]:
    """Returns a validator that accepts None and numbers in a range."""

    def check(_: object, field: attrs.Attribute, value: float | None) -> None:
        if value is not None and not low <= value <= high:
            raise ValueError(
                f"{field.name} = {value}; give a number from {low} to {high}"
            )

    return check


def _describe(error: BaseException, kind: type | None) -> str:
    if isinstance(error, ValueError) and error.args:
        return str(error)
    return cattrs.v.format_exception(error, kind)


@attrs.define(frozen=True)
class Envelope:
    """A configuration record as it stands in the log.

    Attributes:
        record_id: Unique id, chosen by the publisher.
        kind: "service", "route", "tenant", "class" or "policy".
        name: Name of the object within its kind.
        expected_revision: Revision that this record replaces; 0 for none.
        schema_version: Form of the payload.
        oldest_reader_version: Oldest reader that can apply the payload.
        author: Who published it.
        payload: The object, or None to delete it.
    """

    record_id: str
    kind: str
    name: str
    expected_revision: int
    schema_version: int
    oldest_reader_version: int
    author: str
    payload: dict[str, Any] | None

    @property
    def key(self) -> str:
        """The key under which revisions are counted."""
        return f"{self.kind}/{self.name}"


@attrs.define(frozen=True)
class TargetSpec:
    """One endpoint of a service.

    Attributes:
        address: "ip:port".
        failure_domain: Name of the failure domain it runs in.
        slots: Requests that it runs at once.
        connection_limit: Connections it takes from all gate hosts together.
    """

    address: str
    failure_domain: str = ""
    slots: int = 4
    connection_limit: int = 200


@attrs.define(frozen=True)
class Service:
    """A group of interchangeable targets."""

    targets: tuple[TargetSpec, ...]


@attrs.define(frozen=True)
class Route:
    """Sends the paths below a prefix to a service."""

    path_prefix: str
    service: str


@attrs.define(frozen=True)
class Tenant:
    """A tenant and its limits.

    Attributes:
        weight: Share relative to other tenants when a gate host queues,
            1 to 1000.
        max_in_flight: Calls in flight on one gate host, 1 to 1000000.
        max_calls_per_s: Calls admitted per second over all gate hosts, 0.1
            to 1000000; None for no limit.
    """

    weight: int = attrs.field(default=1, validator=_within(1, 1000))
    max_in_flight: int = attrs.field(
        default=1000, validator=_within(1, 1_000_000)
    )
    max_calls_per_s: float | None = attrs.field(
        default=None, validator=_within(0.1, 1_000_000)
    )


@attrs.define(frozen=True)
class TrafficClass:
    """A class of calls and its limits.

    Attributes:
        weight: Share relative to other classes of the same tenant when a
            gate host queues, 1 to 1000.
        max_in_flight: Calls in flight on one gate host, 1 to 1000000.
    """

    weight: int = attrs.field(default=1, validator=_within(1, 1000))
    max_in_flight: int = attrs.field(
        default=1_000_000, validator=_within(1, 1_000_000)
    )


@attrs.define(frozen=True)
class Policy:
    """Tuning of one service.

    Attributes:
        probes_per_s: Agreed budget of probes, over all gate hosts, 0 to
            10000.
        default_deadline_ms: Deadline of a call that states none, 1 to
            3600000.
        retry_share: Retries as a share of calls, 0 to 1.
        hedge_share: Hedges as a share of calls, 0 to 1.
        max_queued_calls: Calls that one gate host queues, 0 to 100000.
        max_ejected_share: Largest share of the targets that one gate host
            ejects at a time, 0 to 0.9.
        slow_start_ms: Time over which a cold target reaches its full share
            of the calls, 0 to 600000.
    """

    probes_per_s: float = attrs.field(
        default=10.0, validator=_within(0, 10_000)
    )
    default_deadline_ms: int = attrs.field(
        default=10_000, validator=_within(1, 3_600_000)
    )
    retry_share: float = attrs.field(default=0.10, validator=_within(0, 1))
    hedge_share: float = attrs.field(default=0.05, validator=_within(0, 1))
    max_queued_calls: int = attrs.field(
        default=200, validator=_within(0, 100_000)
    )
    max_ejected_share: float = attrs.field(
        default=0.5, validator=_within(0, 0.9)
    )
    slow_start_ms: int = attrs.field(
        default=5_000, validator=_within(0, 600_000)
    )


Payload = Service | Route | Tenant | TrafficClass | Policy

KINDS: dict[str, type] = {
    "service": Service,
    "route": Route,
    "tenant": Tenant,
    "class": TrafficClass,
    "policy": Policy,
}


def encode(envelope: Envelope) -> str:
    """Returns the envelope as JSON text."""
    return json.dumps(attrs.asdict(envelope), separators=(",", ":"))


def decode(body: str) -> result.Result[Envelope, str]:
    """Reads an envelope; the error says what is wrong with it."""
    if len(body) > MAX_RECORD_BYTES:
        return result.Err(
            f"record has {len(body)} characters; at most"
            f" {MAX_RECORD_BYTES} are accepted"
        )
    try:
        raw = json.loads(body)
    except ValueError as error:
        return result.Err(f"record is not JSON: {error}")
    return structure(raw, Envelope)


def read_payload(envelope: Envelope) -> result.Result[Payload, str]:
    """Reads the payload of a record that is not a deletion."""
    if envelope.oldest_reader_version > READER_VERSION:
        return result.Err(
            f"{envelope.key} needs reader {envelope.oldest_reader_version};"
            f" this host reads up to {READER_VERSION}"
        )
    payload_class = KINDS.get(envelope.kind)
    if payload_class is None:
        known = ", ".join(sorted(KINDS))
        return result.Err(
            f"kind {envelope.kind!r} is unknown; use one of {known}"
        )
    return structure(envelope.payload, payload_class)


def structure(raw: object, into: type) -> result.Result[Any, str]:
    """Checks plain JSON data against a class and builds it."""
    if not isinstance(raw, dict):
        return result.Err(f"expected a JSON object, found {raw!r}")
    try:
        return result.Ok(_converter.structure(raw, into))
    except cattrs.BaseValidationError as error:
        found = cattrs.transform_error(error, format_exception=_describe)
        return result.Err("; ".join(found))
    except (TypeError, ValueError, KeyError) as error:
        return result.Err(str(error))
