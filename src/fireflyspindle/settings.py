"""Settings of a gate host, read from a TOML file and checked as a whole."""

import ipaddress
import pathlib
import tomllib

import attrs
import cattrs
import result

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def _check_address(_: object, field: attrs.Attribute, value: str) -> None:
    host, _colon, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 <= int(port) <= 65535
    except ValueError:
        valid = False
    if not valid:
        raise ValueError(
            f"{field.name} = {value!r}; give an IP number and a port,"
            ' such as "10.0.0.7:8080"'
        )


def _check_addresses(
    instance: object, field: attrs.Attribute, value: tuple[str, ...]
) -> None:
    for address in value:
        _check_address(instance, field, address)


def _check_name(_: object, field: attrs.Attribute, value: str) -> None:
    if not value or len(value) > 100 or not value.isprintable():
        raise ValueError(
            f"{field.name} = {value!r}; give 1 to 100 printable characters"
        )


def _check_positive(_: object, field: attrs.Attribute, value: int) -> None:
    if value <= 0:
        raise ValueError(f"{field.name} = {value}; give a number above 0")


def _check_level(_: object, field: attrs.Attribute, value: str) -> None:
    if value not in LOG_LEVELS:
        raise ValueError(
            f"{field.name} = {value!r}; use one of {', '.join(LOG_LEVELS)}"
        )


@attrs.define(frozen=True)
class GateSettings:
    """Section [gate].

    Attributes:
        host_id: Name of this gate host.
        failure_domain: Failure domain that it runs in.
        callers_address: Address on which callers are served.
        control_address: Address of administration, peers, health, metrics.
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
    """

    log_address: str = attrs.field(validator=_check_address)
    host_list_address: str = attrs.field(validator=_check_address)


@attrs.define(frozen=True)
class PeerSettings:
    """Section [peers].

    Attributes:
        addresses: Control addresses of peers to ask before the host list
            has been read.
    """

    addresses: tuple[str, ...] = attrs.field(
        default=(), validator=_check_addresses
    )


@attrs.define(frozen=True)
class LimitSettings:
    """Section [limits].

    Attributes:
        body_buffer_bytes: Largest request body that is held for a retry.
        drain_limit_ms: Hard limit of a planned stop.
    """

    body_buffer_bytes: int = attrs.field(
        default=65_536, validator=_check_positive
    )
    drain_limit_ms: int = attrs.field(default=60_000, validator=_check_positive)


@attrs.define(frozen=True)
class LogSettings:
    """Section [logging]."""

    level: str = attrs.field(default="INFO", validator=_check_level)


@attrs.define(frozen=True)
class Settings:
    """Every setting of a gate host."""

    gate: GateSettings
    platform: PlatformSettings
    peers: PeerSettings = attrs.field(factory=PeerSettings)
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    logging: LogSettings = attrs.field(factory=LogSettings)


_converter = cattrs.Converter(forbid_extra_keys=True)


def parse(text: str) -> result.Result[Settings, list[str]]:
    """Reads settings from TOML text; the errors name every wrong key."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return result.Err([f"not TOML: {error}"])
    try:
        return result.Ok(_converter.structure(raw, Settings))
    except cattrs.BaseValidationError as error:
        return result.Err(cattrs.transform_error(error, path="settings"))


def load(path: pathlib.Path) -> result.Result[Settings, list[str]]:
    """Reads settings from a file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Err([f"{path}: can't be read: {error}"])
    return parse(text)
