import asyncio

from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.records_announcer import MIN_INTERVAL_SECONDS, RecordsAnnouncer


def test_a_burst_of_transfers_causes_few_announcements_and_ends_with_one():
    """Guards against a message between each pair of VMs for each version."""

    async def main():
        positions, announcements = [], []
        announcer = RecordsAnnouncer(
            lambda: announcements.append(positions[-1]), VirtualClock()
        )
        for position in range(1, 51):
            positions.append(position)
            announcer.announce_transferred_records()
            await asyncio.sleep(0.1)
        await asyncio.sleep(2 * MIN_INTERVAL_SECONDS)
        assert announcements[0] == 1 and announcements[-1] == 50
        assert len(announcements) <= 5.0 / MIN_INTERVAL_SECONDS + 2

    run_virtual(main())


def test_records_from_the_store_are_announced_immediately_and_once():
    """Guards against readers of the store that announce versions late or twice."""

    async def main():
        announcements = []
        announcer = RecordsAnnouncer(lambda: announcements.append(1), VirtualClock())
        announcer.announce_transferred_records()
        announcer.announce_transferred_records()
        announcer.announce_store_records()
        assert len(announcements) == 2
        await asyncio.sleep(2 * MIN_INTERVAL_SECONDS)
        assert len(announcements) == 2

    run_virtual(main())
