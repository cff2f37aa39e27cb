"""Guards against VMs that get each other's records wrong, or the whole of them."""

import random

from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.metadata.operator_records import (
    HISTORY_VALUES,
    NO_OFFSET,
    OperatorRecord,
    OperatorRecords,
)
from lacewingstair.metadata.record_transfer import TransferEncoder, unpack


def large_value(version, rows=1650):
    rng = random.Random(7)
    lines = [f'["r-{rng.getrandbits(64):016x}","/p{n}/"]' for n in range(rows)]
    lines[version % rows] = f'"changed in {version}"'
    return f'{{"version":"r{version}","rows":[{",".join(lines)}]}}'.encode()


def holding(*records):
    held = OperatorRecords()
    for record in records:
        held.take([record], record.offset)
    return held


def passed_on(sender, receiver):
    data = TransferEncoder(sender).pack(
        receiver.position, receiver.remembered_offsets()
    )
    transfer = unpack(data, receiver).unwrap()
    receiver.take(transfer.records, transfer.position)
    return data


def test_a_new_version_costs_about_what_has_changed():
    """Guards against whole configurations on narrow links in a storm."""
    first = OperatorRecord("config", large_value(1), 3)
    second = OperatorRecord("config", large_value(2), 4)
    sender, receiver = holding(first, second), holding(first)
    data = passed_on(sender, receiver)
    assert len(data) < len(second.value) / 100
    assert receiver.after(NO_OFFSET) == [second]


def test_a_vm_that_holds_nothing_gets_the_whole_state():
    order = OperatorRecord("rollout/board", b"{}", 2)
    sender = holding(order, OperatorRecord("config", large_value(1), 3))
    receiver = OperatorRecords()
    data = passed_on(sender, receiver)
    assert len(data) < len(large_value(1))
    assert receiver.after(NO_OFFSET) == sender.after(NO_OFFSET)
    assert receiver.position == 3


def test_a_base_that_is_forgotten_changes_nothing():
    """Guards against a configuration that is put together from the wrong parts."""
    first = OperatorRecord("config", large_value(1), 3)
    sender = holding(first, OperatorRecord("config", large_value(2), 4))
    receiver = holding(first)
    data = TransferEncoder(sender).pack(3, receiver.remembered_offsets())
    for version in range(5, 5 + HISTORY_VALUES):
        record = OperatorRecord("config", large_value(version), version)
        receiver.take([record], version)
    assert unpack(data, receiver).is_err()


@given(st.binary(max_size=60))
def test_bytes_that_are_no_transfer_are_refused(data):
    unpacked = unpack(data, OperatorRecords())
    assert unpacked.is_err() or unpacked.ok_value.records is not None


@given(st.data())
def test_any_order_of_transfers_leads_to_the_newest_records(data):
    """Guards against an order of losses that leaves a VM with an old record."""
    keys = ["config", "rollout/a", "rollout/b"]
    count = data.draw(st.integers(1, 12))
    log = [
        OperatorRecord(
            data.draw(st.sampled_from(keys)),
            data.draw(st.none() | st.just(large_value(offset, 40))),
            offset,
        )
        for offset in range(count)
    ]
    vms = [OperatorRecords() for _ in range(3)]
    for _ in range(data.draw(st.integers(0, 10))):
        receiver = data.draw(st.integers(0, 2))
        sender = data.draw(st.integers(-1, 2))
        if sender < 0:
            # The store is read up to some offset.
            upto = data.draw(st.integers(vms[receiver].position, count - 1))
            found = log[vms[receiver].position + 1 : upto + 1]
            vms[receiver].take(found, upto)
        elif sender != receiver:
            passed_on(vms[sender], vms[receiver])
    for vm in vms:
        newest = {record.key: record for record in log[: vm.position + 1]}
        held = {record.key: record for record in vm.after(NO_OFFSET)}
        assert held == newest
