"""A configuration that operators publish as one document, and its routes."""

import attrs

# Step that spreads the calls of a split evenly over its parts at any number
# of calls: the fractional part of the golden ratio.
SPLIT_STEP = 0.6180339887498949


@attrs.define(frozen=True)
class Part:
    """One service of a split and its weight relative to the other parts."""

    service: str
    weight: int


@attrs.define(frozen=True)
class Rule:
    """Where the calls of a host's path prefix go, and on what terms.

    Attributes:
        name: Name of the route, for logs and metrics.
        host: Name of the host that callers ask for, in lower case.
        path_prefix: Prefix of the path; starts and ends with a slash.
        parts: Services that the calls are divided over.
        repeatable: Whether a request may run more than once.
        timeout_ms: Longest time that a caller is kept waiting.
        aim_ms: Time within which an answer is worth most to the caller.
        max_attempts: Most targets that one request may be sent to.
        priority: Rank among routes; 0 is the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    parts: tuple[Part, ...]
    repeatable: bool
    timeout_ms: int
    aim_ms: int
    max_attempts: int
    priority: int


@attrs.define(frozen=True)
class ServiceTerms:
    """What operators say of a service; its targets register themselves.

    Attributes:
        name: Name of the service.
        load_path: Path of the targets' health and load endpoint.
        connection_limit: Connections that a target takes from all gate hosts.
    """

    name: str
    load_path: str
    connection_limit: int


@attrs.define(frozen=True)
class CallerLimits:
    """What callers may send, and how long they may take.

    Attributes:
        head_bytes: Largest head of a request.
        body_bytes: Largest body of a request.
        head_timeout_ms: Time for the head of a request.
        idle_timeout_ms: Time for which a connection may rest.
    """

    head_bytes: int
    body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


@attrs.define(frozen=True)
class Document:
    """One published configuration.

    Attributes:
        version: Grows with each configuration.
        rules: Every route.
        services: Every service.
        limits: Limits for callers.
    """

    version: int
    rules: tuple[Rule, ...]
    services: tuple[ServiceTerms, ...]
    limits: CallerLimits


@attrs.define
class RuleTable:
    """The rules in force by host and prefix.

    Attributes:
        version: Version of the document in force; None before the first.
    """

    version: int | None = None
    _rules: dict[str, dict[str, Rule]] = attrs.field(factory=dict)
    _split_points: dict[str, float] = attrs.field(factory=dict)

    def put_in_force(self, document: Document) -> None:
        """Replaces the rules by those of a newer document."""
        self.version = document.version
        self._rules = {}
        for rule in document.rules:
            self._rules.setdefault(rule.host, {})[rule.path_prefix] = rule
        names = {rule.name for rule in document.rules}
        self._split_points = {
            name: point
            for name, point in self._split_points.items()
            if name in names
        }

    def find(self, host: str, path: str) -> Rule | None:
        """Returns the rule with the longest prefix of a host's path."""
        rules = self._rules.get(host)
        if rules is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            rule = rules.get(path[: end + 1])
            if rule is not None:
                return rule
        return None

    def part(self, rule: Rule, start: float) -> Part:
        """Returns the part that the next call of a rule goes to.

        Args:
            rule: A rule in force.
            start: Point from 0 to 1 at which the first call falls, drawn by
                each gate host, so that all together keep the weights too.
        """
        if len(rule.parts) == 1:
            return rule.parts[0]
        before = self._split_points.get(rule.name, start)
        point = (before + SPLIT_STEP) % 1.0
        self._split_points[rule.name] = point
        left = point * sum(part.weight for part in rule.parts)
        for part in rule.parts:
            left -= part.weight
            if left < 0:
                return part
        return rule.parts[-1]
