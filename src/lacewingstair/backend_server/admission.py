"""Order and admission of the calls at one backend server; no input or output.

The process beside a backend server sees every call to it. So it keeps the calls that
cannot run yet in a queue of its own, where they can still be ordered, refused and
placed elsewhere, instead of in the backend server's queue, where they cannot.

Load patterns and what answers them:

* A burst beyond the slots: calls wait here in the order of their priority, and among
  equals of the time left until their target latency.
* More load than can be served for longer: a call that would miss its target because
  of the calls before it is refused on arrival, so that those that are taken are in
  time and the refused ones learn it at once.
* A backend server that turns slow: the time for which its calls have been running
  counts before the first of them ends.
* Calls that are late already, for instance after a slow upstream: they run when nothing
  that can still be in time waits, so that the lateness does not spread. During a
  lasting overload they are refused on arrival, as they would wait until their end.
* A backend server that accepts fewer connections than it has slots: the calls wait for
  the connections that work, since each one started without a connection would fail.
"""

import heapq
import itertools
from collections.abc import Callable

import attrs

from lacewingstair.vm.call_messages import RefusalReason

# Least weight of the newest call in a mean time; the first calls weigh more.
MIN_SERVICE_TIME_WEIGHT = 0.1
# Calls that run for longer than the mean show that it is too low before they end.
MIN_RUNNING_FOR_AGE = 4
DEFAULT_SERVICE_MS = 100.0
# A call that could run at most for this part of the mean time is not started.
MIN_SERVICE_FRACTION = 0.5
MIN_RETRY_AFTER_MS = 50.0
# A call has to fit with this many times its mean time, since times vary: one that just
# fits by the mean is late half of the time, and takes the slot of one that is not.
SERVICE_MARGIN = 1.5
WAIT_MARGIN = 1.1
# Calls that can be in time and arrive later go before a late one.
LATE_WAIT_MARGIN = 6.0


@attrs.frozen
class AdmissionRequest:
    """What decides about a call.

    Parameters
    ----------
    route : str
        Route, for the time that such calls take.
    priority : int
        Rank; 0 is the highest.
    target_at, deadline : float
        When its answer loses most of its worth, and all of it; monotonic seconds.
    """

    route: str
    priority: int
    target_at: float
    deadline: float


@attrs.frozen
class Refusal:
    """The call is not taken.

    Parameters
    ----------
    reason : RefusalReason
        Why.
    retry_after_ms : float
        Time after which there may be room.
    """

    reason: RefusalReason
    retry_after_ms: float


@attrs.define(eq=False)
class ScheduledCall:
    """A call that runs or waits.

    Parameters
    ----------
    request : AdmissionRequest
        The call.
    service_ms : float
        Time that it was expected to run.
    on_decision : callable
        Takes None when a call that waited runs, or its refusal.
    started_at : float or None
        When it was started, monotonic seconds; None while it waits.
    is_dequeued : bool
        Whether it has left the queue.
    """

    request: AdmissionRequest
    service_ms: float
    on_decision: Callable[[Refusal | None], None]
    started_at: float | None = None
    is_dequeued: bool = False

    @property
    def is_running(self) -> bool:
        """Whether it holds a slot."""
        return self.started_at is not None


@attrs.define
class _MeanServiceTime:
    """Mean of recent times."""

    ms: float = DEFAULT_SERVICE_MS
    count: int = 0

    def add(self, ms: float) -> None:
        """Take one more time."""
        self.count += 1
        weight = max(MIN_SERVICE_TIME_WEIGHT, 1 / self.count)
        self.ms += weight * (ms - self.ms)


class AdmissionController:
    """Decides which calls run at a backend server, which wait and which are refused.

    Parameters
    ----------
    slots : int
        Calls that may run at a time.

    Attributes
    ----------
    running : int
        Calls at the backend server now.
    """

    def __init__(self, slots: int = 0) -> None:
        self.slots = slots
        self.running = 0
        self._limit = 0
        self._limited_until = 0.0
        self._queue: list[tuple[tuple[int, bool, float, int], ScheduledCall]] = []
        self._sequence = itertools.count()
        self._waiting = 0
        self._waiting_ms = 0.0
        self._mean_by_route: dict[str, _MeanServiceTime] = {}
        self._mean = _MeanServiceTime()
        # Sum of the start times of the running calls.
        self._start_time_sum = 0.0

    @property
    def waiting(self) -> int:
        """Calls in the queue."""
        return self._waiting

    def mean_service_ms(self, now: float) -> float:
        """Return the mean time of a call once it runs."""
        return max(self._mean.ms, self._mean_running_ms(now))

    def expected_service_ms(self, route: str, now: float) -> float:
        """Return the time that a call of a route is expected to run."""
        mean = self._mean_by_route.get(route, self._mean)
        return max(mean.ms, self._mean_running_ms(now))

    def expected_wait_ms(self, now: float) -> float:
        """Return the time that a further call of the lowest rank would wait."""
        capacity = self._capacity(now)
        if self.running < capacity and not self._waiting:
            return 0.0
        # The running calls are on average half done.
        ahead = self._waiting_ms + self.mean_service_ms(now) / 2
        return ahead / max(1, capacity)

    def limit_running(self, running: int, until: float) -> None:
        """Start no call beyond `running` ones until a time, for lack of connections."""
        self._limit = running
        self._limited_until = until

    def submit(
        self,
        request: AdmissionRequest,
        now: float,
        on_decision: Callable[[Refusal | None], None],
    ) -> ScheduledCall | Refusal:
        """Return the scheduled call, which runs or waits, or its refusal."""
        service_ms = self.expected_service_ms(request.route, now)
        left_ms = (request.deadline - now) * 1000
        if left_ms < service_ms * MIN_SERVICE_FRACTION:
            return Refusal(RefusalReason.NO_TIME, 0.0)
        if self.running < self._capacity(now) and not self._waiting:
            scheduled = ScheduledCall(
                request, service_ms, on_decision, is_dequeued=True
            )
            self._start(scheduled, now)
            return scheduled
        wait_ms = self._wait_ms_of(request, now)
        is_late = request.target_at <= now
        limit_ms = left_ms if is_late else (request.target_at - now) * 1000
        margin = LATE_WAIT_MARGIN if is_late else WAIT_MARGIN
        excess_ms = margin * wait_ms + SERVICE_MARGIN * service_ms - limit_ms
        if excess_ms > 0:
            retry_after_ms = max(MIN_RETRY_AFTER_MS, excess_ms)
            return Refusal(RefusalReason.FULL, retry_after_ms)
        queued = ScheduledCall(request, service_ms, on_decision)
        key = (request.priority, is_late, request.target_at, next(self._sequence))
        heapq.heappush(self._queue, (key, queued))
        self._waiting += 1
        self._waiting_ms += service_ms
        return queued

    def cancel_queued(self, queued: ScheduledCall) -> None:
        """Take a call out of the queue, as its caller has left or its time is over."""
        if queued.is_dequeued:
            return
        self._dequeue(queued)

    def finish(
        self, scheduled: ScheduledCall, now: float, *, is_representative: bool = True
    ) -> None:
        """Release the slot of a call and start what waits.

        Parameters
        ----------
        scheduled : ScheduledCall
            A call that runs.
        now : float
            Monotonic seconds.
        is_representative : bool
            Whether its time says something about others.
        """
        self.running -= 1
        self._start_time_sum -= scheduled.started_at
        if is_representative:
            service_ms = (now - scheduled.started_at) * 1000
            self._mean.add(service_ms)
            self._mean_by_route.setdefault(
                scheduled.request.route, _MeanServiceTime()
            ).add(service_ms)
        self.start_waiting(now)

    def start_waiting(self, now: float) -> None:
        """Start calls in the queue while there are free slots."""
        while self.running < self._capacity(now) and self._queue:
            _, queued = heapq.heappop(self._queue)
            if queued.is_dequeued:
                continue
            self._dequeue(queued)
            left_ms = (queued.request.deadline - now) * 1000
            service_ms = self.expected_service_ms(queued.request.route, now)
            if left_ms < service_ms * MIN_SERVICE_FRACTION:
                queued.on_decision(Refusal(RefusalReason.NO_TIME, 0.0))
                continue
            self._start(queued, now)
            queued.on_decision(None)

    def reset_service_times(self) -> None:
        """Forget how long calls took, as another backend server takes over."""
        self._mean_by_route = {}
        self._mean = _MeanServiceTime()

    def refuse_queued(self, reason: RefusalReason) -> None:
        """Refuse all calls in the queue, as the backend server leaves."""
        queue, self._queue = self._queue, []
        for _, queued in queue:
            if not queued.is_dequeued:
                self._dequeue(queued)
                queued.on_decision(Refusal(reason, 0.0))

    def _wait_ms_of(self, request: AdmissionRequest, now: float) -> float:
        """Return the time that a call would wait behind those that go before it."""
        ahead_ms = self.mean_service_ms(now) / 2
        own = (request.priority, request.target_at <= now, request.target_at)
        for key, queued in self._queue:
            if not queued.is_dequeued and key[:3] <= own:
                ahead_ms += queued.service_ms
        return ahead_ms / max(1, self._capacity(now))

    def _capacity(self, now: float) -> int:
        """Return how many calls may run now."""
        if now >= self._limited_until:
            return self.slots
        return min(self.slots, self._limit)

    def _dequeue(self, queued: ScheduledCall) -> None:
        queued.is_dequeued = True
        self._waiting -= 1
        self._waiting_ms -= queued.service_ms
        if not self._waiting:
            self._waiting_ms = 0.0

    def _start(self, scheduled: ScheduledCall, now: float) -> None:
        scheduled.started_at = now
        self.running += 1
        self._start_time_sum += now

    def _mean_running_ms(self, now: float) -> float:
        """Return the mean time for which the running calls have been running."""
        if self.running < MIN_RUNNING_FOR_AGE:
            return 0.0
        return (now - self._start_time_sum / self.running) * 1000
