"""Route table: looks up the route of a call by host, path and method."""

from collections.abc import Iterable, Mapping

import attrs

from lacewingstair.tickets.types import Route, normal_host

ANY_HOST = "*"


@attrs.frozen
class NamedRoute:
    """A route with its name in the configuration."""

    name: str
    route: Route

    @property
    def kind(self) -> str:
        """Request kind, the label under which calls are counted."""
        return self.route.kind or self.name


@attrs.frozen
class _HostRoutes:
    """Routes of one host, indexed by path prefix.

    Parameters
    ----------
    routes_by_prefix : mapping
        Routes in order of precedence.
    max_prefix_length : int
        Length of the longest prefix.
    """

    routes_by_prefix: Mapping[str, tuple[NamedRoute, ...]]
    max_prefix_length: int

    def find(self, path: str, method: str) -> NamedRoute | None:
        """Return the route with the longest prefix that ends at a segment boundary."""
        routes_by_prefix = self.routes_by_prefix
        if len(path) <= self.max_prefix_length:
            found = _first_for_method(routes_by_prefix.get(path), method)
            if found is not None:
                return found
        end = min(len(path), self.max_prefix_length + 1)
        while (slash := path.rfind("/", 0, end)) >= 0:
            # Both "/a/" and "/a" match "/a/b"; "/a/" is the longer prefix.
            for prefix in (path[: slash + 1], path[:slash]):
                found = _first_for_method(routes_by_prefix.get(prefix), method)
                if found is not None:
                    return found
            end = slash
        return None


_NO_ROUTES = _HostRoutes({}, 0)


class RouteTable:
    """Immutable table of routes, indexed by host and path prefix.

    An exact host takes precedence over ``*``, a longer prefix over a shorter one, and a
    route with a list of methods over one without. Ties are broken by name.
    """

    def __init__(self, routes_by_host: Mapping[str, _HostRoutes] | None = None) -> None:
        self._routes_by_host = routes_by_host or {}

    @classmethod
    def compile(cls, routes: Mapping[str, Route]) -> "RouteTable":
        """Return the table of `routes`, which are given by name."""
        return cls().updated({}, routes, routes)

    def updated(
        self,
        before: Mapping[str, Route],
        after: Mapping[str, Route],
        names: Iterable[str],
    ) -> "RouteTable":
        """Return the table after a change; unchanged hosts and prefixes are shared.

        Parameters
        ----------
        before, after : mapping
            Routes by name; this table is compiled from `before`.
        names : iterable of str
            Names of the routes that differ.
        """
        added: dict[str, dict[str, list[NamedRoute]]] = {}
        removed: dict[str, dict[str, set[str]]] = {}
        for name in names:
            for host, prefix in _hosts_and_prefixes(before.get(name)):
                removed.setdefault(host, {}).setdefault(prefix, set()).add(name)
            route = after.get(name)
            for host, prefix in _hosts_and_prefixes(route):
                entry = NamedRoute(name, route)
                added.setdefault(host, {}).setdefault(prefix, []).append(entry)
        routes_by_host = dict(self._routes_by_host)
        for host in added.keys() | removed.keys():
            current = routes_by_host.pop(host, _NO_ROUTES)
            changed = _with_changes(current, added.get(host, {}), removed.get(host, {}))
            if changed.routes_by_prefix:
                routes_by_host[host] = changed
        return RouteTable(routes_by_host)

    def find(self, host: str, path: str, method: str) -> NamedRoute | None:
        """Return the most specific route of a call, or None.

        Parameters
        ----------
        host : str
            Value of the Host header, with or without a port.
        path : str
            Path without the query.
        method : str
            Method in upper case.
        """
        routes_by_host = self._routes_by_host
        exact = routes_by_host.get(normal_host(_without_port(host)))
        if exact is not None:
            found = exact.find(path, method)
            if found is not None:
                return found
        any_host = routes_by_host.get(ANY_HOST)
        return None if any_host is None else any_host.find(path, method)


def _hosts_and_prefixes(route: Route | None) -> list[tuple[str, str]]:
    if route is None:
        return []
    return [(host, route.path_prefix) for host in dict.fromkeys(route.hosts)]


def _with_changes(
    current: _HostRoutes,
    added: Mapping[str, list[NamedRoute]],
    removed: Mapping[str, set[str]],
) -> _HostRoutes:
    routes_by_prefix = dict(current.routes_by_prefix)
    for prefix in added.keys() | removed.keys():
        removed_names = removed.get(prefix, ())
        kept = [
            e for e in routes_by_prefix.pop(prefix, ()) if e.name not in removed_names
        ]
        entries = [*kept, *added.get(prefix, ())]
        if entries:
            routes_by_prefix[prefix] = tuple(sorted(entries, key=_precedence))
    return _HostRoutes(routes_by_prefix, max(map(len, routes_by_prefix), default=0))


def _precedence(entry: NamedRoute) -> tuple[bool, str]:
    return (not entry.route.methods, entry.name)


def _first_for_method(
    entries: tuple[NamedRoute, ...] | None, method: str
) -> NamedRoute | None:
    for entry in entries or ():
        methods = entry.route.methods
        if not methods or method in methods:
            return entry
    return None


def _without_port(host: str) -> str:
    if host.startswith("["):
        return host.partition("]")[0][1:]
    return host.partition(":")[0]
