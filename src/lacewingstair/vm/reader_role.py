"""Decision whether this VM tails the log."""

import random

from lacewingstair.runtime import Clock
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.log_region_link import LogRegionLink
from lacewingstair.vm.overlay import Overlay
from lacewingstair.vm.peers import PeerTable
from lacewingstair.vm.reachability import Reachability

# Range of the random delay before a VM without links reads the log. The jitter keeps
# VMs that restart together without reaching a contact from all reading at once.
ISOLATED_WAIT_SECONDS = (5.0, 15.0)
# Counted from the loss of the last link to the log region, which is detected after 3 s
# of silence. Opening a new link takes up to 3 s if the first VM tried does not respond.
PARTITION_TIMEOUT_SECONDS = 4.0


class ReaderRole:
    """Decides whether this VM is one of the log readers of its region.

    The readers are chosen by rank among the VMs in zones that this VM can reach. They
    are relays of their zones, so a candidate can tell from its own links which zones
    are reachable. If a log region is configured, the gateways of that region read the
    log. Gateways of another region read it only while they have no link to the log
    region and receive no tickets.

    Parameters
    ----------
    own : VmRecord
        This VM; only its id and region are used.
    overlay : Overlay
        Source of the ranked readers of the region.
    peers : PeerTable
        Open links.
    reachability : Reachability
        Reports the zones that this VM cannot reach.
    log_region_link : LogRegionLink
        Reports whether this VM is a gateway and has a link to the log region.
    store : StateStore
        State of the configuration; only its offset is used.
    has_contacts : bool
        Whether contacts are configured, so that a VM without links waits for them.
    clock, rng
        Time source and random number generator.
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
        self._isolated_wait_seconds = rng.uniform(*ISOLATED_WAIT_SECONDS)
        self._isolated_since: float | None = clock.monotonic()
        self._last_supply_at = clock.monotonic()
        self._last_offset = 0
        self._is_partitioned = False

    def tick(self) -> None:
        """Update how long this VM has been without links or without tickets."""
        now = self._clock.monotonic()
        if len(self._peers):
            self._isolated_since = None
        elif self._isolated_since is None:
            self._isolated_since = now
        if self._log_region_link.is_configured:
            self._update_partition(now)

    def on_contact(self) -> None:
        """Restart the wait for links after a VM has refused a connection."""
        if self._isolated_since is not None:
            self._isolated_since = self._clock.monotonic()

    def is_reader(self, is_joined: bool) -> bool:
        """Return whether this VM should tail the log now."""
        now = self._clock.monotonic()
        if self._isolated_since is not None:
            isolated_seconds = now - self._isolated_since
            return (
                not self._has_contacts
                or isolated_seconds >= self._isolated_wait_seconds
            )
        if not is_joined or not self._reachability.is_relay:
            return False
        if self._log_region_link.is_configured:
            is_reading_region = (
                self._log_region_link.is_in_log_region or self._is_partitioned
            )
            return is_reading_region and self._log_region_link.is_gateway()
        lost_zones = self._reachability.lost_zones()
        return self._own.vm_id in self._overlay.readers(self._own.region, lost_zones)

    def _update_partition(self, now: float) -> None:
        next_offset = self._store.state.next_offset
        has_new_tickets = next_offset != self._last_offset
        self._last_offset = next_offset
        if self._log_region_link.is_linked() or not self._log_region_link.is_gateway():
            self._last_supply_at = now
            self._is_partitioned = False
        elif has_new_tickets and not self._is_partitioned:
            # New tickets still arrive through another region linked to the log region.
            self._last_supply_at = now
        elif now - self._last_supply_at >= PARTITION_TIMEOUT_SECONDS:
            self._is_partitioned = True
