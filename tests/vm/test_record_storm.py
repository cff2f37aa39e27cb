"""Records that go from a few VMs on narrow links to many others."""

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
# As much as a compressed configuration of 1,650 routes; does not compress.
DOCUMENT = random.Random(1).randbytes(40_000)


class Stream:
    """Carries parts from a sender to a fetcher."""

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


def test_many_receivers_behind_narrow_senders_make_no_storm_of_requests():
    """Guards against requests and abandoned transfers that grow with the receivers."""

    async def main():
        clock, rng = VirtualClock(), random.Random(1)
        senders = []
        for _ in range(SENDERS):
            records = OperatorRecords()
            records.take([OperatorRecord("config", DOCUMENT, 5)], 5)
            encoder = TransferEncoder(records)
            senders.append(RecordSender(encoder, lambda: KBPS, clock))
        streams, requests, done = [], [], set()

        def add_receiver(number):
            def take(_):
                done.add(number)
                return True

            fetcher = RecordFetcher(
                lambda: 5 if number in done else -1, list, take, clock, rng
            )
            for index, sender in enumerate(senders):
                stream = Stream(f"vm{index}", fetcher)
                streams.append(stream)

                def ask(request, sender=sender, stream=stream):
                    requests.append(number)
                    sender.answer(stream, request, KBPS)

                fetcher.add_source(
                    RecordSource(f"vm{index}", "zone", ask, lambda: True, 5)
                )

        for number in range(RECEIVERS):
            add_receiver(number)
        least_seconds = (
            RECEIVERS * len(DOCUMENT) * 8 / (SENDERS * KBPS * 1000 * BANDWIDTH_SHARE)
        )
        await asyncio.sleep(2 * least_seconds)
        sent_bytes = sum(stream.sent_bytes for stream in streams)
        assert len(done) == RECEIVERS
        assert sent_bytes <= 1.1 * RECEIVERS * len(DOCUMENT)
        assert len(requests) <= 10 * RECEIVERS

    run_virtual(main())
