"""Detects failed VMs of the own availability zone.

A suspected VM that does not refute the suspicion with a higher incarnation is declared
dead. VMs of other zones are never suspected, so that a network partition between zones
declares no VM dead.
"""

from collections.abc import Callable

import attrs

from lacewingstair import events
from lacewingstair.runtime import Clock
from lacewingstair.vm.directory import TOMBSTONE_SECONDS, Directory, VmRecord, VmStatus

SUSPICION_SECONDS = 5.0
# The VM that raised the suspicion declares the suspect dead. The other VMs wait this
# much longer, in case it has failed as well, so that 2,000 VMs do not announce the same
# death at once.
BACKUP_DECLARATION_SECONDS = 5.0
LEAVING_TIMEOUT_SECONDS = 60.0
_MINUTE_SECONDS = 60


@attrs.frozen
class _Deadline:
    """Monotonic time at which a VM is declared dead unless it refutes."""

    incarnation: int
    at: float


class FailureDetector:
    """Suspects VMs that do not answer and declares them dead after a timeout.

    Parameters
    ----------
    directory : Directory
        Records of all VMs.
    own : VmRecord
        This VM; only its id and zone are used.
    publish : callable
        Merges a record with a new status and sends it to the mesh.
    clock : Clock
        Source of time.
    suspicion_seconds : float
        Time that a suspected VM has to refute the suspicion.
    """

    def __init__(
        self,
        directory: Directory,
        own: VmRecord,
        publish: Callable[[VmRecord], None],
        clock: Clock,
        suspicion_seconds: float = SUSPICION_SECONDS,
    ) -> None:
        self._suspicion_seconds = suspicion_seconds
        self._directory = directory
        self._own = own
        self._publish = publish
        self._clock = clock
        self._deadlines_by_vm_id: dict[str, _Deadline] = {}
        self._died_at_by_vm_id: dict[str, int] = {}
        directory.subscribe(self._on_record_change)

    def suspect(self, vm_id: str) -> None:
        """Suspect a VM that did not answer a new connection."""
        record = self._directory.get(vm_id)
        if record is None or not self._is_monitored(record):
            return
        if record.status is not VmStatus.ALIVE:
            return
        events.info("vm_suspected", vm=vm_id, incarnation=record.incarnation)
        self._publish(attrs.evolve(record, status=VmStatus.SUSPECT))
        self._set_deadline(record, self._suspicion_seconds)

    def tick(self) -> None:
        """Declare VMs dead whose deadline has passed and remove expired tombstones."""
        now = self._clock.monotonic()
        for vm_id, deadline in list(self._deadlines_by_vm_id.items()):
            if deadline.at <= now:
                del self._deadlines_by_vm_id[vm_id]
                self._declare_dead(vm_id, deadline)
        wall = self._clock.wall()
        for vm_id, died_at in list(self._died_at_by_vm_id.items()):
            if is_expired(died_at, wall):
                self._directory.remove(vm_id)

    def dead_addresses(self) -> list[str]:
        """Return the addresses of VMs of the own zone that are declared dead."""
        records = map(self._directory.get, self._died_at_by_vm_id)
        return [r.address for r in records if r is not None and self._is_monitored(r)]

    def extend_deadlines(self, seconds: float) -> None:
        """Postpone all deadlines, after a pause of this VM itself."""
        for vm_id, deadline in self._deadlines_by_vm_id.items():
            moved = attrs.evolve(deadline, at=deadline.at + seconds)
            self._deadlines_by_vm_id[vm_id] = moved

    def _declare_dead(self, vm_id: str, deadline: _Deadline) -> None:
        record = self._directory.get(vm_id)
        if record is None or record.incarnation != deadline.incarnation:
            return
        events.info("vm_dead", vm=vm_id, incarnation=record.incarnation)
        # Rounded down to a minute, so that VMs that declare the same death publish
        # identical records.
        died_at = int(self._clock.wall()) // _MINUTE_SECONDS * _MINUTE_SECONDS
        self._publish(attrs.evolve(record, status=VmStatus.DEAD, died_at=died_at))

    def _on_record_change(
        self, before: VmRecord | None, after: VmRecord | None
    ) -> None:
        record = after or before
        vm_id = record.vm_id
        self._died_at_by_vm_id.pop(vm_id, None)
        previous_deadline = self._deadlines_by_vm_id.pop(vm_id, None)
        if after is None:
            return
        if after.status is VmStatus.DEAD:
            self._died_at_by_vm_id[vm_id] = after.died_at
        elif previous_deadline is not None and _is_same_status(before, after):
            self._deadlines_by_vm_id[vm_id] = previous_deadline
        elif after.status is VmStatus.SUSPECT and self._is_monitored(after):
            self._set_deadline(
                after, self._suspicion_seconds + BACKUP_DECLARATION_SECONDS
            )
        elif after.status is VmStatus.LEAVING and self._is_monitored(after):
            self._set_deadline(after, LEAVING_TIMEOUT_SECONDS)

    def _is_monitored(self, record: VmRecord) -> bool:
        is_own = record.vm_id == self._own.vm_id
        return not is_own and record.availability_zone == self._own.availability_zone

    def _set_deadline(self, record: VmRecord, seconds: float) -> None:
        at = self._clock.monotonic() + seconds
        self._deadlines_by_vm_id[record.vm_id] = _Deadline(record.incarnation, at)


def is_expired(died_at: int, wall: float) -> bool:
    """Return whether a tombstone is too old to be stored or accepted."""
    return died_at + TOMBSTONE_SECONDS <= wall


def _is_same_status(before: VmRecord | None, after: VmRecord) -> bool:
    if before is None:
        return False
    return (before.incarnation, before.status) == (after.incarnation, after.status)
