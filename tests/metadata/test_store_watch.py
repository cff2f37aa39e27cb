import asyncio
import math
import random

import pytest
from result import Err, Ok

from lacewingstair.errors import StoreUnavailable
from lacewingstair.metadata.store_watch import (
    CHECK_INTERVAL_SECONDS,
    ENTRIES_INTERVAL_SECONDS,
    START_SECONDS,
    StoreWatch,
    Turn,
    WatchedTopic,
)
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual

ANSWER_SECONDS = 0.04
LINK_SECONDS = 0.02
TIMEOUT_SECONDS = 2.0
# Between the acknowledgement of a version and its coming into force.
CONFIG_APPLY_SECONDS = 2.5


class Fleet:
    """VMs that tell each other of their checks, and a store that counts them.

    Attributes
    ----------
    unreachable : set of int
        VMs to which the store does not answer.
    """

    def __init__(self, vms):
        self.clock = VirtualClock()
        self.unreachable = set()
        self.calls = []
        self.entries_calls = []
        self.given_up = []
        self.proven_at = [-math.inf] * vms
        self.watches = [self._watch(number, vms) for number in range(vms)]

    def _watch(self, number, vms):
        operators = WatchedTopic(
            lambda: self._check(number, self.calls),
            lambda end, read_at: self._announce(number),
            lambda: self.given_up.append(number),
        )
        entries = WatchedTopic(
            lambda: self._check(number, self.entries_calls),
            lambda end, read_at: [w.note_entries_check() for w in self.watches],
            lambda: None,
        )
        return StoreWatch(
            operators,
            entries,
            lambda: Turn(number, vms),
            lambda: self.proven_at[number],
            self.clock,
            random.Random(number),
        )

    async def _check(self, number, calls):
        calls.append((self.clock.monotonic(), number))
        if number in self.unreachable:
            await asyncio.sleep(TIMEOUT_SECONDS)
            return Err(StoreUnavailable("log-read", "no answer"))
        asked_at = self.clock.monotonic()
        await asyncio.sleep(ANSWER_SECONDS)
        self.proven_at[number] = asked_at
        return Ok(1)

    def _announce(self, number):
        asked_at = self.proven_at[number]
        for other in range(len(self.proven_at)):
            loop = asyncio.get_running_loop()
            loop.call_later(LINK_SECONDS, self._hear, other, asked_at)

    def _hear(self, number, asked_at):
        self.proven_at[number] = max(self.proven_at[number], asked_at + ANSWER_SECONDS)

    async def run(self, seconds):
        tasks = [asyncio.create_task(watch.run()) for watch in self.watches]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


@pytest.mark.parametrize("vms", [1, 18, 60, 234])
def test_one_vm_checks_for_all(vms):
    """Guards against calls to the store that grow with the number of VMs."""

    async def main():
        fleet = Fleet(vms)
        await fleet.run(START_SECONDS + 30)
        assert len(fleet.calls) <= 30 / CHECK_INTERVAL_SECONDS + 2
        assert len(fleet.entries_calls) <= 30 / ENTRIES_INTERVAL_SECONDS + 2
        assert {number for _, number in fleet.calls} == {0}

    run_virtual(main())


@pytest.mark.parametrize("vms", [18, 60, 234])
def test_every_vm_has_a_proof_in_time_whoever_is_cut_off(vms):
    """Guards against a fleet that relies on VMs which the store does not answer.

    Only the last VM reaches it.
    """

    async def main():
        fleet = Fleet(vms)
        running = asyncio.create_task(fleet.run(START_SECONDS + 20))
        await asyncio.sleep(START_SECONDS + 5)
        fleet.unreachable = set(range(vms - 1))
        cut_at = fleet.clock.monotonic()
        oldest = 0.0
        while not running.done():
            await asyncio.sleep(0.1)
            age = fleet.clock.monotonic() - min(fleet.proven_at)
            oldest = max(oldest, age)
        assert oldest < CONFIG_APPLY_SECONDS
        late = [at for at, number in fleet.calls if at > cut_at]
        # All VMs together make fewer calls than the store takes from them.
        assert len(late) / 15 < 400

    run_virtual(main())


@pytest.mark.parametrize("vms", [18, 60, 234])
def test_vms_without_an_answer_make_few_checks_together(vms):
    """Guards against a store that cannot recover under the checks of all VMs."""

    async def main():
        fleet = Fleet(vms)
        fleet.unreachable = set(range(vms))
        running = asyncio.create_task(fleet.run(START_SECONDS + 31))
        await asyncio.sleep(START_SECONDS + 10)
        before = len(fleet.calls)
        await asyncio.sleep(20)
        assert (len(fleet.calls) - before) / 20 < 50
        fleet.unreachable = set()
        back_at = fleet.clock.monotonic()
        while min(fleet.proven_at) < back_at:  # noqa: ASYNC110 - plain state
            await asyncio.sleep(0.05)
        assert fleet.clock.monotonic() - back_at < 1.0
        await running

    run_virtual(main())


def test_vms_without_an_answer_check_again_soon_after_the_store_is_back():
    async def main():
        fleet = Fleet(18)
        fleet.unreachable = set(range(18))
        running = asyncio.create_task(fleet.run(START_SECONDS + 12))
        await asyncio.sleep(START_SECONDS + 10)
        calls = len(fleet.calls)
        # An answer may be late, so that a VM makes further checks meanwhile.
        assert 18 * 10 / 3 < calls < 18 * 10 / 1.0
        assert set(fleet.given_up) == set(range(18))
        fleet.unreachable = set()
        back_at = fleet.clock.monotonic()
        while min(fleet.proven_at) < back_at:  # noqa: ASYNC110 - plain state
            await asyncio.sleep(0.05)
        assert fleet.clock.monotonic() - back_at < 1.0
        await running

    run_virtual(main())


def test_vms_that_cannot_use_the_newest_records_make_few_checks():
    """Guards against a fleet that asks for one unusable record again and again."""

    async def main():
        fleet = Fleet(18)
        fleet._hear = lambda number, asked_at: None

        async def check(number, calls):
            calls.append((fleet.clock.monotonic(), number))
            await asyncio.sleep(ANSWER_SECONDS)
            return Ok(1)

        fleet._check = check
        await fleet.run(START_SECONDS + 30)
        assert len(fleet.calls) < 18 * 30

    run_virtual(main())


def test_a_check_that_fails_by_a_fault_of_the_program_is_made_again():
    """Guards against a VM that never checks again after one odd answer."""

    async def main():
        fleet = Fleet(1)
        answered = fleet._check
        outcomes = iter([AttributeError("odd")])

        async def check(number, calls):
            if (error := next(outcomes, None)) is not None:
                raise error
            return await answered(number, calls)

        fleet._check = check
        await fleet.run(START_SECONDS + 5)
        assert fleet.proven_at[0] > START_SECONDS

    run_virtual(main())
