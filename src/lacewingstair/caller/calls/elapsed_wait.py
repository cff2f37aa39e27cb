"""Estimate of how long a caller has waited before its call arrives; does no I/O.

Load pattern: during an overload callers retry after a refusal. A retry states a shorter
timeout than first calls of the same route, and the difference is the time since the
first call. A call that has already missed its latency target must not displace one that
can still meet it.
"""

import attrs

# Callers of a route start with the same timeout. A longer one that callers no longer
# state is dropped after one to two windows of this length.
WINDOW_SECONDS = 10.0
# Smaller differences come from rounding and from the latency to this process.
TOLERANCE_MS = 5.0


@attrs.define
class _LongestTimeouts:
    """Longest timeouts stated in the current and in the previous window."""

    window_start: float
    current_ms: float = 0.0
    previous_ms: float = 0.0


class ElapsedWaitEstimator:
    """Tracks the longest timeout that callers of each route have stated recently."""

    def __init__(self) -> None:
        self._longest_by_route: dict[str, _LongestTimeouts] = {}

    def elapsed_ms(self, route: str, remaining_ms: float, now: float) -> float:
        """Return how long a caller with a timeout of `remaining_ms` has already waited.

        Parameters
        ----------
        route : str
            Name of the route.
        remaining_ms : float
            Timeout that the caller states with this call.
        now : float
            Current time in monotonic seconds.
        """
        longest = self._longest_by_route.get(route)
        if longest is None:
            longest = _LongestTimeouts(now)
            self._longest_by_route[route] = longest
        if now - longest.window_start >= WINDOW_SECONDS:
            longest.previous_ms, longest.current_ms = longest.current_ms, 0.0
            longest.window_start = now
        longest.current_ms = max(longest.current_ms, remaining_ms)
        elapsed = max(longest.current_ms, longest.previous_ms) - remaining_ms
        return elapsed if elapsed > TOLERANCE_MS else 0.0
