import asyncio
import random

import pytest

from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.call_messages import RecordsPart
from lacewingstair.vm.record_fetcher import (
    BEYOND_ALL_RECORDS,
    GATHER_SECONDS,
    MAX_DOUBLINGS,
    PART_TIMEOUT_SECONDS,
    PAUSE_SECONDS,
    RecordFetcher,
    RecordSource,
)


class Vms:
    """A VM that fetches, and others that hold records up to some offset."""

    def __init__(self, seed=1):
        self.position = 0
        self.requests = []
        self.mute = set()
        self.gone = set()
        self.busy = set()
        self.part_bytes = 1000
        self.part_seconds = 0.05
        self.position_by_vm_id = {}
        self.tasks = []
        self.fetcher = RecordFetcher(
            lambda: self.position,
            lambda: [self.position],
            self.take,
            VirtualClock(),
            random.Random(seed),
        )

    def take(self, data):
        self.position = max(self.position, int.from_bytes(data[:4], "big"))
        return True

    def offer(self, vm_id, position, distance="zone"):
        self.position_by_vm_id[vm_id] = position
        self.fetcher.add_source(
            RecordSource(
                vm_id,
                distance,
                lambda request: self.asked(vm_id, request),
                lambda: vm_id not in self.gone,
                position,
            )
        )

    def asked(self, vm_id, request):
        self.requests.append(vm_id)
        if vm_id in self.busy:
            refusal = RecordsPart(request.transfer_id, True, b"")
            asyncio.get_running_loop().call_soon(
                self.fetcher.receive_part, vm_id, refusal
            )
            return
        self.tasks.append(asyncio.create_task(self.send(vm_id, request)))

    async def send(self, vm_id, request):
        data = self.position_by_vm_id[vm_id].to_bytes(4, "big") + b"x" * 8000
        for start in range(0, len(data), self.part_bytes):
            await asyncio.sleep(self.part_seconds)
            if vm_id in self.mute | self.gone:
                return
            part = data[start : start + self.part_bytes]
            is_last = start + self.part_bytes >= len(data)
            message = RecordsPart(request.transfer_id, is_last, part)
            self.fetcher.receive_part(vm_id, message)


def test_records_that_many_vms_offer_are_fetched_from_one():
    """Guards against a narrow link that is filled with copies of one version."""

    async def main():
        vms = Vms()
        for number in range(70):
            distance = "zone" if number % 6 == 5 else "other_region"
            vms.offer(f"vm{number}", 9, distance)
        await asyncio.sleep(3.0)
        assert vms.position == 9
        assert len(vms.requests) == 1
        assert int(vms.requests[0][2:]) % 6 == 5

    run_virtual(main())


def test_versions_in_quick_succession_are_fetched_together():
    """Guards against a transfer and a decoding for each version of a storm."""

    async def main():
        vms = Vms()
        for version in range(1, 51):
            for number in range(5):
                vms.offer(f"vm{number}", version)
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        assert vms.position == 50
        assert len(vms.requests) <= 5.0 / (0.75 * PAUSE_SECONDS) + 2

    run_virtual(main())


@pytest.mark.parametrize("state", ["mute", "gone"])
def test_another_vm_is_asked_when_one_does_not_send(state):
    """Guards against a VM that stays on an old version as its source is silent."""

    async def main():
        vms = Vms()
        vms.offer("near", 9)
        vms.offer("far", 9, "other_region")
        await asyncio.sleep(2 * GATHER_SECONDS + 2 * vms.part_seconds)
        getattr(vms, state).add("near")
        await asyncio.sleep(2 * PART_TIMEOUT_SECONDS + PAUSE_SECONDS)
        assert vms.requests == ["near", "far"]
        assert vms.position == 9
        assert vms.fetcher.lag_seconds() == 0.0

    run_virtual(main())


def test_a_source_that_was_silent_is_asked_again_when_there_is_no_other():
    async def main():
        vms = Vms()
        vms.mute = {"only"}
        vms.offer("only", 9)
        await asyncio.sleep(2.0)
        assert vms.fetcher.lag_seconds() == pytest.approx(2.0)
        vms.mute = set()
        await asyncio.sleep(PART_TIMEOUT_SECONDS + 2 * PAUSE_SECONDS)
        assert vms.position == 9

    run_virtual(main())


def test_parts_that_come_after_their_time_are_not_mixed_into_another_transfer():
    """Guards against records that are put together from two transfers."""

    async def main():
        vms = Vms()
        vms.part_seconds = PART_TIMEOUT_SECONDS * 1.2
        vms.offer("slow", 9)
        await asyncio.sleep(1.0)
        vms.part_seconds = 0.01
        vms.offer("fast", 9)
        await asyncio.sleep(30.0)
        assert vms.position == 9

    run_virtual(main())


def test_a_vm_that_goes_on_with_an_abandoned_transfer_is_told_to_end_it():
    """Guards against links full of transfers whose receivers asked another VM."""

    async def main():
        vms = Vms()
        requests = []
        near = RecordSource("near", "zone", requests.append, lambda: True, 9)
        vms.fetcher.add_source(near)
        vms.offer("far", 9, "other_region")
        await asyncio.sleep(2 * GATHER_SECONDS + PART_TIMEOUT_SECONDS)
        assert vms.requests == [] and len(requests) == 1
        for _ in range(3):
            part = RecordsPart(requests[0].transfer_id, False, b"late")
            vms.fetcher.receive_part("near", part)
        assert [request.after for request in requests] == [0, BEYOND_ALL_RECORDS]
        await asyncio.sleep(2.0)
        assert vms.position == 9

    run_virtual(main())


def test_another_vm_is_asked_soon_when_one_refuses():
    """Guards against a wait for a VM that has said that it sends nothing."""

    async def main():
        vms = Vms()
        refusals = []

        def refuse(request):
            refusals.append(request)
            part = RecordsPart(request.transfer_id, True, b"")
            asyncio.get_running_loop().call_soon(vms.fetcher.receive_part, "near", part)

        vms.fetcher.add_source(RecordSource("near", "zone", refuse, lambda: True, 9))
        vms.offer("far", 9, "other_region")
        await asyncio.sleep(2 * GATHER_SECONDS + PAUSE_SECONDS + 10 * vms.part_seconds)
        assert len(refusals) == 1
        assert vms.position == 9

    run_virtual(main())


def test_vms_that_do_not_send_are_asked_ever_more_rarely():
    """Guards against a storm of requests behind a link that is full."""

    async def main():
        vms = Vms()
        vms.mute = {"only"}
        vms.offer("only", 9)
        await asyncio.sleep(20.0)
        longest = (PART_TIMEOUT_SECONDS + PAUSE_SECONDS) * 2**MAX_DOUBLINGS
        assert len(vms.requests) <= MAX_DOUBLINGS + 1 + 20.0 / (0.75 * longest)

    run_virtual(main())


def test_near_vms_that_are_all_busy_do_not_keep_a_vm_on_an_old_version():
    """Guards against a configuration that is in force late beside free sources."""

    async def main():
        vms = Vms()
        near = [f"near{number}" for number in range(6)]
        vms.offer("far", 9, "other_region")
        for vm_id in near:
            vms.offer(vm_id, 9)
            vms.busy.add(vm_id)
        await asyncio.sleep(1.0)
        assert vms.position == 9, vms.requests

    run_virtual(main())


def test_a_transfer_that_comes_after_its_time_is_taken():
    """Guards against a VM whose link is full, and that throws each answer away."""

    async def main():
        vms = Vms()
        vms.part_bytes = 10_000
        vms.part_seconds = PART_TIMEOUT_SECONDS + 0.5 * PAUSE_SECONDS + 0.2
        for number in range(6):
            vms.offer(f"vm{number}", 9)
        await asyncio.sleep(4 * PART_TIMEOUT_SECONDS)
        assert vms.position == 9, vms.requests

    run_virtual(main())
