"""Waits for the decision on a call that admission control has queued."""

import asyncio

from lacewingstair.backend_server.admission import AdmissionController
from lacewingstair.backend_server.scheduled_call import (
    AdmissionRequest,
    Refusal,
    ScheduledCall,
)
from lacewingstair.runtime import Clock
from lacewingstair.vm.call_messages import RefusalReason


class _AdmissionDecision:
    """Decision on a queued call; it can be made while its caller disconnects."""

    def __init__(self) -> None:
        self.is_made = asyncio.Event()
        self.refusal: Refusal | None = None

    def set(self, refusal: Refusal | None) -> None:
        """Set the decision: None if the call may run, or its refusal."""
        self.refusal = refusal
        self.is_made.set()


async def admit(
    admission: AdmissionController, request: AdmissionRequest, clock: Clock
) -> ScheduledCall | Refusal:
    """Return a call once it may run, or its refusal.

    Parameters
    ----------
    admission : AdmissionController
        Decides on the call.
    request : AdmissionRequest
        The call; it waits until its deadline at most.
    clock : Clock
        Source of time.
    """
    now = clock.monotonic()
    decision = _AdmissionDecision()
    scheduled = admission.submit(request, now, decision.set)
    if isinstance(scheduled, Refusal) or scheduled.is_running:
        return scheduled
    try:
        async with asyncio.timeout(max(0.0, request.deadline - now)):
            await decision.is_made.wait()
    except TimeoutError:
        _cancel(admission, scheduled, clock.monotonic())
        return Refusal(RefusalReason.NO_TIME, 0.0)
    except asyncio.CancelledError:
        _cancel(admission, scheduled, clock.monotonic())
        raise
    return decision.refusal or scheduled


def _cancel(
    admission: AdmissionController, scheduled: ScheduledCall, now: float
) -> None:
    """Remove a call from the queue, or release a slot that it was just given."""
    if scheduled.is_running:
        admission.finish(scheduled, now, is_representative=False)
    else:
        admission.cancel_queued(scheduled, now)
