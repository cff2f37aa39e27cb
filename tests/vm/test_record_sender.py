import asyncio
import random

import pytest

from lacewingstair.metadata.operator_records import OperatorRecord, OperatorRecords
from lacewingstair.metadata.record_transfer import TransferEncoder
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.call_messages import RecordsRequest
from lacewingstair.vm.record_fetcher import (
    CANCEL_OFFSET,
    PART_TIMEOUT_SECONDS,
)
from lacewingstair.vm.record_sender import BANDWIDTH_SHARE, PART_BYTES, RecordSender

KBPS = 5_000
# Does not compress; 1.6 s of a whole link of `KBPS`.
DOCUMENT = random.Random(1).randbytes(1_000_000)


class Stream:
    """Keeps the parts that are sent."""

    is_closing = False

    def __init__(self):
        self.parts = []

    def send(self, part):
        self.parts.append(part)

    async def drain(self):
        pass

    def bytes_of(self, transfer_id):
        found = [p for p in self.parts if p.transfer_id == transfer_id]
        return sum(len(part.data) for part in found)


def sender():
    records = OperatorRecords()
    records.take([OperatorRecord("config", DOCUMENT, 5)], 5)
    return RecordSender(TransferEncoder(records), lambda: KBPS, VirtualClock())


def test_a_transfer_ends_when_its_receiver_asks_anew():
    """Guards against abandoned transfers that fill the link of a slow receiver.

    The receiver takes parts of its newest request only, and asks again after 0.5 s
    without a part, so that each one that waits behind calls adds one more transfer.
    """

    async def main():
        records, stream = sender(), Stream()
        records.answer(stream, RecordsRequest(1, -1, []), KBPS)
        await asyncio.sleep(0.5)
        before = stream.bytes_of(1)
        records.answer(stream, RecordsRequest(2, -1, []), KBPS)
        await asyncio.sleep(1.0)
        assert stream.bytes_of(2) > 0
        assert stream.bytes_of(1) - before <= PART_BYTES

    run_virtual(main())


@pytest.mark.parametrize("receivers", [1, 8])
def test_all_transfers_together_leave_most_of_the_link_to_calls(receivers):
    """Guards against a reader whose link is full of the records of its region."""

    async def main():
        records = sender()
        streams = [Stream() for _ in range(receivers)]
        for stream in streams:
            records.answer(stream, RecordsRequest(1, -1, []), 100_000)
        await asyncio.sleep(2.0)
        sent = sum(stream.bytes_of(1) for stream in streams)
        allowed = 2.0 * KBPS * 1000 / 8 * BANDWIDTH_SHARE
        assert sent <= allowed + PART_BYTES * receivers

    run_virtual(main())


def test_a_request_that_would_wait_long_for_its_turn_is_refused():
    """Guards against receivers that ask anew while they are in the queue."""

    async def main():
        records = sender()
        streams = [Stream() for _ in range(40)]
        for stream in streams:
            records.answer(stream, RecordsRequest(1, -1, []), 100_000)
        refused = [s for s in streams if [p.data for p in s.parts] == [b""]]
        assert all(stream.parts[0].is_last for stream in refused)
        served = [stream for stream in streams if stream not in refused]
        assert refused and served
        await asyncio.sleep(PART_TIMEOUT_SECONDS)
        assert all(stream.bytes_of(1) for stream in served)
        # The gap between the parts of one transfer is a round of all.
        before = [stream.bytes_of(1) for stream in served]
        await asyncio.sleep(PART_TIMEOUT_SECONDS)
        for stream, sent in zip(served, before, strict=True):
            assert stream.bytes_of(1) > sent

    run_virtual(main())


def test_a_request_for_nothing_ends_a_transfer():
    """Guards against a transfer that goes on after its receiver asked another VM."""

    async def main():
        records, stream = sender(), Stream()
        records.answer(stream, RecordsRequest(1, -1, []), KBPS)
        await asyncio.sleep(0.5)
        before = stream.bytes_of(1)
        records.answer(stream, RecordsRequest(1, CANCEL_OFFSET, []), KBPS)
        await asyncio.sleep(1.0)
        assert stream.bytes_of(1) - before <= PART_BYTES

    run_virtual(main())
