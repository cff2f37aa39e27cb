"""Guards against VMs that keep an older configuration written late by the store.

The positions of the VMs are equal then, so that only the versions differ.
"""

import asyncio
import random

import pytest

from lacewingstair.metadata.operator_records import OperatorRecord, OperatorRecords
from lacewingstair.metadata.record_transfer import TransferEncoder, unpack
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.call_messages import RecordsPart
from lacewingstair.vm.record_fetcher import CANCEL_OFFSET, RecordFetcher, RecordSource


class VersionedVm:
    """VM that holds one version at a position, and fetches higher ones."""

    def __init__(self, position, version):
        self.position = position
        self.version = version
        self.requests = []
        self.fetcher = RecordFetcher(
            lambda: self.position,
            list,
            self.apply_transfer,
            VirtualClock(),
            random.Random(1),
            configuration_number=lambda: self.version,
        )

    def apply_transfer(self, data):
        self.version = max(self.version, int(data))
        return True

    def hear(self, vm_id, position, version):
        def send(request):
            self.requests.append((vm_id, request))
            part = RecordsPart(request.transfer_id, True, b"%d" % version)
            loop = asyncio.get_running_loop()
            loop.call_soon(self.fetcher.receive_part, vm_id, part)

        source = RecordSource(vm_id, "zone", send, lambda: True, position, version)
        self.fetcher.add_source(source)


@pytest.mark.parametrize("position", [7, 12])
def test_a_higher_version_is_fetched_at_the_same_or_a_lower_position(position):
    async def main():
        vm = VersionedVm(12, 4)
        vm.hear("newer", position, 5)
        await asyncio.sleep(1.0)
        assert vm.version == 5
        assert [vm_id for vm_id, _ in vm.requests] == ["newer"]
        request = vm.requests[0][1]
        assert (request.after, request.configuration_number) == (12, 4)
        assert vm.fetcher.lag_seconds() == 0.0

    run_virtual(main())


@pytest.mark.parametrize("version", [3, 4])
def test_no_other_version_is_fetched_at_the_same_position(version):
    """Guards against VMs that exchange the same records for ever."""

    async def main():
        vm = VersionedVm(12, 4)
        vm.hear("other", 12, version)
        await asyncio.sleep(1.0)
        assert vm.requests == []

    run_virtual(main())


def version_of(key, value):
    return int(value) if key == "config" else 0


def holding(*records):
    held = OperatorRecords(version_of)
    for key, value, offset in records:
        held.take([OperatorRecord(key, value, offset)], offset)
    return held


def keys_sent(sender, after, version):
    data = TransferEncoder(sender).pack(after, [], version)
    return [record.key for record in unpack(data, sender).unwrap().records]


@pytest.mark.parametrize("offsets", [(10, 12), (12, 10)])
def test_versions_precede_offsets_in_any_order_of_arrival(offsets):
    newer, older = offsets
    for records in (
        [("config", b"5", newer), ("config", b"4", older)],
        [("config", b"4", older), ("config", b"5", newer)],
    ):
        held = holding(*records)
        assert (held.version, held.position) == (5, 12)
        assert held.after(-1)[0].value == b"5"


def test_a_version_is_only_sent_to_vms_that_lack_it():
    """Guards against a configuration that is added to each transfer."""
    sender = holding(("config", b"5", 10), ("rollout/a", b"{}", 11))
    assert keys_sent(sender, 12, 4) == ["config"]
    assert keys_sent(sender, 12, 5) == []
    assert keys_sent(sender, 10, 5) == ["rollout/a"]
    assert keys_sent(sender, -1, 0) == ["config", "rollout/a"]
    assert keys_sent(sender, CANCEL_OFFSET, CANCEL_OFFSET) == []


def test_orders_go_by_offset():
    """Guards against a new rollout order that is taken for an older one."""
    held = holding(("rollout/a", b"9", 3), ("rollout/a", b"1", 4))
    assert held.after(-1)[0].value == b"1"
