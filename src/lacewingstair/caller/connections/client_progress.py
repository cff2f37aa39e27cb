"""How fast a client sends a request or takes its answers; performs no I/O.

Load pattern: clients begin requests or ask for answers and go no further, so that what
they hold stays in the process. A client that moves bytes is never taken for one of
them, however little its link carries.
"""

# A client that has moved no byte for longer makes no progress.
STALLED_SECONDS = 2.0
# Added to the time of a rate: the first bytes arrive at once, whatever follows.
RATE_OFFSET_SECONDS = 0.5


class ClientProgress:
    """Bytes that a client has moved since it began.

    Parameters
    ----------
    now : float
        Time, in seconds of any clock.

    Attributes
    ----------
    is_active : bool
        Whether the client has something to move.
    """

    def __init__(self, now: float) -> None:
        self.is_active = False
        self._began_at = self._moved_at = now
        self._from = self._total = 0

    def begin(self, now: float, total: int = 0) -> None:
        """Begin at a number of bytes that were moved before."""
        self.is_active = True
        self._began_at = self._moved_at = now
        self._from = self._total = total

    def end(self) -> None:
        """Expect no further bytes until the next begin."""
        self.is_active = False

    def note(self, total: int, now: float) -> None:
        """Note how many bytes the client has moved in all."""
        if total > self._total:
            self._total, self._moved_at = total, now

    def rate(self, now: float) -> float:
        """Return bytes a second; negative for the seconds in which none was moved."""
        stalled_seconds = now - self._moved_at
        if stalled_seconds > STALLED_SECONDS:
            return -stalled_seconds
        moved = self._total - self._from
        return moved / (now - self._began_at + RATE_OFFSET_SECONDS)
