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
* Calls that are late already, for instance after a slow upstream: they run when nothing
  that can still be in time waits, so that the lateness does not spread.
"""

import heapq
import itertools
from collections.abc import Callable

import attrs

from lacewingstair.vm.call_messages import RefusalReason

# Weight of the newest call in the mean time of a route.
SERVICE_TIME_WEIGHT = 0.1
DEFAULT_SERVICE_MS = 100.0
# A call that could run at most for this part of the mean time is not started.
LEAST_SERVICE_SHARE = 0.5
LEAST_RETRY_AFTER_MS = 50.0
# A call has to fit with this many times its mean time, since times vary: one that just
# fits by the mean is late half of the time, and takes the slot of one that is not.
SERVICE_MARGIN = 1.5
WAIT_MARGIN = 1.1


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
class Waiter:
    """A call in the queue; `decide` takes None to run, or the refusal."""

    offer: Offer
    service_ms: float
    decide: Callable[[Refused | None], None]
    is_decided: bool = False


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
        self._queue: list[tuple[tuple[int, bool, float, int], Waiter]] = []
        self._numbers = itertools.count()
        self._waiting = 0
        self._waiting_ms = 0.0
        self._service_ms_by_route: dict[str, float] = {}
        self._mean_service_ms = DEFAULT_SERVICE_MS

    @property
    def waiting(self) -> int:
        """Calls in the queue."""
        return self._waiting

    @property
    def mean_service_ms(self) -> float:
        """Mean time of a call once it runs."""
        return self._mean_service_ms

    def expected_service_ms(self, route: str) -> float:
        """Return the mean time of a route's calls."""
        return self._service_ms_by_route.get(route, self._mean_service_ms)

    def expected_wait_ms(self) -> float:
        """Return the time that a further call of the lowest rank would wait."""
        if self.running < self.slots and not self._waiting:
            return 0.0
        # The running calls are on average half done.
        ahead = self._waiting_ms + self._mean_service_ms / 2
        return ahead / max(1, self.slots)

    def offer(
        self, offer: Offer, now: float, decide: Callable[[Refused | None], None]
    ) -> Waiter | Refused | None:
        """Return None when the call runs at once, else its place or its refusal."""
        service_ms = self.expected_service_ms(offer.route)
        left_ms = (offer.end_at - now) * 1000
        if left_ms < service_ms * LEAST_SERVICE_SHARE:
            return Refused(RefusalReason.NO_TIME, 0.0)
        if self.running < self.slots and not self._waiting:
            self.running += 1
            return None
        wait_ms = self._wait_ms_of(offer, now)
        is_late = offer.target_at <= now
        limit_ms = left_ms if is_late else (offer.target_at - now) * 1000
        excess_ms = WAIT_MARGIN * wait_ms + SERVICE_MARGIN * service_ms - limit_ms
        if excess_ms > 0:
            retry_after_ms = max(LEAST_RETRY_AFTER_MS, excess_ms)
            return Refused(RefusalReason.FULL, retry_after_ms)
        waiter = Waiter(offer, service_ms, decide)
        key = (offer.priority, is_late, offer.target_at, next(self._numbers))
        heapq.heappush(self._queue, (key, waiter))
        self._waiting += 1
        self._waiting_ms += service_ms
        return waiter

    def withdraw(self, waiter: Waiter) -> None:
        """Take a call out of the queue, as its caller has left or its time is over."""
        if waiter.is_decided:
            return
        self._settle(waiter)

    def finished(self, route: str, service_ms: float | None, now: float) -> None:
        """Release the slot of a call and start what waits.

        Parameters
        ----------
        route : str
            Route of the call.
        service_ms : float or None
            Time that it took; None when that says nothing about others.
        now : float
            Monotonic seconds.
        """
        self.running -= 1
        if service_ms is not None:
            self._learn(route, service_ms)
        self.start_waiting(now)

    def start_waiting(self, now: float) -> None:
        """Start calls in the queue while there are free slots."""
        while self.running < self.slots and self._queue:
            _, waiter = heapq.heappop(self._queue)
            if waiter.is_decided:
                continue
            self._settle(waiter)
            left_ms = (waiter.offer.end_at - now) * 1000
            service_ms = self.expected_service_ms(waiter.offer.route)
            if left_ms < service_ms * LEAST_SERVICE_SHARE:
                waiter.decide(Refused(RefusalReason.NO_TIME, 0.0))
                continue
            self.running += 1
            waiter.decide(None)

    def forget_times(self) -> None:
        """Forget how long calls took, as another backend server takes over."""
        self._service_ms_by_route = {}
        self._mean_service_ms = DEFAULT_SERVICE_MS

    def refuse_all(self, reason: RefusalReason) -> None:
        """Refuse all calls in the queue, as the backend server leaves."""
        queue, self._queue = self._queue, []
        for _, waiter in queue:
            if not waiter.is_decided:
                self._settle(waiter)
                waiter.decide(Refused(reason, 0.0))

    def _wait_ms_of(self, offer: Offer, now: float) -> float:
        """Return the time that a call would wait behind those that go before it."""
        ahead_ms = self._mean_service_ms / 2
        own = (offer.priority, offer.target_at <= now, offer.target_at)
        for key, waiter in self._queue:
            if not waiter.is_decided and key[:3] <= own:
                ahead_ms += waiter.service_ms
        return ahead_ms / max(1, self.slots)

    def _settle(self, waiter: Waiter) -> None:
        waiter.is_decided = True
        self._waiting -= 1
        self._waiting_ms -= waiter.service_ms
        if not self._waiting:
            self._waiting_ms = 0.0

    def _learn(self, route: str, service_ms: float) -> None:
        held = self._service_ms_by_route.get(route, service_ms)
        held += SERVICE_TIME_WEIGHT * (service_ms - held)
        self._service_ms_by_route[route] = held
        mean = self._mean_service_ms
        self._mean_service_ms = mean + SERVICE_TIME_WEIGHT * (service_ms - mean)
