"""Links from a region's gateways to the region that reads the log for all regions."""

from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.overlay import Link, Overlay
from lacewingstair.vm.peers import PeerTable
from lacewingstair.vm.reachability import Reachability


class LogRegionLink:
    """Determines which link to the log region this VM maintains.

    Parameters
    ----------
    own : VmRecord
        This VM; only its id and region are used.
    log_region : str
        Region that reads the log; empty if every region reads it.
    overlay : Overlay
        Source of the gateways and relays of the regions.
    peers : PeerTable
        Open links.
    reachability : Reachability
        Reports the zones that this VM cannot reach.

    Attributes
    ----------
    is_configured : bool
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
        self.is_configured = bool(log_region)
        self.is_in_log_region = own.region == log_region

    def is_gateway(self) -> bool:
        """Return whether this VM is a gateway of its region.

        The gateways read the log whenever their region has to read it.
        """
        if not self._reachability.is_relay:
            return False
        lost_zones = self._reachability.lost_zones()
        return self._own.vm_id in self._overlay.gateways(lost_zones)

    def is_linked(self) -> bool:
        """Return whether this VM has a link to the log region."""
        return any(peer.region == self._log_region for peer in self._peers)

    def link_to_open(self) -> Link | None:
        """Return the link to the log region that this VM has to open, if any.

        If a gateway does not respond for a while, the relays of the log region link to
        another VM of this region instead and stay with it. A gateway without a link of
        its own would then consider its region partitioned and read the log.
        """
        if not self.is_configured or self._own.region <= self._log_region:
            # Of two regions, the one whose name sorts first opens the links.
            return None
        if not self.is_gateway() or self._has_accepted_link():
            return None
        relay_ids = tuple(self._overlay.region_relays(self._log_region))
        return _make_link(relay_ids) if relay_ids else None

    def _has_accepted_link(self) -> bool:
        return any(
            peer.region == self._log_region and not peer.is_outbound
            for peer in self._peers
        )


def _make_link(relay_ids: tuple[str, ...]) -> Link:
    # The other VM decides on the mode because it may need an eager link to this one. If
    # both VMs set the mode, they would switch it back and forth.
    return Link("log region", relay_ids, is_eager=False, is_mode_set_by_peer=True)
