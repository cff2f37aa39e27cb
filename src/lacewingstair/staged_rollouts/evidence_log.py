"""Counts of all gates during one rollout, and the verdict that they allow."""

from collections.abc import Callable

import attrs

from lacewingstair.staged_rollouts.comparison import (
    Slice,
    Verdict,
    VersionComparison,
)
from lacewingstair.staged_rollouts.evidence import (
    KEPT_SLICES,
    CountsByRoute,
    GateEvidence,
    RouteCounts,
    sum_of,
)


@attrs.frozen
class _GateKey:
    """One version at one process of a VM; a restarted process counts from zero."""

    vm_id: str
    incarnation: int
    version: str


class EvidenceLog:
    """Evidence of all gates, by slices of time.

    Parameters
    ----------
    target_version : str
        Version that is rolled out.
    is_trusted : callable
        Returns whether a version other than the target may be compared with.
    """

    def __init__(
        self, target_version: str, is_trusted: Callable[[str], bool] = lambda _: True
    ) -> None:
        self._target_version = target_version
        self._is_trusted = is_trusted
        self._comparison = VersionComparison()
        self._open: dict[int, dict[_GateKey, dict[str, RouteCounts]]] = {}
        self._first_open = 0
        self._closed_by_is_new = {False: RouteCounts(), True: RouteCounts()}
        self._concentrated = range(0)
        self._version_by_vm_id: dict[str, str] = {}

    @property
    def new_calls(self) -> int:
        """Calls of the new version that have been counted."""
        opened = (
            counts.calls
            for gates in self._open.values()
            for key, by_route in gates.items()
            if key.version == self._target_version
            for counts in by_route.values()
        )
        return self._closed_by_is_new[True].calls + sum(opened)

    @property
    def calls(self) -> int:
        """Calls of all versions that have been counted."""
        opened = (
            counts.calls
            for gates in self._open.values()
            for by_route in gates.values()
            for counts in by_route.values()
        )
        return sum(total.calls for total in self._closed_by_is_new.values()) + sum(
            opened
        )

    @property
    def new_vm_ids(self) -> list[str]:
        """VMs whose gate last ran calls at the new version."""
        target = self._target_version
        return [
            vm for vm, version in self._version_by_vm_id.items() if version == target
        ]

    def apply(self, evidence: GateEvidence) -> None:
        """Replace the counts of a gate by newer ones, but for closed slices."""
        key = _GateKey(evidence.vm_id, evidence.incarnation, evidence.version)
        self._version_by_vm_id[evidence.vm_id] = evidence.version
        for index, by_route in evidence.counts_by_route_by_slice.items():
            if index < self._first_open:
                continue
            held = self._open.setdefault(index, {}).setdefault(key, {})
            for route, counts in by_route.items():
                before = held.get(route)
                if before is None or before.observations <= counts.observations:
                    held[route] = counts

    def concentrate(self, first_slice: int, last_slice: int) -> None:
        """Note that within these slices one gate gets all calls of the new version."""
        self._concentrated = range(first_slice, last_slice + 1)

    def evaluate(self, slice_index: int) -> Verdict:
        """Return the verdict, given the current slice."""
        for index in sorted(self._open):
            if index > slice_index - KEPT_SLICES:
                break
            found = self._slice(index, self._open.pop(index))
            self._comparison.close_slice(found)
            self._count_closed(found)
        self._first_open = max(self._first_open, slice_index - KEPT_SLICES + 1)
        open_slices = [self._slice(i, self._open[i]) for i in sorted(self._open)]
        return self._comparison.evaluate(open_slices)

    def total(self, *, is_new: bool) -> RouteCounts:
        """Return the counts of a version over all slices and routes."""
        total = sum_of([self._closed_by_is_new[is_new]])
        for index, gates in self._open.items():
            found = self._slice(index, gates)
            by_route = found.new_by_route if is_new else found.old_by_route
            total.add(sum_of(by_route.values()))
        return total

    def _count_closed(self, found: Slice) -> None:
        self._closed_by_is_new[True].add(sum_of(found.new_by_route.values()))
        self._closed_by_is_new[False].add(sum_of(found.old_by_route.values()))

    def _slice(
        self, index: int, gates: dict[_GateKey, dict[str, RouteCounts]]
    ) -> Slice:
        new: dict[str, RouteCounts] = {}
        old: dict[str, RouteCounts] = {}
        for key, by_route in gates.items():
            if key.version == self._target_version:
                _add_by_route(new, by_route)
            elif self._is_trusted(key.version):
                _add_by_route(old, by_route)
        return Slice(new, old, index in self._concentrated)


def _add_by_route(sums: dict[str, RouteCounts], by_route: CountsByRoute) -> None:
    for route, counts in by_route.items():
        sums.setdefault(route, RouteCounts()).add(counts)
