"""The configuration that operators publish as one document."""

import attrs

# Fractional part of the golden ratio. Successive multiples of it, modulo 1, are
# spread evenly over a traffic split after any number of calls.
SPLIT_STEP = 0.6180339887498949


@attrs.define(frozen=True)
class Part:
    """One service of a traffic split and its relative weight."""

    service: str
    weight: int


@attrs.define(frozen=True)
class Rule:
    """Routing rule for a host and path prefix.

    Attributes:
        name: Name of the route, for logs and metrics.
        host: Host name of the request, in lower case.
        path_prefix: Prefix of the path; starts and ends with a slash.
        parts: Services that share the calls.
        repeatable: Whether a request may run more than once.
        timeout_ms: Maximum time until the caller is answered.
        latency_objective_ms: Latency objective; a later answer is worth less to
            the caller.
        max_attempts: Maximum number of targets that a request is sent to.
        priority: Priority of the route; 0 is the highest.
        public: Whether requests need no API key.
        has_large_bodies: Whether its requests or answers have large bodies.
    """

    name: str
    host: str
    path_prefix: str
    parts: tuple[Part, ...]
    repeatable: bool
    timeout_ms: int
    latency_objective_ms: int
    max_attempts: int
    priority: int
    public: bool = False
    has_large_bodies: bool = False

    def part_of(self, service: str) -> Part | None:
        """Returns the part that a service has in the split, or None."""
        for part in self.parts:
            if part.service == service:
                return part
        return None


@attrs.define(frozen=True)
class ServiceSettings:
    """Published settings of a service; its targets register themselves.

    Attributes:
        name: Name of the service.
        load_path: Path of the targets' health and load endpoint.
        connection_limit: Maximum connections to a target from all gate hosts.
        cold_requests_per_s: Requests per second that a cold target takes from
            all gate hosts; 0 for no limit.
        cold_start_ms: Time for which a target is cold after its start.
    """

    name: str
    load_path: str
    connection_limit: int
    cold_requests_per_s: float = 0.0
    cold_start_ms: int = 0


@attrs.define(frozen=True)
class Organisation:
    """An organisation whose requests are identified by API keys.

    Attributes:
        name: Name, which targets receive.
        key_digests: Digests of its API keys; see `api_keys`.
        priority: Priority that replaces that of the route; None for the
            route's.
        requests_per_s: Quota of requests per second over all gate hosts; 0 for
            no limit.
        burst_requests: Requests that it may send beyond that rate.
    """

    name: str
    key_digests: frozenset[str]
    priority: int | None = None
    requests_per_s: float = 0.0
    burst_requests: float = 0.0


@attrs.define(frozen=True)
class CallerLimits:
    """Size limits and timeouts for callers.

    Attributes:
        header_bytes: Maximum size of a request line with its headers.
        body_bytes: Maximum size of a request's body.
        header_timeout_ms: Time limit for receiving the request line and
            headers.
        idle_timeout_ms: Time limit for an idle connection.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@attrs.define(frozen=True)
class Document:
    """One published configuration.

    Attributes:
        version: Version number; increases with each configuration.
        rules: Every route.
        services: Every service.
        limits: Limits for callers.
        organisations: Every organisation; without any, requests need no key.
    """

    version: int
    rules: tuple[Rule, ...]
    services: tuple[ServiceSettings, ...]
    limits: CallerLimits
    organisations: tuple[Organisation, ...] = ()


@attrs.define
class RuleTable:
    """The active routing rules, by host and path prefix.

    Attributes:
        version: Version of the active document; None before the first.
    """

    version: int | None = None
    _rules: dict[str, dict[str, Rule]] = attrs.field(factory=dict)
    _split_points: dict[str, float] = attrs.field(factory=dict)
    _names: frozenset[str] = frozenset()

    def replace_rules(self, document: Document) -> None:
        """Replaces all rules with those of a newer document."""
        self.version = document.version
        self._rules = {}
        for rule in document.rules:
            self._rules.setdefault(rule.host, {})[rule.path_prefix] = rule
        self._names = frozenset(rule.name for rule in document.rules)
        self._split_points = {
            name: point
            for name, point in self._split_points.items()
            if name in self._names
        }

    def find(self, host: str, path: str) -> Rule | None:
        """Returns the rule of the host with the longest prefix of the path."""
        rules = self._rules.get(host)
        if rules is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            rule = rules.get(path[: end + 1])
            if rule is not None:
                return rule
        return None

    def has_name(self, name: str) -> bool:
        """Whether a rule of that name is active."""
        return name in self._names

    def choose_part(self, rule: Rule, start: float) -> Part:
        """Returns the service of the split for the next call of a rule.

        Args:
            rule: An active rule.
            start: Position of the first call in the split, from 0 to 1. Each
                gate host draws it at random, so that the weights also hold
                over all gate hosts.
        """
        if len(rule.parts) == 1:
            return rule.parts[0]
        previous_point = self._split_points.get(rule.name, start)
        point = (previous_point + SPLIT_STEP) % 1.0
        self._split_points[rule.name] = point
        remaining = point * sum(part.weight for part in rule.parts)
        for part in rule.parts:
            remaining -= part.weight
            if remaining < 0:
                return part
        return rule.parts[-1]
