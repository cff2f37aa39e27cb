"""Suspicion and death of VMs of the own availability zone.

A suspected VM that does not refute by a higher incarnation is declared dead. VMs of
other zones are never suspected, so that a partition between zones declares no VM dead.
"""

from collections.abc import Callable

import attrs

from lacewingstair import events
from lacewingstair.runtime import Clock
from lacewingstair.vm.directory import TOMBSTONE_SECONDS, Directory, VmRecord, VmStatus

SUSPICION_SECONDS = 5.0
# The VM that raised the suspicion declares the death. The others do so later, in case
# it has died as well, so that a death is not announced by 2,000 VMs at once.
BACKUP_SECONDS = 5.0
LEAVING_SECONDS = 60.0
_MINUTE_SECONDS = 60


@attrs.frozen
class _Deadline:
    """When a VM is declared dead, in monotonic seconds, if it does not refute."""

    incarnation: int
    at: float


class FailureDetector:
    """Turns unanswered connections into suspicions and these into deaths.

    Parameters
    ----------
    directory : Directory
        Records of the VMs.
    own : VmRecord
        This VM; only its id and zone are used.
    publish : callable
        Takes a record with a raised status; merges it and passes it on.
    clock : Clock
        Time.
    suspicion_seconds : float
        Time in which a suspected VM may refute.
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
        self._deaths_by_vm_id: dict[str, int] = {}
        directory.subscribe(self._observe)

    def suspect(self, vm_id: str) -> None:
        """Suspect a VM whose new connection was not answered."""
        record = self._directory.get(vm_id)
        if record is None or not self._is_watched(record):
            return
        if record.status is not VmStatus.ALIVE:
            return
        events.info("vm_suspected", vm=vm_id, incarnation=record.incarnation)
        self._publish(attrs.evolve(record, status=VmStatus.SUSPECT))
        self._set_deadline(record, self._suspicion_seconds)

    def tick(self) -> None:
        """Declare VMs dead at their deadlines and drop expired tombstones."""
        now = self._clock.monotonic()
        for vm_id, deadline in list(self._deadlines_by_vm_id.items()):
            if deadline.at <= now:
                del self._deadlines_by_vm_id[vm_id]
                self._declare_dead(vm_id, deadline)
        wall = self._clock.wall()
        for vm_id, died_at in list(self._deaths_by_vm_id.items()):
            if is_expired(died_at, wall):
                self._directory.remove(vm_id)

    def dead_addresses(self) -> list[str]:
        """Return the addresses of VMs of the own zone that are held as dead."""
        records = map(self._directory.get, self._deaths_by_vm_id)
        return [r.address for r in records if r is not None and self._is_watched(r)]

    def extend_deadlines(self, seconds: float) -> None:
        """Move all deadlines, after this VM itself was paused."""
        for vm_id, deadline in self._deadlines_by_vm_id.items():
            moved = attrs.evolve(deadline, at=deadline.at + seconds)
            self._deadlines_by_vm_id[vm_id] = moved

    def _declare_dead(self, vm_id: str, deadline: _Deadline) -> None:
        record = self._directory.get(vm_id)
        if record is None or record.incarnation != deadline.incarnation:
            return
        events.info("vm_dead", vm=vm_id, incarnation=record.incarnation)
        # Whole minutes, so that several VMs that declare the death issue the same
        # record.
        died_at = int(self._clock.wall()) // _MINUTE_SECONDS * _MINUTE_SECONDS
        self._publish(attrs.evolve(record, status=VmStatus.DEAD, died_at=died_at))

    def _observe(self, before: VmRecord | None, after: VmRecord | None) -> None:
        record = after or before
        vm_id = record.vm_id
        self._deaths_by_vm_id.pop(vm_id, None)
        held = self._deadlines_by_vm_id.pop(vm_id, None)
        if after is None:
            return
        if after.status is VmStatus.DEAD:
            self._deaths_by_vm_id[vm_id] = after.died_at
        elif held is not None and _is_same_phase(before, after):
            self._deadlines_by_vm_id[vm_id] = held
        elif after.status is VmStatus.SUSPECT and self._is_watched(after):
            self._set_deadline(after, self._suspicion_seconds + BACKUP_SECONDS)
        elif after.status is VmStatus.LEAVING and self._is_watched(after):
            self._set_deadline(after, LEAVING_SECONDS)

    def _is_watched(self, record: VmRecord) -> bool:
        is_own = record.vm_id == self._own.vm_id
        return not is_own and record.availability_zone == self._own.availability_zone

    def _set_deadline(self, record: VmRecord, seconds: float) -> None:
        at = self._clock.monotonic() + seconds
        self._deadlines_by_vm_id[record.vm_id] = _Deadline(record.incarnation, at)


def is_expired(died_at: int, wall: float) -> bool:
    """Return whether a tombstone is too old to be kept or accepted."""
    return died_at + TOMBSTONE_SECONDS <= wall


def _is_same_phase(before: VmRecord | None, after: VmRecord) -> bool:
    if before is None:
        return False
    return (before.incarnation, before.status) == (after.incarnation, after.status)
