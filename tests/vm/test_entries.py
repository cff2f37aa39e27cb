import attrs
from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.vm.entries import (
    MeshView,
    UpstreamState,
    VmEntry,
    decode_entry,
    encode_entry,
)

ENTRY = VmEntry(
    "vm1",
    "r",
    "z",
    "10.0.0.1:1",
    "board",
    5,
    1,
    "i-1",
    "v1",
    18,
    UpstreamState.READY,
)

entries = st.builds(
    VmEntry,
    vm_id=st.sampled_from(["vm1", "vm2"]),
    region=st.just("r"),
    availability_zone=st.just("z"),
    address=st.just("10.0.0.1:1"),
    service=st.sampled_from(["board", "book"]),
    incarnation=st.integers(0, 3),
    sequence=st.integers(0, 3),
    state=st.sampled_from(list(UpstreamState)),
    is_leaving=st.booleans(),
)


@given(entries)
def test_entries_round_trip(entry):
    assert decode_entry(encode_entry(entry)).unwrap() == entry


@given(st.lists(entries, max_size=8))
def test_the_newest_entry_wins_in_any_order_of_arrival(found):
    """Guards against delayed entries that make a VM accept calls again."""
    forward, backward = MeshView("own"), MeshView("own")
    for entry in found:
        forward.merge(entry)
    for entry in reversed(found):
        backward.merge(entry)
    for vm_id in ("vm1", "vm2"):
        orders = [entry.order for entry in found if entry.vm_id == vm_id]
        for view in (forward, backward):
            held = view.get(vm_id)
            assert (held.order if held else None) == max(orders, default=None)


def test_entries_are_indexed_by_the_current_service():
    view = MeshView("own")
    view.merge(ENTRY)
    view.merge(attrs.evolve(ENTRY, incarnation=6, service="book"))
    assert list(view.entries_of_service("board")) == []
    assert [entry.vm_id for entry in view.entries_of_service("book")] == ["vm1"]
    view.remove("vm1")
    assert list(view.entries_of_service("book")) == []


def test_a_leaving_or_draining_vm_accepts_no_calls():
    assert ENTRY.accepts_calls
    assert not attrs.evolve(ENTRY, is_leaving=True).accepts_calls
    assert not attrs.evolve(ENTRY, state=UpstreamState.DRAINING).accepts_calls
