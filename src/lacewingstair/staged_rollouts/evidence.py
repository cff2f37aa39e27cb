"""Call counts and latency histograms of each version of a service."""

import math
from collections.abc import Container, Iterable, Mapping

import attrs

# Latencies are counted in a histogram with exponential buckets of this ratio.
BUCKET_RATIO = 1.25
BUCKET_COUNT = 56
# Calls are counted in the slice in which they began, while it is one of this many last
# ones. Slices are at least a second long, and few calls have deadlines beyond 12 s.
KEPT_SLICES = 12


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

    @property
    def observations(self) -> int:
        """Number of calls, with those whose callers gave up."""
        return self.calls + sum(self.abandoned_by_bucket.values())

    def count(self, is_bad: bool, ms: float | None) -> None:
        """Count one call; ms is None if its latency is not meaningful."""
        self.calls += 1
        if is_bad:
            self.bad += 1
        if is_bad or ms is None:
            return
        _add_to(self.calls_by_bucket, latency_bucket(ms), 1)

    def count_abandoned(self, ms: float) -> None:
        """Count a call whose caller gave up after it had run for this time."""
        _add_to(self.abandoned_by_bucket, latency_bucket(ms), 1)

    def add(self, other: "RouteCounts") -> None:
        """Add the counts of another VM."""
        self.calls += other.calls
        self.bad += other.bad
        for bucket, count in other.calls_by_bucket.items():
            _add_to(self.calls_by_bucket, bucket, count)
        for bucket, count in other.abandoned_by_bucket.items():
            _add_to(self.abandoned_by_bucket, bucket, count)

    def median_bucket(self) -> int:
        """Return the bucket that contains the median latency of the answers."""
        return self.bucket_of_tail(0.5)

    def bucket_of_tail(self, share: float) -> int:
        """Return the lowest bucket above which at most a share of the answers lie."""
        allowed = share * sum(self.calls_by_bucket.values())
        above = 0
        for bucket in sorted(self.calls_by_bucket, reverse=True):
            above += self.calls_by_bucket[bucket]
            if above > allowed:
                return bucket
        return 0

    def subtract(self, other: "RouteCounts") -> None:
        """Subtract counts that were added before."""
        self.calls -= other.calls
        self.bad -= other.bad
        for bucket, count in other.calls_by_bucket.items():
            _add_to(self.calls_by_bucket, bucket, -count)
        for bucket, count in other.abandoned_by_bucket.items():
            _add_to(self.abandoned_by_bucket, bucket, -count)

    def unserved_and_known(self, limit: int) -> tuple[int, int]:
        """Return the calls that failed or were slow, and all that may be compared.

        Parameters
        ----------
        limit : int
            Answers above this bucket are slow. A call whose caller gave up is known to
            be slow if it had run for longer by then; otherwise nothing is known of it.
        """
        abandoned = _above(self.abandoned_by_bucket, limit)
        slow = _above(self.calls_by_bucket, limit)
        answered = sum(self.calls_by_bucket.values())
        return slow + abandoned + self.bad, answered + abandoned + self.bad

    def copy(self) -> "RouteCounts":
        """Return counts that do not change with these."""
        return RouteCounts(
            self.calls,
            self.bad,
            dict(self.calls_by_bucket),
            dict(self.abandoned_by_bucket),
        )


CountsByRoute = Mapping[str, RouteCounts]


@attrs.define
class GateEvidence:
    """Call counts of one gate for one version since a rollout was ordered.

    Parameters
    ----------
    vm_id : str
        VM of the gate.
    incarnation : int
        Identifies the process of the gate, whose counts begin at zero.
    service, version : str
        What the calls were run by.
    order_offset : int
        Offset of the order.
    counts_by_route_by_slice : dict
        Counts by route, by the slice of time since the order.
    """

    vm_id: str
    incarnation: int
    service: str
    version: str
    order_offset: int
    counts_by_route_by_slice: dict[int, dict[str, RouteCounts]] = attrs.field(
        factory=dict
    )

    def at(self, slice_index: int, route: str) -> RouteCounts:
        """Return the counts of a slice and a route; older slices are dropped."""
        by_slice = self.counts_by_route_by_slice
        newest = max(by_slice, default=slice_index)
        if slice_index <= newest - KEPT_SLICES:
            return RouteCounts()
        if slice_index not in by_slice:
            by_slice[slice_index] = {}
            for index in list(by_slice):
                if index <= slice_index - KEPT_SLICES:
                    del by_slice[index]
        return by_slice[slice_index].setdefault(route, RouteCounts())

    def copy(self, slices: Container[int] = range(1 << 62)) -> "GateEvidence":
        """Return the counts of some slices, which do not change with these."""
        copied = {
            index: {route: counts.copy() for route, counts in by_route.items()}
            for index, by_route in self.counts_by_route_by_slice.items()
            if index in slices
        }
        return attrs.evolve(self, counts_by_route_by_slice=copied)


def sum_of(counts: Iterable[RouteCounts]) -> RouteCounts:
    """Return the sum of several counts."""
    total = RouteCounts()
    for found in counts:
        total.add(found)
    return total


def _add_to(histogram: dict[int, int], bucket: int, count: int) -> None:
    histogram[bucket] = histogram.get(bucket, 0) + count


def _above(histogram: Mapping[int, int], limit: int) -> int:
    return sum(count for bucket, count in histogram.items() if bucket > limit)
