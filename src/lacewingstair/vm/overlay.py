"""Overlay topology: neighbours, relays and log readers, derived from the directory.

Every VM computes its own links from its own copy of the directory; there is no
election. The VMs are kept in sorted lists that are updated only when the set of live
VMs changes. Such a change costs two hashes and two insertions; a heartbeat costs
nothing.
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
# Zones of the other region whose relays are candidates for a link between regions.
MAX_ZONES_PER_REGION_LINK = 2


@attrs.frozen
class Link:
    """A link that this VM keeps open.

    Parameters
    ----------
    key : str
        Unique among the links of this VM.
    vm_ids : tuple of str
        Candidates in the order in which they are tried. For a link between zones,
        these are the relays of the other zone.
    is_eager : bool
        Whether updates are pushed immediately. A lazy link carries heartbeats, and
        pulls only if the digests still differ after one heartbeat interval.
    is_mode_set_by_peer : bool
        Whether the peer decides between eager and lazy once the link is open.
    """

    key: str
    vm_ids: tuple[str, ...]
    is_eager: bool = True
    is_mode_set_by_peer: bool = False


def hash_key(vm_id: str, salt: str) -> bytes:
    """Return the salted hash that is the sort key of a VM id."""
    text = f"{salt}/{vm_id}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(text, digest_size=8).digest()


def sort_by_hash(records: Iterable[VmRecord], salt: str) -> list[VmRecord]:
    """Return the records sorted by the salted hash of their VM ids."""
    return sorted(records, key=lambda record: hash_key(record.vm_id, salt))


def zone_relays(live: Iterable[VmRecord], availability_zone: str) -> list[VmRecord]:
    """Return the relays of a zone in hash order."""
    in_zone = [r for r in live if r.availability_zone == availability_zone]
    return sort_by_hash(in_zone, TREE_SALTS[0])[:RELAYS_PER_ZONE]


def region_readers(live: Iterable[VmRecord], region: str) -> list[VmRecord]:
    """Return the log readers of a region in hash order."""
    in_region = [r for r in live if r.region == region]
    return sort_by_hash(in_region, TREE_SALTS[0])[:READERS_PER_REGION]


class _HashOrder:
    """VM ids sorted by their hash with one salt."""

    def __init__(self, salt: str) -> None:
        self._salt = salt
        self._entries: list[tuple[bytes, str]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, vm_id: str) -> None:
        bisect.insort(self._entries, (hash_key(vm_id, self._salt), vm_id))

    def remove(self, vm_id: str) -> None:
        del self._entries[self.position(vm_id)]

    def position(self, vm_id: str) -> int:
        return bisect.bisect_left(self._entries, (hash_key(vm_id, self._salt), vm_id))

    def at(self, position: int) -> str:
        return self._entries[position][1]

    def ids_between(self, start: int, stop: int) -> list[str]:
        return [vm_id for _, vm_id in self._entries[start:stop]]

    def first_entries(self, stop: int) -> list[tuple[bytes, str]]:
        return self._entries[:stop]


class Overlay:
    """Neighbours of one VM, updated when its directory changes.

    Parameters
    ----------
    directory : Directory
        Source of the live VMs.
    own : VmRecord
        Record of the VM whose neighbours are computed.
    eager_trees : int
        Number of trees whose links push updates; links of the other trees are lazy.

    Attributes
    ----------
    eager_trees : int
        Same as the parameter.
    version : int
        Incremented when a live VM is added, removed or moved.
    """

    def __init__(
        self, directory: Directory, own: VmRecord, eager_trees: int = 1
    ) -> None:
        self._own = own
        self.eager_trees = eager_trees
        self._orders_by_zone: dict[str, _HashOrder] = {}
        self._regions_by_zone: dict[str, str] = {}
        self._second_tree = _HashOrder(TREE_SALTS[1])
        self.version = 0
        for record in directory.live():
            self._add(record)
        directory.subscribe(self._on_record_changed)

    def zones(self) -> list[str]:
        """Return the names of the zones that have live VMs, sorted."""
        return sorted(self._orders_by_zone)

    def zones_of(self, region: str) -> list[str]:
        """Return the zones of a region that have live VMs."""
        return [z for z in self.zones() if self._regions_by_zone[z] == region]

    def relays(self, availability_zone: str) -> list[str]:
        """Return the VM ids of a zone's relays in hash order."""
        order = self._orders_by_zone.get(availability_zone)
        return order.ids_between(0, RELAYS_PER_ZONE) if order else []

    def readers(
        self, region: str, unreachable_zones: frozenset[str] = frozenset()
    ) -> list[str]:
        """Return the log readers of a region, excluding unreachable zones."""
        entries: list[tuple[bytes, str]] = []
        for zone in self.zones_of(region):
            if zone not in unreachable_zones:
                order = self._orders_by_zone[zone]
                entries.extend(order.first_entries(READERS_PER_REGION))
        return [vm_id for _, vm_id in sorted(entries)[:READERS_PER_REGION]]

    def gateways(self, unreachable_zones: frozenset[str] = frozenset()) -> list[str]:
        """Return the first relay of each of the first two zones of this VM's region.

        Gateways hold the links to other regions. In a region with a single zone, both
        relays of that zone are gateways.
        """
        zones = [
            z
            for z in self._zones_by_hash(self._own.region)
            if z not in unreachable_zones
        ]
        if len(zones) == 1:
            return self.relays(zones[0])
        return [self.relays(zone)[0] for zone in zones[:2]]

    def region_relays(self, region: str) -> list[str]:
        """Return the candidates for a link to a region, in the order to try them."""
        if region not in self._regions_by_zone.values():
            return []
        return self._region_targets(region, 0, 0)

    def parents(self) -> list[str | None]:
        """Return the parent in each tree, or None where this VM is the root."""
        return [_parent(order, self._own.vm_id) for order in self._trees()]

    def children(self, tree: int) -> list[str]:
        """Return the children of this VM in one tree."""
        return _children(self._trees()[tree], self._own.vm_id)

    def orphans_to_monitor(
        self, tree: int, is_suspect: Callable[[str], bool]
    ) -> list[str]:
        """Return the VMs that this VM monitors because all their parents are suspected.

        The failure of a VM is normally detected by its parents. If they have failed as
        well, their nearest ancestor that is not suspected monitors the VM instead. If
        the root has failed, the first VM in tree order that is not suspected does so.

        Parameters
        ----------
        tree : int
            Index of the tree that is searched.
        is_suspect : callable
            Returns whether the VM with the given id is suspected.
        """
        order = self._trees()[tree]
        if not len(order):
            return []
        own = self._own.vm_id
        pending = [v for v in _children(order, own) if is_suspect(v)]
        if is_suspect(order.at(0)) and own == _first_unsuspected(order, is_suspect):
            pending.append(order.at(0))
        orphans: list[str] = []
        while pending:
            for vm_id in _children(order, pending.pop()):
                if is_suspect(vm_id):
                    pending.append(vm_id)
                elif vm_id != own and all(map(is_suspect, self._parents_of(vm_id))):
                    orphans.append(vm_id)
        return orphans

    def _parents_of(self, vm_id: str) -> list[str]:
        parents = (_parent(order, vm_id) for order in self._trees())
        return [parent for parent in parents if parent is not None]

    def relay_rank(self) -> int | None:
        """Return 0 if this VM is its zone's first relay, 1 if second, else None."""
        relays = self.relays(self._own.availability_zone)
        own = self._own.vm_id
        return relays.index(own) if own in relays else None

    def links(self, unreachable_zones: frozenset[str] = frozenset()) -> list[Link]:
        """Return the links that this VM opens: to its parents, and as a relay.

        Links to children are opened by the children, so that only one VM of each pair
        opens the link.

        Parameters
        ----------
        unreachable_zones : frozenset of str
            Zones of this region to which this VM has had no link for some time. Their
            records stay in the directory, but other zones take over their links to
            other regions.
        """
        links = {link.key: link for link in self._relay_links(unreachable_zones)}
        for tree, parent in enumerate(self.parents()):
            if parent in links:
                # The same VM is the parent in both trees. A second, different parent
                # keeps this VM connected if that one fails.
                parent = self._alternate_parent(tree, parent)
            if parent is not None and parent not in links:
                links[parent] = Link(parent, (parent,), self._is_eager(tree, parent))
        return list(links.values())

    def _alternate_parent(self, tree: int, parent: str) -> str | None:
        first = self._trees()[tree].ids_between(0, 3)
        others = [v for v in first if v not in (parent, self._own.vm_id)]
        return others[0] if others else None

    def _trees(self) -> tuple[_HashOrder, _HashOrder]:
        first = self._orders_by_zone.get(self._own.availability_zone)
        return (first or _HashOrder(TREE_SALTS[0]), self._second_tree)

    def _is_eager(self, tree: int, parent: str) -> bool:
        # The parent in a lazy tree can be a child in an eager tree. The two VMs share
        # one connection, so they must agree on its mode.
        eager = range(self.eager_trees)
        return tree in eager or any(parent in self.children(t) for t in eager)

    def _relay_links(self, unreachable_zones: frozenset[str]) -> list[Link]:
        rank = self.relay_rank()
        if rank is None:
            return []
        return [*self._zone_links(rank), *self._region_links(rank, unreachable_zones)]

    def _zone_links(self, rank: int) -> list[Link]:
        own = self._own
        links: list[Link] = []
        for zone in self.zones():
            # The zone whose name sorts first opens the link between two zones.
            if zone <= own.availability_zone:
                continue
            if self._regions_by_zone[zone] == own.region:
                relays = self.relays(zone)
                # The second relay tries the other zone's second relay first, so that
                # the failure of one VM never breaks both links.
                targets = relays if rank == 0 else relays[::-1]
                links.append(_make_link("zone", targets, rank == 0))
        return links

    def _region_links(self, rank: int, unreachable_zones: frozenset[str]) -> list[Link]:
        own = self._own
        reachable_zones = [
            z for z in self._zones_by_hash(own.region) if z not in unreachable_zones
        ]
        if own.availability_zone not in reachable_zones:
            # Another VM of this zone has a different region in its settings.
            return []
        zone_rank = reachable_zones.index(own.availability_zone)
        # The first relay of the first zone has the eager link. The second relay of that
        # zone and the first relay of the second zone have lazy links, so that no single
        # VM or zone is the only path between two regions.
        if rank + zone_rank > 1:
            return []
        links: list[Link] = []
        for region in sorted(set(self._regions_by_zone.values())):
            if region > own.region:
                targets = self._region_targets(region, rank, zone_rank)
                links.append(_make_link("region", targets, rank + zone_rank == 0))
        return links

    def _region_targets(self, region: str, rank: int, zone_rank: int) -> list[str]:
        zones = self._zones_by_hash(region)[:MAX_ZONES_PER_REGION_LINK]
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
        return sorted(zones, key=lambda zone: hash_key(zone, "zone"))

    def _on_record_changed(
        self, before: VmRecord | None, after: VmRecord | None
    ) -> None:
        was_live = before is not None and before.is_live
        is_live = after is not None and after.is_live
        is_moved = was_live and is_live and _location(before) != _location(after)
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
            self._orders_by_zone[zone] = _HashOrder(TREE_SALTS[0])
            self._regions_by_zone[zone] = record.region
        self._orders_by_zone[zone].add(record.vm_id)
        if zone == self._own.availability_zone:
            self._second_tree.add(record.vm_id)

    def _remove(self, record: VmRecord) -> None:
        zone = record.availability_zone
        self._orders_by_zone[zone].remove(record.vm_id)
        if zone == self._own.availability_zone:
            self._second_tree.remove(record.vm_id)
        if not len(self._orders_by_zone[zone]):
            del self._orders_by_zone[zone]
            del self._regions_by_zone[zone]


def _parent(order: _HashOrder, vm_id: str) -> str | None:
    position = order.position(vm_id)
    if position == 0 or not len(order):
        return None
    return order.at((position - 1) // TREE_ARITY)


def _children(order: _HashOrder, vm_id: str) -> list[str]:
    first = order.position(vm_id) * TREE_ARITY + 1
    return order.ids_between(first, first + TREE_ARITY)


def _first_unsuspected(
    order: _HashOrder, is_suspect: Callable[[str], bool]
) -> str | None:
    ids = (order.at(position) for position in range(len(order)))
    return next((vm_id for vm_id in ids if not is_suspect(vm_id)), None)


def _make_link(kind: str, targets: list[str], is_eager: bool) -> Link:
    # The key contains the first target, so that a link with another first target
    # replaces the old link.
    return Link(f"{kind} by {targets[0]}", tuple(targets), is_eager)


def _location(record: VmRecord) -> tuple[str, str, str]:
    return (record.region, record.availability_zone, record.address)
