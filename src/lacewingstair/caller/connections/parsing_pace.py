"""Bounds the processor time that chunked bodies take; performs no I/O.

Load pattern: clients send bodies in chunks of a few bytes, so that the parser takes a
thousand times as long for each byte as for other bodies, and ordinary calls wait until
their deadlines. All such parsing together has a share of the processor's time; what is
beyond it waits in the order of its arrival, and no other call does. Chunks of ordinary
size take a small part of that share.
"""

SHARE = 0.2
# A chunk is handled again when it is read, which takes three times as long.
WORK_PER_PARSING = 4.0
# Parsed at once after a while without chunked bodies.
BURST_SECONDS = 0.5


class ParsingPace:
    """Time that the parsing of chunked bodies may take.

    Parameters
    ----------
    now : float
        Time, in seconds of any clock.
    """

    def __init__(self, now: float) -> None:
        self._left_seconds = BURST_SECONDS
        self._updated_at = now

    def note(self, seconds: float, now: float) -> None:
        """Count parsing that took some time until now, and what follows from it."""
        self._refill(now)
        self._left_seconds -= WORK_PER_PARSING * seconds

    def delay_seconds(self, now: float) -> float:
        """Return how long to wait before the next parsing; 0 if it may begin."""
        self._refill(now)
        return max(0.0, -self._left_seconds / SHARE)

    def _refill(self, now: float) -> None:
        passed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._left_seconds = min(BURST_SECONDS, self._left_seconds + SHARE * passed)
