import asyncio

from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.records_announcer import MIN_INTERVAL_SECONDS, RecordsAnnouncer


def test_a_storm_of_transfers_makes_few_announcements_and_ends_with_one():
    """Guards against a message from each VM to each other one for each version."""

    async def main():
        held, told = [], []
        announcer = RecordsAnnouncer(lambda: told.append(held[-1]), VirtualClock())
        for position in range(1, 51):
            held.append(position)
            announcer.announce_transferred_records()
            await asyncio.sleep(0.1)
        await asyncio.sleep(2 * MIN_INTERVAL_SECONDS)
        assert told[0] == 1 and told[-1] == 50
        assert len(told) <= 5.0 / MIN_INTERVAL_SECONDS + 2

    run_virtual(main())


def test_what_the_store_sends_is_announced_at_once_and_once():
    """Guards against readers that pass versions on late, or twice."""

    async def main():
        told = []
        announcer = RecordsAnnouncer(lambda: told.append(1), VirtualClock())
        announcer.announce_transferred_records()
        announcer.announce_transferred_records()
        announcer.announce_store_records()
        assert len(told) == 2
        await asyncio.sleep(2 * MIN_INTERVAL_SECONDS)
        assert len(told) == 2

    run_virtual(main())
