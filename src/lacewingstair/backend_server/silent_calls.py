"""Finds calls whose response is missing for longer than others explain; does no I/O.

Load pattern: a backend server under load that never answers a request which it cannot
queue, nor any later request on that connection. Its other connections are answered as
usual. A call counts as silent if many calls that started after it have been answered,
and if it is much older than the service times of finished calls explain. A backend
server that is slow as a whole answers no later calls, or answers them as slowly, so
that none of its calls counts as silent.

Service times are compared as multiples of their estimates, so that short calls are
found sooner than long ones.
"""

import heapq
from collections import deque

import attrs

# Calls that started later and were answered, for each slot of the backend server. With
# fewer, the calls in the other slots may just have been short.
LATER_ANSWERS_PER_SLOT = 3
RECENT_ANSWERS = 256
# The third largest of `RECENT_ANSWERS` service times is about their 99th percentile.
TAIL_RANK = 3
MIN_ANSWERS = 64
ANSWERS_PER_UPDATE = 32
# A call is silent beyond these multiples of the 99th percentile of all calls and of the
# mean of the later ones, so that a slow call is not taken for a silent one.
TAIL_FACTOR = 1.75
LATER_FACTOR = 8.0
MIN_SILENCE_MS = 250.0


@attrs.define(eq=False)
class WatchedCall:
    """A call that was sent to the backend server.

    Parameters
    ----------
    number : int
        Position in the order of starts.
    started_at : float
        Monotonic seconds.
    service_ms : float
        Estimated service time.
    later_answers : int
        Calls that started later and were answered.
    later_ratios : float
        Sum of their service times, as multiples of their estimates.
    is_silent : bool
        Whether its response is missing for longer than other calls explain.
    """

    number: int
    started_at: float
    service_ms: float
    later_answers: int = 0
    later_ratios: float = 0.0
    is_silent: bool = False


class SilenceMonitor:
    """Watches the calls that run at one backend server."""

    def __init__(self) -> None:
        self._running: set[WatchedCall] = set()
        self._started = 0
        self._ratios: deque[float] = deque(maxlen=RECENT_ANSWERS)
        self._answers = 0
        self._tail_ratio = 0.0

    def start(self, service_ms: float, now: float) -> WatchedCall:
        """Watch a call that starts."""
        self._started += 1
        call = WatchedCall(self._started, now, max(1.0, service_ms))
        self._running.add(call)
        return call

    def end(self, call: WatchedCall) -> None:
        """Stop watching a call that ended without a response."""
        self._running.discard(call)

    def answer(self, answered: WatchedCall, now: float, slots: int) -> set[WatchedCall]:
        """Stop watching a call that was answered; return those that are silent now."""
        self._running.discard(answered)
        ratio = (now - answered.started_at) * 1000 / answered.service_ms
        self._record(ratio)
        found = set()
        for call in self._running:
            if call.number > answered.number:
                continue
            call.later_answers += 1
            call.later_ratios += ratio
            if not call.is_silent and self._is_silent(call, now, slots):
                call.is_silent = True
                found.add(call)
        return found

    def _is_silent(self, call: WatchedCall, now: float, slots: int) -> bool:
        if call.later_answers < LATER_ANSWERS_PER_SLOT * slots:
            return False
        if self._answers < MIN_ANSWERS:
            return False
        later_ratio = call.later_ratios / call.later_answers
        ratio = max(TAIL_FACTOR * self._tail_ratio, LATER_FACTOR * later_ratio)
        age_ms = (now - call.started_at) * 1000
        return age_ms > max(MIN_SILENCE_MS, ratio * call.service_ms)

    def _record(self, ratio: float) -> None:
        self._ratios.append(ratio)
        self._answers += 1
        if self._answers % ANSWERS_PER_UPDATE == 0:
            self._tail_ratio = heapq.nlargest(TAIL_RANK, self._ratios)[-1]
