"""Keeps the era of the store, and tells the parts of the program when a new one begins.

A new era shows that the store has come back from an older copy: what was written since
the copy is gone. Each writer then writes again what it still holds.
"""

from collections.abc import Callable

from lacewingstair import events
from lacewingstair.runtime import Clock


class StoreEra:
    """Highest era that this VM knows of.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    number : int
        The era; 0 while the store has stated none.
    seen_at : float
        When it was first seen, seconds since 1970; 0 while there is none.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._listeners: list[Callable[[int], None]] = []
        self.number = 0
        self.seen_at = 0.0

    def subscribe(self, listener: Callable[[int], None]) -> None:
        """Call `listener` with each era that follows another."""
        self._listeners.append(listener)

    def note(self, era: int, source: str) -> None:
        """Take an era that the store or another VM has stated.

        Parameters
        ----------
        era : int
            The era; 0 if none was stated.
        source : str
            Who stated it.
        """
        if era <= self.number:
            return
        before, self.number = self.number, era
        self.seen_at = self._clock.wall()
        events.info("store_era", era=era, before=before, source=source)
        if not before:
            # The first one is no news about what was written.
            return
        for listener in self._listeners:
            listener(era)
