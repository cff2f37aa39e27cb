"""Replicated directory of VMs and their endpoints.

Each VM owns its record; other VMs may only raise its status for an incarnation that
they have seen. A merge keeps the newer of two records, so that all replicas converge
to the same directory although updates get lost, duplicated and reordered.
"""

import enum
import hashlib
from collections.abc import Callable, Iterator

import attrs

BUCKET_COUNT = 256
TOMBSTONE_SECONDS = 3600


class VmStatus(enum.IntEnum):
    """Status of a VM; within an incarnation, the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class EndpointState(enum.IntEnum):
    """State of a backend server's endpoint."""

    STARTING = 0
    READY = 1
    DRAINING = 2


@attrs.frozen
class Endpoint:
    """Announced endpoint of a backend server.

    Parameters
    ----------
    service, version : str
        Service that the backend server provides, and its version.
    address : str
        ``ip:port`` of its HTTP server.
    slots : int
        Calls that it runs concurrently.
    connections : int
        Connections that it accepts from all VMs together.
    state : EndpointState
        Whether it accepts new calls.
    """

    service: str
    version: str
    address: str
    slots: int = 10
    connections: int = 130
    state: EndpointState = EndpointState.READY


@attrs.frozen
class VmRecord:
    """Directory record of one VM.

    Parameters
    ----------
    vm_id : str
        Identifier of the VM, unique in the mesh.
    region, availability_zone : str
        Location of the VM.
    address : str
        ``ip:port`` for streams between VMs.
    incarnation : int
        Increased by the owner at each start and to refute a suspicion.
    sequence : int
        Incremented by the owner with every change.
    status : VmStatus
        Status for this incarnation.
    endpoints : tuple of Endpoint
        Backend servers announced to this VM.
    died_at : int
        Time at which the VM was declared dead, in seconds since the Unix epoch,
        rounded down to a whole minute; 0 before that. All VMs expire the tombstone
        based on this time, so that none receives it again from a VM that keeps it
        longer.
    """

    vm_id: str
    region: str
    availability_zone: str
    address: str
    incarnation: int
    sequence: int = 0
    status: VmStatus = VmStatus.ALIVE
    endpoints: tuple[Endpoint, ...] = ()
    died_at: int = 0

    @property
    def order(self) -> tuple[int, int, int]:
        """Sort key; the newer of two records of one VM has the larger key."""
        return (self.incarnation, int(self.status), self.sequence)

    @property
    def is_live(self) -> bool:
        """Whether the VM is a member of the overlay."""
        return self.status in (VmStatus.ALIVE, VmStatus.SUSPECT)


RecordListener = Callable[[VmRecord | None, VmRecord | None], None]


class Directory:
    """Newest known record of each VM.

    Attributes
    ----------
    records_by_vm_id : dict
        All records, including tombstones; modified only by `merge` and `remove`.
    digest : int
        64-bit digest that is equal for equal directories.
    version : int
        Incremented by every change.
    """

    def __init__(self) -> None:
        self.records_by_vm_id: dict[str, VmRecord] = {}
        self._digests_by_vm_id: dict[str, int] = {}
        self._vm_ids_by_bucket: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]
        self._bucket_digests = [0] * BUCKET_COUNT
        self._listeners: list[RecordListener] = []
        self.digest = 0
        self.version = 0

    def subscribe(self, listener: RecordListener) -> None:
        """Call `listener` with the old and the new record on each change.

        The old record is None for an added VM, the new one for a removed VM.
        """
        self._listeners.append(listener)

    def merge(self, record: VmRecord) -> bool:
        """Store `record` if it is newer than the current one; return whether it was."""
        vm_id = record.vm_id
        current = self.records_by_vm_id.get(vm_id)
        if current is not None and record.order < current.order:
            return False
        digest = record_digest(record)
        # Two processes that claim the same VM id can issue different records with equal
        # sort keys. Breaking the tie by digest makes all VMs keep the same record.
        is_tie = current is not None and record.order == current.order
        if is_tie and digest <= self._digests_by_vm_id[vm_id]:
            return False
        self.records_by_vm_id[vm_id] = record
        self._vm_ids_by_bucket[bucket_of(vm_id)].add(vm_id)
        self._xor_into_digests(vm_id, self._digests_by_vm_id.get(vm_id, 0) ^ digest)
        self._digests_by_vm_id[vm_id] = digest
        self._notify(current, record)
        return True

    def remove(self, vm_id: str) -> None:
        """Remove the record of a VM, once its tombstone has expired."""
        current = self.records_by_vm_id.pop(vm_id, None)
        if current is None:
            return
        self._vm_ids_by_bucket[bucket_of(vm_id)].discard(vm_id)
        self._xor_into_digests(vm_id, self._digests_by_vm_id.pop(vm_id))
        self._notify(current, None)

    def get(self, vm_id: str) -> VmRecord | None:
        """Return the record of a VM, or None."""
        return self.records_by_vm_id.get(vm_id)

    def __len__(self) -> int:
        return len(self.records_by_vm_id)

    def __iter__(self) -> Iterator[VmRecord]:
        return iter(self.records_by_vm_id.values())

    def live(self) -> list[VmRecord]:
        """Return the records of VMs that are members of the overlay."""
        return [record for record in self if record.is_live]

    def bucket_digests(self) -> list[int]:
        """Return the digest of each bucket, 64 bits each."""
        return list(self._bucket_digests)

    def vm_ids_by_digest(self, bucket: int) -> dict[int, str]:
        """Return the VM ids in a bucket, keyed by the digest of their records."""
        vm_ids = self._vm_ids_by_bucket[bucket]
        return {self._digests_by_vm_id[vm_id]: vm_id for vm_id in vm_ids}

    def _xor_into_digests(self, vm_id: str, difference: int) -> None:
        self._bucket_digests[bucket_of(vm_id)] ^= difference
        self.digest ^= difference

    def _notify(self, before: VmRecord | None, after: VmRecord | None) -> None:
        self.version += 1
        for listener in self._listeners:
            listener(before, after)


def bucket_of(vm_id: str) -> int:
    """Return the bucket of a VM, from 0 to `BUCKET_COUNT` - 1."""
    hashed = hashlib.blake2b(vm_id.encode("utf-8", "surrogatepass"), digest_size=1)
    return hashed.digest()[0]


def record_digest(record: VmRecord) -> int:
    """Return a 64-bit digest of all fields of a record."""
    endpoints = [
        (e.service, e.version, e.address, e.slots, e.connections, int(e.state))
        for e in record.endpoints
    ]
    identity = (record.vm_id, record.region, record.availability_zone, record.address)
    text = repr((identity, record.order, record.died_at, endpoints))
    hashed = hashlib.blake2b(text.encode("utf-8", "surrogatepass"), digest_size=8)
    return int.from_bytes(hashed.digest(), "big")
