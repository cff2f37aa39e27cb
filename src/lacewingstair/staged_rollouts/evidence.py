"""Call counts and latency histograms of each version of a service."""

import math
from collections.abc import Iterable

import attrs

# Latencies are counted in a histogram with exponential buckets of this ratio.
BUCKET_RATIO = 1.5
BUCKET_COUNT = 32


def latency_bucket(ms: float) -> int:
    """Return the index of the histogram bucket of a latency."""
    if ms < 1.0:
        return 0
    return min(BUCKET_COUNT - 1, int(math.log(ms) / math.log(BUCKET_RATIO)))


@attrs.define
class RouteCounts:
    """Calls of one route at one version.

    Parameters
    ----------
    calls, bad : int
        Calls, and those that failed or were not answered.
    calls_by_bucket : dict
        Latency histogram of the answered calls.
    abandoned_by_bucket : dict
        Histogram of the time that calls had run when their caller gave up.
    """

    calls: int = 0
    bad: int = 0
    calls_by_bucket: dict[int, int] = attrs.field(factory=dict)
    abandoned_by_bucket: dict[int, int] = attrs.field(factory=dict)

    def count(self, is_bad: bool, ms: float | None) -> None:
        """Count one call; ms is None if its latency is not meaningful."""
        self.calls += 1
        if is_bad:
            self.bad += 1
        if is_bad or ms is None:
            return
        bucket = latency_bucket(ms)
        self.calls_by_bucket[bucket] = self.calls_by_bucket.get(bucket, 0) + 1

    def count_abandoned(self, ms: float) -> None:
        """Count a call whose caller gave up after it had run for this time."""
        bucket = latency_bucket(ms)
        self.abandoned_by_bucket[bucket] = self.abandoned_by_bucket.get(bucket, 0) + 1

    def add(self, other: "RouteCounts") -> None:
        """Add the counts of another VM."""
        self.calls += other.calls
        self.bad += other.bad
        for bucket, count in other.calls_by_bucket.items():
            self.calls_by_bucket[bucket] = self.calls_by_bucket.get(bucket, 0) + count
        for bucket, count in other.abandoned_by_bucket.items():
            before = self.abandoned_by_bucket.get(bucket, 0)
            self.abandoned_by_bucket[bucket] = before + count

    def median_bucket(self) -> int:
        """Return the bucket that contains the median latency."""
        answered = sum(self.calls_by_bucket.values())
        seen = 0
        for bucket in sorted(self.calls_by_bucket):
            seen += self.calls_by_bucket[bucket]
            if 2 * seen >= answered:
                return bucket
        return 0

    def calls_above(self, limit: int) -> int:
        """Return the number of answered calls above a bucket."""
        return sum(
            count for bucket, count in self.calls_by_bucket.items() if bucket > limit
        )


@attrs.define
class GateEvidence:
    """Call counts of one gate for one version since a rollout was ordered."""

    vm_id: str
    service: str
    version: str
    order_offset: int
    counts_by_route: dict[str, RouteCounts] = attrs.field(factory=dict)

    def count(self, route: str, is_bad: bool, ms: float | None) -> None:
        """Count one call."""
        self.counts_by_route.setdefault(route, RouteCounts()).count(is_bad, ms)

    def count_abandoned(self, route: str, ms: float) -> None:
        """Count a call whose caller gave up."""
        self.counts_by_route.setdefault(route, RouteCounts()).count_abandoned(ms)

    @property
    def calls(self) -> int:
        """Number of calls of all routes."""
        return sum(counts.calls for counts in self.counts_by_route.values())


def sum_by_route(evidence: Iterable[GateEvidence]) -> dict[str, RouteCounts]:
    """Return the sums over several gates, by route."""
    sums: dict[str, RouteCounts] = {}
    for gate in evidence:
        for route, counts in gate.counts_by_route.items():
            sums.setdefault(route, RouteCounts()).add(counts)
    return sums
