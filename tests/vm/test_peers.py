import itertools

import pytest

from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.peers import STALE_AFTER_SECONDS, Peer, PeerTable

own = VmRecord("m", "r0", "z0", "m:1", 1)


def peer(vm_id, region, zone, *, is_eager=True, is_outbound=True, last_received_at=0.0):
    return Peer(vm_id, region, zone, None, last_received_at, is_outbound, is_eager)


same_zone = peer("same_zone", "r0", "z0")
other_zone = peer("other_zone", "r0", "z1")
another_zone = peer("another_zone", "r0", "z2")
other_region = peer("other_region", "r1", "z3")
another_region = peer("another_region", "r2", "z4")
lazy_peer = peer("lazy", "r0", "z0", is_eager=False)


@pytest.mark.parametrize(
    ("source", "targets"),
    [
        (None, {same_zone, other_zone, another_zone, other_region, another_region}),
        (same_zone, {other_zone, another_zone, other_region, another_region}),
        (
            lazy_peer,
            {same_zone, other_zone, another_zone, other_region, another_region},
        ),
        # The zones of a region form a full mesh, and so do the regions.
        (other_zone, {same_zone, other_region, another_region}),
        (other_region, {same_zone, other_zone, another_zone}),
    ],
)
def test_an_update_crosses_each_link_between_zones_once(source, targets):
    table = PeerTable(own)
    peers = (
        same_zone,
        other_zone,
        another_zone,
        other_region,
        another_region,
        lazy_peer,
    )
    for candidate in peers:
        table.admit(candidate)
    assert {p for p in peers if table.is_push_target(p, source)} == targets


@pytest.mark.parametrize("other", ["a", "z"])
def test_two_vms_that_connect_simultaneously_keep_the_same_connection(other):
    kept = []
    for ours_is_first in (True, False):
        table = PeerTable(own)
        ours = peer(other, "r0", "z0", is_outbound=True)
        theirs = peer(other, "r0", "z0", is_outbound=False)
        order = (ours, theirs) if ours_is_first else (theirs, ours)
        closed = [table.admit(candidate) for candidate in order]
        kept.append(table.get(other).is_outbound)
        assert closed[1] is not None
    assert kept == [own.vm_id < other] * 2


def test_a_new_connection_replaces_a_stale_one():
    for is_outbound, new_is_outbound in itertools.product((True, False), repeat=2):
        table = PeerTable(own)
        stale = peer("a", "r0", "z0", is_outbound=is_outbound)
        new = peer(
            "a",
            "r0",
            "z0",
            is_outbound=new_is_outbound,
            last_received_at=STALE_AFTER_SECONDS + 0.1,
        )
        table.admit(stale)
        assert table.admit(new) is stale
        assert not table.remove(stale)
        assert table.get("a") is new
