"""Route table: finds the route of a call by host, path and method."""

from collections.abc import Mapping

import attrs

from lacewingstair.tickets import Route


@attrs.frozen
class NamedRoute:
    """A route with its name in the configuration."""

    name: str
    route: Route

    @property
    def kind(self) -> str:
        """Request kind for counting."""
        return self.route.kind or self.name


class RouteTable:
    """Routes ordered by how specific they are.

    An exact host goes before ``*``, a longer prefix before a shorter one, a list of
    methods before none; the name decides between equals.
    """

    def __init__(
        self, routes_by_host: Mapping[str, tuple[NamedRoute, ...]] | None = None
    ):
        self._routes_by_host = dict(routes_by_host or {})

    @classmethod
    def compile(cls, routes: Mapping[str, Route]) -> "RouteTable":
        """Return the table of the routes, given by name."""
        routes_by_host: dict[str, list[NamedRoute]] = {}
        for name, route in routes.items():
            for host in route.hosts:
                routes_by_host.setdefault(host, []).append(NamedRoute(name, route))
        return cls(
            {
                host: tuple(sorted(entries, key=_specificity))
                for host, entries in routes_by_host.items()
            }
        )

    def find(self, host: str, path: str, method: str) -> NamedRoute | None:
        """Return the most specific route of a call, or None.

        Parameters
        ----------
        host : str
            Value of the Host header, with or without port.
        path : str
            Path without query.
        method : str
            Upper-case method.
        """
        exact = self._routes_by_host.get(_without_port(host).lower(), ())
        for entries in (exact, self._routes_by_host.get("*", ())):
            for entry in entries:
                if _matches(entry.route, path, method):
                    return entry
        return None


def _specificity(entry: NamedRoute) -> tuple[int, bool, str]:
    return (-len(entry.route.path_prefix), not entry.route.methods, entry.name)


def _matches(route: Route, path: str, method: str) -> bool:
    if route.methods and method not in route.methods:
        return False
    prefix = route.path_prefix
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"


def _without_port(host: str) -> str:
    if host.startswith("["):
        return host.partition("]")[0][1:]
    return host.partition(":")[0]
