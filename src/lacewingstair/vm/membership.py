"""The record of this VM, and which records of others are accepted."""

from collections.abc import Callable
from typing import Any

import attrs

from lacewingstair import events
from lacewingstair.runtime import Clock
from lacewingstair.vm.directory import Directory, VmRecord, VmStatus
from lacewingstair.vm.failure_detector import is_expired

# Above any start time in milliseconds; leaves room to raise it in 64 bits.
MAX_INCARNATION = 1 << 62
# A later process that is wrongly held dead raises its own incarnation by one, which
# must not be equal to that of the process that takes the id back.
RECLAIM_STEP = 2


class Membership:
    """Owns the record of this VM and refutes records of it that are wrong.

    Parameters
    ----------
    directory : Directory
        Records of all VMs.
    own : VmRecord
        First record of this VM.
    announce : callable
        Passes a record of this VM on to the mesh.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        directory: Directory,
        own: VmRecord,
        announce: Callable[[VmRecord], None],
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._announce = announce
        self._clock = clock
        self._conflicts: set[str] = set()
        self.own = own
        directory.merge(own)

    def update(self, **changes: Any) -> None:
        """Change the record of this VM and announce it."""
        sequence = self.own.sequence + 1
        self.own = attrs.evolve(self.own, sequence=sequence, **changes)
        self._directory.merge(self.own)
        self._announce(self.own)

    def accept(self, record: VmRecord) -> bool:
        """Merge a record received from a peer; return whether it was newer."""
        if record.incarnation > MAX_INCARNATION:
            events.warning("record_refused", vm=record.vm_id, reason="incarnation")
            return False
        if record.vm_id == self.own.vm_id:
            return self._accept_own(record)
        if record.status is VmStatus.DEAD and is_expired(
            record.died_at, self._clock.wall()
        ):
            return False
        return self._directory.merge(record)

    def report_id_conflict(self, address: str) -> None:
        """Report that another process uses the id of this VM."""
        if address in self._conflicts:
            return
        self._conflicts.add(address)
        own = self.own
        events.error("vm_id_conflict", vm=own.vm_id, address=own.address, other=address)

    def reclaim(self) -> None:
        """Take the id back from another process that does not answer."""
        held = self._directory.get(self.own.vm_id)
        events.info("vm_id_reclaimed", vm=self.own.vm_id, other=held.address)
        self._conflicts.discard(held.address)
        self.update(incarnation=held.incarnation + RECLAIM_STEP)

    def _accept_own(self, record: VmRecord) -> bool:
        if record.order <= self.own.order:
            return False
        is_other_process = record.address != self.own.address
        is_later = is_other_process and record.incarnation > self.own.incarnation
        if is_later and record.status is not VmStatus.DEAD:
            # The process that started later keeps the id; refuting it would make the
            # two raise their incarnations against each other without end.
            self.report_id_conflict(record.address)
            return self._directory.merge(record)
        events.info("refuted", vm=record.vm_id, status=record.status.name.lower())
        raised = RECLAIM_STEP if is_later else 1
        self.update(incarnation=record.incarnation + raised)
        return False
