"""Network between VMs in one process and in virtual time.

Latency depends on the zones, zones can be cut from each other, streams can go silent
for good, single VMs can be paused, and single frames can be lost, doubled or late.
Bytes are those of real frames.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import attrs
from result import Err, Ok, Result

from lacewingstair.errors import ConnectError, FrameError, ListenError
from lacewingstair.vm import messages
from lacewingstair.vm.frames import HEADER_BYTES, FrameEncoder, decode_frame
from lacewingstair.vm.transport import (
    CONNECT_TIMEOUT_SECONDS,
    MessageStream,
    StreamHandler,
)

# Messages whose loss, repetition or delay the mesh has to bear. The others belong to
# the order of one stream, which TCP keeps.
MANGLED_TYPES = (
    messages.TicketDelta,
    messages.DirectoryDelta,
    messages.MarksDelta,
    messages.Evidence,
)


@attrs.frozen
class Place:
    """Where a VM stands."""

    region: str
    availability_zone: str


@attrs.frozen
class Latency:
    """One-way seconds between VMs by how far apart they are."""

    zone: float = 0.0005
    region: float = 0.001
    far: float = 0.020

    def between(self, one: Place, other: Place) -> float:
        """Return the one-way seconds between two places."""
        if one.availability_zone == other.availability_zone:
            return self.zone
        return self.region if one.region == other.region else self.far


@attrs.frozen
class Faults:
    """Shares of frames that are lost, doubled, and delayed up to `late_seconds`."""

    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    late_seconds: float = 2.0


class MemoryNetwork:
    """All streams between the VMs of one process.

    Parameters
    ----------
    rng : random.Random
        Decides on faults.
    latency : Latency
        Delay of frames.
    decodes : bool
        Whether the receiver gets the decoded bytes. If not, it gets the sender's
        object; the bytes counted are the same.

    Attributes
    ----------
    faults : Faults
        Applied to `MANGLED_TYPES`.
    bytes_by_region_pair : Counter
        Bytes of frames sent, by the regions of sender and receiver.
    bytes_by_type : Counter
        Bytes of frames sent, by the name of the message type.
    far_frames_by_type, far_bytes_by_type : Counter
        The frames sent between regions, and their bytes.
    connects : int
        Connections tried, answered or not.
    """

    def __init__(
        self,
        rng: random.Random,
        latency: Latency | None = None,
        decodes: bool = True,
    ) -> None:
        self.rng = rng
        self.latency = latency or Latency()
        self.decodes = decodes
        self.faults = Faults()
        self.encoder = FrameEncoder()
        self.bytes_by_region_pair: Counter[tuple[str, str]] = Counter()
        self.bytes_by_type: Counter[str] = Counter()
        self.far_frames_by_type: Counter[str] = Counter()
        self.far_bytes_by_type: Counter[str] = Counter()
        self.connects = 0
        self._transports_by_address: dict[str, MemoryTransport] = {}
        self._streams: set[MemoryStream] = set()
        self._cut_pairs: set[frozenset[str]] = set()

    def transport(self, region: str, availability_zone: str) -> "MemoryTransport":
        """Return the transport of a new VM."""
        return MemoryTransport(self, Place(region, availability_zone))

    def cut(self, zones: Iterable[str], others: Iterable[str]) -> None:
        """Cut zones from others; their streams go silent for good."""
        for zone in zones:
            self._cut_pairs.update(frozenset((zone, other)) for other in others)
        for stream in self._streams:
            if self.is_cut(stream.place, stream.far_place):
                stream.is_silent = True

    def heal(self) -> None:
        """Let new streams pass between all zones."""
        self._cut_pairs.clear()

    def is_cut(self, one: Place, other: Place) -> bool:
        """Return whether two places are cut from each other."""
        pair = frozenset((one.availability_zone, other.availability_zone))
        return pair in self._cut_pairs

    def silence(self, chooses: Callable[[Place, Place], bool]) -> int:
        """Make open streams silent for good; return how many ends that were."""
        chosen = [s for s in self._streams if chooses(s.place, s.far_place)]
        for stream in chosen:
            stream.is_silent = True
        return len(chosen)

    def crash(self, transport: "MemoryTransport") -> None:
        """End a VM without notice: nothing more comes from it."""
        for stream in self._streams:
            if stream.is_of(transport):
                stream.is_silent = True
        for address, listening in list(self._transports_by_address.items()):
            if listening is transport:
                del self._transports_by_address[address]

    def find(self, address: str) -> "MemoryTransport | None":
        """Return the transport that listens on an address."""
        return self._transports_by_address.get(address)

    def register(self, address: str, transport: "MemoryTransport") -> bool:
        """Let a transport listen; return False if the address is in use."""
        return self._transports_by_address.setdefault(address, transport) is transport

    def unregister(self, address: str) -> None:
        """Stop listening on an address."""
        self._transports_by_address.pop(address, None)

    def add_stream(self, stream: "MemoryStream") -> None:
        """Keep an open stream for later faults."""
        self._streams.add(stream)

    def drop_stream(self, stream: "MemoryStream") -> None:
        """Forget a closed stream."""
        self._streams.discard(stream)

    def delays(self, body: Any) -> list[float]:
        """Return the extra delay of each copy of a frame; none when it is lost."""
        faults = self.faults
        if faults == Faults() or not isinstance(body, MANGLED_TYPES):
            return [0.0]
        if self.rng.random() < faults.lost:
            return []
        copies = 2 if self.rng.random() < faults.doubled else 1
        return [
            self.rng.uniform(0.0, faults.late_seconds)
            if self.rng.random() < faults.late
            else 0.0
            for _ in range(copies)
        ]


class MemoryStream:
    """One end of a stream.

    Attributes
    ----------
    is_silent : bool
        Whether everything sent from this end is lost without notice.
    bytes_received, bytes_sent, queued_bytes : int
        As for any stream; nothing waits here.
    """

    def __init__(self, network: MemoryNetwork, transport: "MemoryTransport") -> None:
        self._network = network
        self._transport = transport
        self._inbox: asyncio.Queue[Any] = asyncio.Queue()
        self._other: MemoryStream | None = None
        self._is_closed = False
        self._latency = 0.0
        self.is_silent = False
        self.bytes_received = self.bytes_sent = self.queued_bytes = 0

    def join(self, other: "MemoryStream") -> None:
        """Connect this end to the other one."""
        self._other = other
        self._latency = self._network.latency.between(self.place, other.place)
        self._network.add_stream(self)

    def is_of(self, transport: "MemoryTransport") -> bool:
        """Return whether this is an end of a VM's stream."""
        return self._transport is transport

    @property
    def place(self) -> Place:
        """Place of this end."""
        return self._transport.place

    @property
    def far_place(self) -> Place:
        """Place of the other end."""
        return self._other.place

    async def receive(self) -> Result[Any, FrameError]:
        """Return the next message; an error when the stream has ended."""
        if self._is_closed:
            return Err(FrameError("closed"))
        item = await self._inbox.get()
        await self._transport.running.wait()
        if item is None:
            return Err(FrameError("closed"))
        if not isinstance(item, bytes):
            return Ok(item)
        return decode_frame(item[HEADER_BYTES - 1], item[HEADER_BYTES:])

    def send(self, body: Any) -> None:
        """Queue a message."""
        if self._is_closed:
            return
        frame = self._network.encoder.encode(body)
        self._count(body, len(frame))
        if self.is_silent:
            return
        item = frame if self._network.decodes else body
        for extra in self._network.delays(body):
            self._deliver(item, len(frame), extra)

    def inject(self, frame: bytes) -> None:
        """Send bytes that need not be a valid frame."""
        self._deliver(frame, len(frame), 0.0)

    async def drain(self) -> None:
        """Wait for one round trip."""
        await asyncio.sleep(2 * self._latency)

    def close(self) -> None:
        """End the stream."""
        if self._is_closed:
            return
        self._is_closed = True
        self._network.drop_stream(self)
        self._inbox.put_nowait(None)
        if self._other is not None and not self.is_silent:
            self._deliver(None, 0, 0.0)

    def _deliver(self, item: Any, size: int, extra: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self._latency + extra, self._other._take, item, size)

    def _take(self, item: Any, size: int) -> None:
        if not self._is_closed:
            self.bytes_received += size
            self._transport.bytes_received += size
            self._inbox.put_nowait(item)

    def _count(self, body: Any, size: int) -> None:
        self.bytes_sent += size
        self._transport.bytes_sent += size
        regions = (self.place.region, self.far_place.region)
        self._network.bytes_by_region_pair[regions] += size
        kind = type(body).__name__
        self._network.bytes_by_type[kind] += size
        if regions[0] != regions[1]:
            self._network.far_frames_by_type[kind] += 1
            self._network.far_bytes_by_type[kind] += size


class MemoryListener:
    """Accepting side of `MemoryTransport`."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self._network = network
        self._address = address

    async def close(self) -> None:
        """Stop accepting."""
        self._network.unregister(self._address)


class MemoryTransport:
    """Streams of one VM.

    Attributes
    ----------
    running : asyncio.Event
        Cleared while the VM is paused.
    bytes_sent, bytes_received : int
        Bytes of frames.
    """

    def __init__(self, network: MemoryNetwork, place: Place) -> None:
        self._network = network
        self._on_stream: StreamHandler | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.place = place
        self.running = asyncio.Event()
        self.running.set()
        self.bytes_sent = 0
        self.bytes_received = 0

    async def connect(self, address: str) -> Result[MessageStream, ConnectError]:
        """Open a stream; an address without a listener refuses."""
        self._network.connects += 1
        target = self._network.find(address)
        place = target.place if target is not None else self.place
        if self._network.is_cut(self.place, place):
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
            return Err(ConnectError(address, "no answer"))
        await asyncio.sleep(2 * self._network.latency.between(self.place, place))
        if self._network.find(address) is not target or target is None:
            return Err(ConnectError(address, "refused"))
        near = MemoryStream(self._network, self)
        far = MemoryStream(self._network, target)
        near.join(far)
        far.join(near)
        target.accept(far)
        return Ok(near)

    async def listen(
        self, address: str, on_stream: StreamHandler
    ) -> Result[MemoryListener, ListenError]:
        """Accept streams, each handled by a task of its own."""
        if not self._network.register(address, self):
            return Err(ListenError(address, "in use"))
        self._on_stream = on_stream
        return Ok(MemoryListener(self._network, address))

    def accept(self, stream: MemoryStream) -> None:
        """Handle a stream that another VM has opened."""
        task = asyncio.ensure_future(self._handle(stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, stream: MemoryStream) -> None:
        await self.running.wait()
        try:
            await self._on_stream(stream)
        finally:
            stream.close()
