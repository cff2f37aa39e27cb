"""Membership of one VM in the mesh: links, heartbeats and dissemination."""

import asyncio
import random
from collections.abc import Iterable

import attrs
from result import Err

from lacewingstair import events
from lacewingstair.acceptance import Decision, TicketRecord
from lacewingstair.directory import Directory, Endpoint, VmRecord, VmStatus
from lacewingstair.marks import Marks, StageMark, TakeBack
from lacewingstair.overlay import Link, outgoing_links
from lacewingstair.runtime import Clock, full_jitter
from lacewingstair.store import StateStore
from lacewingstair.vm import messages
from lacewingstair.vm.transport import Listener, MessageStream, Transport

HEARTBEAT_SECONDS = 1.0
RECONNECT_BASE_SECONDS = 0.1
RECONNECT_CAP_SECONDS = 10.0
HELLO_TIMEOUT_SECONDS = 2.0


@attrs.define
class Peer:
    """An open connection to another VM."""

    vm_id: str
    stream: MessageStream
    last_heard: float
    is_eager: bool = True


class VmNode:
    """Keeps the links of this VM and passes news on over them.

    Parameters
    ----------
    mesh : str
        Name of the mesh; connections from another mesh are refused.
    own : VmRecord
        First record of this VM.
    contacts : iterable of str
        Addresses tried while no other VM is known.
    store, directory, marks
        State that is kept equal with the other VMs.
    transport : Transport
        Opens and accepts streams.
    clock, rng
        Time and randomness.
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
    ) -> None:
        self._mesh = mesh
        self.own = own
        self._contacts = tuple(contacts)
        self._store = store
        self._directory = directory
        self._marks = marks
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self.peers_by_vm_id: dict[str, Peer] = {}
        self._tasks_by_address: dict[str, asyncio.Task[None]] = {}
        self._listener: Listener | None = None
        self._directory.merge(own)

    async def listen(self):
        """Accept connections of other VMs; return the listener or an error."""
        result = await self._transport.listen(self.own.address, self._accept)
        if not isinstance(result, Err):
            self._listener = result.ok_value
        return result

    async def run(self) -> None:
        """Keep links and heartbeats until cancelled."""
        try:
            while True:
                self._open_links()
                self._send_heartbeats()
                await self._clock.sleep(HEARTBEAT_SECONDS)
        finally:
            await self._close()

    def set_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Announce the backend servers of this VM to the mesh."""
        self._update_own(endpoints=tuple(endpoints))

    def set_status(self, status: VmStatus) -> None:
        """Announce the status of this VM to the mesh."""
        self._update_own(status=status)

    def publish_records(self, records: Iterable[TicketRecord]) -> list[Decision]:
        """Fold records read from the log and pass them on."""
        return self._apply_records(tuple(records), None)

    def publish_stage(self, mark: StageMark) -> None:
        """Merge a stage mark and pass it on."""
        if self._marks.merge_stage(mark):
            self._broadcast(messages.MarksDelta(stages=(mark,)), None)

    def publish_take_back(self, mark: TakeBack) -> None:
        """Merge a take-back and pass it on."""
        if self._marks.merge_take_back(mark):
            self._broadcast(messages.MarksDelta(take_backs=(mark,)), None)

    def _update_own(self, **changes) -> None:
        sequence = self.own.sequence + 1
        self.own = attrs.evolve(self.own, sequence=sequence, **changes)
        self._directory.merge(self.own)
        self._broadcast(messages.DirectoryDelta((self.own,)), None)

    def _open_links(self) -> None:
        live = self._directory.live()
        links = outgoing_links(live, self.own)
        if len(live) <= 1:
            links = [Link("", address) for address in self._contacts]
        for link in links:
            task = self._tasks_by_address.get(link.address)
            if link.address == self.own.address or (task and not task.done()):
                continue
            task = asyncio.create_task(self._keep_link(link))
            self._tasks_by_address[link.address] = task

    async def _keep_link(self, link: Link) -> None:
        attempt = 0
        while self._is_wanted(link):
            connected = await self._transport.connect(link.address)
            if isinstance(connected, Err):
                events.debug("link_failed", address=link.address)
                attempt += 1
            else:
                attempt = 0
                await self._serve(connected.ok_value, link.is_eager)
            delay = full_jitter(
                self._rng, attempt, RECONNECT_BASE_SECONDS, RECONNECT_CAP_SECONDS
            )
            await self._clock.sleep(delay)

    def _is_wanted(self, link: Link) -> bool:
        live = self._directory.live()
        if not link.vm_id:
            return len(live) <= 1
        return any(
            wanted.vm_id == link.vm_id for wanted in outgoing_links(live, self.own)
        )

    async def _accept(self, stream: MessageStream) -> None:
        await self._serve(stream, True)

    async def _serve(self, stream: MessageStream, is_eager: bool) -> None:
        stream.send(self._hello())
        peer: Peer | None = None
        try:
            peer = await self._greet(stream, is_eager)
            if peer is not None:
                await self._receive_all(peer)
        finally:
            stream.close()
            if peer is not None and self.peers_by_vm_id.get(peer.vm_id) is peer:
                del self.peers_by_vm_id[peer.vm_id]

    def _hello(self) -> messages.Hello:
        own = self.own
        return messages.Hello(
            self._mesh, own.vm_id, own.region, own.availability_zone, own.incarnation
        )

    async def _greet(self, stream: MessageStream, is_eager: bool) -> Peer | None:
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
                received = await stream.receive()
        except TimeoutError:
            return None
        if isinstance(received, Err):
            return None
        hello = received.ok_value
        if not isinstance(hello, messages.Hello) or hello.mesh != self._mesh:
            events.warning("peer_refused", hello=hello)
            return None
        peer = Peer(hello.vm_id, stream, self._clock.monotonic(), is_eager)
        self.peers_by_vm_id[hello.vm_id] = peer
        stream.send(messages.DirectoryDelta(tuple(self._directory)))
        stream.send(self._heartbeat())
        return peer

    async def _receive_all(self, peer: Peer) -> None:
        while True:
            received = await peer.stream.receive()
            if isinstance(received, Err):
                events.info("link_closed", peer=peer.vm_id, reason=received.err_value)
                return
            peer.last_heard = self._clock.monotonic()
            self._handle(peer, received.ok_value)

    def _handle(self, peer: Peer, body: object) -> None:
        match body:
            case messages.Heartbeat():
                self._compare(peer, body)
            case messages.TicketDelta():
                self._apply_records(body.records, peer)
            case messages.StateRequest():
                records = self._store.records_since(body.next_offset)
                if records:
                    peer.stream.send(_delta(records))
            case messages.DirectoryDelta():
                self._merge_directory(body, peer)
            case messages.MarksDelta():
                self._merge_marks(body, peer)
            case messages.MarksRequest():
                peer.stream.send(self._all_marks())
            case _:
                events.debug("message_ignored", peer=peer.vm_id)

    def _compare(self, peer: Peer, heartbeat: messages.Heartbeat) -> None:
        if heartbeat.next_offset > self._store.state.next_offset:
            peer.stream.send(messages.StateRequest(self._store.state.next_offset))
        if heartbeat.directory_digest != self._directory.digest:
            peer.stream.send(messages.DirectoryDelta(tuple(self._directory)))
        if heartbeat.marks_digest != self._marks.digest():
            peer.stream.send(self._all_marks())

    def _apply_records(
        self, records: tuple[TicketRecord, ...], source: Peer | None
    ) -> list[Decision]:
        before = self._store.state.next_offset
        decisions = self._store.apply(records)
        for decision in decisions:
            events.info(
                "ticket_decided",
                offset=decision.offset,
                number=decision.number,
                verdict=decision.verdict.value,
                faults="; ".join(map(str, decision.faults)),
            )
        fresh = tuple(r for r in records if r.offset >= before)[: len(decisions)]
        if fresh:
            self._broadcast(_delta(fresh), source)
        return decisions

    def _merge_directory(self, delta: messages.DirectoryDelta, source: Peer) -> None:
        news = tuple(r for r in delta.records if self._merge_record(r))
        if news:
            self._broadcast(messages.DirectoryDelta(news), source)

    def _merge_record(self, record: VmRecord) -> bool:
        if record.vm_id == self.own.vm_id:
            return False
        return self._directory.merge(record)

    def _merge_marks(self, delta: messages.MarksDelta, source: Peer) -> None:
        stages = tuple(m for m in delta.stages if self._marks.merge_stage(m))
        taken = tuple(m for m in delta.take_backs if self._marks.merge_take_back(m))
        if stages or taken:
            self._broadcast(messages.MarksDelta(stages, taken), source)

    def _all_marks(self) -> messages.MarksDelta:
        return messages.MarksDelta(
            tuple(self._marks.marks_by_place.values()),
            tuple(self._marks.take_backs_by_key.values()),
        )

    def _broadcast(self, body: object, source: Peer | None) -> None:
        for peer in list(self.peers_by_vm_id.values()):
            if peer is not source and peer.is_eager:
                peer.stream.send(body)

    def _heartbeat(self) -> messages.Heartbeat:
        state = self._store.state
        return messages.Heartbeat(
            state.next_offset,
            state.number,
            state.digest,
            self._directory.digest,
            self._marks.digest(),
        )

    def _send_heartbeats(self) -> None:
        heartbeat = self._heartbeat()
        for peer in list(self.peers_by_vm_id.values()):
            peer.stream.send(heartbeat)

    async def _close(self) -> None:
        for task in self._tasks_by_address.values():
            task.cancel()
        for peer in list(self.peers_by_vm_id.values()):
            peer.stream.send(messages.Goodbye("stopping"))
            peer.stream.close()
        if self._listener is not None:
            await self._listener.close()


def _delta(records: tuple[TicketRecord, ...]) -> messages.TicketDelta:
    return messages.TicketDelta(records[0].offset, records[-1].offset + 1, records)
