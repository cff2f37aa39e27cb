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
SERVICE_TIME_WEIGHT = 0.1
# Calls that run for longer than the mean show that it is too low before they end.
LEAST_RUNNING_FOR_AGE = 4
DEFAULT_SERVICE_MS = 100.0
# A call that could run at most for this part of the mean time is not started.
LEAST_SERVICE_SHARE = 0.5
LEAST_RETRY_AFTER_MS = 50.0
# A call has to fit with this many times its mean time, since times vary: one that just
# fits by the mean is late half of the time, and takes the slot of one that is not.
SERVICE_MARGIN = 1.5
WAIT_MARGIN = 1.1
# Calls that can be in time and arrive later go before a late one.
LATE_WAIT_MARGIN = 6.0


@attrs.frozen
class Offer:
    """What decides about a call.

    Parameters
    ----------
    route : str
        Route, for the time that such calls take.
    priority : int
        Rank; 0 is the highest.
    target_at, end_at : float
        When its answer loses most of its worth, and all of it; monotonic seconds.
    """

    route: str
    priority: int
    target_at: float
    end_at: float


@attrs.frozen
class Refused:
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
class Place:
    """A call that runs or waits.

    Parameters
    ----------
    offer : Offer
        The call.
    service_ms : float
        Time that it was expected to run.
    decide : callable
        Takes None when a call that waited runs, or its refusal.
    started_at : float or None
        When it was started, monotonic seconds; None while it waits.
    is_decided : bool
        Whether it has left the queue.
    """

    offer: Offer
    service_ms: float
    decide: Callable[[Refused | None], None]
    started_at: float | None = None
    is_decided: bool = False

    @property
    def is_running(self) -> bool:
        """Whether it holds a slot."""
        return self.started_at is not None


@attrs.define
class _Mean:
    """Mean of recent times."""

    ms: float = DEFAULT_SERVICE_MS
    count: int = 0

    def add(self, ms: float) -> None:
        """Take one more time."""
        self.count += 1
        weight = max(SERVICE_TIME_WEIGHT, 1 / self.count)
        self.ms += weight * (ms - self.ms)


class Admission:
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
        self._queue: list[tuple[tuple[int, bool, float, int], Place]] = []
        self._numbers = itertools.count()
        self._waiting = 0
        self._waiting_ms = 0.0
        self._mean_by_route: dict[str, _Mean] = {}
        self._mean = _Mean()
        # Sum of the start times of the running calls.
        self._started_sum = 0.0

    @property
    def waiting(self) -> int:
        """Calls in the queue."""
        return self._waiting

    def mean_service_ms(self, now: float) -> float:
        """Return the mean time of a call once it runs."""
        return max(self._mean.ms, self._running_ms(now))

    def expected_service_ms(self, route: str, now: float) -> float:
        """Return the time that a call of a route is expected to run."""
        mean = self._mean_by_route.get(route, self._mean)
        return max(mean.ms, self._running_ms(now))

    def expected_wait_ms(self, now: float) -> float:
        """Return the time that a further call of the lowest rank would wait."""
        capacity = self._capacity(now)
        if self.running < capacity and not self._waiting:
            return 0.0
        # The running calls are on average half done.
        ahead = self._waiting_ms + self.mean_service_ms(now) / 2
        return ahead / max(1, capacity)

    def limit(self, running: int, until: float) -> None:
        """Start no call beyond `running` ones until a time, for lack of connections."""
        self._limit = running
        self._limited_until = until

    def offer(
        self, offer: Offer, now: float, decide: Callable[[Refused | None], None]
    ) -> Place | Refused:
        """Return the place of the call, which runs or waits, or its refusal."""
        service_ms = self.expected_service_ms(offer.route, now)
        left_ms = (offer.end_at - now) * 1000
        if left_ms < service_ms * LEAST_SERVICE_SHARE:
            return Refused(RefusalReason.NO_TIME, 0.0)
        if self.running < self._capacity(now) and not self._waiting:
            place = Place(offer, service_ms, decide, is_decided=True)
            self._start(place, now)
            return place
        wait_ms = self._wait_ms_of(offer, now)
        is_late = offer.target_at <= now
        limit_ms = left_ms if is_late else (offer.target_at - now) * 1000
        margin = LATE_WAIT_MARGIN if is_late else WAIT_MARGIN
        excess_ms = margin * wait_ms + SERVICE_MARGIN * service_ms - limit_ms
        if excess_ms > 0:
            retry_after_ms = max(LEAST_RETRY_AFTER_MS, excess_ms)
            return Refused(RefusalReason.FULL, retry_after_ms)
        waiter = Place(offer, service_ms, decide)
        key = (offer.priority, is_late, offer.target_at, next(self._numbers))
        heapq.heappush(self._queue, (key, waiter))
        self._waiting += 1
        self._waiting_ms += service_ms
        return waiter

    def withdraw(self, waiter: Place) -> None:
        """Take a call out of the queue, as its caller has left or its time is over."""
        if waiter.is_decided:
            return
        self._settle(waiter)

    def finished(self, place: Place, now: float, *, is_typical: bool = True) -> None:
        """Release the slot of a call and start what waits.

        Parameters
        ----------
        place : Place
            A call that runs.
        now : float
            Monotonic seconds.
        is_typical : bool
            Whether its time says something about others.
        """
        self.running -= 1
        self._started_sum -= place.started_at
        if is_typical:
            service_ms = (now - place.started_at) * 1000
            self._mean.add(service_ms)
            self._mean_by_route.setdefault(place.offer.route, _Mean()).add(service_ms)
        self.start_waiting(now)

    def start_waiting(self, now: float) -> None:
        """Start calls in the queue while there are free slots."""
        while self.running < self._capacity(now) and self._queue:
            _, waiter = heapq.heappop(self._queue)
            if waiter.is_decided:
                continue
            self._settle(waiter)
            left_ms = (waiter.offer.end_at - now) * 1000
            service_ms = self.expected_service_ms(waiter.offer.route, now)
            if left_ms < service_ms * LEAST_SERVICE_SHARE:
                waiter.decide(Refused(RefusalReason.NO_TIME, 0.0))
                continue
            self._start(waiter, now)
            waiter.decide(None)

    def forget_times(self) -> None:
        """Forget how long calls took, as another backend server takes over."""
        self._mean_by_route = {}
        self._mean = _Mean()

    def refuse_all(self, reason: RefusalReason) -> None:
        """Refuse all calls in the queue, as the backend server leaves."""
        queue, self._queue = self._queue, []
        for _, waiter in queue:
            if not waiter.is_decided:
                self._settle(waiter)
                waiter.decide(Refused(reason, 0.0))

    def _wait_ms_of(self, offer: Offer, now: float) -> float:
        """Return the time that a call would wait behind those that go before it."""
        ahead_ms = self.mean_service_ms(now) / 2
        own = (offer.priority, offer.target_at <= now, offer.target_at)
        for key, waiter in self._queue:
            if not waiter.is_decided and key[:3] <= own:
                ahead_ms += waiter.service_ms
        return ahead_ms / max(1, self._capacity(now))

    def _capacity(self, now: float) -> int:
        """Return how many calls may run now."""
        if now >= self._limited_until:
            return self.slots
        return min(self.slots, self._limit)

    def _settle(self, waiter: Place) -> None:
        waiter.is_decided = True
        self._waiting -= 1
        self._waiting_ms -= waiter.service_ms
        if not self._waiting:
            self._waiting_ms = 0.0

    def _start(self, place: Place, now: float) -> None:
        place.started_at = now
        self.running += 1
        self._started_sum += now

    def _running_ms(self, now: float) -> float:
        """Return the mean time for which the running calls have been running."""
        if self.running < LEAST_RUNNING_FOR_AGE:
            return 0.0
        return (now - self._started_sum / self.running) * 1000
