"""Waits for the first answer of a call that runs at more than one VM."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from lacewingstair.vm.call_link import SuspendedCall
from lacewingstair.vm.call_messages import CallAnswer, CallOutcome

_Attempt = asyncio.Future[CallOutcome | SuspendedCall]


class Hedge:
    """Attempts of one call of which the first that is served counts.

    Parameters
    ----------
    suspended_by_vm_id : dict
        Attempts at VMs that are silent.
    """

    def __init__(self, suspended_by_vm_id: dict[str, SuspendedCall]) -> None:
        self._suspended_by_vm_id = dict(suspended_by_vm_id)
        self._attempts_by_vm_id: dict[str, _Attempt] = {
            vm_id: suspended.late for vm_id, suspended in suspended_by_vm_id.items()
        }

    @property
    def vm_ids(self) -> set[str]:
        """VMs that have the call."""
        return set(self._attempts_by_vm_id)

    def start(
        self, vm_id: str, attempt: Coroutine[Any, Any, CallOutcome | SuspendedCall]
    ) -> None:
        """Run the call at a further VM."""
        self._attempts_by_vm_id[vm_id] = asyncio.ensure_future(attempt)

    async def first_served(self) -> tuple[str, CallOutcome]:
        """Return the first good answer and its VM, or else what ends last.

        The other attempts are given up.
        """
        try:
            while True:
                waiting = self._attempts_by_vm_id.values()
                await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
                for vm_id, attempt in list(self._attempts_by_vm_id.items()):
                    if not attempt.done():
                        continue
                    outcome = self._taken(vm_id, attempt)
                    if outcome is None:
                        continue
                    if _is_served(outcome) or not self._attempts_by_vm_id:
                        return vm_id, outcome
        finally:
            self._give_up_others()

    def _taken(self, vm_id: str, attempt: _Attempt) -> CallOutcome | None:
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

    def _give_up_others(self) -> None:
        for suspended in self._suspended_by_vm_id.values():
            suspended.cancel()
        for vm_id, attempt in self._attempts_by_vm_id.items():
            if vm_id not in self._suspended_by_vm_id:
                attempt.cancel()


def _is_served(outcome: CallOutcome) -> bool:
    return isinstance(outcome, CallAnswer) and outcome.status < 500
