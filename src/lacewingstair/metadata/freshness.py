"""How recently this VM knew that it holds the newest records of a topic."""

import math
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from lacewingstair import events
from lacewingstair.runtime import Clock

# A version that may have taken longer than this to reach a VM is logged.
BEHIND_SECONDS = 2.0
STORE = "store"
NO_POSITION = -1
# News that are kept while the records of earlier ones are on their way.
MAX_NEWS = 16


@attrs.frozen
class NewerRecords:
    """News that other records exist than this VM holds.

    Parameters
    ----------
    position : int
        Offset of the newest record.
    source : str
        `STORE`, or the id of the VM that holds them.
    heard_at : float
        When the news came, monotonic seconds.
    is_proof : bool
        Whether the store had no other records at `heard_at`.
    """

    position: int
    source: str
    heard_at: float
    is_proof: bool = False


class Freshness:
    """Keeps the last proof that this VM holds the newest records.

    A read of the store that does not wait proves where the topic ended when it was
    made. A VM that holds all records up to that end held the newest ones at that time.
    The time since the last proof bounds for how long a record can have existed without
    being known here.

    Parameters
    ----------
    position : callable
        Returns the offset up to which this VM holds all records.
    clock : Clock
        Source of time.
    on_delay : callable
        Called for each change with how long it took to arrive at most, in seconds.
    describe : callable, optional
        Returns fields for the log that tell how this VM reads the store.
    """

    def __init__(
        self,
        position: Callable[[], int],
        clock: Clock,
        on_delay: Callable[[float], None],
        describe: Callable[[], Mapping[str, Any]] = dict,
    ) -> None:
        self._position = position
        self._clock = clock
        self._on_delay = on_delay
        self._describe = describe
        self._started_at = clock.monotonic()
        self._heard_at = -math.inf
        self._proven_at = -math.inf
        self._proven_position = NO_POSITION
        # In the order in which they came; their positions rise.
        self._news: deque[NewerRecords] = deque(maxlen=MAX_NEWS)

    @property
    def heard_at(self) -> float:
        """When this VM last heard of a read of the topic, monotonic seconds.

        News are the end of the topic and newer records. This VM may lack some of them.
        """
        return self._heard_at

    def age_seconds(self) -> float:
        """Return the time since the last proof, or since the start without one."""
        return self._clock.monotonic() - max(self._proven_at, self._started_at)

    def holds_records_before(self, end_offset: int) -> bool:
        """Return whether this VM holds all records before an offset."""
        return end_offset - 1 <= self._position()

    def note_end(self, end_offset: int, read_at: float, source: str = STORE) -> None:
        """Take a proof: the topic ended at an offset at a time.

        Parameters
        ----------
        end_offset : int
            Offset of the next record that would have been written.
        read_at : float
            Monotonic seconds.
        source : str
            `STORE`, or the id of the VM that has read the store.
        """
        self._heard_at = max(self._heard_at, read_at)
        if self.holds_records_before(end_offset):
            self._prove(end_offset - 1, read_at)
            return
        news = NewerRecords(end_offset - 1, source, read_at, is_proof=True)
        if not self._news or self._news[-1].position <= news.position:
            self._news.append(news)

    def note_newer(self, position: int, source: str) -> None:
        """Take the news that another VM holds the records up to an offset."""
        if position <= self._position():
            return
        if not self._news or self._news[-1].position < position:
            now = self._clock.monotonic()
            self._news.append(NewerRecords(position, source, now))

    def note_position(self, source: str) -> float | None:
        """Take the news that this VM's position has changed.

        Returns
        -------
        delay_seconds : float or None
            How long the newest record took to arrive here at most; None if the position
            has not changed, or before the first proof.
        """
        position = self._position()
        if position <= self._proven_position:
            return None
        # Newer records show that somebody has just read them, though not that there are
        # no others.
        self._heard_at = self._clock.monotonic()
        delay_seconds = None
        if self._proven_at > -math.inf:
            delay_seconds = self._clock.monotonic() - self._proven_at
            self._on_delay(delay_seconds)
            self._log_if_behind(source, position, delay_seconds)
        self._proven_position = position
        while self._news and self._news[0].position <= position:
            news = self._news.popleft()
            if news.is_proof:
                self._prove(news.position, news.heard_at)
        return delay_seconds

    def _prove(self, position: int, at: float) -> None:
        self._proven_at = max(self._proven_at, at)
        self._proven_position = max(self._proven_position, position)

    def _log_if_behind(self, source: str, position: int, delay_seconds: float) -> None:
        if delay_seconds < BEHIND_SECONDS:
            return
        news = self._news[0] if self._news else None
        known_ms = 0
        if news is not None:
            known_ms = round((self._clock.monotonic() - news.heard_at) * 1000)
        events.warning(
            "records_were_behind",
            behind_ms_at_most=round(delay_seconds * 1000),
            known_ms=known_ms,
            known_from=source if news is None else news.source,
            taken_from=source,
            position=position,
            **self._describe(),
        )
