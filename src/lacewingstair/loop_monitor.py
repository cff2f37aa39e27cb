"""Measures how late the event loop runs what is due."""

from collections.abc import Callable

from lacewingstair import events
from lacewingstair.runtime import Clock

CHECK_SECONDS = 0.25
# Delays of this size show in the answers of calls.
STALL_SECONDS = 0.2


class LoopMonitor:
    """Wakes at intervals and compares when it was due with when it ran.

    Parameters
    ----------
    clock : Clock
        Time.
    on_lag : callable
        Takes the delay of each check in seconds.
    """

    def __init__(self, clock: Clock, on_lag: Callable[[float], None]) -> None:
        self._clock = clock
        self._on_lag = on_lag

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            due_at = self._clock.monotonic() + CHECK_SECONDS
            await self._clock.sleep(CHECK_SECONDS)
            lag = max(0.0, self._clock.monotonic() - due_at)
            self._on_lag(lag)
            if lag >= STALL_SECONDS:
                events.warning("loop_stalled", lag_ms=round(lag * 1000))
