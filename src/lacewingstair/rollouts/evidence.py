"""Counters of calls by version, on which a rollout is judged.

Counters only grow. A VM adds to its totals what each child's counters have grown by
from one report to the next. After a gap in the numbers of a child's reports it starts
anew: the reports in between may have gone to another parent, whose totals then hold
those calls already. Evidence is so lost at times and never counted twice. Totals of a
zone take one way only, and a later report makes up for a lost one.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

import attrs

from lacewingstair.rollouts.marks import RolloutKey


@attrs.frozen
class EvidenceCounter:
    """Totals of one version on one route within one stage of a rollout.

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
        Attempts counted for latency, and those slower than the reference.
    refused : int
        Attempts that the backend server refused as not run; not part of `calls`.
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
    """Totals of a subtree of one VM, or of a whole availability zone.

    It replaces the earlier ones of the same source.

    Parameters
    ----------
    source : str
        VM id; for the totals of a zone, its name, a space and the id of its root.
    is_zone_total : bool
        Whether it covers a zone.
    sequence : int
        Raised by the source with each report.
    counters : tuple of EvidenceCounter
        Totals.
    """

    source: str
    is_zone_total: bool
    sequence: int
    counters: tuple[EvidenceCounter, ...]


class EvidenceTransport(Protocol):
    """Carries evidence between VMs."""

    def send_evidence(self, report: EvidenceReport) -> None:
        """Send a subtree report to the parent in the first tree of the zone.

        A zone total goes to the relays of the other zones instead.
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
    """What a counter counts: a version on a route in one stage of a rollout."""

    key: RolloutKey
    route: str
    version: str
    stage: int


@attrs.define
class CallCounts:
    """Counts of one `CounterKey`, with the fields of `EvidenceCounter`."""

    calls: int = 0
    failures: int = 0
    timed: int = 0
    slow: int = 0
    refused: int = 0

    def grown_since(self, earlier: "CallCounts") -> "CallCounts":
        """Return the difference to an earlier tally of the same place."""
        return CallCounts(
            self.calls - earlier.calls,
            self.failures - earlier.failures,
            self.timed - earlier.timed,
            self.slow - earlier.slow,
            self.refused - earlier.refused,
        )

    def add(self, other: "CallCounts") -> None:
        """Add the counts of another tally."""
        self.calls += other.calls
        self.failures += other.failures
        self.timed += other.timed
        self.slow += other.slow
        self.refused += other.refused

    @property
    def offered(self) -> int:
        """Attempts, refused ones included."""
        return self.calls + self.refused

    @property
    def is_possible(self) -> bool:
        """Whether these can be counts, or a growth of counts."""
        pairs = ((self.failures, self.calls), (self.slow, self.timed))
        return self.refused >= 0 and all(0 <= part <= whole for part, whole in pairs)

    @property
    def is_empty(self) -> bool:
        """Whether nothing was counted."""
        return self == _EMPTY


_EMPTY = CallCounts()


@attrs.define
class _Source:
    name: str
    sequence: int
    tallies_by_place: dict[CounterKey, CallCounts]


class Growth:
    """Follows the counters of other VMs and yields what they have grown by."""

    def __init__(self) -> None:
        self._sources_by_slot: dict[str, _Source] = {}

    def take(self, report: EvidenceReport) -> dict[CounterKey, CallCounts]:
        """Return the growth since the report before; empty when that is not known.

        The root of a zone can change. Reports of its totals share one slot, in which a
        report of another root starts anew.
        """
        slot = zone_of(report) if report.is_zone_total else report.source
        held = self._sources_by_slot.get(slot)
        is_same = held is not None and held.name == report.source
        if is_same and report.sequence <= held.sequence:
            return {}
        if is_same and not report.is_zone_total:
            is_same = report.sequence == held.sequence + 1
        tallies = {_place(c): _tally(c) for c in report.counters}
        source = _Source(report.source, report.sequence, tallies)
        self._sources_by_slot[slot] = source
        if not is_same:
            return {}
        growth = {
            place: tally.grown_since(held.tallies_by_place.get(place, _EMPTY))
            for place, tally in tallies.items()
        }
        if not all(tally.is_possible for tally in growth.values()):
            return {}
        return {place: tally for place, tally in growth.items() if not tally.is_empty}

    def forget(self, source: str) -> None:
        """Start anew with the next report of a source."""
        self._sources_by_slot.pop(source, None)


def zone_of(report: EvidenceReport) -> str:
    """Return the zone of a report of a zone's totals."""
    return report.source.partition(" ")[0]


def zone_source(availability_zone: str, vm_id: str) -> str:
    """Return the source of a zone's totals; names contain no spaces."""
    return f"{availability_zone} {vm_id}"


def counters(
    tallies: Mapping[CounterKey, CallCounts], keys: Iterable[RolloutKey]
) -> tuple[EvidenceCounter, ...]:
    """Return the tallies of some rollouts in their form for a report."""
    wanted = set(keys)
    return tuple(
        EvidenceCounter(
            place.key,
            place.route,
            place.version,
            place.stage,
            tally.calls,
            tally.failures,
            tally.timed,
            tally.slow,
            tally.refused,
        )
        for place, tally in tallies.items()
        if place.key in wanted
    )


def _place(counter: EvidenceCounter) -> CounterKey:
    return CounterKey(counter.key, counter.route, counter.version, counter.stage)


def _tally(counter: EvidenceCounter) -> CallCounts:
    return CallCounts(
        counter.calls,
        counter.failures,
        counter.timed,
        counter.slow,
        counter.refused,
    )
