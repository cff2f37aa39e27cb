"""Whether this VM tails the log."""

import random

from lacewingstair.directory import VmRecord
from lacewingstair.overlay import Overlay
from lacewingstair.runtime import Clock
from lacewingstair.vm.peers import PeerTable

UNREACHABLE_SECONDS = 10.0
# Jittered, so that VMs that restart together without reaching a contact do not all
# start to read the log at once.
ALONE_SECONDS = (5.0, 15.0)


class ReaderRole:
    """Ranks this VM among the VMs of its region that it can reach.

    The readers of a region are relays of their zones, and the relays of a region's
    zones are linked to each other, so a candidate sees by its own links which zones it
    can reach.

    Parameters
    ----------
    own : VmRecord
        This VM; only its id and place are used.
    overlay : Overlay
        Ranks the VMs.
    peers : PeerTable
        Open links.
    has_contacts : bool
        Whether there are other VMs to wait for at the start.
    clock, rng
        Time and randomness.
    """

    def __init__(
        self,
        own: VmRecord,
        overlay: Overlay,
        peers: PeerTable,
        has_contacts: bool,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._overlay = overlay
        self._peers = peers
        self._has_contacts = has_contacts
        self._clock = clock
        self._alone_seconds = rng.uniform(*ALONE_SECONDS)
        self._alone_since: float | None = clock.monotonic()
        self._relay_since: float | None = None
        self._linked_at_by_zone: dict[str, float] = {}

    def tick(self) -> None:
        """Note which zones are linked now."""
        now = self._clock.monotonic()
        if len(self._peers):
            self._alone_since = None
        elif self._alone_since is None:
            self._alone_since = now
        if self._overlay.relay_rank() is None:
            self._relay_since = None
        elif self._relay_since is None:
            self._relay_since = now
        for peer in self._peers:
            if peer.region == self._own.region:
                self._linked_at_by_zone[peer.availability_zone] = now

    def on_contact(self) -> None:
        """Wait for a mesh that answers, though it has no room yet."""
        if self._alone_since is not None:
            self._alone_since = self._clock.monotonic()

    def is_reader(self, is_joined: bool) -> bool:
        """Return whether this VM is to tail the log now."""
        now = self._clock.monotonic()
        if self._alone_since is not None:
            waited = now - self._alone_since
            return not self._has_contacts or waited >= self._alone_seconds
        if not is_joined or self._relay_since is None:
            return False
        zones = [z for z in self._overlay.zones() if self._is_reachable(z, now)]
        return self._own.vm_id in self._overlay.readers(self._own.region, zones)

    def _is_reachable(self, availability_zone: str, now: float) -> bool:
        if availability_zone == self._own.availability_zone:
            return True
        linked_at = self._linked_at_by_zone.get(availability_zone, self._relay_since)
        return now - linked_at < UNREACHABLE_SECONDS
