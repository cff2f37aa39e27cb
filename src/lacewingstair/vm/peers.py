"""Table of open links, with the rule that selects the targets of an eager push."""

from collections.abc import Iterator
from typing import Any

import attrs

from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.messages import Heartbeat, Unchanged
from lacewingstair.vm.transport import MessageStream

# A new connection to a VM replaces the current one if that one has been silent for this
# much longer.
STALE_AFTER_SECONDS = 1.5
_UNCHANGED = Unchanged()


@attrs.define(eq=False)
class Peer:
    """An open connection to another VM.

    Parameters
    ----------
    vm_id, region, availability_zone : str
        The other VM.
    stream : MessageStream
        The connection.
    last_received_at : float
        Monotonic time of the last received message.
    is_outbound : bool
        Whether this VM opened the connection.
    is_eager : bool
        Whether updates are pushed over the connection at once.
    sent_heartbeat, received_heartbeat : Heartbeat or None
        Last full heartbeat in each direction.
    state_lag, directory_lag, marks_lag : int
        Consecutive heartbeats that showed a difference.
    """

    vm_id: str
    region: str
    availability_zone: str
    stream: MessageStream
    last_received_at: float
    is_outbound: bool
    is_eager: bool
    sent_heartbeat: Heartbeat | None = None
    received_heartbeat: Heartbeat | None = None
    state_lag: int = 0
    directory_lag: int = 0
    marks_lag: int = 0

    @property
    def next_offset(self) -> int:
        """Offset in the last heartbeat of the peer."""
        return self.received_heartbeat.next_offset if self.received_heartbeat else 0

    def send_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Send a heartbeat, or the shorter Unchanged if it equals the last one."""
        if heartbeat == self.sent_heartbeat:
            self.stream.send(_UNCHANGED)
            return
        self.sent_heartbeat = heartbeat
        self.stream.send(heartbeat)


class PeerTable:
    """Current connection to each linked VM.

    Parameters
    ----------
    own : VmRecord
        This VM; only its id, region and zone are used.
    stale_after_seconds : float
        Additional silence after which a new connection replaces the current one.
    """

    def __init__(
        self, own: VmRecord, stale_after_seconds: float = STALE_AFTER_SECONDS
    ) -> None:
        self._own = own
        self._stale_after_seconds = stale_after_seconds
        self.by_vm_id: dict[str, Peer] = {}

    def __iter__(self) -> Iterator[Peer]:
        return iter(list(self.by_vm_id.values()))

    def __len__(self) -> int:
        return len(self.by_vm_id)

    def get(self, vm_id: str) -> Peer | None:
        """Return the connection to a VM, or None."""
        return self.by_vm_id.get(vm_id)

    def admit(self, peer: Peer) -> Peer | None:
        """Add a connection; return the connection to close, if any.

        If two VMs connect to each other at the same time, both keep the connection that
        the VM with the smaller id opened.
        """
        current = self.by_vm_id.get(peer.vm_id)
        if current is not None and self._is_current_preferred(current, peer):
            return peer
        self.by_vm_id[peer.vm_id] = peer
        return current

    def remove(self, peer: Peer) -> bool:
        """Remove a connection; return whether it was the current one to its VM."""
        if self.by_vm_id.get(peer.vm_id) is not peer:
            return False
        del self.by_vm_id[peer.vm_id]
        return True

    def push(self, body: Any, source: Peer | None) -> None:
        """Send an update to all push targets."""
        for peer in self:
            if self.is_push_target(peer, source):
                peer.stream.send(body)

    def is_push_target(self, peer: Peer, source: Peer | None) -> bool:
        """Return whether an update from `source` is pushed to `peer` at once.

        An update of this VM has no source. The zones of a region form a full mesh, and
        so do the regions. An update from another zone or region reaches the remaining
        ones directly and is not forwarded to them, so that it crosses each link once.
        """
        if peer is source or not peer.is_eager:
            return False
        if source is None:
            return True
        own = self._own
        if source.region != own.region:
            return peer.region == own.region
        if source.availability_zone != own.availability_zone:
            is_other_zone = peer.availability_zone != own.availability_zone
            return not (is_other_zone and peer.region == own.region)
        return True

    def _is_current_preferred(self, current: Peer, peer: Peer) -> bool:
        is_stale = (
            peer.last_received_at - current.last_received_at > self._stale_after_seconds
        )
        if is_stale or current.is_outbound == peer.is_outbound:
            return False
        return current.is_outbound == (self._own.vm_id < peer.vm_id)
