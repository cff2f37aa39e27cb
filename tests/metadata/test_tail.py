import asyncio
import contextlib
import random
import time

from result import Err, Ok

from lacewingstair.errors import StoreUnavailable
from lacewingstair.metadata.tail import OVERDUE_SECONDS, KeyedTail
from lacewingstair.platform.store import KeyedPage, KeyedRecord
from lacewingstair.runtime import SystemClock
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from tests.platform.test_store import TOPIC, until, with_store

DOCUMENT_BYTES = 190_000
VERSIONS = 5


def test_a_tail_that_lags_far_behind_reads_no_more_than_it_may_need():
    """Guards against a narrow link that is filled after each cut.

    Other VMs send the newest version as a difference as soon as links are open again.
    """

    async def check(standin, store):
        for version in range(VERSIONS):
            await standin.put(TOPIC, "config", b"%d" % version * DOCUMENT_BYTES)
        received = []
        tail = KeyedTail(
            store,
            TOPIC,
            lambda records, position: received.append(
                store.bytes_by_labels["log-read", "received"]
            ),
            SystemClock(),
            random.Random(1),
            0.2,
            lambda: 1.0,
        )
        tail.skip_to(0)
        task = asyncio.create_task(tail.run())
        await until(lambda: received)
        task.cancel()
        assert received[0] < 2 * DOCUMENT_BYTES

    with_store(check)


def test_a_tail_that_lags_gets_the_newest_version_at_once():
    """Guards against a reader that falls behind a storm of versions."""

    async def check(standin, store):
        for version in range(VERSIONS):
            await standin.put(TOPIC, "config", b"%d" % version * DOCUMENT_BYTES)
        seen = []
        tail = KeyedTail(
            store,
            TOPIC,
            lambda records, position: seen.append((records[-1].value[:1], position)),
            SystemClock(),
            random.Random(1),
            0.2,
            lambda: 60.0,
        )
        tail.skip_to(0)
        task = asyncio.create_task(tail.run())
        await until(lambda: len(seen) == 2)
        task.cancel()
        assert seen[-1] == (b"%d" % (VERSIONS - 1), VERSIONS - 1)
        assert store.calls_by_operation == {"log-read": 1, "log-newest": 1}

    with_store(check)


class HangingStore:
    """Store whose waiting reads never return; other reads are answered.

    Attributes
    ----------
    records : list of KeyedRecord
        What it holds.
    waits : list of float
        Longest wait of each read.
    """

    def __init__(self):
        self.records = [KeyedRecord("a", b"1", 0)]
        self.waits = []

    async def newest(self, topic):
        end = len(self.records)
        return Ok(KeyedPage(tuple(self.records), end, end))

    async def read(self, topic, offset, wait_seconds):
        self.waits.append(wait_seconds)
        if wait_seconds:
            await asyncio.sleep(3600)
        end = len(self.records)
        return Ok(KeyedPage(tuple(self.records[offset:]), end, end))


def following(store, on_records=lambda records, position: None):
    return KeyedTail(
        store, TOPIC, on_records, VirtualClock(), random.Random(1), 20.0, lambda: 0.1
    )


def test_a_waiting_read_whose_record_exists_is_given_up():
    """Guards against a reader that trusts a connection since it is open."""

    async def main():
        store = HangingStore()
        taken = []
        tail = following(store, lambda records, position: taken.append(position))
        running = asyncio.create_task(tail.run())
        await asyncio.sleep(1.0)
        assert store.waits == [20.0]
        store.records.append(KeyedRecord("a", b"2", 1))
        tail.note_end(2)
        await asyncio.sleep(OVERDUE_SECONDS + 0.5)
        assert taken[-1] == 1
        assert store.waits == [20.0, 0.0, 20.0]
        running.cancel()

    run_virtual(main())


def test_a_waiting_read_is_left_alone_while_its_record_does_not_exist():
    async def main():
        store = HangingStore()
        tail = following(store)
        running = asyncio.create_task(tail.run())
        await asyncio.sleep(1.0)
        tail.note_end(1)
        await asyncio.sleep(5.0)
        assert store.waits == [20.0]
        assert tail.is_up
        running.cancel()

    run_virtual(main())


class LateStore(HangingStore):
    """Store whose waiting reads return when a record is there."""

    async def read(self, topic, offset, wait_seconds):
        self.waits.append(wait_seconds)
        while len(self.records) == offset:  # noqa: ASYNC110 - plain state
            await asyncio.sleep(0.05)
        # An answer takes several steps of the loop to be read.
        for _ in range(10):
            await asyncio.sleep(0)
        end = len(self.records)
        return Ok(KeyedPage(tuple(self.records[offset:]), end, end))


def test_an_answer_that_came_while_the_loop_was_blocked_counts():
    """Guards against a busy process that gives up reads which were answered."""

    async def main():
        store = LateStore()
        taken = []
        tail = KeyedTail(
            store,
            TOPIC,
            lambda records, position: taken.append(position),
            SystemClock(),
            random.Random(1),
            20.0,
            lambda: 0.0,
        )
        running = asyncio.create_task(tail.run())
        await until(lambda: taken == [0] and store.waits == [20.0])
        tail.note_end(2)
        store.records.append(KeyedRecord("a", b"2", 1))
        time.sleep(OVERDUE_SECONDS + 0.5)  # noqa: ASYNC251 - blocks the loop
        await until(lambda: taken == [0, 1] and len(store.waits) == 2)
        assert store.waits == [20.0, 20.0]
        running.cancel()

    asyncio.run(main())


def test_a_tail_whose_waiting_read_was_given_up_does_not_count_as_up():
    """Guards against a reader that others rely on while the store is silent."""

    async def main():
        store = HangingStore()
        tail = following(store)
        running = asyncio.create_task(tail.run())
        await asyncio.sleep(1.0)
        assert tail.is_up

        async def silent(topic, offset, wait_seconds):
            await asyncio.sleep(2.0)
            return Err(StoreUnavailable("log-read", "no answer"))

        store.read = silent
        tail.give_up_waiting()
        await asyncio.sleep(0.1)
        assert not tail.is_up
        running.cancel()

    run_virtual(main())


def test_records_that_could_not_be_applied_are_read_again():
    """Guards against progress that is noted before its effect."""

    async def main():
        store = HangingStore()
        outcomes = iter([ValueError("not applied")])
        taken = []

        def apply(records, position):
            if (error := next(outcomes, None)) is not None:
                raise error
            taken.append((records[-1].value, position))

        tail = following(store, apply)
        with contextlib.suppress(ValueError):
            await tail.run()
        running = asyncio.create_task(tail.run())
        await asyncio.sleep(1.0)
        running.cancel()
        assert taken == [(b"1", 0)]

    run_virtual(main())
