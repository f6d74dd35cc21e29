"""The settings file that the platform writes for each process."""

import pathlib
import tomllib
from typing import Any

import attrs
import result

# Names the settings file.
PATH_VARIABLE = "FIREFLYSPINDLE_BOOT"


@attrs.define(frozen=True)
class Bounds:
    """Bounds that the platform's users state.

    Attributes:
        drain_ms: Time after which a leaving target gets nothing new.
        config_apply_ms: Time after which a configuration is in force.
        grace_s: Time between SIGTERM and SIGKILL.
        retry_budget_ratio: Extra sends as a share of the requests.
        retry_slack: Extra sends beyond that share.
        budget_window_s: Length of the window in which these hold.
        probes_per_s: Probes of one target per second, over all hosts.
    """

    drain_ms: float = 2_000
    config_apply_ms: float = 2_000
    grace_s: float = 6
    retry_budget_ratio: float = 0.1
    retry_slack: float = 10
    budget_window_s: float = 10
    probes_per_s: float = 10


@attrs.define(frozen=True)
class HostSettings:
    """What one gate host is told.

    Attributes:
        host_id: Name of this host.
        failure_domain: Failure domain that it runs in.
        callers_address: Address on which callers are served.
        ready_address: Address on which the balancer asks for readiness.
        store_address: Address of the platform's store.
        control_address: Address on which other hosts follow this one; empty
            where the role does not serve it.
        readers: Control addresses of the hosts that read the store for all;
            they may be out of date.
        first_start: Whether the whole system starts for the first time.
        bounds: Bounds that the users state.
    """

    host_id: str
    failure_domain: str
    callers_address: str
    ready_address: str
    store_address: str
    control_address: str = ""
    readers: tuple[str, ...] = ()
    first_start: bool = False
    bounds: Bounds = Bounds()

    @property
    def is_reader(self) -> bool:
        """Whether this host reads the store for others."""
        return self.control_address in self.readers

    @property
    def other_readers(self) -> tuple[str, ...]:
        """The readers, this host left out."""
        return tuple(
            address
            for address in self.readers
            if address != self.control_address
        )


def load(path: pathlib.Path) -> result.Result[HostSettings, list[str]]:
    """Reads the settings; the errors name every key that is missing."""
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return result.Err([f"can't be read: {error}"])
    except tomllib.TOMLDecodeError as error:
        return result.Err([f"not TOML: {error}"])
    return parse(raw)


def parse(raw: dict[str, Any]) -> result.Result[HostSettings, list[str]]:
    """Reads the settings from plain data; unknown keys are passed over."""
    errors: list[str] = []

    def text(*path: str) -> str:
        found = _at(raw, path)
        if isinstance(found, str) and found:
            return found
        errors.append(f"{'.'.join(path)}: found {found!r}; give a string")
        return ""

    settings = HostSettings(
        host_id=text("self", "node-name"),
        failure_domain=text("self", "zone"),
        callers_address=text("network", "listen-addrs", "front"),
        ready_address=text("network", "listen-addrs", "ready-addr"),
        store_address=text("platform", "platform", "address"),
        control_address=_control_address(raw, errors),
        readers=_readers(raw, errors),
        first_start=_at(raw, ("self", "bootstrap")) is True,
        bounds=_bounds(raw, errors),
    )
    return result.Err(errors) if errors else result.Ok(settings)


def _control_address(raw: dict[str, Any], errors: list[str]) -> str:
    path = ("network", "listen-addrs", "control-addr")
    found = _at(raw, path)
    if found is None:
        return ""
    if not isinstance(found, str):
        errors.append(f"{'.'.join(path)}: found {found!r}; give a string")
        return ""
    return found


def _readers(raw: dict[str, Any], errors: list[str]) -> tuple[str, ...]:
    # The platform calls them seeds: hosts that a new one may ask first.
    found = _at(raw, ("network", "seed-nodes"))
    if found is None:
        return ()
    if isinstance(found, list) and all(isinstance(each, str) for each in found):
        return tuple(found)
    errors.append(f"network.seed-nodes: found {found!r}; give strings")
    return ()


def _bounds(raw: dict[str, Any], errors: list[str]) -> Bounds:
    given: dict[str, float] = {}
    for field in attrs.fields(Bounds):
        path = ("terms", "contract-params", field.name.replace("_", "-"))
        found = _at(raw, path)
        if found is None:
            continue
        if isinstance(found, bool) or not isinstance(found, int | float):
            errors.append(f"{'.'.join(path)}: found {found!r}; give a number")
        elif found < 0:
            errors.append(f"{'.'.join(path)}: found {found}; give 0 or more")
        else:
            given[field.name] = found
    return Bounds(**given)


def _at(raw: Any, path: tuple[str, ...]) -> Any:
    for name in path:
        if not isinstance(raw, dict):
            return None
        raw = raw.get(name)
    return raw
