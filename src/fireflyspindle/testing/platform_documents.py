"""Documents that operators and servers write to the platform's store."""

from collections.abc import Mapping
from typing import Any

SERVICE = "s"
# Start time of a server, in wall-clock milliseconds.
STARTED_MS = 1_790_000_000_000


def configuration_document(
    version: int,
    host: str,
    routes: Mapping[str, tuple[str, str]],
    timeout_ms: int = 2_500,
    services: Mapping[str, str] | None = None,
) -> dict[str, Any]:
    """Returns a configuration.

    Args:
        version: Version of the configuration.
        host: Host name in the requests of callers.
        routes: Path prefix and kind of each route, by its name.
        timeout_ms: Maximum time that a caller waits for a response.
        services: Service of each route that doesn't lead to `SERVICE`, by the
            name of the route.
    """
    services = services or {}
    rules = [
        {
            "name": name,
            "route-kind": kind,
            "target-latency-ms": 500,
            "priority": 1,
            "match": {"path-prefix": prefix},
            "action": {
                "service": services.get(name, SERVICE),
                "timeout-ms": timeout_ms,
                "max-attempts": 2,
            },
        }
        for name, (prefix, kind) in routes.items()
    ]
    return {
        "version": f"{version:08x}",
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 1_000_000,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "listeners": [{"host": host, "rules": rules}],
        "clusters": [
            {"name": service, "health-path": "/health", "max-conns": 200}
            for service in sorted({SERVICE, *services.values()})
        ],
    }


def target_entry(
    address: str,
    state: str = "ready",
    started_ms: int = STARTED_MS,
    service: str = SERVICE,
) -> dict[str, Any]:
    """Returns the entry of a server in zone a with four slots."""
    sequence = 1 if state == "ready" else 2
    return {
        "address": address,
        "info": {
            "service": service,
            "version": "v1",
            "zone": "a",
            "capacity": 4,
        },
        "status": {"state": state, "sequence": sequence, "cold-left-ms": 0},
        "born": started_ms,
    }
