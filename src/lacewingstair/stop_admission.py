"""Decides which calls a process that stops still takes over; performs no I/O.

Load pattern: callers and other VMs learn of a stop a second or more after it has begun
and send calls until then. A call that is taken over and cut at the end is worse than
one that is refused, since nobody knows whether it ran. A call that is refused although
it would have been answered in time has to wait for another VM.

A call is taken over if its caller waits no longer than the process lives, or if calls
of its route have recently been answered well within the time that is left.
"""

import attrs

from lacewingstair.runtime import Clock

# Calls of the current and of the previous period count.
PERIOD_SECONDS = 30.0
# Fewer calls do not show how long a further one may take.
MIN_CALLS = 5
# A call fits if this multiple of the slowest recent one of its route does.
SLOWEST_CALL_FACTOR = 2.0


@attrs.define
class _Period:
    """Calls of one route in a period."""

    calls: int = 0
    slowest_seconds: float = 0.0


class CallDurations:
    """Slowest recent call of each route.

    Parameters
    ----------
    clock : Clock
        Time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._periods_by_route: dict[str, _Period] = {}
        self._previous_by_route: dict[str, _Period] = {}
        self._number = self._current_number()

    def record(self, route: str, seconds: float) -> None:
        """Record a call that was answered."""
        self._begin_period()
        period = self._periods_by_route.get(route)
        if period is None:
            period = self._periods_by_route[route] = _Period()
        period.calls += 1
        period.slowest_seconds = max(period.slowest_seconds, seconds)

    def slowest_seconds(self, route: str) -> float | None:
        """Return the time of the slowest recent call, or None if there were too few."""
        self._begin_period()
        found = (self._periods_by_route.get(route), self._previous_by_route.get(route))
        periods = [period for period in found if period is not None]
        if sum(period.calls for period in periods) < MIN_CALLS:
            return None
        return max(period.slowest_seconds for period in periods)

    def _current_number(self) -> int:
        return int(self._clock.monotonic() // PERIOD_SECONDS)

    def _begin_period(self) -> None:
        number = self._current_number()
        if number == self._number:
            return
        is_next = number == self._number + 1
        self._previous_by_route = self._periods_by_route if is_next else {}
        self._periods_by_route = {}
        self._number = number


class StopAdmission:
    """Admits calls by the time that the process has left.

    Parameters
    ----------
    clock : Clock
        Time.

    Attributes
    ----------
    ends_at : float or None
        Latest time at which an answer can still be sent, monotonic seconds; None
        while the process does not stop.
    durations : CallDurations
        Durations of recent calls.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.ends_at: float | None = None
        self.durations = CallDurations(clock)

    def admits(self, route: str, deadline_at: float) -> bool:
        """Return whether a call can be answered before the process ends.

        Parameters
        ----------
        route : str
            Route of the call.
        deadline_at : float
            When its caller gives up, monotonic seconds.
        """
        if self.ends_at is None or deadline_at <= self.ends_at:
            return True
        slowest_seconds = self.durations.slowest_seconds(route)
        if slowest_seconds is None:
            return False
        left_seconds = self.ends_at - self._clock.monotonic()
        return SLOWEST_CALL_FACTOR * slowest_seconds <= left_seconds
