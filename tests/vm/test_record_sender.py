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
# Incompressible; it takes 1.6 s at the full bandwidth of a link of `KBPS`.
DOCUMENT = random.Random(1).randbytes(1_000_000)


class RecordingStream:
    """Stream that records the sent parts."""

    is_closing = False

    def __init__(self):
        self.parts = []

    def send(self, part):
        self.parts.append(part)

    async def drain(self):
        pass

    def sent_bytes(self, transfer_id):
        parts = [p for p in self.parts if p.transfer_id == transfer_id]
        return sum(len(part.data) for part in parts)


def create_sender():
    records = OperatorRecords()
    records.take([OperatorRecord("config", DOCUMENT, 5)], 5)
    return RecordSender(TransferEncoder(records), lambda: KBPS, VirtualClock())


def test_a_new_request_of_a_receiver_ends_its_earlier_transfer():
    """Guards against abandoned transfers that saturate the link of a slow receiver.

    A receiver sends a new request after 0.5 s without a part and ignores the earlier
    transfer. Each transfer delayed by calls would otherwise add another one.
    """

    async def main():
        record_sender, stream = create_sender(), RecordingStream()
        record_sender.answer(stream, RecordsRequest(1, -1, []), KBPS)
        await asyncio.sleep(0.5)
        before = stream.sent_bytes(1)
        record_sender.answer(stream, RecordsRequest(2, -1, []), KBPS)
        await asyncio.sleep(1.0)
        assert stream.sent_bytes(2) > 0
        assert stream.sent_bytes(1) - before <= PART_BYTES

    run_virtual(main())


@pytest.mark.parametrize("receivers", [1, 8])
def test_concurrent_transfers_leave_most_of_the_link_to_calls(receivers):
    """Guards against a link saturated by record transfers to the VMs of a region."""

    async def main():
        record_sender = create_sender()
        streams = [RecordingStream() for _ in range(receivers)]
        for stream in streams:
            record_sender.answer(stream, RecordsRequest(1, -1, []), 100_000)
        await asyncio.sleep(2.0)
        sent = sum(stream.sent_bytes(1) for stream in streams)
        allowed = 2.0 * KBPS * 1000 / 8 * BANDWIDTH_SHARE
        assert sent <= allowed + PART_BYTES * receivers

    run_virtual(main())


def test_a_request_that_would_be_queued_too_long_is_refused():
    """Guards against receivers that time out and retry while they are queued."""

    async def main():
        record_sender = create_sender()
        streams = [RecordingStream() for _ in range(40)]
        for stream in streams:
            record_sender.answer(stream, RecordsRequest(1, -1, []), 100_000)
        refused = [s for s in streams if [p.data for p in s.parts] == [b""]]
        assert all(stream.parts[0].is_last for stream in refused)
        served = [stream for stream in streams if stream not in refused]
        assert refused and served
        await asyncio.sleep(PART_TIMEOUT_SECONDS)
        assert all(stream.sent_bytes(1) for stream in served)
        # Each transfer sends one part per round of all transfers.
        before = [stream.sent_bytes(1) for stream in served]
        await asyncio.sleep(PART_TIMEOUT_SECONDS)
        for stream, sent in zip(served, before, strict=True):
            assert stream.sent_bytes(1) > sent

    run_virtual(main())


def test_a_request_with_the_cancel_offset_ends_a_transfer():
    """Guards against a transfer that continues after its receiver abandoned it."""

    async def main():
        record_sender, stream = create_sender(), RecordingStream()
        record_sender.answer(stream, RecordsRequest(1, -1, []), KBPS)
        await asyncio.sleep(0.5)
        before = stream.sent_bytes(1)
        record_sender.answer(stream, RecordsRequest(1, CANCEL_OFFSET, []), KBPS)
        await asyncio.sleep(1.0)
        assert stream.sent_bytes(1) - before <= PART_BYTES

    run_virtual(main())
