"""Repair of what was missed, by the digests that heartbeats carry.

Tickets and marks are rare and reach a region within a fraction of the interval, so a
heartbeat that shows a difference mostly shows a missed push. Regions that each read the
log get tickets at different moments, marks take longer between regions, and the
directory changes all the time; there only a difference that lasts is looked into. One
peer is asked an interval.
"""

import struct
from collections.abc import Callable

from lacewingstair import events
from lacewingstair.rollouts.marks import Marks
from lacewingstair.tickets.state_store import StateStore, low_64_bits, settling_order
from lacewingstair.vm import messages
from lacewingstair.vm.directory import BUCKETS, Directory
from lacewingstair.vm.dissemination import (
    MarkPublisher,
    directory_deltas,
    ticket_delta,
)
from lacewingstair.vm.peers import Peer
from lacewingstair.vm.snapshot_client import SnapshotClient

LASTING_HEARTBEATS = 2
_BUCKET_DIGESTS = struct.Struct(f">{BUCKETS}I")
_LOW_32_BITS = 0xFFFFFFFF


class Repair:
    """Compares digests and asks for what is missing.

    Parameters
    ----------
    region : str
        Region of this VM.
    store, directory, marks
        State that is kept equal with the other VMs.
    mark_publisher : MarkPublisher
        Sends all marks.
    snapshots : SnapshotClient
        Gets a state whose records are not kept.
    is_linked : callable
        Whether the link to a peer is open.
    is_read_once : bool
        Whether one region reads the log and pushes tickets to the others.

    Attributes
    ----------
    digest_exchanges : int
        Exchanges of bucket digests started, since the start.
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
        is_read_once: bool = False,
    ) -> None:
        self._region = region
        self._store = store
        self._directory = directory
        self._marks = marks
        self._mark_publisher = mark_publisher
        self._snapshots = snapshots
        self._is_linked = is_linked
        self._is_read_once = is_read_once
        self._marks_digest = marks.digest()
        self._may_ask_state = True
        self._may_ask_directory = True
        self._diverged_offset = -1
        self._diverged_from: dict[str, Peer] = {}
        self.digest_exchanges = 0

    def diverged_from(self) -> list[str]:
        """Return the linked VMs that held another state at the same offset."""
        self._diverged_from = {
            vm_id: peer
            for vm_id, peer in self._diverged_from.items()
            if self._is_linked(peer)
        }
        return sorted(self._diverged_from)

    def next_heartbeat(self) -> messages.Heartbeat:
        """Return the heartbeat of a new interval."""
        self._may_ask_state = True
        self._may_ask_directory = True
        return self.heartbeat()

    def heartbeat(self) -> messages.Heartbeat:
        """Return the digests of this VM."""
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
        """Compare the last digests of a peer with those of this VM now."""
        if peer.received_heartbeat is not None:
            self.compare(peer, peer.received_heartbeat)

    def answer_state(self, peer: Peer, request: messages.StateRequest) -> None:
        """Send the records asked for, or say that they are not kept."""
        records = self._store.records_since(request.next_offset)
        if records == ():
            return
        delta = ticket_delta(records or ())
        if delta is None:
            peer.stream.send(messages.RecordsExpired(self._store.state.next_offset))
            return
        if request.next_offset == 0:
            # A VM without state must know what is taken back before it takes calls.
            self._mark_publisher.send_all(peer)
        peer.stream.send(delta)

    def answer_digests(self, peer: Peer, digests: messages.DirectoryDigests) -> None:
        """Send the summaries of the buckets that differ."""
        if len(digests.buckets) != _BUCKET_DIGESTS.size or not self._is_joined:
            return
        theirs = _BUCKET_DIGESTS.unpack(digests.buckets)
        ours = self._low_digests()
        summaries = tuple(
            messages.BucketSummary(
                bucket, tuple(self._directory.digests_in_bucket(bucket))
            )
            for bucket in range(BUCKETS)
            if theirs[bucket] != ours[bucket]
        )
        if summaries:
            peer.stream.send(messages.BucketSummaries(summaries))

    def answer_summaries(self, peer: Peer, body: messages.BucketSummaries) -> None:
        """Send the records that the peer lacks, and ask for those lacking here."""
        missing_here: list[int] = []
        missing_there: list[str] = []
        for summary in body.summaries:
            if not 0 <= summary.bucket < BUCKETS:
                continue
            ours = self._directory.digests_in_bucket(summary.bucket)
            theirs = set(summary.digests)
            missing_here.extend(theirs - ours.keys())
            missing_there.extend(ours[d] for d in ours.keys() - theirs)
        self._send_records(peer, missing_there)
        if missing_here:
            peer.stream.send(messages.DirectoryRequest(tuple(missing_here)))

    def answer_request(self, peer: Peer, request: messages.DirectoryRequest) -> None:
        """Send the records with the digests asked for, if they are still current."""
        wanted = set(request.digests)
        vm_ids = [
            vm_id
            for bucket in range(BUCKETS)
            for digest, vm_id in self._directory.digests_in_bucket(bucket).items()
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
                self._compare_same_offset(peer, heartbeat)
            return
        peer.state_lag += 1
        if not self._is_read_once and not self._is_missed(peer, peer.state_lag):
            return
        if self._may_ask_state:
            self._may_ask_state = False
            peer.stream.send(messages.StateRequest(state.next_offset))

    def _compare_same_offset(self, peer: Peer, heartbeat: messages.Heartbeat) -> None:
        ours = settling_order(self._store.state)
        theirs = (heartbeat.number, heartbeat.state_digest)
        if theirs == ours:
            self._diverged_from.pop(peer.vm_id, None)
            return
        self._diverged_from[peer.vm_id] = peer
        self._report_divergence(peer)
        if theirs > ours:
            self._snapshots.resolve_divergence(peer)

    def _compare_marks(self, peer: Peer, heartbeat: messages.Heartbeat) -> None:
        is_same = heartbeat.marks_digest == self._marks_digest
        peer.marks_lag = 0 if is_same else peer.marks_lag + 1
        if self._is_missed(peer, peer.marks_lag):
            peer.marks_lag = 0
            self._mark_publisher.send_all(peer)
            peer.stream.send(messages.MarksRequest())

    def _compare_directory(self, peer: Peer, heartbeat: messages.Heartbeat) -> None:
        is_same = heartbeat.directory_digest == self._directory.digest
        peer.directory_lag = 0 if is_same else peer.directory_lag + 1
        if peer.directory_lag < LASTING_HEARTBEATS or not self._is_joined:
            return
        if self._may_ask_directory:
            self._may_ask_directory = False
            peer.directory_lag = 0
            self.digest_exchanges += 1
            data = _BUCKET_DIGESTS.pack(*self._low_digests())
            peer.stream.send(messages.DirectoryDigests(data))

    def _is_missed(self, peer: Peer, lag: int) -> bool:
        is_near = peer.region == self._region
        return lag >= (1 if is_near else LASTING_HEARTBEATS)

    def _low_digests(self) -> list[int]:
        return [digest & _LOW_32_BITS for digest in self._directory.bucket_digests()]

    def _send_records(self, peer: Peer, vm_ids: list[str]) -> None:
        records = [r for r in map(self._directory.get, vm_ids) if r is not None]
        for delta in directory_deltas(records):
            peer.stream.send(delta)

    def _report_divergence(self, peer: Peer) -> None:
        offset = self._store.state.next_offset
        if self._diverged_offset != offset:
            self._diverged_offset = offset
            events.error("state_diverged", peer=peer.vm_id, next_offset=offset)
