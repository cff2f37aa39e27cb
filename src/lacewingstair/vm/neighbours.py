"""Which connections this VM wants, worked out once a heartbeat."""

from lacewingstair.runtime import Clock
from lacewingstair.vm import messages
from lacewingstair.vm.directory import Directory, VmStatus
from lacewingstair.vm.discovery import Discovery
from lacewingstair.vm.links import Dial, LinkManager, Target
from lacewingstair.vm.log_region_link import LogRegionLink
from lacewingstair.vm.overlay import TREE_SALTS, Overlay
from lacewingstair.vm.peers import Peer, PeerTable
from lacewingstair.vm.reachability import Reachability

# This VM connects to a child that has not connected for this long.
CHILD_GRACE_SECONDS = 3.0
# Ticks in a row for which a connection is unwanted before it is closed.
UNWANTED_TICKS = 3


class Neighbours:
    """Opens the links of the overlay and those to missing children, closes others.

    Parameters
    ----------
    directory : Directory
        Gives the addresses.
    overlay : Overlay
        Gives parents, children and relays.
    peers : PeerTable
        Open links.
    links : LinkManager
        Opens connections.
    discovery : Discovery
        Gives contacts.
    reachability : Reachability
        Gives the zones that are lost.
    log_region_link : LogRegionLink
        Gives the link that a gateway opens to the log's region.
    clock : Clock
        Time.
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
        """Bring the connections in line with the overlay."""
        dials = self._overlay_dials()
        contacts = self._discovery.dials(is_alone=not len(self._peers))
        self._links.want([*dials, *self._missing_children(), *contacts])
        if is_joined and not contacts:
            self._close_unwanted(dials)

    def _overlay_dials(self) -> list[Dial]:
        dials: list[Dial] = []
        links = self._overlay.links(self._reachability.lost_zones())
        log_region_link = self._log_region_link.link_to_open()
        if log_region_link is not None:
            links.append(log_region_link)
        for link in links:
            targets = tuple(
                Target(vm_id, self._directory.get(vm_id).address)
                for vm_id in link.vm_ids
            )
            dials.append(Dial(link.key, targets, link.is_eager, link.keeps_mode))
        return dials

    def _missing_children(self) -> list[Dial]:
        now = self._clock.monotonic()
        missing_since: dict[str, float] = {}
        dials: list[Dial] = []
        for tree in range(len(TREE_SALTS)):
            for vm_id in self._overlay.children(tree):
                if self._peers.get(vm_id) is not None or vm_id in missing_since:
                    continue
                since = self._missing_since.get(vm_id, now)
                missing_since[vm_id] = since
                if now - since >= CHILD_GRACE_SECONDS:
                    dials.append(self._child_dial(vm_id, tree))
            dials.extend(
                self._child_dial(vm_id, tree)
                for vm_id in self._overlay.unwatched(tree, self._is_suspect)
                if self._peers.get(vm_id) is None and vm_id not in missing_since
            )
        self._missing_since = missing_since
        return dials

    def _is_suspect(self, vm_id: str) -> bool:
        record = self._directory.get(vm_id)
        return record is not None and record.status is VmStatus.SUSPECT

    def _child_dial(self, vm_id: str, tree: int) -> Dial:
        # A child that never connects would otherwise not be suspected by anyone.
        address = self._directory.get(vm_id).address
        is_eager = tree < self._overlay.eager_trees
        return Dial(f"child {vm_id}", (Target(vm_id, address),), is_eager)

    def _close_unwanted(self, dials: list[Dial]) -> None:
        wanted = {self._links.target_of(dial).vm_id for dial in dials}
        for tree in range(len(TREE_SALTS)):
            wanted.update(self._overlay.children(tree))
        has_wanted = any(peer.vm_id in wanted for peer in self._peers)
        ticks: dict[str, int] = {}
        for peer in self._peers:
            if not peer.is_opened_here or peer.vm_id in wanted:
                continue
            ticks[peer.vm_id] = self._unwanted_ticks.get(peer.vm_id, 0) + 1
            if ticks[peer.vm_id] >= UNWANTED_TICKS and (has_wanted or not wanted):
                _end(peer)
        self._unwanted_ticks = ticks


def _end(peer: Peer) -> None:
    peer.stream.send(messages.Goodbye("no longer a neighbour"))
    peer.stream.close()
