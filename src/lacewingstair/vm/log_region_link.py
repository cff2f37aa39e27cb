"""Links of a region's gateways to the region that reads the log for all others."""

from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.overlay import Link, Overlay
from lacewingstair.vm.peers import PeerTable
from lacewingstair.vm.reachability import Reachability


class LogRegionLink:
    """Tells what this VM has to do for the way of tickets into its region.

    Parameters
    ----------
    own : VmRecord
        This VM; only its id and place are used.
    log_region : str
        Region that reads the log; empty if every region does.
    overlay : Overlay
        Gives the gateways of the region.
    peers : PeerTable
        Open links.
    reachability : Reachability
        Tells which zones are lost.

    Attributes
    ----------
    is_set : bool
        Whether one region reads the log for the others.
    is_in_log_region : bool
        Whether this VM is in that region.
    """

    def __init__(
        self,
        own: VmRecord,
        log_region: str,
        overlay: Overlay,
        peers: PeerTable,
        reachability: Reachability,
    ) -> None:
        self._own = own
        self._log_region = log_region
        self._overlay = overlay
        self._peers = peers
        self._reachability = reachability
        self.is_set = bool(log_region)
        self.is_in_log_region = own.region == log_region

    def is_gateway(self) -> bool:
        """Return whether this VM reads the log when its region has to."""
        if not self._reachability.is_relay:
            return False
        lost_zones = self._reachability.lost_zones()
        return self._own.vm_id in self._overlay.gateways(lost_zones)

    def is_linked(self) -> bool:
        """Return whether this VM has a link to the log's region."""
        return any(peer.region == self._log_region for peer in self._peers)

    def link_to_open(self) -> Link | None:
        """Return the link that this VM has to open to the log's region, if any.

        The relays of the log's region settle on another VM of this region when a
        gateway did not answer for a while. Without a link of its own the gateway would
        take its region for cut off and read the log.
        """
        if not self.is_set or self._own.region <= self._log_region:
            # The region whose name sorts first opens the links to the other one.
            return None
        if not self.is_gateway() or self._has_accepted_one():
            return None
        targets = tuple(self._overlay.region_relays(self._log_region))
        return _link_to(targets) if targets else None

    def _has_accepted_one(self) -> bool:
        return any(
            peer.region == self._log_region and not peer.is_opened_here
            for peer in self._peers
        )


def _link_to(targets: tuple[str, ...]) -> Link:
    # The other VM can have a use for an eager link to this one; two VMs that both set
    # the mode would change it back and forth.
    return Link("log region", targets, is_eager=False, keeps_mode=True)
