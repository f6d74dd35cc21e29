"""Active routes, from path prefix to service name."""

import attrs

from fireflyspindle.core import records


@attrs.define(frozen=True)
class PrefixRoute:
    """The service that one route record gives for its prefix."""

    revision: int
    name: str
    service: str


@attrs.define
class RouteTable:
    """Routes by prefix; the newest of several records for a prefix wins.

    Attributes:
        services: Name of the active service, by path prefix.
    """

    services: dict[str, str] = attrs.field(factory=dict)
    _prefixes: dict[str, str] = attrs.field(factory=dict)
    _routes_by_prefix: dict[str, dict[str, PrefixRoute]] = attrs.field(
        factory=dict
    )

    def put(self, name: str, route: records.Route, revision: int) -> None:
        """Adds the route of a record, replacing the record's previous one."""
        self.remove(name)
        prefix_route = PrefixRoute(revision, name, route.service)
        self._prefixes[name] = route.path_prefix
        self._routes_by_prefix.setdefault(route.path_prefix, {})[name] = (
            prefix_route
        )
        self._select(route.path_prefix)

    def remove(self, name: str) -> None:
        """Removes the route of a record, if it has one."""
        prefix = self._prefixes.pop(name, None)
        if prefix is None:
            return
        del self._routes_by_prefix[prefix][name]
        self._select(prefix)

    def others_with_same_prefix(self, name: str) -> list[str]:
        """Returns the names of other records with the same prefix."""
        prefix = self._prefixes.get(name, "")
        return sorted(set(self._routes_by_prefix.get(prefix, {})) - {name})

    def service_of_record(self, name: str) -> str | None:
        """Returns the service that a record gives, if it has a route."""
        prefix = self._prefixes.get(name)
        if prefix is None:
            return None
        return self._routes_by_prefix[prefix][name].service

    def find_service(self, path: str) -> str | None:
        """Returns the service of the longest matching prefix of `path`.

        Prefixes match whole path segments.
        """
        prefix = path
        while prefix:
            service = self.services.get(prefix)
            if service is not None:
                return service
            prefix = prefix.rpartition("/")[0]
        return self.services.get("/")

    def _select(self, prefix: str) -> None:
        prefix_routes = self._routes_by_prefix[prefix]
        if not prefix_routes:
            del self._routes_by_prefix[prefix]
            del self.services[prefix]
            return
        newest = max(
            prefix_routes.values(),
            key=lambda prefix_route: prefix_route.revision,
        )
        self.services[prefix] = newest.service
