"""How long callers have already waited when their call arrives; no input or output.

Load pattern: during an overload callers come back after a refusal. What they still wait
is less than what callers of the same route wait at first, and the difference is the
time that is gone since they began. A call that has already missed its target must not
take the place of one that can still be in time.
"""

import attrs

# Callers of a route wait equally long at first; a change is forgotten after this.
WINDOW_SECONDS = 10.0
# Differences below this come from rounding and from the way to this process.
TOLERANCE_MS = 5.0


@attrs.define
class _LongestWait:
    """Longest waits of the present span and of the one before."""

    window_start: float
    current_ms: float = 0.0
    previous_ms: float = 0.0


class ElapsedWaitEstimator:
    """Keeps the longest wait that callers of each route have stated lately."""

    def __init__(self) -> None:
        self._longest_by_route: dict[str, _LongestWait] = {}

    def elapsed_ms(self, route: str, remaining_ms: float, now: float) -> float:
        """Return how long a caller that still waits `stated_ms` has waited before.

        Parameters
        ----------
        route : str
            Route of the call.
        stated_ms : float
            Time that the caller still waits.
        now : float
            Monotonic seconds.
        """
        longest = self._longest_by_route.get(route)
        if longest is None:
            longest = _LongestWait(now)
            self._longest_by_route[route] = longest
        if now - longest.window_start >= WINDOW_SECONDS:
            longest.previous_ms, longest.current_ms = longest.current_ms, 0.0
            longest.window_start = now
        longest.current_ms = max(longest.current_ms, remaining_ms)
        elapsed = max(longest.current_ms, longest.previous_ms) - remaining_ms
        return elapsed if elapsed > TOLERANCE_MS else 0.0
