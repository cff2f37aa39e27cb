"""Overlay: neighbours, relays and log readers, worked out from the directory.

Every VM derives its own links from its own directory; nobody is elected.
"""

import hashlib
from collections.abc import Iterable

import attrs

from lacewingstair.directory import VmRecord

TREE_ARITY = 8
TREE_SALTS = ("tree-a", "tree-b")
RELAYS_PER_ZONE = 2
READERS_PER_REGION = 2


@attrs.frozen
class Link:
    """A link to one neighbour.

    Parameters
    ----------
    vm_id, address : str
        The neighbour.
    is_eager : bool
        Whether news is sent at once. A lazy link carries heartbeats and pulls when the
        digests still differ after one interval.
    """

    vm_id: str
    address: str
    is_eager: bool = True


def rank_key(vm_id: str, salt: str) -> bytes:
    """Return the hash by which VMs are ordered under a salt."""
    return hashlib.blake2b(f"{salt}/{vm_id}".encode(), digest_size=8).digest()


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


def outgoing_links(live: list[VmRecord], own: VmRecord) -> list[Link]:
    """Return the links that this VM opens: its parents and its links as a relay.

    Children open their links to this VM, so that each pair has one opener.
    """
    links_by_vm_id: dict[str, Link] = {}
    for link in (*_relay_links(live, own), *_parent_links(live, own)):
        held = links_by_vm_id.get(link.vm_id)
        if held is None or link.is_eager:
            links_by_vm_id[link.vm_id] = link
    links_by_vm_id.pop(own.vm_id, None)
    return list(links_by_vm_id.values())


def _parent_links(live: list[VmRecord], own: VmRecord) -> list[Link]:
    in_zone = [r for r in live if r.availability_zone == own.availability_zone]
    links: list[Link] = []
    for salt in TREE_SALTS:
        order = ranked(in_zone, salt)
        position = next((i for i, r in enumerate(order) if r.vm_id == own.vm_id), 0)
        if position > 0:
            parent = order[(position - 1) // TREE_ARITY]
            links.append(Link(parent.vm_id, parent.address))
    return links


def _relay_links(live: list[VmRecord], own: VmRecord) -> list[Link]:
    own_relays = zone_relays(live, own.availability_zone)
    rank = next((i for i, r in enumerate(own_relays) if r.vm_id == own.vm_id), None)
    if rank is None:
        return []
    links: list[Link] = []
    for zone in sorted({r.availability_zone for r in live} - {own.availability_zone}):
        relays = zone_relays(live, zone)
        peer = relays[min(rank, len(relays) - 1)]
        if peer.region != own.region and not _are_region_relays(live, own, peer):
            continue
        # One side of a pair opens the link.
        if own.vm_id < peer.vm_id or rank > 0:
            links.append(Link(peer.vm_id, peer.address, is_eager=rank == 0))
    return links


def _are_region_relays(live: list[VmRecord], own: VmRecord, peer: VmRecord) -> bool:
    return all(
        record.availability_zone == _first_zone(live, record.region)
        for record in (own, peer)
    )


def _first_zone(live: list[VmRecord], region: str) -> str:
    zones = {r.availability_zone for r in live if r.region == region}
    return min(zones, key=lambda zone: rank_key(zone, "zone"))
