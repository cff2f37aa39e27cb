"""Mesh node: connects links, membership, dissemination and anti-entropy repair."""

import random
from collections.abc import Callable, Iterable
from typing import Any

from result import Result

from lacewingstair.errors import ListenError
from lacewingstair.rollouts.evidence import EvidenceReport
from lacewingstair.rollouts.marks import Marks, RollbackMark, StageMark
from lacewingstair.runtime import Clock
from lacewingstair.tickets.acceptance import Decision, TicketRecord
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.vm import messages
from lacewingstair.vm.directory import Directory, Endpoint, VmRecord, VmStatus
from lacewingstair.vm.discovery import Discovery
from lacewingstair.vm.dissemination import (
    DirectoryPublisher,
    MarkPublisher,
    TicketPublisher,
    merge_records,
)
from lacewingstair.vm.evidence_relay import EvidenceRelay
from lacewingstair.vm.failure_detector import FailureDetector
from lacewingstair.vm.id_conflict import IdReclaimer
from lacewingstair.vm.links import MAX_ACCEPTED_CONNECTIONS, LinkManager
from lacewingstair.vm.log_region_link import LogRegionLink
from lacewingstair.vm.membership import Membership
from lacewingstair.vm.neighbours import Neighbours
from lacewingstair.vm.options import NodeOptions
from lacewingstair.vm.overlay import Overlay
from lacewingstair.vm.peers import Peer, PeerTable
from lacewingstair.vm.reachability import Reachability
from lacewingstair.vm.reader_role import ReaderRole
from lacewingstair.vm.repair import Repair
from lacewingstair.vm.snapshot_client import SnapshotClient
from lacewingstair.vm.snapshot_server import SnapshotServer
from lacewingstair.vm.traffic import LinkTraffic
from lacewingstair.vm.transport import Listener, Transport

# A VM that receives nothing from any peer is more likely to be isolated itself than to
# be the only live VM. It suspects no other VM until this time has passed.
ISOLATION_SECONDS = 30.0
DEFAULT_OPTIONS = NodeOptions()


class VmNode:
    """Replicates state between this VM and the other VMs of the mesh.

    Parameters
    ----------
    mesh : str
        Name of the mesh; connections from other meshes are refused.
    own : VmRecord
        Initial directory record of this VM.
    contacts : iterable of str
        Seed addresses, tried while no other VM is known and occasionally afterwards.
    store, directory, marks
        State that is replicated.
    transport : Transport
        Opens and accepts streams.
    clock, rng
        Sources of time and randomness.
    eager_trees : int
        Number of the zone's trees on which updates are pushed.
    options : NodeOptions, optional
        Intervals and limits.
    log_region : str
        Region whose VMs read the log for all regions; empty if each region reads it.

    Attributes
    ----------
    overlay : Overlay
        Computes the neighbours of this VM.
    snapshot_server : SnapshotServer
        Serves snapshots and counts them.
    traffic : LinkTraffic
        Counts the bytes sent and received on links.
    """

    def __init__(
        self,
        *,
        mesh: str,
        own: VmRecord,
        contacts: Iterable[str],
        store: StateStore,
        directory: Directory,
        marks: Marks,
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        eager_trees: int = 1,
        options: NodeOptions = DEFAULT_OPTIONS,
        log_region: str = "",
    ) -> None:
        self._options = options
        self._clock = clock
        self._rng = rng
        self._directory = directory
        self._peers = PeerTable(own, options.fresh_seconds)
        self.overlay = Overlay(directory, own, eager_trees)
        self._publisher = DirectoryPublisher(
            self._peers, clock, options.coalesce_seconds
        )
        self._membership = Membership(directory, own, self._announce_record, clock)
        self._id_reclaimer = IdReclaimer(self._membership, directory, transport, clock)
        self._detector = FailureDetector(
            directory, own, self._publish_status, clock, options.suspicion_seconds
        )
        self._tickets = TicketPublisher(own, store, self._peers, log_region)
        self._marks = MarkPublisher(marks, self._peers)
        self._snapshots = SnapshotClient(
            own, self._peers, store, self._merge_snapshot, clock, rng
        )
        self.snapshot_server = SnapshotServer(
            store,
            directory,
            self._marks,
            lambda: self._snapshots.is_joined,
            clock,
            rng,
            options.snapshot_slots,
        )
        self.repair = Repair(
            own.region,
            store,
            directory,
            marks,
            self._marks,
            self._snapshots,
            lambda peer: self._peers.by_vm_id.get(peer.vm_id) is peer,
            has_log_region=bool(log_region),
        )
        self._evidence = EvidenceRelay(own, self.overlay, self._peers, clock)
        self._discovery = Discovery(
            own, contacts, directory, self._detector.dead_addresses, clock, rng
        )
        self.traffic = LinkTraffic(own)
        self._links = LinkManager(
            mesh,
            lambda: self.own,
            transport,
            self._peers,
            self,
            clock,
            rng,
            MAX_ACCEPTED_CONNECTIONS,
            options,
            self.traffic,
        )
        self._reachability = Reachability(own, self.overlay, self._peers, clock)
        self._log_region_link = LogRegionLink(
            own, log_region, self.overlay, self._peers, self._reachability
        )
        self._neighbours = Neighbours(
            directory,
            self.overlay,
            self._peers,
            self._links,
            self._discovery,
            self._reachability,
            self._log_region_link,
            clock,
        )
        self._reader_role = ReaderRole(
            own,
            self.overlay,
            self._peers,
            self._reachability,
            self._log_region_link,
            store,
            self._discovery.has_contacts,
            clock,
            rng,
        )
        self._last_received_at = clock.monotonic()
        self._last_tick_at = self._last_received_at
        self._handlers = self._message_handlers()

    @property
    def own(self) -> VmRecord:
        """The current directory record of this VM."""
        return self._membership.own

    @property
    def peers_by_vm_id(self) -> dict[str, Peer]:
        """The linked peers by VM id."""
        return self._peers.by_vm_id

    @property
    def peers(self) -> list[Peer]:
        """The linked peers."""
        return list(self._peers)

    @property
    def is_joined(self) -> bool:
        """Whether this VM has received its first snapshot or started without one."""
        return self._snapshots.is_joined

    async def listen(self) -> Result[Listener, ListenError]:
        """Accept connections from other VMs; return the listener or an error."""
        return await self._links.listen()

    async def run(self) -> None:
        """Maintain links and send heartbeats until cancelled."""
        interval = self._options.heartbeat_seconds
        try:
            self._last_tick_at = self._clock.monotonic()
            self._tick()
            # A random initial delay spreads the heartbeats of VMs that start together.
            await self._clock.sleep(self._rng.uniform(0.0, interval))
            while True:
                self._tick()
                await self._clock.sleep(interval)
        finally:
            self._id_reclaimer.close()
            await self._publisher.close()
            await self.snapshot_server.close()
            await self._links.close()

    def set_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Announce the backend servers of this VM to the mesh."""
        self._membership.update(endpoints=tuple(endpoints))

    def set_status(self, status: VmStatus) -> None:
        """Announce the status of this VM to the mesh."""
        self._membership.update(status=status)

    def publish_records(self, records: Iterable[TicketRecord]) -> list[Decision]:
        """Apply records read from the log and forward them to the peers."""
        return self._tickets.apply(tuple(records), None)

    def publish_stage(self, mark: StageMark) -> None:
        """Merge a stage mark and forward it to the peers."""
        self._marks.apply((mark,), (), None)

    def publish_take_back(self, mark: RollbackMark) -> None:
        """Merge a take-back mark and forward it to the peers."""
        self._marks.apply((), (mark,), None)

    def is_log_reader(self) -> bool:
        """Return whether this VM should tail the log now."""
        return self._reader_role.is_reader(self._snapshots.is_joined)

    def send_evidence(self, report: EvidenceReport) -> None:
        """Send a subtree report to the parent, or a zone total to the other zones."""
        self._evidence.send_evidence(report)

    def is_zone_root(self) -> bool:
        """Return whether this VM is the root of the zone's first tree."""
        return self._evidence.is_zone_root()

    def on_evidence(self, listener: Callable[[EvidenceReport], None]) -> None:
        """Register `listener` for received evidence reports."""
        self._evidence.on_evidence(listener)

    def on_child_lost(self, listener: Callable[[str], None]) -> None:
        """Register `listener` for the VM ids of children whose links close."""
        self._evidence.on_child_lost(listener)

    def on_open(self, peer: Peer) -> None:
        """Send this VM's record and a heartbeat on a new link."""
        records = [self.own]
        known = self._directory.get(peer.vm_id)
        if known is not None and known.status is not VmStatus.ALIVE:
            # The peer is live. On receipt of this record it refutes the status.
            records.append(known)
        peer.stream.send(messages.DirectoryDelta(tuple(records)))
        peer.send_heartbeat(self.repair.heartbeat())
        self._snapshots.poll()

    def on_close(self, peer: Peer) -> None:
        """Handle the end of a link."""
        self._snapshots.on_close(peer)
        self._evidence.on_close(peer)

    def on_message(self, peer: Peer, body: Any) -> None:
        """Dispatch a message to its handler; ignore unknown types."""
        self._last_received_at = peer.last_received_at
        handler = self._handlers.get(type(body))
        if handler is not None:
            handler(peer, body)

    def on_unreachable(self, vm_id: str) -> None:
        """Suspect a neighbour that did not answer a new connection."""
        idle_seconds = self._clock.monotonic() - self._last_received_at
        is_isolated = idle_seconds > self._options.silence_seconds
        if vm_id and (not is_isolated or idle_seconds > ISOLATION_SECONDS):
            self._detector.suspect(vm_id)

    def on_peer_full(self, addresses: tuple[str, ...]) -> None:
        """Handle a refusal by a VM at its connection limit.

        The refusal shows that there is a mesh to wait for. Its addresses are those of
        other VMs that may accept a connection.
        """
        self._reader_role.on_contact()
        self._discovery.add_referrals(addresses)

    def referral_addresses(self) -> tuple[str, ...]:
        """Return addresses of live VMs to which a refused VM can connect."""
        return self._discovery.referrals()

    def on_id_conflict(self, hello: messages.Hello) -> None:
        """Report a Hello from another process that uses this VM's id."""
        if hello.incarnation != self.own.incarnation:
            self._membership.report_id_conflict(f"incarnation {hello.incarnation}")

    def _message_handlers(self) -> dict[type, Callable[[Peer, Any], None]]:
        repair = self.repair
        return {
            messages.Heartbeat: repair.compare,
            messages.Unchanged: repair.compare_again,
            messages.TicketDelta: self._apply_ticket_delta,
            messages.StateRequest: repair.answer_state,
            messages.RecordsExpired: self._on_records_expired,
            messages.SnapshotRequest: self.snapshot_server.serve,
            messages.SnapshotChunk: self._snapshots.on_chunk,
            messages.Busy: self._snapshots.on_busy,
            messages.DirectoryDelta: self._merge_directory,
            messages.DirectoryDigests: repair.answer_digests,
            messages.BucketSummaries: repair.answer_summaries,
            messages.DirectoryRequest: repair.answer_request,
            messages.MarksDelta: self._merge_marks,
            messages.MarksRequest: self._send_marks,
            messages.Evidence: self._on_evidence_received,
            messages.LinkMode: _set_link_mode,
        }

    def _tick(self) -> None:
        now = self._clock.monotonic()
        gap = now - self._last_tick_at
        self._last_tick_at = now
        if gap > self._options.pause_threshold_seconds:
            self._handle_own_pause(now, gap)
        self._close_silent_links(now)
        self._detector.tick()
        self._id_reclaimer.tick()
        self._reachability.tick()
        self._neighbours.tick(self._snapshots.is_joined)
        self._reader_role.tick()
        self._snapshots.poll()
        heartbeat = self.repair.next_heartbeat()
        for peer in self._peers:
            peer.send_heartbeat(heartbeat)

    def _handle_own_pause(self, now: float, gap: float) -> None:
        # Frames that arrived during the pause have not been read yet, so the pause must
        # not count as time without messages.
        self._last_received_at = now
        self._detector.extend_deadlines(gap)

    def _close_silent_links(self, now: float) -> None:
        for peer in self._peers:
            if now - peer.last_received_at >= self._options.silence_seconds:
                peer.stream.close()

    def _announce_record(self, record: VmRecord) -> None:
        self._publisher.queue(record, None)

    def _publish_status(self, record: VmRecord) -> None:
        merge_records(self._membership, self._publisher, (record,), None)

    def _merge_directory(self, peer: Peer, delta: messages.DirectoryDelta) -> None:
        merge_records(self._membership, self._publisher, delta.records, peer)

    def _merge_snapshot(self, records: tuple[VmRecord, ...]) -> None:
        # The neighbours already have these records, so they are not forwarded.
        for record in records:
            self._membership.accept(record)
        self._neighbours.tick(True)

    def _apply_ticket_delta(self, peer: Peer, delta: messages.TicketDelta) -> None:
        self._tickets.apply(delta.records, peer)

    def _on_records_expired(self, _: Peer, body: messages.RecordsExpired) -> None:
        self._snapshots.request_newer_state(body.next_offset)

    def _merge_marks(self, peer: Peer, delta: messages.MarksDelta) -> None:
        self._marks.apply(delta.stages, delta.take_backs, peer)

    def _send_marks(self, peer: Peer, _: messages.MarksRequest) -> None:
        self._marks.send_all(peer)

    def _on_evidence_received(self, peer: Peer, body: messages.Evidence) -> None:
        self._evidence.receive(peer, body.report)


def _set_link_mode(peer: Peer, mode: messages.LinkMode) -> None:
    peer.is_eager = mode.is_eager
