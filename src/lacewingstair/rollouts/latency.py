"""Reference latency, derived from recent calls of the old version."""

from collections import deque

REFERENCE_CALLS = 64
MIN_REFERENCE_CALLS = 5
REFERENCE_AGE_SECONDS = 600.0


class LatencyReference:
    """Latency above which a call of either version counts as slow.

    The threshold is the median of the old version's last calls on this VM times the
    square root of the ratio that makes a version bad. The median is stable with few
    calls, and the square root is the midpoint between a good and a bad version on a
    logarithmic scale.

    Parameters
    ----------
    max_latency_ratio : float
        Ratio to the old version's latency that makes the new version bad.

    Attributes
    ----------
    threshold : float or None
        Threshold in seconds; None until there are enough calls.
    """

    def __init__(self, max_latency_ratio: float) -> None:
        self._factor = max_latency_ratio**0.5
        self._calls: deque[tuple[float, float]] = deque(maxlen=REFERENCE_CALLS)
        self._has_new_calls = False
        self.threshold: float | None = None

    def add(self, latency_seconds: float, now: float) -> None:
        """Add a call of the old version."""
        self._calls.append((now, latency_seconds))
        self._has_new_calls = True

    def update(self, now: float) -> None:
        """Recompute the threshold for later calls.

        With too few recent calls the previous threshold is kept.
        """
        if not self._has_new_calls:
            return
        self._has_new_calls = False
        oldest = now - REFERENCE_AGE_SECONDS
        recent = sorted(latency for at, latency in self._calls if at >= oldest)
        if len(recent) >= MIN_REFERENCE_CALLS:
            self.threshold = recent[len(recent) // 2] * self._factor
