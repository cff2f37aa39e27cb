"""Routes of successive configuration versions."""

import random
from collections import deque
from collections.abc import Callable

import attrs

from tests.platform.test_configuration import document

SERVICES = ("board", "book")
# Routes that every version has.
LASTING = ("view", "load")
# A path that no version ever has a route for.
NEVER = "never"
MAX_ADDED = 8
# Routes changed last, which probing callers use.
MAX_RECENT = 8

changes_by_name: dict[str, Callable[["RoutePlan"], str]] = {}


def route_change(make):
    """Register a change of the routes; it returns the name of the route."""
    changes_by_name[make.__name__] = make
    return make


@attrs.define
class RoutePlan:
    """Routes of the next version, which differ a little from those of the last one.

    Parameters
    ----------
    rng : random.Random
        Draws the changes.

    Attributes
    ----------
    services_by_route : dict of str to tuple of str
        Services of each route.
    recent : deque of str
        Routes that were added, removed, moved or split last.
    """

    rng: random.Random
    services_by_route: dict = attrs.field(
        factory=lambda: {"view": ("board",), "load": ("book",)}
    )
    recent: deque = attrs.field(factory=lambda: deque(maxlen=MAX_RECENT))
    _count: int = 0

    def change(self):
        """Make a change."""
        make = changes_by_name[self.rng.choice(sorted(changes_by_name))]
        if len(self.services_by_route) >= len(LASTING) + MAX_ADDED:
            make = removed
        self.recent.append(make(self))

    def document(self, number):
        """Return the configuration with these routes under a version."""
        rows = [self._row(*pair) for pair in self.services_by_route.items()]
        return document(number, rows)

    def new_name(self):
        """Return a name that no route has had."""
        self._count += 1
        return f"added{self._count}"

    def any_name(self):
        """Return the name of one of the routes."""
        return self.rng.choice(list(self.services_by_route))

    def _row(self, name, services):
        kind = "non_idempotent" if name == "load" else "idempotent"
        service, split = services[0], None
        if len(services) > 1:
            service = None
            weight = self.rng.randint(1, 99)
            weights = zip(services, (weight, 100 - weight), strict=True)
            split = [{"service": part, "weight": weight} for part, weight in weights]
        path = f"/{name}/"
        return [name, "a.example", path, kind, "2s", "600ms", 1, service, 3, split]


@route_change
def added(plan):
    """Add a route."""
    name = plan.new_name()
    plan.services_by_route[name] = (plan.rng.choice(SERVICES),)
    return name


@route_change
def removed(plan):
    """Remove a route that was added, or add the first one."""
    names = [name for name in plan.services_by_route if name not in LASTING]
    if not names:
        return added(plan)
    name = plan.rng.choice(names)
    del plan.services_by_route[name]
    return name


@route_change
def moved(plan):
    """Move a route to the other service."""
    name = plan.any_name()
    is_board = plan.services_by_route[name] == (SERVICES[0],)
    plan.services_by_route[name] = (SERVICES[is_board],)
    return name


@route_change
def split(plan):
    """Split a route between both services."""
    name = plan.any_name()
    plan.services_by_route[name] = SERVICES
    return name
