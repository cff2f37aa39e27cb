import asyncio

import pytest

from lacewingstair.standins.virtual_time import VirtualClock, run_virtual


def test_sleeping_tasks_wake_in_order_of_their_timers():
    async def main():
        clock = VirtualClock()
        woken = []

        async def sleeper(seconds):
            await clock.sleep(seconds)
            woken.append((seconds, round(clock.monotonic(), 6)))

        await asyncio.gather(*(sleeper(s) for s in (3600.0, 1.0, 60.0)))
        return woken

    assert run_virtual(main()) == [(1.0, 1.0), (60.0, 60.0), (3600.0, 3600.0)]


def test_a_deadlock_is_an_error_and_not_a_hang():
    async def main():
        await asyncio.Event().wait()

    with pytest.raises(RuntimeError, match="no timer"):
        run_virtual(main())
