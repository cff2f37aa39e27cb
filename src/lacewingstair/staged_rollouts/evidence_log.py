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


@attrs.define
class _OpenSlice:
    """Counts of a slice that may still change, and their sums by version."""

    counts_by_gate_and_route: dict[tuple[_GateKey, str], RouteCounts] = attrs.field(
        factory=dict
    )
    new_by_route: dict[str, RouteCounts] = attrs.field(factory=dict)
    old_by_route: dict[str, RouteCounts] = attrs.field(factory=dict)

    def replace(
        self, key: _GateKey, route: str, counts: RouteCounts, *, is_new: bool
    ) -> None:
        """Replace the counts of a gate and a route by newer ones."""
        before = self.counts_by_gate_and_route.get((key, route))
        if before is not None and before.observations > counts.observations:
            return
        self.counts_by_gate_and_route[key, route] = counts
        sums = self.new_by_route if is_new else self.old_by_route
        total = sums.setdefault(route, RouteCounts())
        if before is not None:
            total.subtract(before)
        total.add(counts)


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
        self._open: dict[int, _OpenSlice] = {}
        self._first_open = 0
        self._closed_by_is_new = {False: RouteCounts(), True: RouteCounts()}
        self._concentrated = range(0)
        self._version_by_vm_id: dict[str, str] = {}

    @property
    def new_calls(self) -> int:
        """Calls of the new version that have been counted."""
        return self._calls(is_new=True)

    @property
    def calls(self) -> int:
        """Calls of both versions that have been counted."""
        return self._calls(is_new=True) + self._calls(is_new=False)

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
        is_new = evidence.version == self._target_version
        if not is_new and not self._is_trusted(evidence.version):
            return
        for index, by_route in evidence.counts_by_route_by_slice.items():
            if index < self._first_open:
                continue
            found = self._open.setdefault(index, _OpenSlice())
            for route, counts in by_route.items():
                found.replace(key, route, counts, is_new=is_new)

    def concentrate(self, first_slice: int, last_slice: int) -> None:
        """Note that within these slices one gate gets all calls of the new version."""
        self._concentrated = range(first_slice, last_slice + 1)

    def evaluate(self, slice_index: int) -> Verdict:
        """Return the verdict, given the current slice."""
        for index in sorted(self._open):
            if index > slice_index - KEPT_SLICES:
                break
            found = self._slice(index)
            del self._open[index]
            self._comparison.close_slice(found)
            self._count_closed(found)
        self._first_open = max(self._first_open, slice_index - KEPT_SLICES + 1)
        return self._comparison.evaluate([self._slice(i) for i in sorted(self._open)])

    def total(self, *, is_new: bool) -> RouteCounts:
        """Return the counts of a version over all slices and routes."""
        total = sum_of([self._closed_by_is_new[is_new]])
        for found in self._open.values():
            by_route = found.new_by_route if is_new else found.old_by_route
            total.add(sum_of(by_route.values()))
        return total

    def _calls(self, *, is_new: bool) -> int:
        calls = self._closed_by_is_new[is_new].calls
        for found in self._open.values():
            by_route = found.new_by_route if is_new else found.old_by_route
            calls += sum(counts.calls for counts in by_route.values())
        return calls

    def _count_closed(self, found: Slice) -> None:
        self._closed_by_is_new[True].add(sum_of(found.new_by_route.values()))
        self._closed_by_is_new[False].add(sum_of(found.old_by_route.values()))

    def _slice(self, index: int) -> Slice:
        found = self._open[index]
        is_concentrated = index in self._concentrated
        return Slice(found.new_by_route, found.old_by_route, is_concentrated)
