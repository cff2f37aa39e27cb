"""Waits for the first answer of a call that runs at more than one VM."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from lacewingstair.vm.call_link import SuspendedCall
from lacewingstair.vm.call_messages import CallAnswer, CallOutcome

_Attempt = asyncio.Future[CallOutcome | SuspendedCall]


class Hedge:
    """Attempts of one call of which the first that is answered counts.

    Parameters
    ----------
    suspended_by_vm_id : dict
        Attempts at VMs that are silent.
    on_ended : callable, optional
        Takes the outcome of an attempt that has ended without an answer, or None for
        one that is suspended, while others are under way; may start a further one.

    Attributes
    ----------
    given_up : int
        Attempts that were under way when the first one was answered.
    """

    def __init__(
        self,
        suspended_by_vm_id: dict[str, SuspendedCall],
        on_ended: Callable[[CallOutcome | None], None] = lambda outcome: None,
    ) -> None:
        self._on_ended = on_ended
        self._suspended_by_vm_id = dict(suspended_by_vm_id)
        self._attempts_by_vm_id: dict[str, _Attempt] = {
            vm_id: suspended.late for vm_id, suspended in suspended_by_vm_id.items()
        }
        self.abandoned = 0

    @property
    def vm_ids(self) -> set[str]:
        """VMs that have the call."""
        return set(self._attempts_by_vm_id)

    def start(
        self, vm_id: str, attempt: Coroutine[Any, Any, CallOutcome | SuspendedCall]
    ) -> None:
        """Run the call at a further VM."""
        self._attempts_by_vm_id[vm_id] = asyncio.ensure_future(attempt)

    async def first_response(self) -> tuple[str, CallOutcome]:
        """Return the first answer and its VM, or else what ends last.

        The other attempts are given up.
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
        """Return the outcome of an attempt; None when it is suspended as well."""
        outcome = attempt.result()
        if isinstance(outcome, SuspendedCall):
            self._suspended_by_vm_id[vm_id] = outcome
            self._attempts_by_vm_id[vm_id] = outcome.late
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
    """Return the suspended call that an attempt has ended with, if it has."""
    if not attempt.done() or attempt.cancelled() or attempt.exception() is not None:
        return None
    outcome = attempt.result()
    return outcome if isinstance(outcome, SuspendedCall) else None
