"""Call totals of the subtree of one VM, and the reports made from them."""

from collections.abc import Collection, Mapping

import attrs

from lacewingstair.rollouts.evidence import (
    CallCounts,
    CounterDeltaTracker,
    CounterKey,
    EvidenceReport,
    EvidenceTransport,
    counters,
    zone_of_total,
    zone_total_source,
)
from lacewingstair.rollouts.marks import RolloutKey
from lacewingstair.rollouts.view import RolloutView

# A counter takes about 18 B in a report. The root of a zone receives reports from 8
# children and 8 other zones and sends over 5 links; at this rate that is 9 kB/s of the
# 13 kB/s that a VM may use for control traffic, however many rollouts are active.
COUNTERS_PER_STEP = 12


@attrs.frozen
class ZoneDelta:
    """Increments of one counter in an availability zone."""

    availability_zone: str
    counter_key: CounterKey
    counts: CallCounts


class EvidenceTotals:
    """Sums the counts of this VM and of its children, and reports the totals.

    Parameters
    ----------
    vm_id : str
        Id of this VM.
    view : RolloutView
        Active configuration and marks in its zone.
    transport : EvidenceTransport
        Sends evidence to the parent and between zones.
    first_sequence : int
        Start of the sequence numbers, above those of an earlier process of this VM.
    """

    def __init__(
        self,
        vm_id: str,
        view: RolloutView,
        transport: EvidenceTransport,
        first_sequence: int,
    ) -> None:
        self._vm_id = vm_id
        self._view = view
        self._transport = transport
        self._sequence = first_sequence
        self._totals_by_key: dict[CounterKey, CallCounts] = {}
        self._pending_deltas: list[ZoneDelta] = []
        self._child_tracker = CounterDeltaTracker()
        self._zone_tracker = CounterDeltaTracker()
        self._last_sent: dict[bool, tuple[object, ...] | None] = {}
        self._steps_to_skip = 0
        transport.on_evidence(self._on_evidence)
        transport.on_child_lost(self._child_tracker.forget)

    def add(self, counter_key: CounterKey, counts: CallCounts) -> None:
        """Add counts of this VM or of a child; discard those of unknown rollouts."""
        if not self._view.is_configured(counter_key.key):
            return
        self._totals_by_key.setdefault(counter_key, CallCounts()).add(counts)
        self._pending_deltas.append(
            ZoneDelta(self._view.availability_zone, counter_key, counts)
        )

    def drain_deltas(self) -> list[ZoneDelta]:
        """Return the increments received since the previous call, in arrival order."""
        deltas, self._pending_deltas = self._pending_deltas, []
        return deltas

    def drop_removed_rollouts(self) -> None:
        """Drop the totals of rollouts that are not in the configuration."""
        for counter_key in list(self._totals_by_key):
            if not self._view.is_configured(counter_key.key):
                del self._totals_by_key[counter_key]

    def send(
        self,
        active: Collection[RolloutKey],
        stages: Mapping[tuple[RolloutKey, str], int],
    ) -> None:
        """Send the totals of the active rollouts if they have changed.

        Called at each step. After a long report the following steps are skipped, so
        that the average rate stays within `COUNTERS_PER_STEP`.

        Parameters
        ----------
        active : collection of RolloutKey
            Rollouts to report.
        stages : mapping
            Current stage by rollout and route.
        """
        if not active:
            self._last_sent.clear()
            return
        if self._steps_to_skip > 0:
            self._steps_to_skip -= 1
            return
        is_root = self._transport.is_zone_root()
        # Counts of earlier stages no longer change; those of the previous stage are
        # kept for calls that end late.
        recent = {
            counter_key: counts
            for counter_key, counts in self._totals_by_key.items()
            if counter_key.stage
            >= stages.get((counter_key.key, counter_key.route), 0) - 1
        }
        report_counters = counters(recent, active)
        if self._last_sent.get(is_root) == report_counters:
            return
        self._last_sent = {is_root: report_counters}
        self._steps_to_skip = (len(report_counters) - 1) // COUNTERS_PER_STEP
        self._sequence += 1
        source = self._vm_id
        if is_root:
            source = zone_total_source(self._view.availability_zone, self._vm_id)
        self._transport.send_evidence(
            EvidenceReport(source, is_root, self._sequence, report_counters)
        )

    def _on_evidence(self, report: EvidenceReport) -> None:
        if not report.is_zone_total:
            for counter_key, counts in self._child_tracker.observe(report).items():
                self.add(counter_key, counts)
            return
        zone = zone_of_total(report)
        if zone == self._view.availability_zone:
            return
        deltas = self._zone_tracker.observe(report)
        self._pending_deltas.extend(
            ZoneDelta(zone, counter_key, counts)
            for counter_key, counts in deltas.items()
            if self._view.is_configured(counter_key.key)
        )
