"""Types of tickets, without the means to parse them."""

from collections.abc import Mapping

import attrs

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


def normal_host(host: str) -> str:
    """Return a host name in lower case and without the final dot."""
    return host.lower().removesuffix(".")


@attrs.frozen
class Service:
    """A service and the versions of it that may serve.

    Parameters
    ----------
    versions : tuple of str
        Versions that backend servers may announce.
    current : str
        Version that serves when no rollout moves traffic.
    not_run_statuses : tuple of int
        HTTP statuses, ascending, by which its backend servers say that a call did not
        run. The operator vouches for it.
    """

    versions: tuple[str, ...]
    current: str
    not_run_statuses: tuple[int, ...] = ()


@attrs.frozen
class Route:
    """Calls that go to one service.

    Parameters
    ----------
    service : str
        Name of the service.
    hosts : tuple of str
        Host names without port; ``*`` matches all.
    path_prefix : str
        Matches whole path segments.
    methods : tuple of str
        Upper-case methods; empty matches all.
    kind : str
        Request kind for counting service; the route's name when empty.
    worth : float
        Relative worth of a call when calls have to be refused.
    timeout_ms : int
        Longest time for a call, retries included.
    idempotent : bool or None
        Whether a call may run twice; None decides by method.
    max_body_bytes : int
        Largest request body.
    """

    service: str
    hosts: tuple[str, ...] = ("*",)
    path_prefix: str = "/"
    methods: tuple[str, ...] = ()
    kind: str = ""
    worth: float = 1.0
    timeout_ms: int = 2000
    idempotent: bool | None = None
    max_body_bytes: int = 1 << 20

    def allows_repeat(self, method: str) -> bool:
        """Return whether a call with this method may run twice."""
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS


@attrs.frozen
class Rollout:
    """A move of a service's traffic from one version to another.

    Parameters
    ----------
    service, from_version, to_version : str
        What moves.
    start, end_by : float
        Seconds since the Unix epoch between which traffic moves.
    trial_share : float
        Share of calls the new version gets before it has earned more.
    max_failure_increase : float
        Increase of the failure ratio that makes the new version bad.
    max_latency_ratio : float
        Ratio to the old version's latency that makes the new version bad.
    """

    service: str
    from_version: str
    to_version: str
    start: float
    end_by: float
    trial_share: float = 0.02
    max_failure_increase: float = 0.02
    max_latency_ratio: float = 1.5


@attrs.frozen
class Ticket:
    """A numbered change with the whole new state of all that it touches.

    The three mappings give the new state by name; None removes the entry.
    """

    number: int
    digest: str
    author: str = ""
    note: str = ""
    services: Mapping[str, Service | None] = attrs.field(factory=dict)
    routes: Mapping[str, Route | None] = attrs.field(factory=dict)
    rollouts: Mapping[str, Rollout | None] = attrs.field(factory=dict)
