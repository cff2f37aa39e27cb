"""Follows a log that keeps the newest record of each key."""

import math
import random
from collections.abc import Callable
from typing import Protocol

from result import Err

from lacewingstair import events
from lacewingstair.errors import OffsetExpired, StoreUnavailable
from lacewingstair.runtime import Clock, full_jitter

RETRY_BASE_SECONDS = 0.2
RETRY_CAP_SECONDS = 1.0


class Record(Protocol):
    """A record with its key; `value` is None when the key was dropped."""

    key: str
    value: bytes | None
    offset: int


class KeyedTail:
    """Reads the newest record of each key of a topic, then all further records.

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
        self._failures = 0
        self.is_up = False
        self.has_read = False
        self.read_began_at = -math.inf
        self.answered_at = -math.inf

    async def run(self) -> None:
        """Follow the topic until cancelled; a later run continues at its offset."""
        try:
            while True:
                await self._follow()
        finally:
            self.is_up = False

    def skip_to(self, offset: int) -> None:
        """Continue at an offset, as earlier records were received from another VM."""
        self._next_offset = max(self._next_offset or 0, offset)

    async def _follow(self) -> None:
        began_at = self._clock.monotonic()
        if self._next_offset is None:
            await self._read_newest(began_at)
            return
        # A long poll on an idle topic does not show whether the store is up, so the
        # first read of a run, or after a failure, does not wait.
        wait_seconds = self._wait_seconds if self.is_up else 0.0
        page = await self._store.read(self._topic, self._next_offset, wait_seconds)
        if isinstance(page, Err):
            error = page.err_value
            if isinstance(error, OffsetExpired):
                events.warning("history_expired", topic=self._topic, error=error)
                self._next_offset = None
                return
            await self._wait_after(error)
            return
        self._answered(began_at)
        self.skip_to(page.ok_value.next_offset)
        if page.ok_value.records:
            self._deliver(page.ok_value.records, page.ok_value.next_offset)
        self._on_end(page.ok_value.end_offset, began_at)
        if not page.ok_value.records:
            return
        if page.ok_value.end_offset > page.ok_value.next_offset:
            await self._read_newest(self._clock.monotonic())
            return
        await self._clock.sleep(self._pause_seconds())

    async def _read_newest(self, began_at: float) -> None:
        newest = await self._store.newest(self._topic)
        if isinstance(newest, Err):
            await self._wait_after(newest.err_value)
            return
        self._answered(began_at)
        self.skip_to(newest.ok_value.next_offset)
        self._deliver(newest.ok_value.records, newest.ok_value.next_offset)
        self._on_end(newest.ok_value.end_offset, began_at)
        # During the pause, most VMs that start find others that read the topic for
        # them.
        await self._clock.sleep(self._pause_seconds())

    def _deliver(self, records, next_offset: int) -> None:
        newer = [
            record
            for record in records
            if record.key and record.offset > self._offsets_by_key.get(record.key, -1)
        ]
        for record in newer:
            self._offsets_by_key[record.key] = record.offset
        if newer:
            self._on_records(newer, next_offset - 1)

    def _answered(self, began_at: float) -> None:
        self.has_read = True
        self.read_began_at = began_at
        self.answered_at = self._clock.monotonic()
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
        await self._clock.sleep(delay)
