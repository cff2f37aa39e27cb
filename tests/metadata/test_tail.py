import asyncio
import random

from lacewingstair.metadata.tail import KeyedTail
from lacewingstair.runtime import SystemClock
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
