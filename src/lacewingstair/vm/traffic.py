"""Bytes on the links of this VM, by the kind of the other VM."""

from collections import Counter

from lacewingstair.vm import distances
from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.peers import Peer
from lacewingstair.vm.transport import MessageStream


class LinkTraffic:
    """Adds up what the streams have counted, when it is asked for.

    Parameters
    ----------
    own : VmRecord
        This VM; only its place is used.
    """

    def __init__(self, own: VmRecord) -> None:
        self._own = own
        self._kinds_by_stream: dict[MessageStream, str] = {}
        self._ended: Counter[tuple[str, str]] = Counter()

    def add_stream(self, stream: MessageStream) -> None:
        """Note a new connection."""
        self._kinds_by_stream[stream] = distances.UNKNOWN

    def set_peer(self, peer: Peer) -> None:
        """Note who is at the other end of a connection."""
        self._kinds_by_stream[peer.stream] = self._kind(peer)

    def remove_stream(self, stream: MessageStream) -> None:
        """Keep the bytes of a connection that has ended."""
        _add(self._ended, self._kinds_by_stream.pop(stream), stream)

    def bytes_by_distance_and_direction(self) -> Counter[tuple[str, str]]:
        """Return the bytes of frames since the start."""
        total = Counter(self._ended)
        for stream, kind in self._kinds_by_stream.items():
            _add(total, kind, stream)
        return total

    def queued_bytes(self) -> int:
        """Return the bytes that wait to be sent."""
        return sum(stream.queued_bytes for stream in self._kinds_by_stream)

    def _kind(self, peer: Peer) -> str:
        own = self._own
        return distances.distance(
            own.region, own.availability_zone, peer.region, peer.availability_zone
        )


def _add(total: Counter[tuple[str, str]], kind: str, stream: MessageStream) -> None:
    total[kind, "sent"] += stream.bytes_sent
    total[kind, "received"] += stream.bytes_received
