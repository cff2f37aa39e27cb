"""Directory of VMs and their endpoints, merged in any order.

Each VM owns its record; others may only raise its status for an incarnation they saw.
The merge takes the newer of two records, so that lost, doubled and reordered updates
settle to the same directory everywhere.
"""

import enum
import hashlib
from collections.abc import Callable, Iterator

import attrs

BUCKET_COUNT = 256
TOMBSTONE_SECONDS = 3600


class VmStatus(enum.IntEnum):
    """Status of a VM; a higher one wins within an incarnation."""

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
    """An announced backend server.

    Parameters
    ----------
    service, version : str
        What it serves.
    address : str
        ``ip:port`` of its HTTP server.
    slots : int
        Calls it runs at a time.
    connections : int
        Connections it accepts, shared by all VMs.
    state : EndpointState
        Whether it takes new calls.
    """

    service: str
    version: str
    address: str
    slots: int = 10
    connections: int = 130
    state: EndpointState = EndpointState.READY


@attrs.frozen
class VmRecord:
    """What is known of one VM.

    Parameters
    ----------
    vm_id : str
        Name of the VM, unique in the mesh.
    region, availability_zone : str
        Where it stands.
    address : str
        ``ip:port`` for streams between VMs.
    incarnation : int
        Raised by the owner at each start and to refute a suspicion.
    sequence : int
        Raised by the owner with every change.
    status : VmStatus
        Status for this incarnation.
    endpoints : tuple of Endpoint
        Backend servers announced to this VM.
    died_at : int
        Seconds since the Unix epoch, whole minutes, of the declaration as dead; 0
        before. All VMs drop the tombstone by this time, so that none of them gets it
        back from another that keeps it longer.
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
        """Key that is larger for the newer of two records of one VM."""
        return (self.incarnation, int(self.status), self.sequence)

    @property
    def is_live(self) -> bool:
        """Whether the VM takes part in the overlay."""
        return self.status in (VmStatus.ALIVE, VmStatus.SUSPECT)


OnRecord = Callable[[VmRecord | None, VmRecord | None], None]


class Directory:
    """Newest known record of each VM.

    Attributes
    ----------
    records_by_vm_id : dict
        All records, tombstones included; changed only by `merge` and `remove`.
    digest : int
        64-bit digest that is equal for equal directories.
    version : int
        Raised by every change.
    """

    def __init__(self) -> None:
        self.records_by_vm_id: dict[str, VmRecord] = {}
        self._digests_by_vm_id: dict[str, int] = {}
        self._vm_ids_by_bucket: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]
        self._bucket_digests = [0] * BUCKET_COUNT
        self._listeners: list[OnRecord] = []
        self.digest = 0
        self.version = 0

    def subscribe(self, listener: OnRecord) -> None:
        """Call `listener` with the record before and after each change, or None."""
        self._listeners.append(listener)

    def merge(self, record: VmRecord) -> bool:
        """Keep `record` if it is newer than the one held; return whether it was."""
        vm_id = record.vm_id
        held = self.records_by_vm_id.get(vm_id)
        if held is not None and record.order < held.order:
            return False
        digest = record_digest(record)
        # Two processes that claim one VM id can issue records of the same order; the
        # digest makes every VM keep the same one.
        is_tie = held is not None and record.order == held.order
        if is_tie and digest <= self._digests_by_vm_id[vm_id]:
            return False
        self.records_by_vm_id[vm_id] = record
        self._vm_ids_by_bucket[bucket_of(vm_id)].add(vm_id)
        self._toggle(vm_id, self._digests_by_vm_id.get(vm_id, 0) ^ digest)
        self._digests_by_vm_id[vm_id] = digest
        self._notify(held, record)
        return True

    def remove(self, vm_id: str) -> None:
        """Forget a VM, after its tombstone has been kept long enough."""
        held = self.records_by_vm_id.pop(vm_id, None)
        if held is None:
            return
        self._vm_ids_by_bucket[bucket_of(vm_id)].discard(vm_id)
        self._toggle(vm_id, self._digests_by_vm_id.pop(vm_id))
        self._notify(held, None)

    def get(self, vm_id: str) -> VmRecord | None:
        """Return the record of a VM, or None."""
        return self.records_by_vm_id.get(vm_id)

    def __len__(self) -> int:
        return len(self.records_by_vm_id)

    def __iter__(self) -> Iterator[VmRecord]:
        return iter(self.records_by_vm_id.values())

    def live(self) -> list[VmRecord]:
        """Return the records of VMs that take part in the overlay."""
        return [record for record in self if record.is_live]

    def bucket_digests(self) -> list[int]:
        """Return the digest of each bucket, 64 bits each."""
        return list(self._bucket_digests)

    def vm_ids_by_digest(self, bucket: int) -> dict[int, str]:
        """Return the VM ids of a bucket by the digest of their records."""
        vm_ids = self._vm_ids_by_bucket[bucket]
        return {self._digests_by_vm_id[vm_id]: vm_id for vm_id in vm_ids}

    def _toggle(self, vm_id: str, changed: int) -> None:
        self._bucket_digests[bucket_of(vm_id)] ^= changed
        self.digest ^= changed

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
    place = (record.vm_id, record.region, record.availability_zone, record.address)
    text = repr((place, record.order, record.died_at, endpoints))
    hashed = hashlib.blake2b(text.encode("utf-8", "surrogatepass"), digest_size=8)
    return int.from_bytes(hashed.digest(), "big")
