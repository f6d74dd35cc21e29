"""Routes in force: from a path's prefix to the name of a service."""

import attrs

from fireflyspindle.core import records


@attrs.define(frozen=True)
class Claim:
    """What one route record says of its prefix."""

    revision: int
    name: str
    service: str


@attrs.define
class RouteTable:
    """Routes by prefix; of records that share one, the newest wins.

    Attributes:
        services: Name of the service in force by path prefix.
    """

    services: dict[str, str] = attrs.field(factory=dict)
    _prefixes: dict[str, str] = attrs.field(factory=dict)
    _claims: dict[str, dict[str, Claim]] = attrs.field(factory=dict)

    def put(self, name: str, route: records.Route, revision: int) -> None:
        """Puts the route of a record in force in place of its former one."""
        self.remove(name)
        claim = Claim(revision, name, route.service)
        self._prefixes[name] = route.path_prefix
        self._claims.setdefault(route.path_prefix, {})[name] = claim
        self._choose(route.path_prefix)

    def remove(self, name: str) -> None:
        """Withdraws the route of a record, if it has one."""
        prefix = self._prefixes.pop(name, None)
        if prefix is None:
            return
        del self._claims[prefix][name]
        self._choose(prefix)

    def sharing(self, name: str) -> list[str]:
        """Returns the names of other records with the prefix of this one."""
        prefix = self._prefixes.get(name, "")
        return sorted(set(self._claims.get(prefix, {})) - {name})

    def service_named_by(self, name: str) -> str | None:
        """Returns the service that a record leads to, if it is in force."""
        prefix = self._prefixes.get(name)
        if prefix is None:
            return None
        return self._claims[prefix][name].service

    def service_of(self, path: str) -> str | None:
        """Returns the service of the longest prefix of `path`, by segments."""
        prefix = path
        while prefix:
            service = self.services.get(prefix)
            if service is not None:
                return service
            prefix = prefix.rpartition("/")[0]
        return self.services.get("/")

    def _choose(self, prefix: str) -> None:
        claims = self._claims[prefix]
        if not claims:
            del self._claims[prefix]
            del self.services[prefix]
            return
        newest = max(claims.values(), key=lambda claim: claim.revision)
        self.services[prefix] = newest.service
