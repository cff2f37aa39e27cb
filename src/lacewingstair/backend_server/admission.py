"""Admission control and queueing for the calls to one backend server; performs no I/O.

All calls to a backend server pass through the process on its VM. Calls that cannot run
yet wait in a queue of that process, where they can still be reordered, refused and sent
to another backend server, which is not possible in the queue of the backend server.

Load patterns and how they are handled:

* A burst beyond the slots: calls are queued by priority, and within a priority by the
  time left until their target latency.
* Sustained overload: a call that would miss its target because of the calls ahead of it
  is refused on arrival, so that admitted calls meet their target and callers learn of a
  refusal at once.
* A backend server that becomes slow: the elapsed time of running calls is part of the
  estimated service time before the first of them ends.
* Calls that have already missed their target, for instance after a slow upstream: they
  run when no call that can still meet its target waits, so that they delay no other
  call. During sustained overload they are refused on arrival, as they would wait until
  their deadline.
* A machine shared with other work, whose backend server states its speed: estimates
  use the cost of the call's class, what is left of the running calls by their age, and
  the present speed. Without stated speed, none of these has an effect.
* A hot account among quiet ones: within a priority, accounts are served fairly
  (`fair_queue`), and the estimated wait of a call follows that order. A call of a quiet
  account is neither delayed nor refused for the backlog of the hot one.
* Priorities or equal shares that would starve an account: an account that is served
  much less often than all is owed a call, which goes ahead (`service_shares`).
* Nested calls under a burst of first calls: they go ahead of first calls, since the
  work of their parent is lost without them. While first calls wait, this holds for half
  of the starts only, so that a burst of nested calls does not crowd out first calls.
* Many callers of accounts that are refused together: the times after which they are
  told to return are spread over the time that the backlog ahead of them takes.
* A backend server that accepts fewer connections than it has slots: calls wait for the
  established connections, since each one started without a connection would fail.
"""

from collections.abc import Callable

import attrs

from lacewingstair.backend_server.admission_queue import AdmissionQueue
from lacewingstair.backend_server.scheduled_call import (
    AdmissionRequest,
    Refusal,
    ScheduledCall,
)
from lacewingstair.backend_server.service_shares import ServiceShares
from lacewingstair.vm.call_messages import RefusalReason
from lacewingstair.work.estimates import CallClass
from lacewingstair.work.upstream import UpstreamWork

# Minimum weight of the latest call in a moving average; the first calls weigh more.
MIN_SERVICE_TIME_WEIGHT = 0.1
# From this many running calls on, their mean elapsed time is a lower bound of the
# estimated service time; it shows that the mean is too low before the calls end.
MIN_RUNNING_FOR_AGE = 4
DEFAULT_SERVICE_MS = 100.0
# A call is not started if its time left is below this fraction of the service time.
MIN_SERVICE_FRACTION = 0.5
MIN_RETRY_AFTER_MS = 50.0
# With stated speed, estimates already follow a slowdown. Costs are heavy-tailed, so
# running calls are often older than their mean cost; only from this multiple of it on
# do they show that the stated speed is wrong.
MAX_EXPLAINED_AGE_RATIO = 2.0
# Service times vary, so a call is admitted only if this multiple of its mean service
# time fits before its target. A call that just fits by the mean is late in half of the
# cases, and takes the slot of one that is not.
SERVICE_MARGIN = 1.5
WAIT_MARGIN = 1.1
# Calls that can still meet their target overtake a late one even if they arrive later.
LATE_WAIT_MARGIN = 6.0
# Multiples of the golden ratio, modulo 1, are spread evenly over any number of callers.
RETURN_SPREAD_STEP = 0.618034


@attrs.define
class _MeanServiceTime:
    """Moving average of service times."""

    ms: float = DEFAULT_SERVICE_MS
    count: int = 0

    def add(self, ms: float) -> None:
        """Add a service time."""
        self.count += 1
        weight = max(MIN_SERVICE_TIME_WEIGHT, 1 / self.count)
        self.ms += weight * (ms - self.ms)


class AdmissionController:
    """Decides which calls to a backend server run, are queued or are refused.

    Parameters
    ----------
    slots : int
        Calls that may run concurrently.

    Attributes
    ----------
    running : int
        Calls that are running at the backend server.
    work : UpstreamWork
        Work of the backend server; used for estimates if it states its speed.
    prefers_nested : bool
        Whether nested calls go ahead of others.
    """

    def __init__(self, slots: int = 0) -> None:
        self.slots = slots
        self.running = 0
        self.work = UpstreamWork()
        self.prefers_nested = False
        self._limit = 0
        self._limited_until = 0.0
        self._queue = AdmissionQueue()
        self._shares = ServiceShares()
        self._return_phase = 0.0
        self._mean_by_route: dict[str, _MeanServiceTime] = {}
        self._mean = _MeanServiceTime()
        # Sum of the start times of all running calls, for their mean elapsed time.
        self._start_time_sum = 0.0

    @property
    def waiting(self) -> int:
        """Number of queued calls."""
        return len(self._queue)

    def mean_service_ms(self, now: float) -> float:
        """Return the estimated service time over all routes."""
        if self.work.is_known(now):
            return self._service_ms(self.work.mean_ms(self._mean.ms), now)
        return max(self._mean.ms, self._mean_running_ms(now))

    def expected_service_ms(self, request: AdmissionRequest, now: float) -> float:
        """Return the estimated service time of a call."""
        mean = self._mean_by_route.get(request.route, self._mean)
        if self.work.is_known(now):
            call = request.call_class or CallClass(request.route)
            return self._service_ms(self.work.expected_ms(call, mean.ms, now), now)
        return max(mean.ms, self._mean_running_ms(now))

    def expected_wait_ms(self, now: float) -> float:
        """Return the estimated wait of a further call of the lowest priority."""
        capacity = self._capacity(now)
        if self.running < capacity and not self._queue:
            return 0.0
        ahead_ms = self._queue.service_ms * self.work.slowness(now) + self._residual_ms(
            now
        )
        return ahead_ms / max(1, capacity)

    def backlog_ms(self, now: float) -> float:
        """Return the work left of running and queued calls at the present speed."""
        left_ms = sum(self.work.remaining_ms(now)) + self._queue.service_ms
        return left_ms * self.work.slowness(now)

    def limit_running(self, running: int, until: float) -> None:
        """Limit the number of running calls until a time, for lack of connections."""
        self._limit = running
        self._limited_until = until

    def submit(
        self,
        request: AdmissionRequest,
        now: float,
        on_decision: Callable[[Refusal | None], None],
    ) -> ScheduledCall | Refusal:
        """Start, queue or refuse a call."""
        service_ms = self.expected_service_ms(request, now)
        left_ms = (request.deadline - now) * 1000
        if left_ms < service_ms * MIN_SERVICE_FRACTION:
            return Refusal(RefusalReason.NO_TIME, 0.0)
        if request.is_nested and not self.prefers_nested:
            request = attrs.evolve(request, is_nested=False)
        if self.running < self._capacity(now) and not self._queue:
            scheduled = ScheduledCall(
                request, service_ms, on_decision, is_dequeued=True
            )
            if request.account and not request.is_nested:
                self._shares.record(request.account, now, is_admitted=True)
            self._start(scheduled, now)
            return scheduled
        is_late = request.target_at <= now
        is_shared = bool(request.account) and not is_late and not request.is_nested
        is_owed = is_shared and self._shares.is_owed(request.account, now)
        wait_ms = self._wait_ms_of(request, now, is_owed=is_owed)
        factor = 1.0
        if is_shared and not is_owed:
            factor = self._shares.wait_factor(request.account, now)
        limit_ms = left_ms if is_late else (request.target_at - now) * 1000
        margin = LATE_WAIT_MARGIN if is_late else WAIT_MARGIN
        excess_ms = margin * factor * wait_ms + SERVICE_MARGIN * service_ms - limit_ms
        if is_shared:
            self._shares.record(request.account, now, is_admitted=excess_ms <= 0)
        if excess_ms > 0:
            if request.account:
                excess_ms += self._next_return_phase() * factor * wait_ms
            retry_after_ms = max(MIN_RETRY_AFTER_MS, excess_ms)
            return Refusal(RefusalReason.FULL, retry_after_ms)
        service_ms /= self.work.slowness(now)
        queued = ScheduledCall(
            request,
            service_ms,
            on_decision,
            is_owed=is_owed,
            is_counted=is_shared,
            queued_at=now,
            wait_ms=wait_ms,
        )
        self._queue.push(queued, now)
        return queued

    def cancel_queued(self, queued: ScheduledCall, now: float | None = None) -> None:
        """Remove a call whose caller left or whose deadline passed from the queue.

        Parameters
        ----------
        queued : ScheduledCall
            The call; nothing happens if it has left the queue.
        now : float, optional
            Monotonic seconds, by which its wait is known.
        """
        if queued.is_dequeued:
            return
        self._queue.remove(queued)
        self._record_lost(queued)
        if now is not None:
            self._record_wait(queued, now, is_over=False)

    def finish(
        self, scheduled: ScheduledCall, now: float, *, is_representative: bool = True
    ) -> None:
        """Release the slot of a call and start queued calls.

        Parameters
        ----------
        scheduled : ScheduledCall
            A running call.
        now : float
            Monotonic seconds.
        is_representative : bool
            Whether its time is added to the service times.
        """
        self.running -= 1
        self._start_time_sum -= scheduled.started_at
        if scheduled.work is not None:
            self.work.end(scheduled.work, now, is_representative=is_representative)
        if is_representative:
            service_ms = (now - scheduled.started_at) * 1000
            self._mean.add(service_ms)
            self._mean_by_route.setdefault(
                scheduled.request.route, _MeanServiceTime()
            ).add(service_ms)
        self.start_waiting(now)

    def start_waiting(self, now: float) -> None:
        """Start queued calls while slots are free."""
        while self.running < self._capacity(now):
            queued = self._queue.pop()
            if queued is None:
                return
            self._record_wait(queued, now, is_over=True)
            left_ms = (queued.request.deadline - now) * 1000
            service_ms = self.expected_service_ms(queued.request, now)
            if left_ms < service_ms * MIN_SERVICE_FRACTION:
                self._record_lost(queued)
                queued.on_decision(Refusal(RefusalReason.NO_TIME, 0.0))
                continue
            self._queue.charge(queued)
            self._start(queued, now)
            queued.on_decision(None)

    def reset_service_times(self) -> None:
        """Discard all service times, after the backend server was replaced."""
        self._mean_by_route = {}
        self._mean = _MeanServiceTime()
        self.work.reset()

    def refuse_queued(self, reason: RefusalReason) -> None:
        """Refuse all queued calls, when the backend server stops accepting calls."""
        for queued in self._queue.pop_all():
            self._record_lost(queued)
            queued.on_decision(Refusal(reason, 0.0))

    def _wait_ms_of(
        self, request: AdmissionRequest, now: float, *, is_owed: bool
    ) -> float:
        """Return the estimated wait of a call behind those ahead of it in the queue."""
        queued_ms = self._queue.ahead_ms(request, now, is_owed=is_owed)
        ahead_ms = self._residual_ms(now) + queued_ms * self.work.slowness(now)
        return ahead_ms / max(1, self._capacity(now))

    def _next_return_phase(self) -> float:
        """Return the part of the backlog after which the next refused call returns."""
        self._return_phase = (self._return_phase + RETURN_SPREAD_STEP) % 1.0
        return self._return_phase

    def _record_wait(self, queued: ScheduledCall, now: float, *, is_over: bool) -> None:
        """Compare the wait of a call with its estimate; it may have ended early."""
        if not queued.is_counted or queued.is_owed:
            return
        ratio = (now - queued.queued_at) * 1000 / max(1.0, queued.wait_ms)
        account = queued.request.account
        if is_over or ratio > self._shares.wait_factor(account, now):
            self._shares.record_wait(account, now, ratio)

    def _record_lost(self, queued: ScheduledCall) -> None:
        if queued.is_counted:
            self._shares.record_lost(queued.request.account)

    def _capacity(self, now: float) -> int:
        """Return the number of calls that may run now."""
        if now >= self._limited_until:
            return self.slots
        return min(self.slots, self._limit)

    def _start(self, scheduled: ScheduledCall, now: float) -> None:
        scheduled.started_at = now
        self.running += 1
        self._start_time_sum += now
        if self.work.is_known(now):
            call = scheduled.request.call_class or CallClass(scheduled.request.route)
            scheduled.work = self.work.start(call, now)

    def _service_ms(self, cost_ms: float, now: float) -> float:
        """Return the service time of a cost at the stated speed."""
        service_ms = cost_ms * self.work.slowness(now)
        return max(service_ms, self._mean_running_ms(now) / MAX_EXPLAINED_AGE_RATIO)

    def _residual_ms(self, now: float) -> float:
        """Return the time until a slot becomes free, times the slots."""
        if not self.work.is_known(now):
            # On average, running calls have half of their service time left.
            return self.mean_service_ms(now) / 2
        first_end_ms = self.work.first_end_ms(now) * self.work.slowness(now)
        return first_end_ms * max(1, self._capacity(now))

    def _mean_running_ms(self, now: float) -> float:
        """Return the mean elapsed time of running calls, or 0 if there are too few."""
        if self.running < MIN_RUNNING_FOR_AGE:
            return 0.0
        return (now - self._start_time_sum / self.running) * 1000
