"""Counts of the calls that each version of a service has answered."""

import math
from collections.abc import Iterable

import attrs

# Times are counted in classes, each half as long again as the one before.
CLASS_RATIO = 1.5
CLASSES = 32


def time_class(ms: float) -> int:
    """Return the class of a time."""
    if ms < 1.0:
        return 0
    return min(CLASSES - 1, int(math.log(ms) / math.log(CLASS_RATIO)))


@attrs.define
class RouteCounts:
    """Calls of one route at one version.

    Parameters
    ----------
    calls, bad : int
        Calls, and those without an answer or with a failure.
    calls_by_bucket : dict
        Answered calls by class of their time.
    """

    calls: int = 0
    bad: int = 0
    calls_by_bucket: dict[int, int] = attrs.field(factory=dict)

    def count(self, is_bad: bool, ms: float | None) -> None:
        """Count one call; ms is None when its time says nothing."""
        self.calls += 1
        if is_bad:
            self.bad += 1
        if is_bad or ms is None:
            return
        found = time_class(ms)
        self.calls_by_bucket[found] = self.calls_by_bucket.get(found, 0) + 1

    def add(self, other: "RouteCounts") -> None:
        """Add the calls of another VM."""
        self.calls += other.calls
        self.bad += other.bad
        for found, count in other.calls_by_bucket.items():
            self.calls_by_bucket[found] = self.calls_by_bucket.get(found, 0) + count

    def median_class(self) -> int:
        """Return the class in which the median time lies."""
        answered = sum(self.calls_by_bucket.values())
        seen = 0
        for found in sorted(self.calls_by_bucket):
            seen += self.calls_by_bucket[found]
            if 2 * seen >= answered:
                return found
        return 0

    def slower_than(self, limit: int) -> int:
        """Return the answered calls above a class."""
        return sum(
            count for found, count in self.calls_by_bucket.items() if found > limit
        )


@attrs.define
class GateEvidence:
    """Counts of one gate for one version since a rollout was ordered, by route."""

    vm_id: str
    service: str
    version: str
    order_offset: int
    counts_by_route: dict[str, RouteCounts] = attrs.field(factory=dict)

    def count(self, route: str, is_bad: bool, ms: float | None) -> None:
        """Count one call."""
        self.counts_by_route.setdefault(route, RouteCounts()).count(is_bad, ms)

    @property
    def calls(self) -> int:
        """Calls of all routes."""
        return sum(counts.calls for counts in self.counts_by_route.values())


def totals(evidence: Iterable[GateEvidence]) -> dict[str, RouteCounts]:
    """Return the sums of several gates, by route."""
    found: dict[str, RouteCounts] = {}
    for gate in evidence:
        for route, counts in gate.counts_by_route.items():
            found.setdefault(route, RouteCounts()).add(counts)
    return found
