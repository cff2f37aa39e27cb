"""Configuration of a VM that forwards calls: routes, services and limits."""

import random
from collections.abc import Mapping
from typing import Any

import attrs

from lacewingstair.accounts.directory import AccountDirectory
from lacewingstair.errors import Fault
from lacewingstair.routing.routes import NamedRoute, RouteTable


@attrs.frozen
class SplitPart:
    """A service that gets a share of a route's calls.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share, relative to the weights of the other parts.
    """

    service: str
    weight: float


@attrs.frozen
class CallRoute:
    """Route of calls, with the parameters of forwarding.

    Parameters
    ----------
    hosts : tuple of str
        Host names without port.
    path_prefix : str
        Begins and ends with a slash.
    parts : tuple of SplitPart
        Services that serve the route; one for most routes.
    allows_repeat : bool
        Whether a call may run more than once.
    has_large_answers : bool
        Whether answers are large, so that distance is expensive.
    max_attempts : int
        Upstreams to which one call may be sent.
    timeout_ms : float
        Longest time that a call may be kept waiting.
    target_latency_ms : float
        Time within which an answer has its full value to the caller.
    priority : int
        Rank among the calls of a service; 0 is the highest.
    is_public : bool
        Whether callers need no key, if the configuration has client accounts.
    fault : str
        Why the route cannot be read; empty if it can. Its calls are refused, so that
        no route with a shorter prefix takes them.
    """

    hosts: tuple[str, ...]
    path_prefix: str
    parts: tuple[SplitPart, ...]
    allows_repeat: bool = False
    has_large_answers: bool = False
    max_attempts: int = 1
    timeout_ms: float = 2000.0
    target_latency_ms: float = 1000.0
    priority: int = 0
    methods: tuple[str, ...] = ()
    kind: str = ""
    is_public: bool = False
    fault: str = ""


@attrs.frozen
class ServiceTerms:
    """Parameters of the backend servers of a service.

    Parameters
    ----------
    health_path : str
        Path of their health check.
    max_connections : int or None
        Connections that one of them accepts from all callers; None if not stated.
    """

    health_path: str
    max_connections: int | None


@attrs.frozen
class RequestLimits:
    """Limits on the requests of callers.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest head and body.
    header_timeout_ms, idle_timeout_ms : float
        Longest time for a head to arrive, and for a connection to stay idle.
    """

    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 64 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@attrs.frozen
class RouteRows:
    """Routes as a document lists them, to compare with those of the next version.

    Parameters
    ----------
    columns : tuple of str
        Names of the values of each row.
    by_name : mapping
        Row of each route; the last one if the document repeats a name.
    """

    columns: tuple[str, ...] = ()
    by_name: Mapping[str, list[Any]] = attrs.field(factory=dict)


@attrs.frozen
class Configuration:
    """One version of the whole configuration.

    Parameters
    ----------
    number : int
        Version; a higher one is newer.
    routes_by_name : mapping
        All routes.
    services_by_name : mapping
        All services.
    limits : RequestLimits
        Bounds of requests.
    accounts : AccountDirectory or None
        Client accounts; None if callers need no key.
    source : bytes
        Document from which it was decoded, which is sent to other VMs.
    table : RouteTable
        Compiled from the routes.
    faults : tuple of Fault
        What is unreadable beside the routes, and was left out.
    route_rows : RouteRows
        Rows from which the routes were decoded; empty if they were not.
    """

    number: int = 0
    routes_by_name: Mapping[str, CallRoute] = attrs.field(factory=dict)
    services_by_name: Mapping[str, ServiceTerms] = attrs.field(factory=dict)
    limits: RequestLimits = RequestLimits()
    accounts: AccountDirectory | None = None
    source: bytes = attrs.field(default=b"", repr=False)
    faults: tuple[Fault, ...] = ()
    table: RouteTable = attrs.field(factory=RouteTable, eq=False, repr=False)
    route_rows: RouteRows = attrs.field(factory=RouteRows, eq=False, repr=False)

    @property
    def is_empty(self) -> bool:
        """Whether no configuration has been received yet."""
        return self.number == 0


class ConfigurationStore:
    """Holds the newest configuration and never returns to an older one.

    Attributes
    ----------
    current : Configuration
        Replaced by one assignment, so that a call sees one version or the next.
    """

    def __init__(self) -> None:
        self.current = Configuration()

    def adopt(self, configuration: Configuration) -> bool:
        """Replace the configuration if this one is newer; return whether it was."""
        if configuration.number <= self.current.number:
            return False
        self.current = configuration
        return True


class SplitChooser:
    """Chooses the service of each call of a route in proportion to the weights.

    Each route spreads its calls evenly instead of drawing each one, so that the shares
    are also right over few calls.

    Parameters
    ----------
    rng : random.Random
        Source of the start of each route's sequence, so that VMs differ.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits_by_route: dict[str, dict[str, float]] = {}

    def choose(self, named: NamedRoute) -> str:
        """Return the service of the next call of a route."""
        parts = named.route.parts
        if len(parts) == 1:
            return parts[0].service
        names = {part.service for part in parts}
        credits = self._credits_by_route.get(named.name)
        if credits is None or credits.keys() != names:
            credits = {name: self._rng.random() for name in names}
            self._credits_by_route[named.name] = credits
        total = sum(part.weight for part in parts)
        for part in parts:
            credits[part.service] += part.weight / total
        chosen = max(parts, key=lambda part: credits[part.service]).service
        credits[chosen] -= 1.0
        return chosen
