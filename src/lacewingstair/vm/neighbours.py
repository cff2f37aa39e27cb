"""Selects the links of this VM once per heartbeat interval."""

from lacewingstair.runtime import Clock
from lacewingstair.vm import messages
from lacewingstair.vm.directory import Directory, VmStatus
from lacewingstair.vm.discovery import Discovery
from lacewingstair.vm.links import LinkManager, Target, WantedLink
from lacewingstair.vm.log_region_link import LogRegionLink
from lacewingstair.vm.overlay import TREE_SALTS, Overlay
from lacewingstair.vm.peers import Peer, PeerTable
from lacewingstair.vm.reachability import Reachability

# A child normally opens the link; after this time the parent connects to it.
CHILD_GRACE_SECONDS = 3.0
# Consecutive ticks for which a link must be unwanted before it is closed.
UNWANTED_TICKS = 3


class Neighbours:
    """Opens the overlay links and links to missing children, and closes others.

    Parameters
    ----------
    directory : Directory
        Addresses and status of the VMs.
    overlay : Overlay
        Parents, children and relays of this VM.
    peers : PeerTable
        Open links.
    links : LinkManager
        Opens the wanted links.
    discovery : Discovery
        Addresses to contact outside the overlay.
    reachability : Reachability
        Zones that cannot be reached.
    log_region_link : LogRegionLink
        Link that a gateway opens to the log's region.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        directory: Directory,
        overlay: Overlay,
        peers: PeerTable,
        links: LinkManager,
        discovery: Discovery,
        reachability: Reachability,
        log_region_link: LogRegionLink,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._overlay = overlay
        self._peers = peers
        self._links = links
        self._discovery = discovery
        self._reachability = reachability
        self._log_region_link = log_region_link
        self._clock = clock
        self._missing_since: dict[str, float] = {}
        self._unwanted_ticks: dict[str, int] = {}

    def tick(self, is_joined: bool) -> None:
        """Open the wanted links and close those that are no longer wanted."""
        overlay_links = self._overlay_links()
        contacts = self._discovery.wanted_links(is_isolated=not len(self._peers))
        self._links.set_wanted_links(
            [*overlay_links, *self._missing_child_links(), *contacts]
        )
        if is_joined and not contacts:
            self._close_unwanted_links(overlay_links)

    def _overlay_links(self) -> list[WantedLink]:
        wanted_links: list[WantedLink] = []
        links = self._overlay.links(self._reachability.lost_zones())
        log_region_link = self._log_region_link.link_to_open()
        if log_region_link is not None:
            links.append(log_region_link)
        for link in links:
            targets = tuple(
                Target(vm_id, self._directory.get(vm_id).address)
                for vm_id in link.vm_ids
            )
            wanted_links.append(
                WantedLink(link.key, targets, link.is_eager, link.is_mode_set_by_peer)
            )
        return wanted_links

    def _missing_child_links(self) -> list[WantedLink]:
        now = self._clock.monotonic()
        missing_since: dict[str, float] = {}
        wanted_links: list[WantedLink] = []
        for tree in range(len(TREE_SALTS)):
            for vm_id in self._overlay.children(tree):
                if self._peers.get(vm_id) is not None or vm_id in missing_since:
                    continue
                since = self._missing_since.get(vm_id, now)
                missing_since[vm_id] = since
                if now - since >= CHILD_GRACE_SECONDS:
                    wanted_links.append(self._child_link(vm_id, tree))
            wanted_links.extend(
                self._child_link(vm_id, tree)
                for vm_id in self._overlay.orphans_to_monitor(tree, self._is_suspect)
                if self._peers.get(vm_id) is None and vm_id not in missing_since
            )
        self._missing_since = missing_since
        return wanted_links

    def _is_suspect(self, vm_id: str) -> bool:
        record = self._directory.get(vm_id)
        return record is not None and record.status is VmStatus.SUSPECT

    def _child_link(self, vm_id: str, tree: int) -> WantedLink:
        # Without this link, no VM would suspect a child that never connects.
        address = self._directory.get(vm_id).address
        is_eager = tree < self._overlay.eager_trees
        return WantedLink(f"child {vm_id}", (Target(vm_id, address),), is_eager)

    def _close_unwanted_links(self, overlay_links: list[WantedLink]) -> None:
        wanted_vm_ids = {self._links.target_of(link).vm_id for link in overlay_links}
        for tree in range(len(TREE_SALTS)):
            wanted_vm_ids.update(self._overlay.children(tree))
        has_wanted_link = any(peer.vm_id in wanted_vm_ids for peer in self._peers)
        ticks: dict[str, int] = {}
        for peer in self._peers:
            if not peer.is_outbound or peer.vm_id in wanted_vm_ids:
                continue
            ticks[peer.vm_id] = self._unwanted_ticks.get(peer.vm_id, 0) + 1
            if ticks[peer.vm_id] >= UNWANTED_TICKS and (
                has_wanted_link or not wanted_vm_ids
            ):
                _close_link(peer)
        self._unwanted_ticks = ticks


def _close_link(peer: Peer) -> None:
    peer.stream.send(messages.Goodbye("no longer a neighbour"))
    peer.stream.close()
