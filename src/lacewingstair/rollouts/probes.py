"""Probes: temporary return of calls to the old version for comparison.

A VM whose own recent calls look worse on the new version reduces the share of the new
version for a limited time.
"""

from collections import deque
from collections.abc import Sequence

import attrs

# Maximum share of the new version during a probe. Calls return to the old version,
# which both limits the damage and gives the tests old calls to compare with. A lower
# share would hide faults that show only under load.
PROBE_SHARE = 0.5
PROBE_NEW_CALLS = 20
PROBE_OLD_CALLS = 100
PROBE_AGE_SECONDS = 10.0
# With fewer recent calls of the old version, its last calls of any age are used.
PROBE_MIN_OLD_CALLS = 10
# A probe lasts this long after the condition last held, so that it does not end after
# the first few old calls that it causes.
PROBE_SECONDS = 10.0


@attrs.frozen
class ProbeRule:
    """Condition under which the new version's recent calls on this VM look worse.

    Parameters
    ----------
    min_bad : int
        Minimum number of bad calls.
    increase, deviations : float
        Minimum increase of the ratio, absolute and in standard deviations of the old
        ratio.
    """

    min_bad: int
    increase: float
    deviations: float

    def holds(self, new: Sequence[bool], old: Sequence[bool]) -> bool:
        """Return whether the new version's calls look worse."""
        if sum(new) < self.min_bad:
            return False
        expected = (sum(old) + 1) / (len(old) + 2)
        spread = (expected * (1 - expected) / len(new)) ** 0.5
        excess = sum(new) / len(new) - expected
        return excess >= max(self.increase, self.deviations * spread)


FAILURE_PROBE = ProbeRule(3, 0.15, 3.0)
# About a third of a good version's calls exceed the latency threshold.
SLOWNESS_PROBE = ProbeRule(8, 0.55, 4.0)


@attrs.frozen
class RecentCall:
    """A recent call of a version on this VM, ended at `at` in monotonic seconds."""

    at: float
    is_failed: bool
    is_slow: bool


class CallHistory:
    """Most recent calls of both versions on one route that this VM made."""

    def __init__(self) -> None:
        self._new: deque[RecentCall] = deque(maxlen=PROBE_NEW_CALLS)
        self._old: deque[RecentCall] = deque(maxlen=PROBE_OLD_CALLS)
        self._probes_until = float("-inf")

    def add(self, is_new: bool, call: RecentCall) -> None:
        """Add a call of the new or of the old version."""
        (self._new if is_new else self._old).append(call)

    def is_probing(self, now: float) -> bool:
        """Return whether recent calls look worse on the new version, or just did."""
        if self._looks_worse(now):
            self._probes_until = now + PROBE_SECONDS
        return now < self._probes_until

    def _looks_worse(self, now: float) -> bool:
        oldest = now - PROBE_AGE_SECONDS
        new = [call for call in self._new if call.at >= oldest]
        recent = [call for call in self._old if call.at >= oldest]
        old = recent if len(recent) >= PROBE_MIN_OLD_CALLS else self._old
        return FAILURE_PROBE.holds(
            [call.is_failed for call in new], [call.is_failed for call in old]
        ) or SLOWNESS_PROBE.holds(
            [call.is_slow for call in new], [call.is_slow for call in old]
        )
