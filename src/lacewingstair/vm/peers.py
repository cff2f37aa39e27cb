"""Open connections to other VMs and the rule of which of them get updates at once."""

from collections.abc import Iterator
from typing import Any

import attrs

from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.messages import Heartbeat, Unchanged
from lacewingstair.vm.transport import MessageStream

# A connection that has been silent for this much longer than a new one to the same VM
# is replaced by it.
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
    last_heard : float
        Monotonic seconds of the last message.
    is_opened_here : bool
        Whether this VM opened the connection.
    is_eager : bool
        Whether updates are pushed.
    sent_heartbeat, received_heartbeat : Heartbeat or None
        Last heartbeat in each direction.
    state_lag, directory_lag, marks_lag : int
        Heartbeats in a row that showed a difference.
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
        """Send a heartbeat, or a short message when it is the same as the last."""
        if heartbeat == self.sent_heartbeat:
            self.stream.send(_UNCHANGED)
            return
        self.sent_heartbeat = heartbeat
        self.stream.send(heartbeat)


class PeerTable:
    """One connection for each linked VM.

    Parameters
    ----------
    own : VmRecord
        This VM; only its id and place are used.
    fresh_seconds : float
        Time since its last frame for which a connection is taken to work.
    """

    def __init__(
        self, own: VmRecord, fresh_seconds: float = STALE_AFTER_SECONDS
    ) -> None:
        self._own = own
        self._fresh_seconds = fresh_seconds
        self.by_vm_id: dict[str, Peer] = {}

    def __iter__(self) -> Iterator[Peer]:
        return iter(list(self.by_vm_id.values()))

    def __len__(self) -> int:
        return len(self.by_vm_id)

    def get(self, vm_id: str) -> Peer | None:
        """Return the connection to a VM, or None."""
        return self.by_vm_id.get(vm_id)

    def admit(self, peer: Peer) -> Peer | None:
        """Add a connection; return the one that is to be closed, if any.

        When two VMs connect to each other at the same moment, both keep the connection
        that the VM with the smaller id opened.
        """
        held = self.by_vm_id.get(peer.vm_id)
        if held is not None and self._keeps(held, peer):
            return peer
        self.by_vm_id[peer.vm_id] = peer
        return held

    def remove(self, peer: Peer) -> bool:
        """Remove a connection; return whether it was the current one to its VM."""
        if self.by_vm_id.get(peer.vm_id) is not peer:
            return False
        del self.by_vm_id[peer.vm_id]
        return True

    def push(self, body: Any, source: Peer | None) -> None:
        """Send an update to the peers that get it from this VM at once."""
        for peer in self:
            if self.is_push_target(peer, source):
                peer.stream.send(body)

    def is_push_target(self, peer: Peer, source: Peer | None) -> bool:
        """Return whether updates from `source`, or of this VM, go to `peer` at once.

        The zones of a region, and the regions, are each linked pair by pair. An update
        from one of them reaches the others directly, so that it crosses each link once.
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

    def _keeps(self, held: Peer, peer: Peer) -> bool:
        is_stale = peer.last_received_at - held.last_received_at > self._fresh_seconds
        if is_stale or held.is_outbound == peer.is_outbound:
            return False
        return held.is_outbound == (self._own.vm_id < peer.vm_id)
