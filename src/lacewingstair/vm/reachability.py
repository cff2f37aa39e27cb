"""Tracks which zones of its region a relay can reach over its own links."""

from lacewingstair.runtime import Clock
from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.overlay import Overlay
from lacewingstair.vm.peers import PeerTable

UNREACHABLE_SECONDS = 10.0


class Reachability:
    """Records when this VM last had a link to each zone of its region.

    The relays of the zones of a region form a full mesh. The records of a zone that has
    failed or is partitioned stay in the directory, so only the links show the loss.

    Parameters
    ----------
    own : VmRecord
        This VM; only its region and zone are used.
    overlay : Overlay
        Zones of the region and relay rank of this VM.
    peers : PeerTable
        Open links.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, own: VmRecord, overlay: Overlay, peers: PeerTable, clock: Clock
    ) -> None:
        self._own = own
        self._overlay = overlay
        self._peers = peers
        self._clock = clock
        self._relay_since: float | None = None
        self._linked_at_by_zone: dict[str, float] = {}

    @property
    def is_relay(self) -> bool:
        """Whether this VM was a relay of its zone at the last tick."""
        return self._relay_since is not None

    def tick(self) -> None:
        """Update the relay role and the times of the linked zones."""
        now = self._clock.monotonic()
        if self._overlay.relay_rank() is None:
            self._relay_since = None
            self._linked_at_by_zone.clear()
            return
        if self._relay_since is None:
            self._relay_since = now
        for peer in self._peers:
            if peer.region == self._own.region:
                self._linked_at_by_zone[peer.availability_zone] = now

    def lost_zones(self) -> frozenset[str]:
        """Return the zones of the region without a link for `UNREACHABLE_SECONDS`."""
        if self._relay_since is None:
            return frozenset()
        cutoff = self._clock.monotonic() - UNREACHABLE_SECONDS
        zones = self._overlay.zones_of(self._own.region)
        return frozenset(
            zone
            for zone in zones
            if zone != self._own.availability_zone
            and self._linked_at_by_zone.get(zone, self._relay_since) <= cutoff
        )
