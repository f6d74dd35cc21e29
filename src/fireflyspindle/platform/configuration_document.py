"""Decodes the configuration that the platform's operator publishes."""

import json
from typing import Any

import result

from fireflyspindle.core import published

MAX_CONNECTION_LIMIT = 1_000_000
_REPEATABLE_BY_ROUTE_KIND = {"idempotent": True, "non_idempotent": False}


def decode(value: bytes) -> result.Result[published.Document, str]:
    """Decodes a configuration; the error describes the first defect."""
    try:
        return result.Ok(_document(json.loads(value)))
    except (ValueError, RecursionError) as error:
        return result.Err(str(error))
    except (KeyError, TypeError, AttributeError) as error:
        return result.Err(f"{type(error).__name__}: {error}")


def _document(raw: Any) -> published.Document:
    limits = raw["limits"]
    return published.Document(
        # Eight hexadecimal digits.
        version=int(raw["version"], 16),
        rules=tuple(
            _rule(listener["host"], rule)
            # A listener is a virtual host, not a listening address.
            for listener in raw["listeners"]
            for rule in listener["rules"]
        ),
        # A cluster is a service; its servers register themselves.
        services=tuple(_service(cluster) for cluster in raw["clusters"]),
        limits=published.CallerLimits(
            header_bytes=int(limits["max-header-bytes"]),
            body_bytes=int(limits["max-body-bytes"]),
            header_timeout_ms=int(limits["header-timeout-ms"]),
            idle_timeout_ms=int(limits["idle-timeout-ms"]),
        ),
    )


def _rule(host: str, raw: Any) -> published.Rule:
    action = raw["action"]
    split = action.get("traffic-split")
    if split:
        parts = tuple(
            published.Part(part["service"], int(part["weight"]))
            for part in split
        )
    else:
        parts = (published.Part(action["service"], 1),)
    return published.Rule(
        name=raw["name"],
        host=host.lower(),
        path_prefix=raw["match"]["path-prefix"],
        parts=parts,
        repeatable=_REPEATABLE_BY_ROUTE_KIND[raw["route-kind"]],
        timeout_ms=int(action["timeout-ms"]),
        latency_objective_ms=int(raw["target-latency-ms"]),
        # Most servers that one request may be sent to, including the first.
        max_attempts=int(action["max-attempts"]),
        priority=int(raw["priority"]),
    )


def _service(raw: Any) -> published.ServiceSettings:
    return published.ServiceSettings(
        name=raw["name"],
        # The health endpoint also reports the load.
        load_path=raw["health-path"],
        connection_limit=_connection_limit(int(raw["max-conns"])),
    )


def _connection_limit(limit: int) -> int:
    if not 1 <= limit <= MAX_CONNECTION_LIMIT:
        raise ValueError(
            f"max-conns is {limit}; give 1 to {MAX_CONNECTION_LIMIT}"
        )
    return limit
