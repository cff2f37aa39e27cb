"""Maintains the record of this VM and validates records from other VMs."""

from collections.abc import Callable
from typing import Any

import attrs

from lacewingstair import events
from lacewingstair.runtime import Clock
from lacewingstair.vm.directory import Directory, VmRecord, VmStatus
from lacewingstair.vm.failure_detector import is_expired

# Larger than any start time in milliseconds, and small enough that an incarnation can
# still be raised within 64 bits.
MAX_INCARNATION = 1 << 62
# A newer process that was wrongly declared dead refutes by raising its incarnation by
# one. The process that reclaims the id raises it by more, so that the two differ.
RECLAIM_INCARNATION_STEP = 2


class Membership:
    """Owns the record of this VM and refutes wrong records of it.

    Parameters
    ----------
    directory : Directory
        Records of all VMs.
    own : VmRecord
        Initial record of this VM.
    announce : callable
        Sends a record of this VM to the mesh.
    clock : Clock
        Source of time.
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
        self._reported_conflicts: set[str] = set()
        self.own = own
        directory.merge(own)

    def update(self, **changes: Any) -> None:
        """Change the record of this VM and announce it."""
        sequence = self.own.sequence + 1
        self.own = attrs.evolve(self.own, sequence=sequence, **changes)
        self._directory.merge(self.own)
        self._announce(self.own)

    def accept(self, record: VmRecord) -> bool:
        """Merge a record received from a peer; return whether it was merged."""
        if record.incarnation > MAX_INCARNATION:
            events.warning("record_refused", vm=record.vm_id, reason="incarnation")
            return False
        if record.vm_id == self.own.vm_id:
            return self._handle_own_record(record)
        if record.status is VmStatus.DEAD and is_expired(
            record.died_at, self._clock.wall()
        ):
            return False
        return self._directory.merge(record)

    def report_id_conflict(self, address: str) -> None:
        """Log once per address that another process uses the id of this VM."""
        if address in self._reported_conflicts:
            return
        self._reported_conflicts.add(address)
        own = self.own
        events.error("vm_id_conflict", vm=own.vm_id, address=own.address, other=address)

    def reclaim_id(self) -> None:
        """Reclaim the id from another process that does not answer."""
        current = self._directory.get(self.own.vm_id)
        events.info("vm_id_reclaimed", vm=self.own.vm_id, other=current.address)
        self._reported_conflicts.discard(current.address)
        self.update(incarnation=current.incarnation + RECLAIM_INCARNATION_STEP)

    def _handle_own_record(self, record: VmRecord) -> bool:
        if record.order <= self.own.order:
            return False
        is_other_process = record.address != self.own.address
        is_newer_process = (
            is_other_process and record.incarnation > self.own.incarnation
        )
        if is_newer_process and record.status is not VmStatus.DEAD:
            # The process that started later keeps the id. If this one refuted it, both
            # would raise their incarnations without end.
            self.report_id_conflict(record.address)
            return self._directory.merge(record)
        events.info("refuted", vm=record.vm_id, status=record.status.name.lower())
        step = RECLAIM_INCARNATION_STEP if is_newer_process else 1
        self.update(incarnation=record.incarnation + step)
        return False
