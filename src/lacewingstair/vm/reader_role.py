"""Whether this VM tails the log."""

import random

from lacewingstair.runtime import Clock
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.log_region_link import LogRegionLink
from lacewingstair.vm.overlay import Overlay
from lacewingstair.vm.peers import PeerTable
from lacewingstair.vm.reachability import Reachability

# Jittered, so that VMs that restart together without reaching a contact do not all
# start to read the log at once.
ALONE_SECONDS = (5.0, 15.0)
# Counted from the loss of the last link to the log's region, which takes 3 s of silence
# to be noticed. A new link past a VM that does not answer takes up to 3 s.
LOG_REGION_LOST_SECONDS = 4.0


class ReaderRole:
    """Ranks this VM among the VMs of its region that it can reach.

    The readers of a region are relays of their zones, so a candidate sees by its own
    links which zones it can reach. With a log region set, the gateways of that region
    read the log. Those of another region do so only while they have no link to it and
    get no tickets.

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
    log_region_link : LogRegionLink
        Tells whether this VM is a gateway and has a link to the log's region.
    store : StateStore
        The configuration; only its offset is used.
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
        log_region_link: LogRegionLink,
        store: StateStore,
        has_contacts: bool,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._overlay = overlay
        self._peers = peers
        self._reachability = reachability
        self._log_region_link = log_region_link
        self._store = store
        self._has_contacts = has_contacts
        self._clock = clock
        self._alone_seconds = rng.uniform(*ALONE_SECONDS)
        self._alone_since: float | None = clock.monotonic()
        self._supplied_at = clock.monotonic()
        self._next_offset = 0
        self._is_cut_off = False

    def tick(self) -> None:
        """Note whether this VM has links now."""
        now = self._clock.monotonic()
        if len(self._peers):
            self._alone_since = None
        elif self._alone_since is None:
            self._alone_since = now
        if self._log_region_link.is_configured:
            self._note_supply(now)

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
        if self._log_region_link.is_configured:
            is_supplier = self._log_region_link.is_in_log_region or self._is_cut_off
            return is_supplier and self._log_region_link.is_gateway()
        lost_zones = self._reachability.lost_zones()
        return self._own.vm_id in self._overlay.readers(self._own.region, lost_zones)

    def _note_supply(self, now: float) -> None:
        next_offset = self._store.state.next_offset
        is_news = next_offset != self._next_offset
        self._next_offset = next_offset
        if self._log_region_link.is_linked() or not self._log_region_link.is_gateway():
            self._supplied_at = now
            self._is_cut_off = False
        elif is_news and not self._is_cut_off:
            # Another region that has a link to the log's region passes tickets on.
            self._supplied_at = now
        elif now - self._supplied_at >= LOG_REGION_LOST_SECONDS:
            self._is_cut_off = True
