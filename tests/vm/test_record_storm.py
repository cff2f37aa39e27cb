"""Transfers of records from a few VMs with slow links to many receivers."""

import asyncio
import random

from lacewingstair.metadata.operator_records import OperatorRecord, OperatorRecords
from lacewingstair.metadata.record_transfer import TransferEncoder
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.record_fetcher import RecordFetcher, RecordSource
from lacewingstair.vm.record_sender import BANDWIDTH_SHARE, RecordSender

KBPS = 5_000
SENDERS = 3
RECEIVERS = 70
# Incompressible; as large as a compressed configuration of 1,650 routes.
DOCUMENT = random.Random(1).randbytes(40_000)


class FetcherStream:
    """Stream that delivers the parts of a sender to a fetcher."""

    is_closing = False

    def __init__(self, vm_id, fetcher):
        self.vm_id = vm_id
        self.fetcher = fetcher
        self.sent_bytes = 0

    def send(self, part):
        self.sent_bytes += len(part.data)
        asyncio.get_running_loop().call_later(
            0.005, self.fetcher.receive_part, self.vm_id, part
        )

    async def drain(self):
        pass


def test_many_receivers_of_senders_with_slow_links_send_few_requests():
    """Guards against retries and abandoned transfers that grow with the receivers."""

    async def main():
        clock, rng = VirtualClock(), random.Random(1)
        senders = []
        for _ in range(SENDERS):
            records = OperatorRecords()
            records.take([OperatorRecord("config", DOCUMENT, 5)], 5)
            encoder = TransferEncoder(records)
            senders.append(RecordSender(encoder, lambda: KBPS, clock))
        streams, requests, updated_receivers = [], [], set()

        def add_receiver(number):
            def apply_transfer(_):
                updated_receivers.add(number)
                return True

            fetcher = RecordFetcher(
                lambda: 5 if number in updated_receivers else -1,
                list,
                apply_transfer,
                clock,
                rng,
            )
            for index, sender in enumerate(senders):
                stream = FetcherStream(f"vm{index}", fetcher)
                streams.append(stream)

                def send_request(request, sender=sender, stream=stream):
                    requests.append(number)
                    sender.answer(stream, request, KBPS)

                fetcher.add_source(
                    RecordSource(f"vm{index}", "zone", send_request, lambda: True, 5)
                )

        for number in range(RECEIVERS):
            add_receiver(number)
        min_seconds = (
            RECEIVERS * len(DOCUMENT) * 8 / (SENDERS * KBPS * 1000 * BANDWIDTH_SHARE)
        )
        await asyncio.sleep(2 * min_seconds)
        sent_bytes = sum(stream.sent_bytes for stream in streams)
        assert len(updated_receivers) == RECEIVERS
        assert sent_bytes <= 1.1 * RECEIVERS * len(DOCUMENT)
        assert len(requests) <= 10 * RECEIVERS

    run_virtual(main())
