"""Reference latency: the recent latency of the old version's calls."""

from collections import deque

REFERENCE_CALLS = 64
MIN_REFERENCE_CALLS = 5
REFERENCE_AGE_SECONDS = 600.0


class LatencyReference:
    """Latency above which a call of either version counts as slow.

    It is the median of the old version's last calls on this VM times the square root
    of the ratio that makes a version bad. The median is steady with few calls, and half
    of the ratio on a logarithmic scale lies between a good version and a bad one.

    Parameters
    ----------
    max_latency_ratio : float
        Ratio to the old version's latency that makes the new version bad.

    Attributes
    ----------
    threshold : float or None
        The latency in seconds; None before enough calls.
    """

    def __init__(self, max_latency_ratio: float) -> None:
        self._factor = max_latency_ratio**0.5
        self._calls: deque[tuple[float, float]] = deque(maxlen=REFERENCE_CALLS)
        self._has_new_calls = False
        self.threshold: float | None = None

    def add(self, latency_seconds: float, now: float) -> None:
        """Take one call of the old version."""
        self._calls.append((now, latency_seconds))
        self._has_new_calls = True

    def update(self, now: float) -> None:
        """Compute the threshold for the calls to come.

        The last one stays while there are too few calls.
        """
        if not self._has_new_calls:
            return
        self._has_new_calls = False
        oldest = now - REFERENCE_AGE_SECONDS
        recent = sorted(latency for at, latency in self._calls if at >= oldest)
        if len(recent) >= MIN_REFERENCE_CALLS:
            self.threshold = recent[len(recent) // 2] * self._factor
