"""Taking the id of this VM back from a later process that has ended.

Links belong to ids, so the other VMs do not notice the end of the later process while
this one has links.
"""

import asyncio

from result import Err

from lacewingstair.runtime import Clock
from lacewingstair.vm.directory import Directory
from lacewingstair.vm.membership import Membership
from lacewingstair.vm.transport import Transport

PROBE_SECONDS = 10.0


class IdReclaimer:
    """Probes the process that has taken over the id of this VM.

    Parameters
    ----------
    membership : Membership
        Owns the record of this VM.
    directory : Directory
        Shows who has the id.
    transport : Transport
        Opens the probes.
    clock : Clock
        Time.
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
        self._next_at = 0.0
        self._probe: asyncio.Task[None] | None = None

    def tick(self) -> None:
        """Start a probe when another process has the id and the time has come."""
        address = self._other_address()
        now = self._clock.monotonic()
        if address is None or now < self._next_at:
            return
        self._next_at = now + PROBE_SECONDS
        self._probe = asyncio.ensure_future(self._probe_address(address))

    def close(self) -> None:
        """Stop probing."""
        if self._probe is not None:
            self._probe.cancel()

    def _other_address(self) -> str | None:
        own = self._membership.own
        held = self._directory.get(own.vm_id)
        if held is None or held.address == own.address:
            return None
        return held.address

    async def _probe_address(self, address: str) -> None:
        connected = await self._transport.connect(address)
        if not isinstance(connected, Err):
            connected.ok_value.close()
        elif self._other_address() == address:
            self._membership.reclaim()
