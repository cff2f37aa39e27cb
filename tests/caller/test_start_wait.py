"""Replays of callers who are back before a process has learned the mesh."""

import asyncio

import pytest

from lacewingstair.caller.start_wait import StartWait
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual

MESH_KNOWN_SECONDS = 0.13


def waits_of_callers(arrivals, known_at, remaining_ms):
    """Return how long callers wait who arrive at these seconds after the start."""

    async def main():
        clock = VirtualClock()
        start = clock.monotonic()
        wait = StartWait(lambda: clock.monotonic() >= start + known_at, clock)
        running = asyncio.create_task(wait.run())

        async def caller(arrival):
            await clock.sleep(arrival)
            arrived_at = clock.monotonic()
            await wait.wait(remaining_ms)
            return clock.monotonic() - arrived_at

        waited = await asyncio.gather(*map(caller, arrivals))
        running.cancel()
        return waited

    return run_virtual(main())


def test_callers_of_a_killed_mesh_wait_until_it_is_known():
    """Guards against refusals that cost callers one of their few attempts."""
    arrivals = [0.0, 0.05, 0.1, 0.2, 0.5]
    waited = waits_of_callers(arrivals, MESH_KNOWN_SECONDS, 800.0)
    for arrival, seconds in zip(arrivals, waited, strict=True):
        expected = max(0.0, MESH_KNOWN_SECONDS - arrival)
        assert expected <= seconds <= expected + 0.025


@pytest.mark.parametrize(
    ("remaining_ms", "expected"), [(400.0, 0.12), (2500.0, 0.25), (None, 0.0)]
)
def test_a_call_waits_for_a_part_of_its_time_at_most(remaining_ms, expected):
    """Guards against calls that are held while nothing can serve them."""
    (waited,) = waits_of_callers([0.0], 60.0, remaining_ms)
    assert waited == pytest.approx(expected, abs=0.001)


def test_no_call_waits_once_the_start_is_over():
    """Guards against calls that are held during an outage of the store."""
    waited = waits_of_callers([0.95, 1.1, 5.0], 60.0, 800.0)
    assert waited[0] == pytest.approx(0.05, abs=0.03)
    assert waited[1:] == [0.0, 0.0]
