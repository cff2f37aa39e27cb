"""Membership entries of VMs: of several entries of a VM the newest one wins."""

import enum
import ipaddress
from collections.abc import Callable, Iterable, Iterator

import attrs
import msgpack
from result import Err, Ok, Result

from lacewingstair.addresses import split_address
from lacewingstair.errors import FrameError
from lacewingstair.vm import distances

ENTRY_FORMAT = 2
# Far above the values that VMs write. Leaves room below the 64-bit limit of msgpack for
# an incarnation that is raised by one.
MAX_INTEGER = 1 << 53
MAX_SLOTS = 100_000
_MAX_NAME_CHARACTERS = 255
_DISTANCES = (distances.ZONE, distances.REGION, distances.OTHER_REGION)


class UpstreamState(enum.Enum):
    """State of the backend server on a VM."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class VmEntry:
    """A VM and the backend server on it.

    Parameters
    ----------
    vm_id, region, availability_zone, address : str
        Identity and place of the VM, and its address for streams from other VMs.
    service : str
        Service of the backend server.
    incarnation : int
        Start of the VM's process in milliseconds since the Unix epoch, or more if an
        earlier process had a higher one.
    sequence : int
        Incremented by the VM with each change.
    upstream_id, version : str
        Id and version of the backend server that announced itself last.
    slots : int
        Limit of concurrent calls of the backend server.
    state : UpstreamState
        Whether the backend server accepts calls.
    is_leaving : bool
        Whether the VM's process is stopping.
    bandwidth_kbps : int
        Bandwidth of the VM's link in kilobits per second; 0 when it is unknown.
    """

    vm_id: str
    region: str
    availability_zone: str
    address: str
    service: str
    incarnation: int = 0
    sequence: int = 0
    upstream_id: str = ""
    version: str = ""
    slots: int = 0
    state: UpstreamState = UpstreamState.ABSENT
    is_leaving: bool = False
    bandwidth_kbps: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Key that orders the entries of a VM by age; the newest has the greatest."""
        return (self.incarnation, self.sequence)

    @property
    def accepts_calls(self) -> bool:
        """Whether calls may be sent to the VM."""
        return self.state is UpstreamState.READY and not self.is_leaving


_FIELD_NAMES = tuple(field.name for field in attrs.fields(VmEntry))
_MAX_BY_FIELD_NAME = {
    "incarnation": MAX_INTEGER,
    "sequence": MAX_INTEGER,
    "slots": MAX_SLOTS,
    "bandwidth_kbps": MAX_INTEGER,
}


def entry_distance(own: VmEntry, other: VmEntry) -> str:
    """Return the distance to another VM, as in `vm.distances`."""
    return distances.distance(
        own.region, own.availability_zone, other.region, other.availability_zone
    )


def is_valid_name(value: object) -> bool:
    """Return whether a value is a string that an entry can hold; it may be empty."""
    if type(value) is not str or len(value) > _MAX_NAME_CHARACTERS:
        return False
    # This also excludes lone surrogates, which cannot be encoded as UTF-8.
    return value.isprintable()


def encode_entry(entry: VmEntry) -> bytes:
    """Return the msgpack encoding of an entry."""
    return msgpack.packb([ENTRY_FORMAT, *entry_to_values(entry)])


def entry_to_values(entry: VmEntry) -> list[object]:
    """Return the values of an entry in the order of its fields."""
    values = [getattr(entry, name) for name in _FIELD_NAMES]
    values[_FIELD_NAMES.index("state")] = entry.state.value
    return values


def entry_from_values(values: Iterable[object]) -> VmEntry:
    """Return the entry with these field values; raise ValueError if one is invalid."""
    found = dict(zip(_FIELD_NAMES, values, strict=True))
    for name, value in found.items():
        _check_value(name, value)
    host, port = split_address(found["address"])
    ipaddress.ip_address(host)
    if not port:
        raise ValueError("the address has port 0")
    return VmEntry(**{**found, "state": UpstreamState(found["state"])})


def _check_value(name: str, value: object) -> None:
    """Raise ValueError for an invalid value of a field.

    The message omits the value, which other writers of the store control and which may
    be nested too deeply to be formatted.
    """
    if name == "is_leaving":
        is_valid = type(value) is bool
    elif name in _MAX_BY_FIELD_NAME:
        is_valid = type(value) is int and 0 <= value <= _MAX_BY_FIELD_NAME[name]
    else:
        is_valid = is_valid_name(value)
    if not is_valid:
        raise ValueError(f"{name} has the wrong type or is out of range")


def decode_entry(data: bytes) -> Result[VmEntry, FrameError]:
    """Return the entry that msgpack data encodes."""
    try:
        version, *values = msgpack.unpackb(data)
        if type(version) is not int or version != ENTRY_FORMAT:
            return Err(FrameError("unknown format version of an entry"))
        return Ok(entry_from_values(values))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return Err(FrameError(f"invalid entry: {error!s:.100}"))


class MeshView:
    """Newest known entry of each VM.

    Parameters
    ----------
    own_vm_id : str
        Id of this VM, whose entry is never removed.
    """

    def __init__(self, own_vm_id: str) -> None:
        self._own_vm_id = own_vm_id
        self._entries_by_vm_id: dict[str, VmEntry] = {}
        # Rebuilt when it is next read after a change.
        self._vm_ids_by_service: dict[str, list[str]] | None = None
        self._listeners: list[Callable[[VmEntry], None]] = []

    def subscribe(self, listener: Callable[[VmEntry], None]) -> None:
        """Call `listener` with each entry that is added or replaced."""
        self._listeners.append(listener)

    def merge(self, entry: VmEntry) -> bool:
        """Store an entry if it is newer than the current one; return whether it was."""
        held = self._entries_by_vm_id.get(entry.vm_id)
        if held is not None and entry.order <= held.order:
            return False
        self._entries_by_vm_id[entry.vm_id] = entry
        if held is None or _index_values(held) != _index_values(entry):
            self._vm_ids_by_service = None
        for listener in self._listeners:
            listener(entry)
        return True

    def remove(self, vm_id: str) -> None:
        """Remove a VM that will not return, unless it is this one."""
        if vm_id != self._own_vm_id and self._entries_by_vm_id.pop(vm_id, None):
            self._vm_ids_by_service = None

    def get(self, vm_id: str) -> VmEntry | None:
        """Return the entry of a VM, or None if it is unknown."""
        return self._entries_by_vm_id.get(vm_id)

    def entries_of_service(self, service: str) -> Iterator[VmEntry]:
        """Yield the entries of the VMs of a service, the nearest first."""
        if self._vm_ids_by_service is None:
            self._vm_ids_by_service = self._service_index()
        for vm_id in self._vm_ids_by_service.get(service, ()):
            yield self._entries_by_vm_id[vm_id]

    def __iter__(self) -> Iterator[VmEntry]:
        return iter(list(self._entries_by_vm_id.values()))

    def __len__(self) -> int:
        return len(self._entries_by_vm_id)

    def _service_index(self) -> dict[str, list[str]]:
        found: dict[str, list[str]] = {}
        entries = self._entries_by_vm_id.values()
        own = self._entries_by_vm_id.get(self._own_vm_id)
        if own is not None:
            entries = sorted(entries, key=lambda entry: _distance_rank(own, entry))
        for entry in entries:
            found.setdefault(entry.service, []).append(entry.vm_id)
        return found


def _index_values(entry: VmEntry) -> tuple[str, str, str]:
    return entry.service, entry.region, entry.availability_zone


def _distance_rank(own: VmEntry, other: VmEntry) -> int:
    if other.vm_id == own.vm_id:
        return 0
    return 1 + _DISTANCES.index(entry_distance(own, other))
