"""Whether this VM tails the log."""

import random

from lacewingstair.directory import VmRecord
from lacewingstair.overlay import Overlay
from lacewingstair.runtime import Clock
from lacewingstair.vm.peers import PeerTable
from lacewingstair.vm.reachability import Reachability

# Jittered, so that VMs that restart together without reaching a contact do not all
# start to read the log at once.
ALONE_SECONDS = (5.0, 15.0)


class ReaderRole:
    """Ranks this VM among the VMs of its region that it can reach.

    The readers of a region are relays of their zones, so a candidate sees by its own
    links which zones it can reach.

    Parameters
    ----------
    own : VmRecord
        This VM; only its id and place are used.
    overlay : Overlay
        Ranks the VMs.
    peers : PeerTable
        Open links.
    reachability : Reachability
        Tells which zones are lost.
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
        reachability: Reachability,
        has_contacts: bool,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._overlay = overlay
        self._peers = peers
        self._reachability = reachability
        self._has_contacts = has_contacts
        self._clock = clock
        self._alone_seconds = rng.uniform(*ALONE_SECONDS)
        self._alone_since: float | None = clock.monotonic()

    def tick(self) -> None:
        """Note whether this VM has links now."""
        now = self._clock.monotonic()
        if len(self._peers):
            self._alone_since = None
        elif self._alone_since is None:
            self._alone_since = now

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
        if not is_joined or not self._reachability.is_relay:
            return False
        lost_zones = self._reachability.lost_zones()
        return self._own.vm_id in self._overlay.readers(self._own.region, lost_zones)
