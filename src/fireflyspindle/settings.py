"""Settings of a gate host, read from a TOML file and validated."""

import pathlib
import re
import tomllib

import attrs
import result

from fireflyspindle import validation
from fireflyspindle.core import addresses
from fireflyspindle.core import claim_state

_NAME = re.compile(r"[A-Za-z0-9._-]{1,100}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_KEY_PATTERN = re.compile(r"[a-z]+/([A-Za-z0-9._-]+|\*)")
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def _check_address(_: object, _field: attrs.Attribute, value: str) -> None:
    problem = addresses.validation_error(value)
    if problem is not None:
        raise ValueError(f"found {problem}")


def _check_addresses(
    instance: object, field: attrs.Attribute, value: tuple[str, ...]
) -> None:
    for address in value:
        _check_address(instance, field, address)


def _check_name(_: object, _field: attrs.Attribute, value: str) -> None:
    if not _NAME.fullmatch(value):
        raise ValueError(
            f"found {value!r}; give 1 to 100 letters, digits, dots, hyphens"
            " or underscores"
        )


def _check_positive(_: object, _field: attrs.Attribute, value: int) -> None:
    if value <= 0:
        raise ValueError(f"found {value}; give a number above 0")


def _check_not_negative(_: object, _field: attrs.Attribute, value: int) -> None:
    if value < 0:
        raise ValueError(f"found {value}; give 0 or a number above 0")


def _check_level(_: object, _field: attrs.Attribute, value: str) -> None:
    if value not in LOG_LEVELS:
        raise ValueError(f"found {value!r}; use one of {', '.join(LOG_LEVELS)}")


def _check_digest(_: object, _field: attrs.Attribute, value: str) -> None:
    if not _SHA256.fullmatch(value):
        raise ValueError(
            f"found {len(value)} characters; give the SHA-256 digest of the"
            " token as 64 hexadecimal digits, as `fireflyspindle hash-token`"
            " prints it"
        )


def _check_patterns(
    _: object, _field: attrs.Attribute, value: tuple[str, ...]
) -> None:
    for pattern in value:
        if pattern != "*" and not _KEY_PATTERN.fullmatch(pattern):
            raise ValueError(
                f'found {pattern!r}; give "kind/name", "kind/*" or "*"'
            )


@attrs.define(frozen=True)
class GateSettings:
    """Section [gate].

    Attributes:
        host_id: Name of this gate host.
        failure_domain: Failure domain that it runs in.
        callers_address: Address that serves callers.
        control_address: Address for administration, peers, health and metrics.
    """

    host_id: str = attrs.field(validator=_check_name)
    failure_domain: str = attrs.field(validator=_check_name)
    callers_address: str = attrs.field(validator=_check_address)
    control_address: str = attrs.field(validator=_check_address)


@attrs.define(frozen=True)
class PlatformSettings:
    """Section [platform].

    Attributes:
        log_address: Address of the log service.
        host_list_address: Address of the host list.
        log_keep_s: Retention of records in the log, in seconds.
    """

    log_address: str = attrs.field(validator=_check_address)
    host_list_address: str = attrs.field(validator=_check_address)
    log_keep_s: int = attrs.field(default=3_600, validator=_check_positive)


@attrs.define(frozen=True)
class PeerSettings:
    """Section [peers].

    Attributes:
        addresses: Control addresses of the peers contacted before the host
            list has been read.
    """

    addresses: tuple[str, ...] = attrs.field(
        default=(), validator=_check_addresses
    )


@attrs.define(frozen=True)
class LimitSettings:
    """Section [limits].

    Attributes:
        body_buffer_bytes: Largest request body that is buffered for retries.
        request_body_bytes: Largest request body that is accepted.
        drain_grace_ms: Time for which a stopping gate host still accepts new
            calls; longer than the lag of the platform's load balancer.
        drain_limit_ms: Hard limit on the duration of a planned stop.
    """

    body_buffer_bytes: int = attrs.field(
        default=65_536, validator=_check_positive
    )
    request_body_bytes: int = attrs.field(
        default=64 * 1024 * 1024, validator=_check_positive
    )
    drain_grace_ms: int = attrs.field(
        default=5_000, validator=_check_not_negative
    )
    drain_limit_ms: int = attrs.field(default=60_000, validator=_check_positive)


@attrs.define(frozen=True)
class ClaimSettings:
    """Section [claims], the same on every gate host.

    Attributes:
        fleet_appends_per_s: Limit on appends to the claims stream by all
            gate hosts together.
        max_gate_hosts: Largest number of gate hosts at one time, including
            those being replaced.
        key_validity_ms: Age up to which an idempotency key is accepted.
        max_keys_held: Largest number of keys in memory.
    """

    fleet_appends_per_s: int = attrs.field(
        default=300, validator=_check_positive
    )
    max_gate_hosts: int = attrs.field(default=20, validator=_check_positive)
    key_validity_ms: int = attrs.field(
        default=300_000, validator=_check_positive
    )
    max_keys_held: int = attrs.field(default=100_000, validator=_check_positive)


@attrs.define(frozen=True)
class LogSettings:
    """Section [logging]."""

    level: str = attrs.field(default="INFO", validator=_check_level)


@attrs.define(frozen=True)
class TeamSettings:
    """One entry of [[administration.teams]].

    Attributes:
        name: Name of the team, recorded as the author of its changes.
        token_sha256: Digest of the team's token, in hexadecimal.
        may_write: Keys that the team may write: "kind/name", "kind/*" or "*".
    """

    name: str = attrs.field(validator=_check_name)
    token_sha256: str = attrs.field(validator=_check_digest)
    may_write: tuple[str, ...] = attrs.field(validator=_check_patterns)


@attrs.define(frozen=True)
class AdministrationSettings:
    """Section [administration].

    Attributes:
        teams: Teams that may publish records; without any, nobody may.
    """

    teams: tuple[TeamSettings, ...] = ()


@attrs.define(frozen=True)
class Settings:
    """Every setting of a gate host."""

    gate: GateSettings
    platform: PlatformSettings
    peers: PeerSettings = attrs.field(factory=PeerSettings)
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    claims: ClaimSettings = attrs.field(factory=ClaimSettings)
    logging: LogSettings = attrs.field(factory=LogSettings)
    administration: AdministrationSettings = attrs.field(
        factory=AdministrationSettings
    )


def parse(text: str) -> result.Result[Settings, list[str]]:
    """Parses settings from TOML text; the errors name every invalid key."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return result.Err([f"not TOML: {error}"])
    return (
        validation.build(Settings, raw, "")
        .and_then(_check_log_retention)
        .and_then(_check_drain_grace)
    )


def _check_log_retention(
    settings: Settings,
) -> result.Result[Settings, list[str]]:
    """Checks that the log retains claims while their keys are valid."""
    retention_ms = settings.platform.log_keep_s * 1000
    claims = claim_state.ClaimSettings(**attrs.asdict(settings.claims))
    excess_ms = claims.required_retention_ms - retention_ms
    if excess_ms <= 0:
        return result.Ok(settings)
    longest_ms = claims.key_validity_ms - excess_ms
    return result.Err(
        [
            f"claims.key_validity_ms: found {claims.key_validity_ms}; give at"
            f" most {longest_ms}, or a log that keeps records longer than"
            f" platform.log_keep_s = {settings.platform.log_keep_s}"
        ]
    )


def _check_drain_grace(
    settings: Settings,
) -> result.Result[Settings, list[str]]:
    """Checks that a planned stop does not end within its grace time."""
    limits = settings.limits
    if limits.drain_grace_ms <= limits.drain_limit_ms:
        return result.Ok(settings)
    return result.Err(
        [
            f"limits.drain_grace_ms: found {limits.drain_grace_ms}; give at"
            f" most {limits.drain_limit_ms}, or a longer"
            f" limits.drain_limit_ms = {limits.drain_limit_ms}"
        ]
    )


def load(path: pathlib.Path) -> result.Result[Settings, list[str]]:
    """Reads settings from a file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Err([f"{path}: can't be read: {error}"])
    return parse(text)
