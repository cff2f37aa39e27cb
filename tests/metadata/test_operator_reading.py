import asyncio
import random

from result import Ok

from lacewingstair.metadata.operator_reading import OperatorReading
from lacewingstair.metadata.tail import KeyedTail
from lacewingstair.platform.store import KeyedPage, KeyedRecord
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.entries import VmEntry

WAIT_SECONDS = 20.0


class IdleStore:
    """Store that answers; nothing is written to it."""

    def __init__(self):
        self.fails_next = False

    async def newest(self, topic):
        return Ok(KeyedPage((KeyedRecord("a", b"b", 4),), 5, 5))

    async def read(self, topic, offset, wait_seconds):
        await asyncio.sleep(0.02)
        if self.fails_next:
            self.fails_next = False
            raise AttributeError("an answer of a form that nobody expected")
        await asyncio.sleep(wait_seconds)
        return Ok(KeyedPage((), offset, offset))


class Fetcher:
    def __init__(self):
        self.behind = 0.0

    def lag_seconds(self):
        return self.behind


def reading_of(store):
    clock = VirtualClock()
    tail = KeyedTail(
        store,
        "t",
        lambda records, position: None,
        clock,
        random.Random(1),
        WAIT_SECONDS,
        lambda: 0.1,
    )
    own = VmEntry("own", "r", "z", "a:1", "board")
    reading = OperatorReading(tail, lambda: own, [], Fetcher(), lambda: None, clock)
    return tail, reading


def test_a_vm_that_follows_the_store_again_counts_as_a_reader_soon():
    """Guards against a region whose VMs all begin to read when one reader is lost.

    One that takes over waits in its first read while nothing is written; until it says
    that it reads, three more begin after each second.
    """

    async def main():
        tail, reading = reading_of(IdleStore())
        running = asyncio.create_task(reading.run())
        await asyncio.sleep(1.0)
        assert reading.is_reading
        reading._stop()
        await asyncio.sleep(0.1)
        assert not tail.is_up
        # It is the only VM of its region and begins again at once.
        await asyncio.sleep(2.0)
        is_reading = reading.is_reading
        running.cancel()
        await asyncio.wait((running,))
        assert is_reading

    run_virtual(main())


def test_a_reading_that_ended_by_an_error_is_started_again():
    """Guards against a VM that never reads the store again after one odd answer."""

    async def main():
        store = IdleStore()
        store.fails_next = True
        _, reading = reading_of(store)
        running = asyncio.create_task(reading.run())
        await asyncio.sleep(2 * WAIT_SECONDS)
        is_reading = reading.is_reading
        running.cancel()
        await asyncio.wait((running,))
        assert is_reading

    run_virtual(main())
