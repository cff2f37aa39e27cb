"""Probes: the share of the old version that returns for comparison.

A VM whose own last calls look worse on the new version lowers its share for a while.
"""

from collections import deque
from collections.abc import Sequence

import attrs

# A VM whose own last calls look worse on the new version halves the share, which both
# spares calls and gives the tests old calls to compare with. A lower share hides faults
# that show only under load.
PROBE_SHARE = 0.5
PROBE_NEW_CALLS = 20
PROBE_OLD_CALLS = 100
PROBE_AGE_SECONDS = 10.0
# With fewer recent calls of the old version, its last calls of any age are used.
PROBE_MIN_OLD_CALLS = 10
# A probe lasts this long after its cause, so that it does not end with the first few
# old calls that it brings.
PROBE_SECONDS = 10.0


@attrs.frozen
class ProbeRule:
    """When the last calls of this VM look worse on the new version.

    Parameters
    ----------
    min_bad : int
        Fewest bad calls.
    increase, deviations : float
        Increase of the ratio, absolute and in standard deviations of the old ratio.
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
# A third of a good version's calls is above the latency threshold.
SLOWNESS_PROBE = ProbeRule(8, 0.55, 4.0)


@attrs.frozen
class RecentCall:
    """One of the last calls of a version on this VM."""

    at: float
    is_failed: bool
    is_slow: bool


class CallHistory:
    """The last calls of both versions on one route, as this VM saw them."""

    def __init__(self) -> None:
        self._new: deque[RecentCall] = deque(maxlen=PROBE_NEW_CALLS)
        self._old: deque[RecentCall] = deque(maxlen=PROBE_OLD_CALLS)
        self._probes_until = float("-inf")

    def add(self, is_new: bool, call: RecentCall) -> None:
        """Add a call of the new or of the old version."""
        (self._new if is_new else self._old).append(call)

    def is_probing(self, now: float) -> bool:
        """Return whether the last calls look worse on the new version, or did so."""
        if self._looks_bad(now):
            self._probes_until = now + PROBE_SECONDS
        return now < self._probes_until

    def _looks_bad(self, now: float) -> bool:
        oldest = now - PROBE_AGE_SECONDS
        new = [call for call in self._new if call.at >= oldest]
        recent = [call for call in self._old if call.at >= oldest]
        old = recent if len(recent) >= PROBE_MIN_OLD_CALLS else self._old
        return FAILURE_PROBE.holds(
            [call.is_failed for call in new], [call.is_failed for call in old]
        ) or SLOWNESS_PROBE.holds(
            [call.is_slow for call in new], [call.is_slow for call in old]
        )
