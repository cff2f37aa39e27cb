"""Totals of the calls in the subtree of one VM, and the reports made of them."""

from collections.abc import Collection, Mapping

import attrs

from lacewingstair.rollouts.evidence import (
    CallCounts,
    CounterKey,
    EvidenceReport,
    EvidenceTransport,
    Growth,
    counters,
    zone_of,
    zone_source,
)
from lacewingstair.rollouts.marks import RolloutKey
from lacewingstair.rollouts.view import RolloutView

# A counter takes about 18 B in a report. The root of a zone hears 8 children and 8
# other zones and sends to 5 links; at this pace that is 9 kB/s of the 13 kB/s that a VM
# may use for control, however many rollouts are active.
COUNTERS_PER_STEP = 12


@attrs.frozen
class ZoneGrowth:
    """What the counts of one place have grown by in an availability zone."""

    availability_zone: str
    place: CounterKey
    tally: CallCounts


class EvidenceTotals:
    """Adds up the counts of this VM and of its children, and reports the sums.

    Parameters
    ----------
    vm_id : str
        This VM.
    view : RolloutView
        Configuration and marks in force in its zone.
    transport : EvidenceTransport
        Carries evidence to the parent and between zones.
    first_sequence : int
        Above the numbers of the reports of an earlier process of the same VM.
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
        self._totals_by_place: dict[CounterKey, CallCounts] = {}
        self._fresh: list[ZoneGrowth] = []
        self._growth = Growth()
        self._zone_growth = Growth()
        self._last_sent: dict[bool, tuple[object, ...] | None] = {}
        self._steps_to_wait = 0
        transport.on_evidence(self._on_evidence)
        transport.on_child_lost(self._growth.forget)

    def add(self, place: CounterKey, tally: CallCounts) -> None:
        """Add counts of this VM or of a child; drop those of unknown rollouts."""
        if not self._view.is_known(place.key):
            return
        self._totals_by_place.setdefault(place, CallCounts()).add(tally)
        self._fresh.append(ZoneGrowth(self._view.availability_zone, place, tally))

    def take_fresh(self) -> list[ZoneGrowth]:
        """Return what has come in since the call before, in the order of arrival."""
        fresh, self._fresh = self._fresh, []
        return fresh

    def drop_unknown(self) -> None:
        """Drop the totals of rollouts that the configuration does not hold."""
        for place in list(self._totals_by_place):
            if not self._view.is_known(place.key):
                del self._totals_by_place[place]

    def send(
        self,
        active: Collection[RolloutKey],
        stages: Mapping[tuple[RolloutKey, str], int],
    ) -> None:
        """Send the totals of the active rollouts if they have changed.

        Called at each step; steps after a long report are passed over, so that its
        bytes stay within the pace of `COUNTERS_PER_STEP`.

        Parameters
        ----------
        active : collection of RolloutKey
            Rollouts to report.
        stages : mapping
            Present stage by rollout and route.
        """
        if not active:
            self._last_sent.clear()
            return
        if self._steps_to_wait > 0:
            self._steps_to_wait -= 1
            return
        is_root = self._transport.is_zone_root()
        # Earlier stages change no more; the one before the present is kept for calls
        # that end late.
        recent = {
            place: tally
            for place, tally in self._totals_by_place.items()
            if place.stage >= stages.get((place.key, place.route), 0) - 1
        }
        held = counters(recent, active)
        if self._last_sent.get(is_root) == held:
            return
        self._last_sent = {is_root: held}
        self._steps_to_wait = (len(held) - 1) // COUNTERS_PER_STEP
        self._sequence += 1
        source = self._vm_id
        if is_root:
            source = zone_source(self._view.availability_zone, self._vm_id)
        self._transport.send_evidence(
            EvidenceReport(source, is_root, self._sequence, held)
        )

    def _on_evidence(self, report: EvidenceReport) -> None:
        if not report.is_zone_total:
            for place, tally in self._growth.take(report).items():
                self.add(place, tally)
            return
        zone = zone_of(report)
        if zone == self._view.availability_zone:
            return
        growth = self._zone_growth.take(report)
        self._fresh.extend(
            ZoneGrowth(zone, place, tally)
            for place, tally in growth.items()
            if self._view.is_known(place.key)
        )
