"""Reclaims the id of this VM from a newer process that has ended.

Other VMs identify links by VM id. While this process has links to them, they do not
notice that the newer process with the same id has ended.
"""

import asyncio

from result import Err

from lacewingstair.runtime import Clock
from lacewingstair.vm.directory import Directory
from lacewingstair.vm.membership import Membership
from lacewingstair.vm.transport import Transport

PROBE_SECONDS = 10.0


class IdReclaimer:
    """Probes the newer process that uses the id of this VM.

    Parameters
    ----------
    membership : Membership
        Owns the record of this VM.
    directory : Directory
        Holds the record of the process that currently owns the id.
    transport : Transport
        Opens the probe connections.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        membership: Membership,
        directory: Directory,
        transport: Transport,
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._directory = directory
        self._transport = transport
        self._clock = clock
        self._next_probe_at = 0.0
        self._probe_task: asyncio.Task[None] | None = None

    def tick(self) -> None:
        """Start a probe if another process owns the id and the interval has passed."""
        address = self._conflicting_address()
        now = self._clock.monotonic()
        if address is None or now < self._next_probe_at:
            return
        self._next_probe_at = now + PROBE_SECONDS
        self._probe_task = asyncio.ensure_future(self._probe_address(address))

    def close(self) -> None:
        """Cancel the running probe."""
        if self._probe_task is not None:
            self._probe_task.cancel()

    def _conflicting_address(self) -> str | None:
        own = self._membership.own
        record = self._directory.get(own.vm_id)
        if record is None or record.address == own.address:
            return None
        return record.address

    async def _probe_address(self, address: str) -> None:
        connected = await self._transport.connect(address)
        if not isinstance(connected, Err):
            connected.ok_value.close()
        elif self._conflicting_address() == address:
            self._membership.reclaim_id()
