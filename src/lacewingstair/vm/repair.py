"""Anti-entropy repair of missed updates, based on the digests in heartbeats.

Tickets and marks are rare and reach all VMs of a region within a fraction of the
heartbeat interval, so a digest that differs within a region mostly means a missed push.
Regions that each read the log receive tickets at different times, marks take longer
between regions, and the directory changes all the time. In these cases, only a
difference that persists over several heartbeats is repaired. In each interval, the
state and the directory are each requested from at most one peer.
"""

import struct
from collections.abc import Callable

from lacewingstair import events
from lacewingstair.rollouts.marks import Marks
from lacewingstair.tickets.state_store import StateStore, low_64_bits, settling_order
from lacewingstair.vm import messages
from lacewingstair.vm.directory import BUCKET_COUNT, Directory
from lacewingstair.vm.dissemination import (
    MarkPublisher,
    directory_deltas,
    ticket_delta,
)
from lacewingstair.vm.peers import Peer
from lacewingstair.vm.snapshot_client import SnapshotClient

MIN_DIFFERING_HEARTBEATS = 2
_BUCKET_DIGESTS = struct.Struct(f">{BUCKET_COUNT}I")
_LOW_32_BITS = 0xFFFFFFFF


class Repair:
    """Compares digests with those of peers and requests missing data.

    Parameters
    ----------
    region : str
        Region of this VM.
    store, directory, marks
        Replicated data, which is compared with that of the other VMs.
    mark_publisher : MarkPublisher
        Sends all marks to a peer.
    snapshots : SnapshotClient
        Fetches a snapshot from a peer whose state takes precedence.
    is_linked : callable
        Whether the link to a peer is open.
    has_log_region : bool
        Whether only one region reads the log and pushes tickets to the others.

    Attributes
    ----------
    digest_exchanges : int
        Number of exchanges of bucket digests that this VM has started.
    """

    def __init__(
        self,
        region: str,
        store: StateStore,
        directory: Directory,
        marks: Marks,
        mark_publisher: MarkPublisher,
        snapshots: SnapshotClient,
        is_linked: Callable[[Peer], bool],
        has_log_region: bool = False,
    ) -> None:
        self._region = region
        self._store = store
        self._directory = directory
        self._marks = marks
        self._mark_publisher = mark_publisher
        self._snapshots = snapshots
        self._is_linked = is_linked
        self._has_log_region = has_log_region
        self._marks_digest = marks.digest()
        self._may_request_state = True
        self._may_request_directory = True
        self._reported_divergence_offset = -1
        self._diverged_peers_by_vm_id: dict[str, Peer] = {}
        self.digest_exchanges = 0

    def diverged_peers(self) -> list[str]:
        """Return the linked VMs whose state differs at the same offset."""
        self._diverged_peers_by_vm_id = {
            vm_id: peer
            for vm_id, peer in self._diverged_peers_by_vm_id.items()
            if self._is_linked(peer)
        }
        return sorted(self._diverged_peers_by_vm_id)

    def next_heartbeat(self) -> messages.Heartbeat:
        """Start a heartbeat interval and return its heartbeat."""
        self._may_request_state = True
        self._may_request_directory = True
        return self.heartbeat()

    def heartbeat(self) -> messages.Heartbeat:
        """Return a heartbeat with the current digests of this VM."""
        self._marks_digest = self._marks.digest()
        state = self._store.state
        return messages.Heartbeat(
            state.next_offset,
            state.number,
            low_64_bits(state.digest),
            self._directory.digest,
            self._marks_digest,
        )

    def compare(self, peer: Peer, heartbeat: messages.Heartbeat) -> None:
        """Compare the digests of a peer with those of this VM."""
        peer.received_heartbeat = heartbeat
        self._compare_state(peer, heartbeat)
        self._compare_marks(peer, heartbeat)
        self._compare_directory(peer, heartbeat)

    def compare_again(self, peer: Peer, _: messages.Unchanged) -> None:
        """Compare the last digests of a peer with the current ones of this VM."""
        if peer.received_heartbeat is not None:
            self.compare(peer, peer.received_heartbeat)

    def answer_state(self, peer: Peer, request: messages.StateRequest) -> None:
        """Send the requested records, or report that they have expired."""
        records = self._store.records_since(request.next_offset)
        if records == ():
            return
        delta = ticket_delta(records or ())
        if delta is None:
            peer.stream.send(messages.RecordsExpired(self._store.state.next_offset))
            return
        if request.next_offset == 0:
            # A VM without state must know the take-backs before it accepts calls.
            self._mark_publisher.send_all(peer)
        peer.stream.send(delta)

    def answer_digests(self, peer: Peer, digests: messages.DirectoryDigests) -> None:
        """Send the summaries of the buckets whose digests differ."""
        if len(digests.buckets) != _BUCKET_DIGESTS.size or not self._is_joined:
            return
        theirs = _BUCKET_DIGESTS.unpack(digests.buckets)
        ours = self._truncated_bucket_digests()
        summaries = tuple(
            messages.BucketSummary(
                bucket, tuple(self._directory.vm_ids_by_digest(bucket))
            )
            for bucket in range(BUCKET_COUNT)
            if theirs[bucket] != ours[bucket]
        )
        if summaries:
            peer.stream.send(messages.BucketSummaries(summaries))

    def answer_summaries(self, peer: Peer, body: messages.BucketSummaries) -> None:
        """Send the records that the peer lacks and request those that this VM lacks."""
        missing_here: list[int] = []
        missing_there: list[str] = []
        for summary in body.summaries:
            if not 0 <= summary.bucket < BUCKET_COUNT:
                continue
            ours = self._directory.vm_ids_by_digest(summary.bucket)
            theirs = set(summary.digests)
            missing_here.extend(theirs - ours.keys())
            missing_there.extend(ours[d] for d in ours.keys() - theirs)
        self._send_records(peer, missing_there)
        if missing_here:
            peer.stream.send(messages.DirectoryRequest(tuple(missing_here)))

    def answer_request(self, peer: Peer, request: messages.DirectoryRequest) -> None:
        """Send the records with the requested digests that are still current."""
        wanted = set(request.digests)
        vm_ids = [
            vm_id
            for bucket in range(BUCKET_COUNT)
            for digest, vm_id in self._directory.vm_ids_by_digest(bucket).items()
            if digest in wanted
        ]
        self._send_records(peer, vm_ids)

    @property
    def _is_joined(self) -> bool:
        return self._snapshots.is_joined

    def _compare_state(self, peer: Peer, heartbeat: messages.Heartbeat) -> None:
        state = self._store.state
        if heartbeat.next_offset <= state.next_offset:
            peer.state_lag = 0
            if heartbeat.next_offset == state.next_offset:
                self._compare_state_digests(peer, heartbeat)
            return
        peer.state_lag += 1
        if not self._has_log_region and not self._is_update_missed(
            peer, peer.state_lag
        ):
            return
        if self._may_request_state:
            self._may_request_state = False
            peer.stream.send(messages.StateRequest(state.next_offset))

    def _compare_state_digests(self, peer: Peer, heartbeat: messages.Heartbeat) -> None:
        ours = settling_order(self._store.state)
        theirs = (heartbeat.number, heartbeat.state_digest)
        if theirs == ours:
            self._diverged_peers_by_vm_id.pop(peer.vm_id, None)
            return
        self._diverged_peers_by_vm_id[peer.vm_id] = peer
        self._report_divergence(peer)
        if theirs > ours:
            self._snapshots.resolve_divergence(peer)

    def _compare_marks(self, peer: Peer, heartbeat: messages.Heartbeat) -> None:
        is_same = heartbeat.marks_digest == self._marks_digest
        peer.marks_lag = 0 if is_same else peer.marks_lag + 1
        if self._is_update_missed(peer, peer.marks_lag):
            peer.marks_lag = 0
            self._mark_publisher.send_all(peer)
            peer.stream.send(messages.MarksRequest())

    def _compare_directory(self, peer: Peer, heartbeat: messages.Heartbeat) -> None:
        is_same = heartbeat.directory_digest == self._directory.digest
        peer.directory_lag = 0 if is_same else peer.directory_lag + 1
        if peer.directory_lag < MIN_DIFFERING_HEARTBEATS or not self._is_joined:
            return
        if self._may_request_directory:
            self._may_request_directory = False
            peer.directory_lag = 0
            self.digest_exchanges += 1
            data = _BUCKET_DIGESTS.pack(*self._truncated_bucket_digests())
            peer.stream.send(messages.DirectoryDigests(data))

    def _is_update_missed(self, peer: Peer, lag: int) -> bool:
        is_same_region = peer.region == self._region
        return lag >= (1 if is_same_region else MIN_DIFFERING_HEARTBEATS)

    def _truncated_bucket_digests(self) -> list[int]:
        return [digest & _LOW_32_BITS for digest in self._directory.bucket_digests()]

    def _send_records(self, peer: Peer, vm_ids: list[str]) -> None:
        records = [r for r in map(self._directory.get, vm_ids) if r is not None]
        for delta in directory_deltas(records):
            peer.stream.send(delta)

    def _report_divergence(self, peer: Peer) -> None:
        offset = self._store.state.next_offset
        if self._reported_divergence_offset != offset:
            self._reported_divergence_offset = offset
            events.error("state_diverged", peer=peer.vm_id, next_offset=offset)
