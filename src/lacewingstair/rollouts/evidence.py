"""Call counters per version, the input of the analysis of a rollout.

Counters are monotonic. A VM adds the increments between consecutive reports of each
child to its own totals. After a gap in a child's sequence numbers, the next report only
sets a new base: the missing reports may have gone to another parent, whose totals then
include those calls already. Evidence can be lost this way, but is never counted twice.
The totals of a zone follow a single path, so that a later report makes up for a lost
one.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

import attrs

from lacewingstair.rollouts.marks import RolloutKey


@attrs.frozen
class EvidenceCounter:
    """Totals of one version on one route in one stage of a rollout.

    Parameters
    ----------
    key : RolloutKey
        The rollout.
    route, version : str
        Names in the configuration.
    stage : int
        Stage during which the calls were made.
    calls, failures : int
        Attempts that ended OK or FAILED, and those that FAILED.
    timed, slow : int
        Attempts with a counted latency, and those above the latency threshold.
    refused : int
        Attempts that the backend server rejected before execution; not included in
        `calls`.
    """

    key: RolloutKey
    route: str
    version: str
    stage: int
    calls: int
    failures: int
    timed: int
    slow: int
    refused: int = 0


@attrs.frozen
class EvidenceReport:
    """Totals of the subtree of one VM, or of a whole availability zone.

    A report replaces the earlier ones of the same source.

    Parameters
    ----------
    source : str
        VM id; for the totals of a zone, its name, a space and the id of its root.
    is_zone_total : bool
        Whether the report covers a whole zone.
    sequence : int
        Incremented by the source for each report.
    counters : tuple of EvidenceCounter
        Totals.
    """

    source: str
    is_zone_total: bool
    sequence: int
    counters: tuple[EvidenceCounter, ...]


class EvidenceTransport(Protocol):
    """Sends evidence between VMs."""

    def send_evidence(self, report: EvidenceReport) -> None:
        """Send a subtree report to the parent in the first tree of the zone.

        A zone total is sent to the relays of the other zones instead.
        """
        ...

    def is_zone_root(self) -> bool:
        """Return whether this VM is the root of the zone's first tree."""
        ...

    def on_evidence(self, listener: Callable[[EvidenceReport], None]) -> None:
        """Call `listener` with each report that arrives."""
        ...

    def on_child_lost(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the VM id of each child whose link has closed."""
        ...


@attrs.frozen(cache_hash=True)
class CounterKey:
    """Identifies a counter: a version on a route in one stage of a rollout."""

    key: RolloutKey
    route: str
    version: str
    stage: int


@attrs.define
class CallCounts:
    """Counts for one `CounterKey`, with the fields of `EvidenceCounter`."""

    calls: int = 0
    failures: int = 0
    timed: int = 0
    slow: int = 0
    refused: int = 0

    def delta_since(self, earlier: "CallCounts") -> "CallCounts":
        """Return the increments since earlier counts of the same key."""
        return CallCounts(
            self.calls - earlier.calls,
            self.failures - earlier.failures,
            self.timed - earlier.timed,
            self.slow - earlier.slow,
            self.refused - earlier.refused,
        )

    def add(self, other: "CallCounts") -> None:
        """Add other counts to these."""
        self.calls += other.calls
        self.failures += other.failures
        self.timed += other.timed
        self.slow += other.slow
        self.refused += other.refused

    @property
    def offered(self) -> int:
        """Number of attempts, including refused ones."""
        return self.calls + self.refused

    @property
    def is_consistent(self) -> bool:
        """Whether these are valid as counts or as increments of counts."""
        pairs = ((self.failures, self.calls), (self.slow, self.timed))
        return self.refused >= 0 and all(0 <= part <= whole for part, whole in pairs)

    @property
    def is_empty(self) -> bool:
        """Whether all counts are zero."""
        return self == _EMPTY


_EMPTY = CallCounts()


@attrs.define
class _Source:
    name: str
    sequence: int
    counts_by_key: dict[CounterKey, CallCounts]


class CounterDeltaTracker:
    """Tracks the counters of other VMs and computes their increments."""

    def __init__(self) -> None:
        self._sources_by_entry_key: dict[str, _Source] = {}

    def observe(self, report: EvidenceReport) -> dict[CounterKey, CallCounts]:
        """Return the increments since the previous report, empty if they are unknown.

        The root of a zone can change. All totals of a zone share one entry, in which
        the first report of another root sets a new base.
        """
        entry_key = zone_of_total(report) if report.is_zone_total else report.source
        previous = self._sources_by_entry_key.get(entry_key)
        is_continuation = previous is not None and previous.name == report.source
        if is_continuation and report.sequence <= previous.sequence:
            return {}
        if is_continuation and not report.is_zone_total:
            is_continuation = report.sequence == previous.sequence + 1
        counts_by_key = {_counter_key(c): _call_counts(c) for c in report.counters}
        source = _Source(report.source, report.sequence, counts_by_key)
        self._sources_by_entry_key[entry_key] = source
        if not is_continuation:
            return {}
        deltas = {
            counter_key: counts.delta_since(
                previous.counts_by_key.get(counter_key, _EMPTY)
            )
            for counter_key, counts in counts_by_key.items()
        }
        if not all(counts.is_consistent for counts in deltas.values()):
            return {}
        return {
            counter_key: counts
            for counter_key, counts in deltas.items()
            if not counts.is_empty
        }

    def forget(self, source: str) -> None:
        """Discard the last report of a source; its next one sets a new base."""
        self._sources_by_entry_key.pop(source, None)


def zone_of_total(report: EvidenceReport) -> str:
    """Return the zone of a zone total."""
    return report.source.partition(" ")[0]


def zone_total_source(availability_zone: str, vm_id: str) -> str:
    """Return the source of a zone total; names contain no spaces."""
    return f"{availability_zone} {vm_id}"


def counters(
    counts_by_key: Mapping[CounterKey, CallCounts], keys: Iterable[RolloutKey]
) -> tuple[EvidenceCounter, ...]:
    """Return the counters of the given rollouts for a report."""
    wanted = set(keys)
    return tuple(
        EvidenceCounter(
            counter_key.key,
            counter_key.route,
            counter_key.version,
            counter_key.stage,
            counts.calls,
            counts.failures,
            counts.timed,
            counts.slow,
            counts.refused,
        )
        for counter_key, counts in counts_by_key.items()
        if counter_key.key in wanted
    )


def _counter_key(counter: EvidenceCounter) -> CounterKey:
    return CounterKey(counter.key, counter.route, counter.version, counter.stage)


def _call_counts(counter: EvidenceCounter) -> CallCounts:
    return CallCounts(
        counter.calls,
        counter.failures,
        counter.timed,
        counter.slow,
        counter.refused,
    )
