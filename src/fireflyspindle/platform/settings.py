"""The settings file that the platform writes for each process."""

import pathlib
import tomllib
from typing import Any

import attrs
import result

from fireflyspindle.adapters import store_feed
from fireflyspindle.core import caller_budget
from fireflyspindle.platform import hedge_variables

# Environment variable with the path of the settings file.
SETTINGS_PATH_VARIABLE = "FIREFLYSPINDLE_BOOT"
MAX_PORT = 65_536
# Memory and descriptors of a host whose settings name none.
DEFAULT_MEMORY_MB = 256
DEFAULT_DESCRIPTORS = 4_096
BYTES_PER_MB = 1_000_000
# Values from here on are no memory or descriptors of a machine.
MAX_MACHINE_LIMIT = 1e12


@attrs.define(frozen=True)
class Bounds:
    """Bounds that the platform requires of the gate hosts.

    Attributes:
        drain_ms: Time within which a leaving target stops getting new calls.
        config_apply_ms: Time within which a configuration takes effect.
        grace_s: Time between SIGTERM and SIGKILL.
        retry_budget_ratio: Most additional sends, as a share of the requests.
        retry_slack: Additional sends that are allowed beyond that share.
        budget_window_s: Length of the window in which these two hold.
        contact_ms: Time within which hosts must know what one of them knows.
        probes_per_s: Most probes per target and second, on average over all
            targets, by all hosts.
        strict_revoke: Whether `revoke_ms` holds for every host, also for those
            that don't reach the store.
        revoke_ms: Time after which no request runs with a withdrawn API key.
        quota_window_s: Length of the window in which quotas hold; None if there
            are no quotas.
        quota_overage: Share by which a quota may be exceeded.
        quota_slack: Requests that are allowed beyond that.
        cold_overage: Factor by which the rate of a cold target may be exceeded;
            None if it isn't limited.
        cold_slack: Requests that are allowed beyond that.
        evacuate_ms: Time after which no request reaches an evacuated failure
            domain; None if there are no evacuations.
    """

    drain_ms: float = 2_000
    config_apply_ms: float = 2_000
    grace_s: float = 6
    retry_budget_ratio: float = 0.1
    retry_slack: float = 10
    budget_window_s: float = 10
    contact_ms: float = 3_000
    probes_per_s: float = 10
    strict_revoke: bool = False
    revoke_ms: float | None = None
    quota_window_s: float | None = None
    quota_overage: float = 0
    quota_slack: float = 0
    cold_overage: float | None = None
    cold_slack: float = 0
    evacuate_ms: float | None = None


@attrs.define(frozen=True)
class HostSettings:
    """Settings of one gate host.

    Attributes:
        host_id: Name of this host.
        failure_domain: Failure domain that it runs in.
        callers_address: Address for requests of callers.
        readiness_address: Address for the readiness checks of the load
            balancer.
        store_address: Address of the platform's store.
        control_address: Address on which other hosts follow this one; empty
            where the host's role has none.
        reader_addresses: Control addresses of the hosts that read the store for
            the others; may be out of date.
        relay_address: Address on which this host takes calls of other hosts;
            empty where the platform gives no port for it.
        link_mbps: Rate of this host's network link, in Mbit/s.
        budget: Limits on what callers make the host hold.
        first_start: Whether the whole system starts for the first time.
        bounds: Bounds that the platform requires.
        hedges: The operator's limit on hedged requests; not part of the file.
    """

    host_id: str
    failure_domain: str
    callers_address: str
    readiness_address: str
    store_address: str
    control_address: str = ""
    reader_addresses: tuple[str, ...] = ()
    relay_address: str = ""
    link_mbps: float = store_feed.DEFAULT_LINK_MBPS
    budget: caller_budget.CallerBudget = caller_budget.CallerBudget()
    first_start: bool = False
    bounds: Bounds = Bounds()
    hedges: hedge_variables.HedgeSettings = hedge_variables.HedgeSettings()

    @property
    def is_reader(self) -> bool:
        """Whether this host reads the store for others."""
        return self.control_address in self.reader_addresses

    @property
    def other_reader_addresses(self) -> tuple[str, ...]:
        """Control addresses of the readers, without this host."""
        return tuple(
            address
            for address in self.reader_addresses
            if address != self.control_address
        )


def load(path: pathlib.Path) -> result.Result[HostSettings, list[str]]:
    """Reads the settings file; the errors name every invalid key."""
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return result.Err([f"can't be read: {error}"])
    except tomllib.TOMLDecodeError as error:
        return result.Err([f"not TOML: {error}"])
    return parse(raw)


def parse(raw: dict[str, Any]) -> result.Result[HostSettings, list[str]]:
    """Parses settings from decoded TOML; unknown keys are ignored."""
    errors: list[str] = []

    def required_text(*path: str) -> str:
        value = _lookup(raw, path)
        if isinstance(value, str) and value:
            return value
        errors.append(f"{'.'.join(path)}: found {value!r}; give a string")
        return ""

    settings = HostSettings(
        host_id=required_text("self", "node-name"),
        failure_domain=required_text("self", "zone"),
        callers_address=required_text("network", "listen-addrs", "front"),
        readiness_address=required_text(
            "network", "listen-addrs", "ready-addr"
        ),
        store_address=required_text("platform", "platform", "address"),
        control_address=_control_address(raw, errors),
        reader_addresses=_readers(raw, errors),
        relay_address=_relay_address(raw, errors),
        link_mbps=_link_mbps(raw, errors),
        budget=_budget(raw, errors),
        first_start=_lookup(raw, ("self", "bootstrap")) is True,
        bounds=_bounds(raw, errors),
    )
    return result.Err(errors) if errors else result.Ok(settings)


def _control_address(raw: dict[str, Any], errors: list[str]) -> str:
    path = ("network", "listen-addrs", "control-addr")
    value = _lookup(raw, path)
    if value is None:
        return ""
    if not isinstance(value, str):
        errors.append(f"{'.'.join(path)}: found {value!r}; give a string")
        return ""
    return value


def _relay_address(raw: dict[str, Any], errors: list[str]) -> str:
    """Returns the address of the first port for use between hosts."""
    path = ("network", "internal-ports")
    value = _lookup(raw, path)
    if value is None:
        return ""
    if (
        not isinstance(value, list)
        or not value
        or not isinstance(value[0], int)
        or not 0 < value[0] < MAX_PORT
    ):
        errors.append(f"{'.'.join(path)}: found {value!r}; give port numbers")
        return ""
    callers_address = _lookup(raw, ("network", "listen-addrs", "front"))
    host = str(callers_address).rpartition(":")[0]
    return f"{host}:{value[0]}"


def _budget(
    raw: dict[str, Any], errors: list[str]
) -> caller_budget.CallerBudget:
    """Returns the limits that follow from the memory and the descriptors."""
    memory_mb = _machine_limit(raw, errors, "memory-mb", DEFAULT_MEMORY_MB)
    descriptors = _machine_limit(raw, errors, "max-fds", DEFAULT_DESCRIPTORS)
    return caller_budget.from_machine(
        int(memory_mb * BYTES_PER_MB), int(descriptors)
    )


def _machine_limit(
    raw: dict[str, Any], errors: list[str], name: str, default: float
) -> float:
    path = ("self", "limits", name)
    value = _lookup(raw, path)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        errors.append(f"{'.'.join(path)}: found {value!r}; give a number")
    elif not 0 < value < MAX_MACHINE_LIMIT:
        errors.append(f"{'.'.join(path)}: found {value}; give more than 0")
    else:
        return value
    return default


def _link_mbps(raw: dict[str, Any], errors: list[str]) -> float:
    path = ("self", "limits", "link-mbps")
    value = _lookup(raw, path)
    if value is None:
        return store_feed.DEFAULT_LINK_MBPS
    if isinstance(value, bool) or not isinstance(value, int | float):
        errors.append(f"{'.'.join(path)}: found {value!r}; give a number")
    elif not value > 0:
        errors.append(f"{'.'.join(path)}: found {value}; give more than 0")
    else:
        return float(value)
    return store_feed.DEFAULT_LINK_MBPS


def _readers(raw: dict[str, Any], errors: list[str]) -> tuple[str, ...]:
    # The platform lists readers as seed nodes, which a new host may ask first.
    value = _lookup(raw, ("network", "seed-nodes"))
    if value is None:
        return ()
    if isinstance(value, list) and all(isinstance(item, str) for item in value):
        return tuple(value)
    errors.append(f"network.seed-nodes: found {value!r}; give strings")
    return ()


def _bounds(raw: dict[str, Any], errors: list[str]) -> Bounds:
    values: dict[str, Any] = {}
    for field in attrs.fields(Bounds):
        path = ("terms", "contract-params", field.name.replace("_", "-"))
        value = _lookup(raw, path)
        if value is None:
            continue
        if field.type is bool:
            if isinstance(value, bool):
                values[field.name] = value
            else:
                errors.append(
                    f"{'.'.join(path)}: found {value!r}; give true or false"
                )
        elif isinstance(value, bool) or not isinstance(value, int | float):
            errors.append(f"{'.'.join(path)}: found {value!r}; give a number")
        elif value < 0:
            errors.append(f"{'.'.join(path)}: found {value}; give 0 or more")
        else:
            values[field.name] = value
    return Bounds(**values)


def _lookup(raw: Any, path: tuple[str, ...]) -> Any:
    for name in path:
        if not isinstance(raw, dict):
            return None
        raw = raw.get(name)
    return raw
