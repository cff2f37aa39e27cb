"""Fair queueing of the calls of one priority by account; performs no I/O.

Load pattern: an account that sends many times its usual load while others keep to
theirs. Each account has a queue of its own, and the queue with the least work done is
served next. Work is counted as a virtual time in milliseconds of estimated service
time. The account that sends too much waits behind its own work.

The virtual time is that of start-time fair queueing: an account that was idle starts at
the time of the call served last, so that it saves up no claim. Calls are charged when
they start, so that calls that are cancelled or expire cost their account nothing.
"""

import heapq
import itertools
import math

import attrs

from lacewingstair.backend_server.scheduled_call import ScheduledCall

# Finish times of idle accounts are looked through once there are this many more of them
# than before, which bounds the work per call.
FINISH_TIMES_SLACK = 16
# Keeps the number of calls finite where the estimated service time is 0.
MIN_MEAN_MS = 1e-3

# Order among the calls of an account: calls that can meet their target come first, and
# then those with the earlier target.
CallKey = tuple[bool, float, int]


@attrs.define(eq=False)
class Flow:
    """Queued calls of one account and priority.

    Parameters
    ----------
    queue : FairQueue
        Queue of the priority.
    account : str
        Name of the account; empty for calls without one.
    starts_at : float
        Virtual time at which its next call starts.
    heap : list
        Its calls, including those that have left the queue.
    size : int
        Number of calls that wait.
    service_ms : float
        Sum of their estimated service times.
    """

    queue: "FairQueue"
    account: str
    starts_at: float
    heap: list[tuple[CallKey, ScheduledCall]] = attrs.field(factory=list)
    size: int = 0
    service_ms: float = 0.0

    def ahead_ms(self, is_late: bool, target_at: float) -> float:
        """Return the work of the calls ahead of a new one of the same account."""
        last = (is_late, target_at, math.inf)
        ahead_ms = 0.0
        for key, queued in self.heap:
            if key < last and not queued.is_dequeued:
                ahead_ms += queued.service_ms
        return ahead_ms


class FairQueue:
    """Calls of one priority.

    Parameters
    ----------
    priority : float
        The priority.

    Attributes
    ----------
    size : int
        Number of calls that wait.
    service_ms : float
        Sum of their estimated service times.
    """

    def __init__(self, priority: float) -> None:
        self.priority = priority
        self.size = 0
        self.service_ms = 0.0
        self._virtual_time = 0.0
        self._flows: list[tuple[float, int, Flow]] = []
        self._flows_by_account: dict[str, Flow] = {}
        # Accounts without queued calls whose last call ends after the virtual time.
        self._finish_times: dict[str, float] = {}
        self._max_finish_times = FINISH_TIMES_SLACK
        self._sequence = itertools.count()

    @property
    def tracked_accounts(self) -> int:
        """Number of accounts for which state is kept."""
        return len(self._flows_by_account) + len(self._finish_times)

    def push(self, queued: ScheduledCall, key: CallKey) -> None:
        """Add a call."""
        account = queued.request.account
        flow = self._flows_by_account.get(account)
        if flow is None:
            flow = Flow(self, account, self._starts_at(account))
            self._finish_times.pop(account, None)
            self._flows_by_account[account] = flow
            entry = (flow.starts_at, next(self._sequence), flow)
            heapq.heappush(self._flows, entry)
        heapq.heappush(flow.heap, (key, queued))
        queued.flow = flow
        flow.size += 1
        flow.service_ms += queued.service_ms
        self.size += 1
        self.service_ms += queued.service_ms

    def pop(self) -> ScheduledCall | None:
        """Remove and return the next call; `charge` has to follow if it starts."""
        while self._flows:
            flow = self._flows[0][2]
            while flow.heap:
                _, queued = heapq.heappop(flow.heap)
                if not queued.is_dequeued:
                    self.remove(queued)
                    return queued
            self._drop_first()
        return None

    def charge(self, queued: ScheduledCall) -> None:
        """Charge the account of the call that `pop` has returned last."""
        flow = queued.flow
        self._virtual_time = flow.starts_at
        flow.starts_at += queued.service_ms
        if flow.size:
            _, sequence, _ = self._flows[0]
            heapq.heapreplace(self._flows, (flow.starts_at, sequence, flow))
        else:
            self._drop_first()

    def remove(self, queued: ScheduledCall) -> None:
        """Remove a call that waits."""
        queued.is_dequeued = True
        flow = queued.flow
        flow.size -= 1
        flow.service_ms -= queued.service_ms
        if not flow.size:
            flow.service_ms = 0.0
        self.size -= 1
        self.service_ms -= queued.service_ms
        if not self.size:
            self.service_ms = 0.0

    def waiting(self) -> list[ScheduledCall]:
        """Return all calls that wait."""
        return [
            queued
            for _, _, flow in self._flows
            for _, queued in flow.heap
            if not queued.is_dequeued
        ]

    def ahead_ms(self, account: str, is_late: bool, target_at: float) -> float:
        """Return the work ahead of a new call, if no other call arrives."""
        own = self._flows_by_account.get(account)
        if own is None:
            starts_at = self._starts_at(account)
            ahead_ms = 0.0
        else:
            ahead_ms = own.ahead_ms(is_late, target_at)
            starts_at = own.starts_at + ahead_ms
        for flow_starts_at, _, flow in self._flows:
            if flow_starts_at > starts_at or flow is own:
                continue
            if flow.size < 2:
                ahead_ms += flow.service_ms
                continue
            # Calls of a flow go first as long as they start before the new call does.
            mean_ms = flow.service_ms / flow.size
            calls = (starts_at - flow_starts_at) // max(MIN_MEAN_MS, mean_ms) + 1
            ahead_ms += min(calls, flow.size) * mean_ms
        return ahead_ms

    def _starts_at(self, account: str) -> float:
        return max(self._virtual_time, self._finish_times.get(account, 0.0))

    def _drop_first(self) -> None:
        """Drop the first flow, which has no calls."""
        _, _, flow = heapq.heappop(self._flows)
        del self._flows_by_account[flow.account]
        if flow.starts_at <= self._virtual_time:
            return
        self._finish_times[flow.account] = flow.starts_at
        if len(self._finish_times) > self._max_finish_times:
            self._finish_times = {
                account: finish
                for account, finish in self._finish_times.items()
                if finish > self._virtual_time
            }
            self._max_finish_times = 2 * len(self._finish_times) + FINISH_TIMES_SLACK
