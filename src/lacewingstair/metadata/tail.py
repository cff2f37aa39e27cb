"""Follows a log that keeps the newest record of each key."""

import asyncio
import contextlib
import math
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.errors import OffsetExpired, StoreUnavailable
from lacewingstair.metadata.positions import era_of
from lacewingstair.runtime import Clock, full_jitter

RETRY_BASE_SECONDS = 0.5
# News that the store answers again end a pause early.
RETRY_CAP_SECONDS = 4.0
# A waiting read is given up if it has not returned for this long although records exist
# that it waits for.
OVERDUE_SECONDS = 0.5
# A check that is later than this shows that the event loop was blocked. The answer may
# have arrived meanwhile.
LATE_CHECK_SECONDS = 0.2
UNREAD_ANSWER_SECONDS = 0.05


class Record(Protocol):
    """A record with its key; `value` is None when the key was dropped."""

    key: str
    value: bytes | None
    offset: int


class Page(Protocol):
    """Records that a read returned, and where the topic goes on and ends."""

    records: Sequence[Record]
    next_offset: int
    end_offset: int


ReadResult = Result[Page, OffsetExpired | StoreUnavailable]
# None if a waiting read was given up.
ReadOutcome = Result[Page, StoreUnavailable] | None


class KeyedTail:
    """Reads the newest record of each key of a topic, then all further records.

    The newest records are read again if the offset to go on at has expired, or if the
    store has come back from an older copy: the position is then of an earlier era.

    Parameters
    ----------
    store : MetadataStore
        Client of the store.
    topic : str
        Name of the topic.
    on_records : callable
        Called with records that are newer than the earlier ones of their keys, and the
        offset up to which the topic has been read.
    clock, rng
        Clock and random generator.
    wait_seconds : float
        Longest wait of one read.
    pause_seconds : callable
        Returns the time after a change in which further ones are collected.
    on_end : callable, optional
        Called after each answered read with the offset of the next record that would
        have been written, and when the read was made in monotonic seconds.

    Attributes
    ----------
    is_up : bool
        Whether the last call was answered.
    has_read : bool
        Whether the newest records have been read since the start.
    read_began_at, answered_at : float
        When the latest answered call was made, and its answer came; monotonic seconds.
    """

    def __init__(
        self,
        store,
        topic: str,
        on_records: Callable[[list[Record], int], None],
        clock: Clock,
        rng: random.Random,
        wait_seconds: float,
        pause_seconds: Callable[[], float],
        on_end: Callable[[int, float], None] = lambda end_offset, read_at: None,
    ) -> None:
        self._store = store
        self._topic = topic
        self._on_records = on_records
        self._clock = clock
        self._rng = rng
        self._wait_seconds = wait_seconds
        self._pause_seconds = pause_seconds
        self._on_end = on_end
        self._offsets_by_key: dict[str, int] = {}
        self._next_offset: int | None = None
        self._era = 0
        self._failures = 0
        self._waiting_read: _WaitingRead | None = None
        self._answer_known = asyncio.Event()
        self.is_up = False
        self.has_read = False
        self.read_began_at = -math.inf
        self.answered_at = -math.inf
        self._is_running = False

    async def run(self) -> None:
        """Follow the topic until cancelled; a later run continues at its offset."""
        self._is_running = True
        try:
            while True:
                await self._follow()
        finally:
            self.is_up = False
            self._is_running = False

    def skip_to(self, offset: int) -> None:
        """Continue at an offset, as earlier records were received from another VM."""
        self._next_offset = max(self._next_offset or 0, offset)
        self.note_end(offset)

    def note_end(self, end_offset: int) -> None:
        """Take the news that the topic ends at an offset, and that the store answers.

        A read that waits for records before that offset should have returned. It is
        given up if it does not soon, since its connection may have gone silent.
        """
        self._answer_known.set()
        if self._waiting_read is not None:
            self._waiting_read.expect(end_offset)

    def give_up_waiting(self) -> None:
        """Give up a waiting read, as the store does not answer this VM elsewhere."""
        if self._waiting_read is not None:
            self._waiting_read.give_up()

    async def check(self) -> Result[int, StoreUnavailable]:
        """Read without waiting, beside a waiting read; return the end of the topic.

        While the topic is being followed, records beyond the first page are left to
        that, so that a storm of large records is not read twice.
        """
        page = await self._read_now(reads_rest=not self._is_running)
        if isinstance(page, Err):
            return page
        return Ok(page.ok_value.end_offset)

    async def _follow(self) -> None:
        # A long poll on an idle topic does not show whether the store is up, so the
        # first read of a run, or after a failure, does not wait.
        has_started = self._next_offset is not None
        if not has_started or not self.is_up:
            page = await self._read_now()
        else:
            page = await self._read_waiting()
        if page is None:
            return
        if isinstance(page, Err):
            await self._wait_after(page.err_value)
            return
        self._answered()
        if page.ok_value.records or not has_started:
            # During the pause, most VMs that start find others that read the topic for
            # them.
            await self._clock.sleep(self._pause_seconds())

    async def _read_waiting(self) -> ReadOutcome:
        """Wait for records; return None if the read was given up."""
        began_at = self._clock.monotonic()
        offset = self._next_offset
        read = self._store.read(self._topic, offset, self._wait_seconds)
        self._waiting_read = _WaitingRead(offset, asyncio.create_task(read))
        try:
            page = await self._waiting_read.result()
        finally:
            self._waiting_read = None
        if page is not None:
            return await self._take(page, began_at)
        self.is_up = False
        waited_ms = round((self._clock.monotonic() - began_at) * 1000)
        events.warning("store_read_given_up", topic=self._topic, waited_ms=waited_ms)
        return None

    async def _read_now(self, *, reads_rest: bool = True) -> ReadOutcome:
        if self._next_offset is None:
            return await self._read_newest()
        began_at = self._clock.monotonic()
        page = await self._store.read(self._topic, self._next_offset, 0.0)
        return await self._take(page, began_at, reads_rest=reads_rest)

    async def _take(
        self, page: ReadResult, began_at: float, *, reads_rest: bool = True
    ) -> ReadOutcome:
        """Deliver the records of a read; read the newest ones if it has not all."""
        if isinstance(page, Err):
            if not isinstance(page.err_value, OffsetExpired):
                return page
            events.warning("history_expired", topic=self._topic, error=page.err_value)
            self._next_offset = None
            return await self._read_newest()
        found = page.ok_value
        self._deliver(found, began_at)
        has_all = not found.records or found.end_offset <= found.next_offset
        if reads_rest and not has_all:
            return await self._read_newest()
        return page

    async def _read_newest(self) -> ReadOutcome:
        began_at = self._clock.monotonic()
        newest = await self._store.newest(self._topic)
        if isinstance(newest, Ok):
            self._deliver(newest.ok_value, began_at)
        return newest

    def _deliver(self, page: Page, began_at: float) -> None:
        """Pass on newer records, and note the progress once they are in effect."""
        newer = [
            record
            for record in page.records
            if record.key and record.offset > self._offsets_by_key.get(record.key, -1)
        ]
        if page.records or self._begins_era(page):
            self._on_records(newer, page.next_offset - 1)
        for record in newer:
            self._offsets_by_key[record.key] = record.offset
        self.read_began_at = max(self.read_began_at, began_at)
        self.answered_at = self._clock.monotonic()
        self.skip_to(page.next_offset)
        self._on_end(page.end_offset, began_at)

    def _begins_era(self, page: Page) -> bool:
        """Return whether a page is the first of its era; it may hold no records."""
        era = era_of(page.next_offset)
        before, self._era = self._era, max(self._era, era)
        return era > before

    def _answered(self) -> None:
        self.has_read = True
        if not self.is_up:
            events.info("store_regained", topic=self._topic, failures=self._failures)
        self.is_up = True
        self._failures = 0

    async def _wait_after(self, error: StoreUnavailable) -> None:
        if self.is_up or not self._failures:
            events.warning("store_lost", topic=self._topic, error=error)
        self.is_up = False
        delay = full_jitter(
            self._rng, self._failures, RETRY_BASE_SECONDS, RETRY_CAP_SECONDS
        )
        self._failures += 1
        self._answer_known.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay):
                await self._answer_known.wait()


class _WaitingRead:
    """A read that waits for records, and can be given up.

    Parameters
    ----------
    offset : int
        Offset of the record that it waits for.
    read : Task
        The read.
    """

    def __init__(self, offset: int, read: asyncio.Task[ReadResult]) -> None:
        self._offset = offset
        self._read = read
        self._overdue_timer: asyncio.TimerHandle | None = None
        self._is_given_up = asyncio.Event()

    async def result(self) -> ReadResult | None:
        """Return the result of the read, or None once it is given up."""
        given_up = asyncio.create_task(self._is_given_up.wait())
        tasks = {self._read, given_up}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            return self._read.result() if self._read.done() else None
        finally:
            for task in tasks:
                task.cancel()
            if self._overdue_timer is not None:
                self._overdue_timer.cancel()

    def expect(self, end_offset: int) -> None:
        """Give the read up if it has not returned soon, as its record exists."""
        if end_offset > self._offset and self._overdue_timer is None:
            self._check_after(OVERDUE_SECONDS)

    def _check_after(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        due_at = loop.time() + seconds
        self._overdue_timer = loop.call_at(due_at, self._check_overdue, due_at)

    def _check_overdue(self, due_at: float) -> None:
        """Give the read up, unless its answer may be unread."""
        if asyncio.get_running_loop().time() - due_at >= LATE_CHECK_SECONDS:
            self._check_after(UNREAD_ANSWER_SECONDS)
            return
        self.give_up()

    def give_up(self) -> None:
        """Let the waiting task go on without a result."""
        self._is_given_up.set()
