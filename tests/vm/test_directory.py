import itertools

from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.vm.directory import (
    BUCKET_COUNT,
    Directory,
    Endpoint,
    VmRecord,
    VmStatus,
    bucket_of,
    record_digest,
)

records = st.builds(
    VmRecord,
    vm_id=st.sampled_from(["vm-0", "vm-1", "vm-2"]),
    region=st.just("r"),
    availability_zone=st.just("z"),
    address=st.sampled_from(["a:1", "b:1"]),
    incarnation=st.integers(0, 2),
    sequence=st.integers(0, 2),
    status=st.sampled_from(VmStatus),
    endpoints=st.sampled_from([(), (Endpoint("s", "v", "e:1"),)]),
    died_at=st.sampled_from([0, 60]),
)


def merge_all(*record_lists):
    directory = Directory()
    for record in itertools.chain(*record_lists):
        directory.merge(record)
    return directory


def contents(directory):
    return ({r.vm_id: r for r in directory}, directory.digest)


@given(st.lists(records), st.lists(records), st.lists(records))
def test_merge_is_commutative_associative_and_idempotent(first, second, third):
    expected = contents(merge_all(first, second, third))
    assert contents(merge_all(third, first, second)) == expected
    merged_tail = merge_all(second, third)
    assert contents(merge_all(first, merged_tail)) == expected
    assert contents(merge_all(first, second, third, second, first)) == expected


@given(st.lists(records), st.lists(st.sampled_from(["vm-0", "vm-1"])))
def test_digests_match_those_of_a_rebuilt_directory(updates, removed):
    directory = merge_all(updates)
    for vm_id in removed:
        directory.remove(vm_id)
    rebuilt = merge_all(list(directory))
    assert directory.digest == rebuilt.digest
    assert directory.bucket_digests() == rebuilt.bucket_digests()
    digests_by_vm_id = {
        vm_id: digest
        for bucket in range(BUCKET_COUNT)
        for digest, vm_id in directory.vm_ids_by_digest(bucket).items()
    }
    assert digests_by_vm_id == {r.vm_id: record_digest(r) for r in directory}
    assert all(
        vm_id in directory.vm_ids_by_digest(bucket_of(vm_id)).values()
        for vm_id in digests_by_vm_id
    )


@given(records)
def test_a_dead_vm_stays_dead_within_the_same_incarnation(record):
    dead = VmRecord("vm-0", "r", "z", "a:1", 1, 0, VmStatus.DEAD, (), 60)
    directory = merge_all([dead], [record])
    current = directory.get("vm-0")
    assert current.status is VmStatus.DEAD or current.incarnation > 1
