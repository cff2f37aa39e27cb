"""Calls as admission control sees them; performs no I/O."""

from collections.abc import Callable
from typing import Protocol

import attrs

from lacewingstair.vm.call_messages import RefusalReason
from lacewingstair.work.estimates import CallClass
from lacewingstair.work.upstream import RunningWork


@attrs.frozen
class AdmissionRequest:
    """Properties of a call that decide on its admission.

    Parameters
    ----------
    route : str
        Route, by which service times are estimated.
    priority : int
        Priority; 0 is the highest.
    target_at, deadline : float
        Target for the response, after which it has lost most of its value, and
        deadline, after which it has none; monotonic seconds.
    account : str
        Account among which capacity is shared; empty if the call has none.
    is_nested : bool
        Whether the call goes ahead, since a running call depends on it.
    call_class : CallClass or None
        What is known of the cost of the call; its route alone if None.
    """

    route: str
    priority: int
    target_at: float
    deadline: float
    account: str = ""
    is_nested: bool = False
    call_class: CallClass | None = None


@attrs.frozen
class Refusal:
    """Refusal of a call.

    Parameters
    ----------
    reason : RefusalReason
        Reason of the refusal.
    retry_after_ms : float
        Time after which there may be capacity.
    """

    reason: RefusalReason
    retry_after_ms: float


class CallQueue(Protocol):
    """What a queued call needs of the queue of its priority."""

    priority: float
    size: int

    def charge(self, queued: "ScheduledCall") -> None:
        """Charge the account of a call that starts."""
        ...

    def remove(self, queued: "ScheduledCall") -> None:
        """Remove a call that waits."""
        ...


class CallFlow(Protocol):
    """Queued calls of one account and priority."""

    queue: CallQueue


@attrs.define(eq=False)
class ScheduledCall:
    """A call that is running or queued.

    Parameters
    ----------
    request : AdmissionRequest
        Properties of the call.
    service_ms : float
        Estimated service time on admission. That of a queued call is at the usual speed
        of the machine, as the speed at its start is not known yet.
    on_decision : callable
        Called with None when a queued call starts, or with its refusal.
    started_at : float or None
        Start in monotonic seconds; None while the call is queued.
    is_dequeued : bool
        Whether the call has left the queue.
    work : RunningWork or None
        Work of the call; None while it is queued.
    is_owed : bool
        Whether the call goes ahead, since its account was served much less than others.
    is_counted : bool
        Whether it counts among the calls of its account that were admitted.
    queued_at : float
        When it was queued, monotonic seconds.
    wait_ms : float
        Wait that was estimated then, if no other call arrived.
    flow : CallFlow or None
        Queue of its account while it is queued, unless it is a nested call.
    """

    request: AdmissionRequest
    service_ms: float
    on_decision: Callable[[Refusal | None], None]
    started_at: float | None = None
    is_dequeued: bool = False
    work: RunningWork | None = None
    is_owed: bool = False
    is_counted: bool = False
    queued_at: float = 0.0
    wait_ms: float = 0.0
    flow: CallFlow | None = None

    @property
    def is_running(self) -> bool:
        """Whether the call occupies a slot."""
        return self.started_at is not None
