"""What VMs know about each other: one entry a VM, the newest one counts."""

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
# Far beyond what VMs write, and far below what can be encoded once it was raised.
MAX_INTEGER = 1 << 53
MAX_SLOTS = 100_000
_MAX_NAME_CHARACTERS = 255


class UpstreamState(enum.Enum):
    """State of the backend server beside a VM's process."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"


@attrs.frozen
class VmEntry:
    """A VM and the backend server on it.

    Parameters
    ----------
    vm_id, region, availability_zone, address : str
        The VM and the address for streams from other VMs.
    service : str
        Service of its backend server.
    incarnation : int
        Start of its process, in milliseconds since the Unix epoch or raised above the
        one before.
    sequence : int
        Raised with every change by the VM itself.
    upstream_id, version : str
        Backend server that announced itself last.
    slots : int
        Calls that it runs at a time.
    state : UpstreamState
        Whether it takes calls.
    is_leaving : bool
        Whether the VM's process is stopping.
    bandwidth_kbps : int
        What the VM's link carries, in kilobits a second; 0 when it is not known.
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
        """What decides which of two entries of a VM is newer."""
        return (self.incarnation, self.sequence)

    @property
    def accepts_calls(self) -> bool:
        """Whether calls may be placed there."""
        return self.state is UpstreamState.READY and not self.is_leaving


_FIELDS = tuple(field.name for field in attrs.fields(VmEntry))
_MAX_BY_NAME = {
    "incarnation": MAX_INTEGER,
    "sequence": MAX_INTEGER,
    "slots": MAX_SLOTS,
    "bandwidth_kbps": MAX_INTEGER,
}


def entry_distance(own: VmEntry, other: VmEntry) -> str:
    """Return how far another VM is, as in `vm.distances`."""
    return distances.distance(
        own.region, own.availability_zone, other.region, other.availability_zone
    )


def is_valid_name(value: object) -> bool:
    """Return whether a value is a text that an entry can hold, if only an empty one."""
    if type(value) is not str or len(value) > _MAX_NAME_CHARACTERS:
        return False
    # Lone surrogates cannot be encoded.
    return value.isprintable()


def encode_entry(entry: VmEntry) -> bytes:
    """Return the msgpack form of an entry."""
    return msgpack.packb([ENTRY_FORMAT, *entry_to_values(entry)])


def entry_to_values(entry: VmEntry) -> list[object]:
    """Return the values of an entry in the order of its fields."""
    values = [getattr(entry, name) for name in _FIELDS]
    values[_FIELDS.index("state")] = entry.state.value
    return values


def entry_of_values(values: Iterable[object]) -> VmEntry:
    """Return the entry of such values; raise ValueError when they are not valid."""
    found = dict(zip(_FIELDS, values, strict=True))
    for name, value in found.items():
        _check_value(name, value)
    host, port = split_address(found["address"])
    ipaddress.ip_address(host)
    if not port:
        raise ValueError("the port of the address is 0")
    return VmEntry(**{**found, "state": UpstreamState(found["state"])})


def _check_value(name: str, value: object) -> None:
    """Raise ValueError for a value that another writer may have left.

    The error does not show the value, which may be nested too deeply for that.
    """
    if name == "is_leaving":
        is_valid = type(value) is bool
    elif name in _MAX_BY_NAME:
        is_valid = type(value) is int and 0 <= value <= _MAX_BY_NAME[name]
    else:
        is_valid = is_valid_name(value)
    if not is_valid:
        raise ValueError(f"{name} is not of its type or out of its range")


def decode_entry(data: bytes) -> Result[VmEntry, FrameError]:
    """Return the entry in its msgpack form."""
    try:
        version, *values = msgpack.unpackb(data)
        if type(version) is not int or version != ENTRY_FORMAT:
            return Err(FrameError("the format of an entry is unknown"))
        return Ok(entry_of_values(values))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return Err(FrameError(f"not an entry: {error!s:.100}"))


class MeshView:
    """Entries of all VMs, by their ids.

    Parameters
    ----------
    own_vm_id : str
        The VM itself, whose entry no other VM decides.
    """

    def __init__(self, own_vm_id: str) -> None:
        self._own_vm_id = own_vm_id
        self._entries_by_vm_id: dict[str, VmEntry] = {}
        self._vm_ids_by_service: dict[str, list[str]] = {}
        self._listeners: list[Callable[[VmEntry], None]] = []

    def subscribe(self, listener: Callable[[VmEntry], None]) -> None:
        """Call `listener` with each entry that is new or has changed."""
        self._listeners.append(listener)

    def merge(self, entry: VmEntry) -> bool:
        """Take an entry if it is newer than the one held; return whether it was."""
        held = self._entries_by_vm_id.get(entry.vm_id)
        if held is not None and entry.order <= held.order:
            return False
        self._entries_by_vm_id[entry.vm_id] = entry
        if held is None or held.service != entry.service:
            self._index()
        for listener in self._listeners:
            listener(entry)
        return True

    def remove(self, vm_id: str) -> None:
        """Forget a VM that is gone for good."""
        if vm_id != self._own_vm_id and self._entries_by_vm_id.pop(vm_id, None):
            self._index()

    def get(self, vm_id: str) -> VmEntry | None:
        """Return the entry of a VM."""
        return self._entries_by_vm_id.get(vm_id)

    def entries_of_service(self, service: str) -> Iterator[VmEntry]:
        """Yield the VMs beside whose processes a service runs."""
        for vm_id in self._vm_ids_by_service.get(service, ()):
            yield self._entries_by_vm_id[vm_id]

    def __iter__(self) -> Iterator[VmEntry]:
        return iter(list(self._entries_by_vm_id.values()))

    def __len__(self) -> int:
        return len(self._entries_by_vm_id)

    def _index(self) -> None:
        self._vm_ids_by_service = {}
        for vm_id, entry in self._entries_by_vm_id.items():
            self._vm_ids_by_service.setdefault(entry.service, []).append(vm_id)
