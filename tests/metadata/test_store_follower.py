import asyncio
import random

import pytest

from lacewingstair.metadata.freshness import Freshness
from lacewingstair.metadata.store_follower import StoreFollower
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.call_messages import StoreChecked, StoreTopic


@pytest.mark.parametrize(
    "topic, position, is_held",
    [
        (StoreTopic.OPERATORS, 7, True),
        (StoreTopic.OPERATORS, 6, False),
        (StoreTopic.ENTRIES, 6, True),
    ],
)
def test_the_end_of_a_topic_is_held_by_vms_that_hold_its_records(
    topic, position, is_held
):
    """Guards against VMs that fetch records from one that could not use them."""

    async def main():
        clock, sent = VirtualClock(), []
        follower = StoreFollower(
            store=None,
            take_operator_records=None,
            take_entries=None,
            freshness=Freshness(lambda: position, clock, None),
            registration=None,
            links=(),
            fetcher=None,
            broadcast=sent.append,
            on_reading_change=None,
            clock=clock,
            rng=random.Random(1),
        )
        watched = follower._watched(follower._operator_tail, topic)
        read_at = clock.monotonic()
        await asyncio.sleep(0.25)
        watched.announce(8, read_at)
        assert sent == [StoreChecked(topic, 8, is_held, 250, 250)]

    run_virtual(main())
