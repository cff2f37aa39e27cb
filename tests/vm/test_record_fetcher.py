import asyncio
import random

import pytest

from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.call_messages import RecordsPart
from lacewingstair.vm.record_fetcher import (
    CANCEL_OFFSET,
    INITIAL_DELAY_SECONDS,
    MAX_BACKOFF_DOUBLINGS,
    PART_TIMEOUT_SECONDS,
    TRANSFER_PAUSE_SECONDS,
    RecordFetcher,
    RecordSource,
)


class FetchHarness:
    """Fetcher of one VM and simulated sources that hold records up to an offset."""

    def __init__(self, seed=1):
        self.position = 0
        self.requests = []
        self.silent_vm_ids = set()
        self.unusable_vm_ids = set()
        self.busy_vm_ids = set()
        self.part_bytes = 1000
        self.part_seconds = 0.05
        self.position_by_vm_id = {}
        self.send_tasks = []
        self.fetcher = RecordFetcher(
            lambda: self.position,
            lambda: [self.position],
            self.apply_transfer,
            VirtualClock(),
            random.Random(seed),
        )

    def apply_transfer(self, data):
        self.position = max(self.position, int.from_bytes(data[:4], "big"))
        return True

    def add_source(self, vm_id, position, distance="zone"):
        self.position_by_vm_id[vm_id] = position
        self.fetcher.add_source(
            RecordSource(
                vm_id,
                distance,
                lambda request: self.handle_request(vm_id, request),
                lambda: vm_id not in self.unusable_vm_ids,
                position,
            )
        )

    def handle_request(self, vm_id, request):
        self.requests.append(vm_id)
        if vm_id in self.busy_vm_ids:
            refusal = RecordsPart(request.transfer_id, True, b"")
            asyncio.get_running_loop().call_soon(
                self.fetcher.receive_part, vm_id, refusal
            )
            return
        self.send_tasks.append(asyncio.create_task(self.send_parts(vm_id, request)))

    async def send_parts(self, vm_id, request):
        data = self.position_by_vm_id[vm_id].to_bytes(4, "big") + b"x" * 8000
        for start in range(0, len(data), self.part_bytes):
            await asyncio.sleep(self.part_seconds)
            if vm_id in self.silent_vm_ids | self.unusable_vm_ids:
                return
            part = data[start : start + self.part_bytes]
            is_last = start + self.part_bytes >= len(data)
            message = RecordsPart(request.transfer_id, is_last, part)
            self.fetcher.receive_part(vm_id, message)


def test_records_announced_by_many_vms_are_fetched_from_one():
    """Guards against several copies of one version that saturate a slow link."""

    async def main():
        harness = FetchHarness()
        for number in range(70):
            distance = "zone" if number % 6 == 5 else "other_region"
            harness.add_source(f"vm{number}", 9, distance)
        await asyncio.sleep(3.0)
        assert harness.position == 9
        assert len(harness.requests) == 1
        assert int(harness.requests[0][2:]) % 6 == 5

    run_virtual(main())


def test_versions_in_quick_succession_are_fetched_together():
    """Guards against one transfer and decoding per version in a burst of writes."""

    async def main():
        harness = FetchHarness()
        for version in range(1, 51):
            for number in range(5):
                harness.add_source(f"vm{number}", version)
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        assert harness.position == 50
        assert len(harness.requests) <= 5.0 / (0.75 * TRANSFER_PAUSE_SECONDS) + 2

    run_virtual(main())


@pytest.mark.parametrize("state", ["silent_vm_ids", "unusable_vm_ids"])
def test_another_vm_is_asked_when_a_source_stops_sending(state):
    """Guards against a VM that stays on an old version because its source is silent."""

    async def main():
        harness = FetchHarness()
        harness.add_source("near", 9)
        harness.add_source("far", 9, "other_region")
        await asyncio.sleep(2 * INITIAL_DELAY_SECONDS + 2 * harness.part_seconds)
        getattr(harness, state).add("near")
        await asyncio.sleep(2 * PART_TIMEOUT_SECONDS + TRANSFER_PAUSE_SECONDS)
        assert harness.requests == ["near", "far"]
        assert harness.position == 9
        assert harness.fetcher.lag_seconds() == 0.0

    run_virtual(main())


def test_a_silent_source_is_retried_when_there_is_no_other():
    async def main():
        harness = FetchHarness()
        harness.silent_vm_ids = {"only"}
        harness.add_source("only", 9)
        await asyncio.sleep(2.0)
        assert harness.fetcher.lag_seconds() == pytest.approx(2.0)
        harness.silent_vm_ids = set()
        await asyncio.sleep(PART_TIMEOUT_SECONDS + 2 * TRANSFER_PAUSE_SECONDS)
        assert harness.position == 9

    run_virtual(main())


def test_late_parts_are_not_mixed_into_another_transfer():
    """Guards against records assembled from the parts of two transfers."""

    async def main():
        harness = FetchHarness()
        harness.part_seconds = PART_TIMEOUT_SECONDS * 1.2
        harness.add_source("slow", 9)
        await asyncio.sleep(1.0)
        harness.part_seconds = 0.01
        harness.add_source("fast", 9)
        await asyncio.sleep(30.0)
        assert harness.position == 9

    run_virtual(main())


def test_a_vm_that_continues_an_abandoned_transfer_is_told_to_stop():
    """Guards against links saturated by transfers that their receivers abandoned."""

    async def main():
        harness = FetchHarness()
        requests = []
        near = RecordSource("near", "zone", requests.append, lambda: True, 9)
        harness.fetcher.add_source(near)
        harness.add_source("far", 9, "other_region")
        await asyncio.sleep(2 * INITIAL_DELAY_SECONDS + PART_TIMEOUT_SECONDS)
        assert harness.requests == [] and len(requests) == 1
        for _ in range(3):
            part = RecordsPart(requests[0].transfer_id, False, b"late")
            harness.fetcher.receive_part("near", part)
        assert [request.after for request in requests] == [0, CANCEL_OFFSET]
        await asyncio.sleep(2.0)
        assert harness.position == 9

    run_virtual(main())


def test_another_vm_is_asked_soon_after_a_refusal():
    """Guards against waiting for the timeout of a source that has already refused."""

    async def main():
        harness = FetchHarness()
        refusals = []

        def refuse(request):
            refusals.append(request)
            part = RecordsPart(request.transfer_id, True, b"")
            asyncio.get_running_loop().call_soon(
                harness.fetcher.receive_part, "near", part
            )

        harness.fetcher.add_source(
            RecordSource("near", "zone", refuse, lambda: True, 9)
        )
        harness.add_source("far", 9, "other_region")
        await asyncio.sleep(
            2 * INITIAL_DELAY_SECONDS
            + TRANSFER_PAUSE_SECONDS
            + 10 * harness.part_seconds
        )
        assert len(refusals) == 1
        assert harness.position == 9

    run_virtual(main())


def test_requests_to_silent_vms_back_off():
    """Guards against a flood of requests to sources behind a saturated link."""

    async def main():
        harness = FetchHarness()
        harness.silent_vm_ids = {"only"}
        harness.add_source("only", 9)
        await asyncio.sleep(20.0)
        max_cycle_seconds = (
            PART_TIMEOUT_SECONDS + TRANSFER_PAUSE_SECONDS
        ) * 2**MAX_BACKOFF_DOUBLINGS
        assert len(harness.requests) <= MAX_BACKOFF_DOUBLINGS + 1 + 20.0 / (
            0.75 * max_cycle_seconds
        )

    run_virtual(main())


def test_busy_near_vms_do_not_delay_a_fetch_from_a_free_one():
    """Guards against a late configuration while a source with capacity exists."""

    async def main():
        harness = FetchHarness()
        near = [f"near{number}" for number in range(6)]
        harness.add_source("far", 9, "other_region")
        for vm_id in near:
            harness.add_source(vm_id, 9)
            harness.busy_vm_ids.add(vm_id)
        await asyncio.sleep(1.0)
        assert harness.position == 9, harness.requests

    run_virtual(main())


def test_a_transfer_that_starts_after_its_timeout_is_used():
    """Guards against a VM that discards every transfer because its link is saturated.

    Each transfer arrives after its timeout, when another request is sent.
    """

    async def main():
        harness = FetchHarness()
        harness.part_bytes = 10_000
        harness.part_seconds = PART_TIMEOUT_SECONDS + 0.5 * TRANSFER_PAUSE_SECONDS + 0.2
        for number in range(6):
            harness.add_source(f"vm{number}", 9)
        await asyncio.sleep(4 * PART_TIMEOUT_SECONDS)
        assert harness.position == 9, harness.requests

    run_virtual(main())
