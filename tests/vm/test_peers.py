import itertools

import pytest

from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.peers import STALE_AFTER_SECONDS, Peer, PeerTable

own = VmRecord("m", "r0", "z0", "m:1", 1)


def peer(vm_id, region, zone, *, eager=True, opened=True, heard=0.0):
    return Peer(vm_id, region, zone, None, heard, opened, eager)


in_zone = peer("zone", "r0", "z0")
beside = peer("beside", "r0", "z1")
beside_too = peer("beside2", "r0", "z2")
far = peer("far", "r1", "z3")
far_too = peer("far2", "r2", "z4")
lazy = peer("lazy", "r0", "z0", eager=False)


@pytest.mark.parametrize(
    ("source", "targets"),
    [
        (None, {in_zone, beside, beside_too, far, far_too}),
        (in_zone, {beside, beside_too, far, far_too}),
        (lazy, {in_zone, beside, beside_too, far, far_too}),
        # The zones of a region are linked pair by pair, and so are the regions.
        (beside, {in_zone, far, far_too}),
        (far, {in_zone, beside, beside_too}),
    ],
)
def test_news_crosses_each_link_between_zones_once(source, targets):
    table = PeerTable(own)
    peers = (in_zone, beside, beside_too, far, far_too, lazy)
    for each in peers:
        table.admit(each)
    assert {p for p in peers if table.is_push_target(p, source)} == targets


@pytest.mark.parametrize("other", ["a", "z"])
def test_two_vms_that_connect_at_once_keep_the_same_connection(other):
    kept = []
    for first_is_ours in (True, False):
        table = PeerTable(own)
        ours = peer(other, "r0", "z0", opened=True)
        theirs = peer(other, "r0", "z0", opened=False)
        order = (ours, theirs) if first_is_ours else (theirs, ours)
        closed = [table.admit(each) for each in order]
        kept.append(table.get(other).is_outbound)
        assert closed[1] is not None
    assert kept == [own.vm_id < other] * 2


def test_a_new_connection_replaces_a_stale_one():
    for opened, again in itertools.product((True, False), repeat=2):
        table = PeerTable(own)
        stale = peer("a", "r0", "z0", opened=opened)
        new = peer("a", "r0", "z0", opened=again, heard=STALE_AFTER_SECONDS + 0.1)
        table.admit(stale)
        assert table.admit(new) is stale
        assert not table.remove(stale)
        assert table.get("a") is new
