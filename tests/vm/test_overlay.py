import random

from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.vm.directory import Directory, VmRecord, VmStatus
from lacewingstair.vm.overlay import (
    TREE_ARITY,
    TREE_SALTS,
    Overlay,
    region_readers,
    sort_by_hash,
    zone_relays,
)

ZONES = {"z0": "r0", "z1": "r0", "z2": "r1", "z3": "r1"}


def record(index, zone="z0", incarnation=1, status=VmStatus.ALIVE):
    vm_id = f"{zone}-{index}"
    return VmRecord(vm_id, ZONES[zone], zone, f"{vm_id}:1", incarnation, 0, status)


def directory_of(*records):
    directory = Directory()
    for item in records:
        directory.merge(item)
    return directory


changes = st.lists(
    st.builds(
        record,
        st.integers(0, 40),
        st.sampled_from(sorted(ZONES)),
        st.integers(0, 3),
        st.sampled_from(VmStatus),
    ),
    max_size=80,
)


@given(changes)
def test_incremental_order_equals_order_computed_from_scratch(updates):
    own = record(0, incarnation=9)
    directory = directory_of(own)
    overlay = Overlay(directory, own)
    for update in updates:
        directory.merge(update)
    live = directory.live()
    in_zone = [r for r in live if r.availability_zone == "z0"]
    for tree, salt in enumerate(TREE_SALTS):
        order = [r.vm_id for r in sort_by_hash(in_zone, salt)]
        position = order.index(own.vm_id)
        parent = order[(position - 1) // TREE_ARITY] if position else None
        assert overlay.parents()[tree] == parent
        first = position * TREE_ARITY + 1
        assert overlay.children(tree) == order[first : first + TREE_ARITY]
    for zone in ZONES:
        assert overlay.relays(zone) == [r.vm_id for r in zone_relays(live, zone)]
    readers = [r.vm_id for r in region_readers(live, "r0")]
    assert overlay.readers("r0") == readers


def test_eager_links_connect_all_vms():
    records = [record(i, zone) for zone in ZONES for i in range(30)]
    linked = {r.vm_id: {r.vm_id} for r in records}
    for own in records:
        for link in Overlay(directory_of(*records), own).links():
            if link.is_eager:
                linked[own.vm_id].add(link.vm_ids[0])
                linked[link.vm_ids[0]].add(own.vm_id)
    reached, pending = set(), [records[0].vm_id]
    while pending:
        vm_id = pending.pop()
        pending.extend(linked[vm_id] - reached)
        reached |= linked[vm_id]
    assert reached == set(linked)


def test_every_vm_with_two_others_in_its_zone_has_two_links():
    # If one VM were the parent in both trees, its failure would disconnect the child.
    for size in (3, 9, 40):
        directory = directory_of(*(record(i) for i in range(size)))
        linked = {r.vm_id: set() for r in directory}
        for own in directory:
            for link in Overlay(directory, own).links():
                linked[own.vm_id].add(link.vm_ids[0])
                linked[link.vm_ids[0]].add(own.vm_id)
        assert min(map(len, linked.values())) >= 2


@given(st.sets(st.integers(0, 99), min_size=1, max_size=20))
def test_vms_whose_parents_are_suspected_are_monitored_by_live_vms(survivors):
    """Guards against detecting a correlated failure only one tree level at a time."""
    # With 100 VMs, the tree has three levels below the root.
    records = [record(i) for i in range(100)]
    suspects = {r.vm_id for i, r in enumerate(records) if i not in survivors}
    directory = directory_of(*records)
    monitored = set()
    for own in records:
        if own.vm_id not in suspects:
            overlay = Overlay(directory, own)
            for tree in range(len(TREE_SALTS)):
                monitored.update(overlay.children(tree))
                orphans = overlay.orphans_to_monitor(tree, suspects.__contains__)
                assert suspects.isdisjoint(orphans)
                monitored.update(orphans)
    # The first VM in tree order that is not suspected has no live ancestor. No other
    # VM has to monitor it in that tree.
    live = [r for r in records if r.vm_id not in suspects]
    roots = {sort_by_hash(live, salt)[0].vm_id for salt in TREE_SALTS}
    assert monitored >= {r.vm_id for r in live} - roots


def test_a_vm_with_a_live_parent_gets_no_additional_monitor():
    """Guards against unnecessary connections after the failure of a single VM."""
    records = [record(i) for i in range(40)]
    directory = directory_of(*records)
    for suspect in records:
        for own in records:
            overlay = Overlay(directory, own)
            for tree in range(len(TREE_SALTS)):
                for vm_id in overlay.orphans_to_monitor(tree, suspect.vm_id.__eq__):
                    parents = Overlay(directory, directory.get(vm_id)).parents()
                    assert set(parents) <= {suspect.vm_id, None}


def test_both_ends_of_a_link_agree_on_its_mode():
    # The parent in the lazy tree can be a child in the eager tree.
    records = [record(i) for i in range(6)]
    overlays = {r.vm_id: Overlay(directory_of(*records), r) for r in records}
    modes = {}
    for vm_id, overlay in overlays.items():
        for link in overlay.links():
            pair = frozenset((vm_id, link.vm_ids[0]))
            assert modes.setdefault(pair, link.is_eager) == link.is_eager
    assert set(modes.values()) == {True, False}


def test_a_change_of_endpoints_or_sequence_does_not_change_the_overlay():
    directory = directory_of(*(record(i) for i in range(5)))
    overlay = Overlay(directory, record(0))
    rng = random.Random(1)
    for sequence in range(1, 20):
        item = record(rng.randrange(5))
        directory.merge(VmRecord(*_fields(item), sequence=sequence))
    assert overlay.version == 0
    directory.merge(record(3, status=VmStatus.DEAD))
    assert overlay.version == 1


def _fields(item):
    return (
        item.vm_id,
        item.region,
        item.availability_zone,
        item.address,
        item.incarnation,
    )
