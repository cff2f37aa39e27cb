"""Directory of VMs and their endpoints, merged in any order.

Each VM owns its record; others may only raise its status for an incarnation they saw.
The merge takes the newer of two records, so that lost, doubled and reordered updates
settle to the same directory everywhere.
"""

import enum
import hashlib
from collections.abc import Iterable, Iterator

import attrs

BUCKETS = 256


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
    """

    vm_id: str
    region: str
    availability_zone: str
    address: str
    incarnation: int
    sequence: int = 0
    status: VmStatus = VmStatus.ALIVE
    endpoints: tuple[Endpoint, ...] = ()

    @property
    def order(self) -> tuple[int, int, int]:
        """Key that is larger for the newer of two records of one VM."""
        return (self.incarnation, int(self.status), self.sequence)

    @property
    def is_live(self) -> bool:
        """Whether the VM takes part in the overlay."""
        return self.status in (VmStatus.ALIVE, VmStatus.SUSPECT)


class Directory:
    """Newest known record of each VM."""

    def __init__(self) -> None:
        self.records_by_vm_id: dict[str, VmRecord] = {}
        self._bucket_digests = [0] * BUCKETS
        self.digest = 0
        self.version = 0

    def merge(self, record: VmRecord) -> bool:
        """Keep `record` if it is newer than the one held; return whether it was."""
        held = self.records_by_vm_id.get(record.vm_id)
        if held is not None and not _is_newer(record, held):
            return False
        self._toggle_digest(held)
        self.records_by_vm_id[record.vm_id] = record
        self._toggle_digest(record)
        self.version += 1
        return True

    def remove(self, vm_id: str) -> None:
        """Forget a VM, after its tombstone has been kept long enough."""
        held = self.records_by_vm_id.pop(vm_id, None)
        self._toggle_digest(held)
        self.version += 1

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

    def in_buckets(self, buckets: Iterable[int]) -> list[VmRecord]:
        """Return the records whose VM falls into the given buckets."""
        wanted = set(buckets)
        return [record for record in self if bucket_of(record.vm_id) in wanted]

    def _toggle_digest(self, record: VmRecord | None) -> None:
        if record is None:
            return
        digest = _record_digest(record)
        self._bucket_digests[bucket_of(record.vm_id)] ^= digest
        self.digest ^= digest


def bucket_of(vm_id: str) -> int:
    """Return the bucket of a VM, from 0 to `BUCKETS` - 1."""
    return hashlib.blake2b(vm_id.encode(), digest_size=1).digest()[0]


def _is_newer(record: VmRecord, held: VmRecord) -> bool:
    if record.order != held.order:
        return record.order > held.order
    # Two processes that claim one VM id can issue records of the same order; the digest
    # makes every VM keep the same one.
    return _record_digest(record) > _record_digest(held)


def _record_digest(record: VmRecord) -> int:
    text = repr(attrs.astuple(record)).encode("utf-8", "surrogatepass")
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")
