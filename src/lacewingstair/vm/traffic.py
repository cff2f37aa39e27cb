"""Byte counts of the links of this VM, by the distance to the other VM."""

from collections import Counter

from lacewingstair.vm import distances
from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.peers import Peer
from lacewingstair.vm.transport import MessageStream


class LinkTraffic:
    """Sums the byte counts of all streams on demand.

    Parameters
    ----------
    own : VmRecord
        Record of this VM, of which the region and zone are used.
    """

    def __init__(self, own: VmRecord) -> None:
        self._own = own
        self._distances_by_stream: dict[MessageStream, str] = {}
        self._closed_stream_bytes: Counter[tuple[str, str]] = Counter()

    def add_stream(self, stream: MessageStream) -> None:
        """Add a new connection; its distance is unknown until `set_peer`."""
        self._distances_by_stream[stream] = distances.UNKNOWN

    def set_peer(self, peer: Peer) -> None:
        """Set the peer of a connection, which determines its distance."""
        self._distances_by_stream[peer.stream] = self._distance_to(peer)

    def remove_stream(self, stream: MessageStream) -> None:
        """Remove a closed connection and keep its byte counts."""
        _add_stream_bytes(
            self._closed_stream_bytes, self._distances_by_stream.pop(stream), stream
        )

    def bytes_by_distance_and_direction(self) -> Counter[tuple[str, str]]:
        """Return the bytes of frames since the start of the process."""
        total = Counter(self._closed_stream_bytes)
        for stream, distance in self._distances_by_stream.items():
            _add_stream_bytes(total, distance, stream)
        return total

    def queued_bytes(self) -> int:
        """Return the bytes in the write buffers of all streams."""
        return sum(stream.queued_bytes for stream in self._distances_by_stream)

    def _distance_to(self, peer: Peer) -> str:
        own = self._own
        return distances.distance(
            own.region, own.availability_zone, peer.region, peer.availability_zone
        )


def _add_stream_bytes(
    total: Counter[tuple[str, str]], distance: str, stream: MessageStream
) -> None:
    total[distance, "sent"] += stream.bytes_sent
    total[distance, "received"] += stream.bytes_received
