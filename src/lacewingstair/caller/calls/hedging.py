"""Hedged calls: the first response of concurrent attempts at several VMs is used."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from lacewingstair.vm.call_link import SuspendedCall
from lacewingstair.vm.call_messages import CallAnswer, CallOutcome

_Attempt = asyncio.Future[CallOutcome | SuspendedCall]


class Hedge:
    """Concurrent attempts of one call, of which the first response is used.

    Parameters
    ----------
    suspended_by_vm_id : dict
        Attempts at VMs that have stopped responding.
    on_ended : callable, optional
        Called with the outcome of an attempt that ended without a response, or with
        None for an attempt that was suspended, while others are in flight. It may start
        another attempt.

    Attributes
    ----------
    abandoned : int
        Attempts that were still in flight when the first response arrived.
    """

    def __init__(
        self,
        suspended_by_vm_id: dict[str, SuspendedCall],
        on_ended: Callable[[CallOutcome | None], None] = lambda outcome: None,
    ) -> None:
        self._on_ended = on_ended
        self._suspended_by_vm_id = dict(suspended_by_vm_id)
        self._attempts_by_vm_id: dict[str, _Attempt] = {
            vm_id: suspended.late_outcome
            for vm_id, suspended in suspended_by_vm_id.items()
        }
        self.abandoned = 0

    @property
    def vm_ids(self) -> set[str]:
        """VMs with an attempt in flight."""
        return set(self._attempts_by_vm_id)

    def start(
        self, vm_id: str, attempt: Coroutine[Any, Any, CallOutcome | SuspendedCall]
    ) -> None:
        """Start an attempt at another VM."""
        self._attempts_by_vm_id[vm_id] = asyncio.ensure_future(attempt)

    async def first_response(self) -> tuple[str, CallOutcome]:
        """Return the first response and its VM, or the outcome of the last attempt.

        All other attempts are cancelled.
        """
        try:
            while True:
                attempts = self._attempts_by_vm_id.values()
                await asyncio.wait(attempts, return_when=asyncio.FIRST_COMPLETED)
                for vm_id, attempt in list(self._attempts_by_vm_id.items()):
                    if not attempt.done():
                        continue
                    outcome = self._take_outcome(vm_id, attempt)
                    is_last = not self._attempts_by_vm_id
                    if isinstance(outcome, CallAnswer) or is_last:
                        return vm_id, outcome
                    self._on_ended(outcome)
        finally:
            self._cancel_others()

    def _take_outcome(self, vm_id: str, attempt: _Attempt) -> CallOutcome | None:
        """Return the outcome of a finished attempt, or None if it was suspended."""
        outcome = attempt.result()
        if isinstance(outcome, SuspendedCall):
            self._suspended_by_vm_id[vm_id] = outcome
            self._attempts_by_vm_id[vm_id] = outcome.late_outcome
            return None
        del self._attempts_by_vm_id[vm_id]
        suspended = self._suspended_by_vm_id.pop(vm_id, None)
        if suspended is not None:
            suspended.cancel()
        return outcome

    def _cancel_others(self) -> None:
        self.abandoned = len(self._attempts_by_vm_id)
        for vm_id, attempt in self._attempts_by_vm_id.items():
            suspended = self._suspended_by_vm_id.get(vm_id) or _suspended_result(
                attempt
            )
            if suspended is not None:
                suspended.cancel()
            else:
                attempt.cancel()


def _suspended_result(attempt: _Attempt) -> SuspendedCall | None:
    """Return the suspended call that an attempt resulted in, if any."""
    if not attempt.done() or attempt.cancelled() or attempt.exception() is not None:
        return None
    outcome = attempt.result()
    return outcome if isinstance(outcome, SuspendedCall) else None
