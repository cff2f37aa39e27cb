"""Simulated backend servers under load, in virtual time on a queue of events."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable

import attrs


class EventQueue:
    """Runs callbacks at virtual times; it is also the clock of what it runs."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def monotonic(self) -> float:
        """Return virtual seconds since the start."""
        return self.now

    def wall(self) -> float:
        """Return virtual seconds since the start."""
        return self.now

    async def sleep(self, seconds: float) -> None:
        """Fail, as nothing on this queue is a coroutine."""
        raise NotImplementedError

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Run a callback `seconds` from now."""
        event = (self.now + seconds, next(self._order), callback)
        heapq.heappush(self._events, event)

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due before `end`."""
        while self._events and self._events[0][0] < end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end


@attrs.define(eq=False)
class Work:
    """One attempt at a simulated server.

    Parameters
    ----------
    deadline : float
        After which it is not started, in virtual seconds.
    on_done : callable
        Takes ``"ok"``, ``"failed"`` or ``"refused"``.
    """

    deadline: float
    on_done: Callable[[str], None]
    is_cancelled: bool = False
    is_running: bool = False


class SimulatedServer:
    """Backend server with slots, a bounded queue and switchable faults.

    Parameters
    ----------
    events : EventQueue
        Time.
    rng : random.Random
        Source of service times.
    slots : int
        Calls that run at a time.
    mean_seconds : float
        Mean service time, exponentially distributed above a quarter of it.
    queue_size : int
        Calls that wait for a slot; further ones are refused as not run.

    Attributes
    ----------
    slow_factor : float
        Multiplies service times.
    failure_share : float
        Share of calls that fail after a tenth of their service time.
    reported_load : float
        Load of its last report, calls per slot.
    """

    def __init__(
        self,
        events: EventQueue,
        rng: random.Random,
        slots: int,
        mean_seconds: float,
        queue_size: int,
    ) -> None:
        self._events = events
        self._rng = rng
        self.slots = slots
        self._mean_seconds = mean_seconds
        self._queue_size = queue_size
        self._queue: deque[Work] = deque()
        self._running = 0
        self.slow_factor = 1.0
        self.failure_share = 0.0
        self.reported_load = 0.0

    def report_every(self, seconds: float) -> None:
        """Refresh the reported load at an interval; in between it lags."""
        self.reported_load = (self._running + len(self._queue)) / self.slots
        self._events.after(seconds, lambda: self.report_every(seconds))

    def submit(self, work: Work) -> None:
        """Run, queue or refuse a call."""
        if work.is_cancelled:
            return
        if self._running < self.slots:
            self._start(work)
        elif len(self._queue) < self._queue_size:
            self._queue.append(work)
        else:
            work.on_done("refused")

    def cancel(self, work: Work) -> None:
        """Give up a call whose caller has left; it frees its slot."""
        work.is_cancelled = True
        if work.is_running:
            work.is_running = False
            self._free()

    def _start(self, work: Work) -> None:
        self._running += 1
        work.is_running = True
        mean = self._mean_seconds
        seconds = 0.25 * mean + self._rng.expovariate(1 / (0.75 * mean))
        seconds *= self.slow_factor
        is_failure = self._rng.random() < self.failure_share
        if is_failure:
            seconds /= 10
        result = "failed" if is_failure else "ok"
        self._events.after(seconds, lambda: self._finish(work, result))

    def _finish(self, work: Work, result: str) -> None:
        if not work.is_running:
            return
        work.is_running = False
        self._free()
        work.on_done(result)

    def _free(self) -> None:
        self._running -= 1
        while self._queue and self._running < self.slots:
            work = self._queue.popleft()
            if not work.is_cancelled and work.deadline > self._events.now:
                self._start(work)
