"""Checks in turn with the other VMs where the topics of the store end.

A read that waits for records shows nothing while it waits: neither that the store
responds nor that its connection still works. So one VM at a time reads without waiting
and tells all others where the topic ends. Each VM learns from that whether it holds the
newest records, and whether its own waiting reads should have returned.

There is no coordinator. Every VM makes the next check when it has heard of none for the
interval and a delay that grows with its rank, so that usually the first one checks, and
the next ones as soon as it does not.
"""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable

import attrs
from result import Err, Result

from lacewingstair import events
from lacewingstair.errors import StoreUnavailable
from lacewingstair.runtime import Clock

CHECK_INTERVAL_SECONDS = 0.5
# Entries of VMs also come on links, so that they can be checked less often.
ENTRIES_INTERVAL_SECONDS = 3.0
# A VM that starts reads both topics, and opens its links meanwhile.
START_SECONDS = 2.0
# Between the VMs of rank 1, those of ranks 2 and 3, those of ranks 4 to 7, and so on.
# The first VM has twice as long, which includes the time of its read.
TURN_SECONDS = 0.15
# Share of a turn by which VMs of one turn differ.
TURN_JITTER = 0.3
# Pause before a VM whose check has not been answered makes the next one.
RETRY_SECONDS = (0.5, 1.0)
# The pause grows over the first checks without an answer, so that all VMs together make
# about as many checks as few do.
CHECKS_UNTIL_LONGEST_PAUSE = 4
SHORTEST_SLOWDOWN = 2.0
VMS_PER_SLOWDOWN = 25
# After a wake-up that is later than this, the event loop was blocked or the process
# paused, and messages of other VMs wait to be read.
LATE_WAKE_SECONDS = 0.2
UNREAD_MESSAGES_SECONDS = 0.05
# Checks that may be open at a time; each uses a connection of its own.
MAX_OPEN_CHECKS = 4


@attrs.frozen
class Turn:
    """Place of this VM among those that it has working links to.

    Parameters
    ----------
    rank : int
        Number of VMs that check before this one.
    vms : int
        Number of VMs, including this one.
    """

    rank: int
    vms: int

    @property
    def delay_seconds(self) -> float:
        """How long this VM leaves the check to those before it."""
        if self.rank == 0:
            return 0.0
        return TURN_SECONDS * (1 + self.rank.bit_length())


@attrs.frozen
class WatchedTopic:
    """A topic that is checked.

    Parameters
    ----------
    check : callable
        Reads without waiting; returns where the topic ends.
    announce : callable
        Tells the other VMs where the topic ends, and when this VM has read it in
        monotonic seconds.
    give_up_waiting : callable
        Gives up a waiting read of this VM.
    """

    check: Callable[[], Awaitable[Result[int, StoreUnavailable]]]
    announce: Callable[[int, float], None]
    give_up_waiting: Callable[[], None]


class StoreWatch:
    """Makes a check whenever it is this VM's turn.

    Parameters
    ----------
    operators, entries : WatchedTopic
        Topics of the operators' records and of the entries of VMs.
    turn : callable
        Returns the place of this VM.
    heard_at : callable
        Returns when this VM last heard of a read of the operators' topic, monotonic
        seconds.
    clock, rng
        Clock and random generator.
    """

    def __init__(
        self,
        operators: WatchedTopic,
        entries: WatchedTopic,
        turn: Callable[[], Turn],
        heard_at: Callable[[], float],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._operators = operators
        self._entries = entries
        self._turn = turn
        self._heard_at = heard_at
        self._clock = clock
        self._rng = rng
        self._first_check_at = clock.monotonic() + START_SECONDS
        self._entries_heard_at = clock.monotonic()
        self._attempted_at = -math.inf
        self._retry_at = -math.inf
        self._unanswered = 0
        self._failures = 0
        self._checks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Make checks until cancelled."""
        try:
            while True:
                await self._sleep_until_due()
                # Another VM may have checked meanwhile.
                if self._due_in_seconds() <= 0:
                    self._start_check()
        finally:
            for check in self._checks:
                check.cancel()

    async def _sleep_until_due(self) -> None:
        seconds = min(max(self._due_in_seconds(), 0.0), CHECK_INTERVAL_SECONDS)
        wakes_at = self._clock.monotonic() + seconds
        await self._clock.sleep(seconds)
        if self._clock.monotonic() - wakes_at >= LATE_WAKE_SECONDS:
            await self._clock.sleep(UNREAD_MESSAGES_SECONDS)

    def note_entries_check(self) -> None:
        """Take the news that another VM has checked the topic of the entries."""
        self._entries_heard_at = self._clock.monotonic()

    def _due_in_seconds(self) -> float:
        """Return the time until this VM checks, if nothing is heard before."""
        turn = self._turn()
        jitter = TURN_JITTER * TURN_SECONDS * self._rng.random() if turn.rank else 0.0
        next_at = max(self._first_check_at, self._heard_at() + CHECK_INTERVAL_SECONDS)
        due_at = next_at + turn.delay_seconds + jitter
        # Without news since the last check, it had no answer.
        if self._heard_at() < self._attempted_at:
            due_at = max(due_at, self._retry_at)
        return due_at - self._clock.monotonic()

    def _start_check(self) -> None:
        if self._heard_at() >= self._attempted_at:
            self._unanswered = 0
        self._attempted_at = self._clock.monotonic()
        self._retry_at = self._attempted_at + self._retry_pause_seconds()
        self._unanswered += 1
        if len(self._checks) >= MAX_OPEN_CHECKS:
            return
        check = asyncio.create_task(self._check())
        self._checks.add(check)
        check.add_done_callback(self._ended)

    def _retry_pause_seconds(self) -> float:
        longest = max(SHORTEST_SLOWDOWN, self._turn().vms / VMS_PER_SLOWDOWN)
        progress = min(1.0, self._unanswered / CHECKS_UNTIL_LONGEST_PAUSE)
        slowdown = 1.0 + (longest - 1.0) * progress
        return slowdown * self._rng.uniform(*RETRY_SECONDS)

    async def _check(self) -> None:
        """Check the operators' topic, and with it that of the entries if it is due."""
        if not await self._check_topic(self._operators):
            return
        now = self._clock.monotonic()
        if now - self._entries_heard_at < ENTRIES_INTERVAL_SECONDS:
            return
        self._entries_heard_at = now
        await self._check_topic(self._entries)

    async def _check_topic(self, topic: WatchedTopic) -> bool:
        """Return whether the store has answered."""
        began_at = self._clock.monotonic()
        end_offset = await topic.check()
        if isinstance(end_offset, Err):
            if not self._failures:
                events.warning("store_check_failed", error=end_offset.err_value)
            self._failures += 1
            self._operators.give_up_waiting()
            self._entries.give_up_waiting()
            return False
        if self._failures:
            events.info("store_check_answered", failures=self._failures)
        self._failures = 0
        topic.announce(end_offset.ok_value, began_at)
        return True

    def _ended(self, check: asyncio.Task[None]) -> None:
        self._checks.discard(check)
        if not check.cancelled() and check.exception() is not None:
            events.error("store_check_crashed", error=repr(check.exception()))
