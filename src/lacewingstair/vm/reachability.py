"""Which zones of its region a relay can reach, seen by its own links."""

from lacewingstair.runtime import Clock
from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.overlay import Overlay
from lacewingstair.vm.peers import PeerTable

UNREACHABLE_SECONDS = 10.0


class Reachability:
    """Notes when each zone of the region was last linked to this VM.

    The relays of a region's zones are linked to each other pair by pair. A zone that is
    lost or cut off keeps its records in the directory, so the links are the only sign.

    Parameters
    ----------
    own : VmRecord
        This VM; only its place is used.
    overlay : Overlay
        Gives the zones.
    peers : PeerTable
        Open links.
    clock : Clock
        Time.
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
        """Note which zones are linked now."""
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
        """Return the zones of the region that have not been reached for a while."""
        if self._relay_since is None:
            return frozenset()
        deadline = self._clock.monotonic() - UNREACHABLE_SECONDS
        zones = self._overlay.zones_of(self._own.region)
        return frozenset(
            zone
            for zone in zones
            if zone != self._own.availability_zone
            and self._linked_at_by_zone.get(zone, self._relay_since) <= deadline
        )
