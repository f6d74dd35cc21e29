"""Decodes the configuration that the platform's operator publishes."""

import math
from typing import Any

import result

from fireflyspindle.core import api_keys
from fireflyspindle.core import json_documents
from fireflyspindle.core import published

MAX_CONNECTION_LIMIT = 1_000_000
_REPEATABLE_BY_ROUTE_KIND = {
    "idempotent": True,
    "download": True,
    "non_idempotent": False,
    "upload": False,
}
_KINDS_WITH_LARGE_BODIES = frozenset({"download", "upload"})


def decode(value: bytes) -> result.Result[published.Document, str]:
    """Decodes a configuration; the error describes the first defect."""
    try:
        return result.Ok(_document(json_documents.parse(value)))
    except json_documents.DECODE_ERRORS as error:
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
        # A tenant is an organisation.
        organisations=tuple(
            _organisation(tenant) for tenant in raw.get("tenants") or ()
        ),
    )


def unknown_route_kinds(document: bytes) -> list[str]:
    """Returns the kinds of routes in a valid document that aren't known."""
    rules = (
        rule
        for listener in json_documents.parse(document)["listeners"]
        for rule in listener["rules"]
    )
    kinds = {rule["route-kind"] for rule in rules}
    return sorted(kinds - _REPEATABLE_BY_ROUTE_KIND.keys())


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
        host=host.lower().removesuffix("."),
        path_prefix=raw["match"]["path-prefix"],
        parts=parts,
        repeatable=_is_repeatable(raw["route-kind"]),
        timeout_ms=int(action["timeout-ms"]),
        latency_objective_ms=int(raw["target-latency-ms"]),
        # Most servers that one request may be sent to, including the first.
        max_attempts=int(action["max-attempts"]),
        priority=int(raw["priority"]),
        public=_flag(raw, "public"),
        has_large_bodies=raw["route-kind"] in _KINDS_WITH_LARGE_BODIES,
    )


def _is_repeatable(kind: Any) -> bool:
    """Whether requests of a kind of route may run more than once.

    Requests of a kind that is not known yet run once at most.
    """
    if not isinstance(kind, str):
        raise ValueError(f"route-kind is {kind!r:.100}; give a string")
    return _REPEATABLE_BY_ROUTE_KIND.get(kind, False)


def _flag(raw: Any, name: str) -> bool:
    value = raw.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"{name} is {value!r:.100}; give true or false")
    return value


def _organisation(raw: Any) -> published.Organisation:
    name, keys, priority = raw["name"], raw["api-keys"], raw.get("priority")
    if not isinstance(name, str) or not name:
        raise ValueError(f"a tenant's name is {name!r:.100}; give a string")
    if not isinstance(keys, list) or not all(
        isinstance(key, str) and key for key in keys
    ):
        # The keys are secret and stay out of the message.
        raise ValueError(f"api-keys of tenant {name}: give strings")
    return published.Organisation(
        name=name,
        key_digests=frozenset(map(api_keys.digest, keys)),
        priority=None if priority is None else int(priority),
        requests_per_s=_non_negative(raw, "rate-per-s"),
        burst_requests=_non_negative(raw, "burst"),
    )


def _non_negative(raw: Any, name: str) -> float:
    value = raw.get(name) or 0
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is {value!r:.100}; give a number")
    if not 0 <= value < math.inf:
        raise ValueError(f"{name} is {value}; give 0 or more")
    return float(value)


def _service(raw: Any) -> published.ServiceSettings:
    return published.ServiceSettings(
        name=raw["name"],
        # The health endpoint also reports the load.
        load_path=raw["health-path"],
        connection_limit=_connection_limit(int(raw["max-conns"])),
        cold_requests_per_s=_non_negative(raw, "cold-per-s"),
        cold_start_ms=int(1000 * _non_negative(raw, "cold-start-s")),
    )


def _connection_limit(limit: int) -> int:
    if not 1 <= limit <= MAX_CONNECTION_LIMIT:
        raise ValueError(
            f"max-conns is {limit}; give 1 to {MAX_CONNECTION_LIMIT}"
        )
    return limit
