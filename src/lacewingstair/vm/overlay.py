"""Overlay: neighbours, relays and log readers, worked out from the directory.

Every VM derives its own links from its own directory; there is no election. The order
of the VMs is kept sorted and changes only with the set of live VMs, so that a change
costs two hashes and two insertions and a heartbeat costs nothing.
"""

import bisect
import hashlib
from collections.abc import Callable, Iterable

import attrs

from lacewingstair.vm.directory import Directory, VmRecord

TREE_ARITY = 8
TREE_SALTS = ("tree-a", "tree-b")
RELAYS_PER_ZONE = 2
READERS_PER_REGION = 2
# Zones of another region whose relays are tried for a link between regions.
ZONES_TRIED = 2


@attrs.frozen
class Link:
    """A link that this VM keeps open.

    Parameters
    ----------
    key : str
        Tells this VM's links apart.
    vm_ids : tuple of str
        VMs to try in turn; a link between zones has the zone's relays.
    is_eager : bool
        Whether updates are sent at once. A lazy link carries heartbeats and pulls when
        the digests still differ after one interval.
    is_mode_set_by_peer : bool
        Whether the other VM decides on the mode once the link is open.
    """

    key: str
    vm_ids: tuple[str, ...]
    is_eager: bool = True
    is_mode_set_by_peer: bool = False


def rank_key(vm_id: str, salt: str) -> bytes:
    """Return the hash by which VMs are ordered under a salt."""
    text = f"{salt}/{vm_id}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(text, digest_size=8).digest()


def ranked(records: Iterable[VmRecord], salt: str) -> list[VmRecord]:
    """Return the records in the order of their hash under a salt."""
    return sorted(records, key=lambda record: rank_key(record.vm_id, salt))


def zone_relays(live: Iterable[VmRecord], availability_zone: str) -> list[VmRecord]:
    """Return the relays of a zone, first one first."""
    in_zone = [r for r in live if r.availability_zone == availability_zone]
    return ranked(in_zone, TREE_SALTS[0])[:RELAYS_PER_ZONE]


def region_readers(live: Iterable[VmRecord], region: str) -> list[VmRecord]:
    """Return the log readers of a region, first one first."""
    in_region = [r for r in live if r.region == region]
    return ranked(in_region, TREE_SALTS[0])[:READERS_PER_REGION]


class _Order:
    """VM ids sorted by their hash under one salt."""

    def __init__(self, salt: str) -> None:
        self._salt = salt
        self._keyed: list[tuple[bytes, str]] = []

    def __len__(self) -> int:
        return len(self._keyed)

    def add(self, vm_id: str) -> None:
        bisect.insort(self._keyed, (rank_key(vm_id, self._salt), vm_id))

    def remove(self, vm_id: str) -> None:
        del self._keyed[self.position(vm_id)]

    def position(self, vm_id: str) -> int:
        return bisect.bisect_left(self._keyed, (rank_key(vm_id, self._salt), vm_id))

    def at(self, position: int) -> str:
        return self._keyed[position][1]

    def between(self, start: int, stop: int) -> list[str]:
        return [vm_id for _, vm_id in self._keyed[start:stop]]

    def keyed(self, stop: int) -> list[tuple[bytes, str]]:
        return self._keyed[:stop]


class Overlay:
    """Neighbours of one VM, kept up to date with its directory.

    Parameters
    ----------
    directory : Directory
        Source of the live VMs.
    own : VmRecord
        The VM.
    eager_trees : int
        Number of trees on whose links updates are pushed; the others are lazy.

    Attributes
    ----------
    eager_trees : int
        As given.
    version : int
        Raised when the set of live VMs changes.
    """

    def __init__(
        self, directory: Directory, own: VmRecord, eager_trees: int = 1
    ) -> None:
        self._own = own
        self.eager_trees = eager_trees
        self._orders_by_zone: dict[str, _Order] = {}
        self._regions_by_zone: dict[str, str] = {}
        self._second_order = _Order(TREE_SALTS[1])
        self.version = 0
        for record in directory.live():
            self._add(record)
        directory.subscribe(self._update)

    def zones(self) -> list[str]:
        """Return the zones that have live VMs, in the order of their names."""
        return sorted(self._orders_by_zone)

    def zones_of(self, region: str) -> list[str]:
        """Return the zones of a region that have live VMs."""
        return [z for z in self.zones() if self._regions_by_zone[z] == region]

    def relays(self, availability_zone: str) -> list[str]:
        """Return the VM ids of a zone's relays, first one first."""
        order = self._orders_by_zone.get(availability_zone)
        return order.between(0, RELAYS_PER_ZONE) if order else []

    def readers(
        self, region: str, lost_zones: frozenset[str] = frozenset()
    ) -> list[str]:
        """Return the log readers of a region, leaving out zones that are lost."""
        keyed: list[tuple[bytes, str]] = []
        for zone in self.zones_of(region):
            if zone not in lost_zones:
                order = self._orders_by_zone[zone]
                keyed.extend(order.keyed(READERS_PER_REGION))
        return [vm_id for _, vm_id in sorted(keyed)[:READERS_PER_REGION]]

    def gateways(self, lost_zones: frozenset[str] = frozenset()) -> list[str]:
        """Return the first relays of the first two zones of the own region.

        They hold links to other regions. A region of one zone has both of its relays.
        """
        zones = [
            z for z in self._zones_by_hash(self._own.region) if z not in lost_zones
        ]
        if len(zones) == 1:
            return self.relays(zones[0])
        return [self.relays(zone)[0] for zone in zones[:2]]

    def region_relays(self, region: str) -> list[str]:
        """Return the VMs to try in turn for a link to a region, best first."""
        if region not in self._regions_by_zone.values():
            return []
        return self._region_targets(region, 0, 0)

    def parents(self) -> list[str | None]:
        """Return the parent in each tree, None for the root."""
        return [_parent(order, self._own.vm_id) for order in self._trees()]

    def children(self, tree: int) -> list[str]:
        """Return the children in one tree."""
        return _children(self._trees()[tree], self._own.vm_id)

    def orphans_to_monitor(
        self, tree: int, is_suspect: Callable[[str], bool]
    ) -> list[str]:
        """Return the VMs that this VM watches in place of suspected ones.

        A VM that fails is noticed by its parents. When they have failed as well, the
        nearest VM above them that is not suspected takes their part, or the first VM of
        the tree when the root has failed.

        Parameters
        ----------
        tree : int
            The tree whose order is followed.
        is_suspect : callable
            Whether the VM with an id is suspected.
        """
        order = self._trees()[tree]
        if not len(order):
            return []
        own = self._own.vm_id
        waiting = [v for v in _children(order, own) if is_suspect(v)]
        if is_suspect(order.at(0)) and own == _first_unsuspected(order, is_suspect):
            waiting.append(order.at(0))
        found: list[str] = []
        while waiting:
            for vm_id in _children(order, waiting.pop()):
                if is_suspect(vm_id):
                    waiting.append(vm_id)
                elif vm_id != own and all(map(is_suspect, self._parents_of(vm_id))):
                    found.append(vm_id)
        return found

    def _parents_of(self, vm_id: str) -> list[str]:
        parents = (_parent(order, vm_id) for order in self._trees())
        return [parent for parent in parents if parent is not None]

    def relay_rank(self) -> int | None:
        """Return 0 for the zone's first relay, 1 for the second, else None."""
        relays = self.relays(self._own.availability_zone)
        own = self._own.vm_id
        return relays.index(own) if own in relays else None

    def links(self, lost_zones: frozenset[str] = frozenset()) -> list[Link]:
        """Return the links that this VM opens: its parents and its links as a relay.

        Children open their links to this VM, so that each pair has one opener.

        Parameters
        ----------
        lost_zones : frozenset of str
            Zones of the region that this VM has not reached for a while. They keep
            their records, but another zone keeps the links to other regions.
        """
        links = {link.key: link for link in self._relay_links(lost_zones)}
        for tree, parent in enumerate(self.parents()):
            if parent in links:
                # One VM is the parent in both trees; its loss must not cut this VM off.
                parent = self._substitute(tree, parent)
            if parent is not None and parent not in links:
                links[parent] = Link(parent, (parent,), self._is_eager(tree, parent))
        return list(links.values())

    def _substitute(self, tree: int, parent: str) -> str | None:
        first = self._trees()[tree].between(0, 3)
        others = [v for v in first if v not in (parent, self._own.vm_id)]
        return others[0] if others else None

    def _trees(self) -> tuple[_Order, _Order]:
        first = self._orders_by_zone.get(self._own.availability_zone)
        return (first or _Order(TREE_SALTS[0]), self._second_order)

    def _is_eager(self, tree: int, parent: str) -> bool:
        # The parent in a lazy tree can be a child in an eager one; the two VMs share
        # one connection and have to agree on its mode.
        eager = range(self.eager_trees)
        return tree in eager or any(parent in self.children(t) for t in eager)

    def _relay_links(self, lost_zones: frozenset[str]) -> list[Link]:
        rank = self.relay_rank()
        if rank is None:
            return []
        return [*self._zone_links(rank), *self._region_links(rank, lost_zones)]

    def _zone_links(self, rank: int) -> list[Link]:
        own = self._own
        links: list[Link] = []
        for zone in self.zones():
            # The zone whose name sorts first opens the link.
            if zone <= own.availability_zone:
                continue
            if self._regions_by_zone[zone] == own.region:
                relays = self.relays(zone)
                # The second relay starts with the other zone's second relay, so that
                # the loss of one VM never takes both links.
                targets = relays if rank == 0 else relays[::-1]
                links.append(_link("zone", targets, rank == 0))
        return links

    def _region_links(self, rank: int, lost_zones: frozenset[str]) -> list[Link]:
        own = self._own
        near = [z for z in self._zones_by_hash(own.region) if z not in lost_zones]
        if own.availability_zone not in near:
            # Another VM of the zone names another region in its settings.
            return []
        zone_rank = near.index(own.availability_zone)
        # The first relay of the first zone pushes. Its second relay, and the first
        # relay of the second zone, keep lazy links, so that no single VM or zone is
        # the only way between two regions.
        if rank + zone_rank > 1:
            return []
        links: list[Link] = []
        for region in sorted(set(self._regions_by_zone.values())):
            if region > own.region:
                targets = self._region_targets(region, rank, zone_rank)
                links.append(_link("region", targets, rank + zone_rank == 0))
        return links

    def _region_targets(self, region: str, rank: int, zone_rank: int) -> list[str]:
        zones = self._zones_by_hash(region)[:ZONES_TRIED]
        if zone_rank == 1:
            zones.reverse()
        orders = [self.relays(zone) for zone in zones]
        return [
            vm_id
            for relays in orders
            for vm_id in (relays[::-1] if rank == 1 else relays)
        ]

    def _zones_by_hash(self, region: str) -> list[str]:
        zones = [z for z, r in self._regions_by_zone.items() if r == region]
        return sorted(zones, key=lambda zone: rank_key(zone, "zone"))

    def _update(self, before: VmRecord | None, after: VmRecord | None) -> None:
        was_live = before is not None and before.is_live
        is_live = after is not None and after.is_live
        is_moved = was_live and is_live and _place(before) != _place(after)
        if was_live == is_live and not is_moved:
            return
        if was_live:
            self._remove(before)
        if is_live:
            self._add(after)
        self.version += 1

    def _add(self, record: VmRecord) -> None:
        zone = record.availability_zone
        if zone not in self._orders_by_zone:
            self._orders_by_zone[zone] = _Order(TREE_SALTS[0])
            self._regions_by_zone[zone] = record.region
        self._orders_by_zone[zone].add(record.vm_id)
        if zone == self._own.availability_zone:
            self._second_order.add(record.vm_id)

    def _remove(self, record: VmRecord) -> None:
        zone = record.availability_zone
        self._orders_by_zone[zone].remove(record.vm_id)
        if zone == self._own.availability_zone:
            self._second_order.remove(record.vm_id)
        if not len(self._orders_by_zone[zone]):
            del self._orders_by_zone[zone]
            del self._regions_by_zone[zone]


def _parent(order: _Order, vm_id: str) -> str | None:
    position = order.position(vm_id)
    if position == 0 or not len(order):
        return None
    return order.at((position - 1) // TREE_ARITY)


def _children(order: _Order, vm_id: str) -> list[str]:
    first = order.position(vm_id) * TREE_ARITY + 1
    return order.between(first, first + TREE_ARITY)


def _first_unsuspected(order: _Order, is_suspect: Callable[[str], bool]) -> str | None:
    ids = (order.at(position) for position in range(len(order)))
    return next((vm_id for vm_id in ids if not is_suspect(vm_id)), None)


def _link(kind: str, targets: list[str], is_eager: bool) -> Link:
    # A new first target makes another link, so that it replaces the old one.
    return Link(f"{kind} by {targets[0]}", tuple(targets), is_eager)


def _place(record: VmRecord) -> tuple[str, str, str]:
    return (record.region, record.availability_zone, record.address)
