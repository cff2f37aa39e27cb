"""Queue of the calls that wait for a slot of one backend server; performs no I/O.

Order: nested calls within a bounded share of the starts, then by priority, then fairly
by account (`fair_queue`), then calls that can still meet their target, then by target.
Without accounts and nested calls, this is the order by priority and target.
"""

import bisect
import heapq
import itertools
import math

from lacewingstair.backend_server.fair_queue import FairQueue
from lacewingstair.backend_server.scheduled_call import AdmissionRequest, ScheduledCall

# While calls of both kinds wait, each start of a first call allows the start of one
# nested call ahead of the others, and this many can be saved up. Nested calls get at
# least half of the starts then, and at most this many more.
NESTED_STARTS_BURST = 4
# Calls of accounts that were served much less often than all go ahead of the others.
OWED_PRIORITY = -math.inf


class AdmissionQueue:
    """Calls that wait for a slot.

    Attributes
    ----------
    service_ms : float
        Sum of the estimated service times of all queued calls.
    """

    def __init__(self) -> None:
        self._nested: list[tuple[tuple[int, bool, float, int], ScheduledCall]] = []
        self._nested_size = 0
        self._nested_ms = 0.0
        self._nested_credit = NESTED_STARTS_BURST
        self._queues_by_priority: dict[float, FairQueue] = {}
        self._priorities: list[float] = []
        self._sequence = itertools.count()
        self._size = 0
        self.service_ms = 0.0

    def __len__(self) -> int:
        return self._size

    @property
    def tracked_accounts(self) -> int:
        """Number of accounts for which state is kept, once for each priority."""
        queues = self._queues_by_priority.values()
        return sum(queue.tracked_accounts for queue in queues)

    def push(self, queued: ScheduledCall, now: float) -> None:
        """Add a call."""
        request = queued.request
        is_late = request.target_at <= now
        sequence = next(self._sequence)
        if request.is_nested:
            key = (request.priority, is_late, request.target_at, sequence)
            heapq.heappush(self._nested, (key, queued))
            self._nested_size += 1
            self._nested_ms += queued.service_ms
        else:
            queue = self._queue_of(_level(queued.is_owed, request))
            queue.push(queued, (is_late, request.target_at, sequence))
        self._size += 1
        self.service_ms += queued.service_ms

    def pop(self) -> ScheduledCall | None:
        """Remove and return the call that is next; None if no call waits.

        `charge` has to follow if the call starts.
        """
        first_calls = self._size - self._nested_size
        if self._nested_size and (self._nested_credit >= 1 or not first_calls):
            return self._pop_nested()
        if not first_calls:
            return None
        queued = self._queues_by_priority[self._priorities[0]].pop()
        self._forget(queued)
        return queued

    def charge(self, queued: ScheduledCall) -> None:
        """Account for the start of the call that `pop` has returned last."""
        if not queued.request.is_nested:
            queued.flow.queue.charge(queued)
            self._nested_credit = min(NESTED_STARTS_BURST, self._nested_credit + 1)
        elif self._size > self._nested_size:
            self._nested_credit -= 1

    def pop_all(self) -> list[ScheduledCall]:
        """Remove and return all calls."""
        waiting = [queued for _, queued in self._nested if not queued.is_dequeued]
        for queue in self._queues_by_priority.values():
            waiting += queue.waiting()
        for queued in waiting:
            self.remove(queued)
        return waiting

    def remove(self, queued: ScheduledCall) -> None:
        """Remove a call that waits."""
        if queued.request.is_nested:
            queued.is_dequeued = True
        else:
            queued.flow.queue.remove(queued)
        self._forget(queued)

    def ahead_ms(
        self, request: AdmissionRequest, now: float, *, is_owed: bool = False
    ) -> float:
        """Return the sum of the service times of the calls ahead of a new call.

        Parameters
        ----------
        request : AdmissionRequest
            The new call.
        now : float
            Monotonic seconds.
        is_owed : bool
            Whether it goes ahead, since its account was served much less than others.
        """
        is_late = request.target_at <= now
        if request.is_nested:
            return self._ahead_of_nested_ms(request, is_late)
        level = _level(is_owed, request)
        ahead_ms = 0.0
        for priority in self._priorities:
            queue = self._queues_by_priority[priority]
            if priority < level:
                ahead_ms += queue.service_ms
                continue
            if priority == level:
                ahead_ms += queue.ahead_ms(request.account, is_late, request.target_at)
            break
        if not self._nested_size:
            return ahead_ms
        # Each first call ahead allows one nested call ahead.
        first_calls = self._size - self._nested_size
        first_ms = self.service_ms - self._nested_ms
        calls = ahead_ms * first_calls / first_ms if first_ms > 0 else 0.0
        nested = min(self._nested_size, self._nested_credit + calls)
        return ahead_ms + nested * self._nested_ms / self._nested_size

    def _ahead_of_nested_ms(self, request: AdmissionRequest, is_late: bool) -> float:
        own = (request.priority, is_late, request.target_at)
        ahead = [
            queued.service_ms
            for key, queued in self._nested
            if not queued.is_dequeued and key[:3] <= own
        ]
        first_calls = self._size - self._nested_size
        between = min(first_calls, max(0, len(ahead) + 1 - self._nested_credit))
        if not between:
            return sum(ahead)
        first_ms = self.service_ms - self._nested_ms
        return sum(ahead) + between * first_ms / first_calls

    def _pop_nested(self) -> ScheduledCall:
        while True:
            _, queued = heapq.heappop(self._nested)
            if not queued.is_dequeued:
                queued.is_dequeued = True
                self._forget(queued)
                return queued

    def _queue_of(self, priority: float) -> FairQueue:
        queue = self._queues_by_priority.get(priority)
        if queue is None:
            queue = self._queues_by_priority[priority] = FairQueue(priority)
            bisect.insort(self._priorities, priority)
        return queue

    def _forget(self, queued: ScheduledCall) -> None:
        """Update the sums for a call that has left its queue; drop an empty queue."""
        self._size -= 1
        self.service_ms -= queued.service_ms
        if not self._size:
            self.service_ms = 0.0
        if queued.request.is_nested:
            self._nested_size -= 1
            self._nested_ms -= queued.service_ms
            if not self._nested_size:
                self._nested.clear()
                self._nested_ms = 0.0
            return
        queue = queued.flow.queue
        if not queue.size:
            del self._queues_by_priority[queue.priority]
            self._priorities.remove(queue.priority)


def _level(is_owed: bool, request: AdmissionRequest) -> float:
    return OWED_PRIORITY if is_owed else request.priority
