"""Dissemination of new tickets, marks and directory changes to peers."""

import asyncio
from collections.abc import Iterable

import attrs

from lacewingstair import events
from lacewingstair.rollouts.marks import Marks, RollbackMark, StageMark
from lacewingstair.runtime import Clock
from lacewingstair.tickets.acceptance import Decision, TicketRecord
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.vm import messages
from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.membership import Membership
from lacewingstair.vm.peers import Peer, PeerTable

COALESCE_SECONDS = 0.1
MAX_RECORDS_PER_DELTA = 1000
MAX_MARKS_PER_DELTA = 2000
# Keeps ticket deltas well below the frame size limit; more records than that are sent
# as a snapshot.
MAX_DELTA_CHARACTERS = 256 << 10


class TicketPublisher:
    """Applies ticket records to the configuration and forwards the new ones.

    Parameters
    ----------
    own_record : VmRecord
        Record of this VM; only its region is used.
    store : StateStore
        Store of the configuration.
    peers : PeerTable
        Open links.
    log_region : str
        Region whose VMs read the log for all regions; empty if each region reads it.
    """

    def __init__(
        self,
        own_record: VmRecord,
        store: StateStore,
        peers: PeerTable,
        log_region: str = "",
    ) -> None:
        self._own_record = own_record
        self._store = store
        self._peers = peers
        self._is_in_log_region = own_record.region == log_region

    def apply(
        self, records: tuple[TicketRecord, ...], source: Peer | None
    ) -> list[Decision]:
        """Apply records from the log or from a peer, and forward the new ones."""
        previous_offset = self._store.state.next_offset
        decisions = self._store.apply(records)
        for decision in decisions:
            events.info(
                "ticket_decided",
                offset=decision.offset,
                number=decision.number,
                verdict=decision.verdict.value,
                faults="; ".join(map(str, decision.faults)),
            )
        next_offset = self._store.state.next_offset
        new_records = tuple(
            r for r in records if previous_offset <= r.offset < next_offset
        )
        delta = ticket_delta(new_records)
        if delta is not None:
            self._push(delta, source)
        return decisions

    def _push(self, delta: messages.TicketDelta, source: Peer | None) -> None:
        # Other regions receive tickets from the log region or, if none is configured,
        # read the log themselves. A region that does neither requests the missing
        # tickets once heartbeats have shown the difference.
        for peer in self._peers:
            is_pushed_to_region = (
                self._is_in_log_region or peer.region == self._own_record.region
            )
            if is_pushed_to_region and self._peers.is_push_target(peer, source):
                peer.stream.send(delta)


def ticket_delta(records: tuple[TicketRecord, ...]) -> messages.TicketDelta | None:
    """Return consecutive records as a message; None if there are none or too many."""
    if not records or sum(len(r.value) for r in records) > MAX_DELTA_CHARACTERS:
        return None
    return messages.TicketDelta(records[0].offset, records[-1].offset + 1, records)


class MarkPublisher:
    """Merges marks and forwards the new ones.

    Parameters
    ----------
    marks : Marks
        All marks that this VM knows.
    peers : PeerTable
        Open links.
    """

    def __init__(self, marks: Marks, peers: PeerTable) -> None:
        self._marks = marks
        self._peers = peers

    def apply(
        self,
        stages: Iterable[StageMark],
        take_backs: Iterable[RollbackMark],
        source: Peer | None,
    ) -> None:
        """Merge marks of this VM or from a peer, and forward the new ones."""
        new_stages = tuple(m for m in stages if self._marks.merge_stage(m))
        new_take_backs = tuple(m for m in take_backs if self._marks.merge_rollback(m))
        if new_stages or new_take_backs:
            self._peers.push(messages.MarksDelta(new_stages, new_take_backs), source)

    def send_all(self, peer: Peer) -> None:
        """Send all marks to a peer whose marks differ."""
        stages = list(self._marks.stage_marks_by_scope.values())
        take_backs = list(self._marks.rollbacks_by_key.values())
        for chunk in _split(stages, MAX_MARKS_PER_DELTA):
            peer.stream.send(messages.MarksDelta(stages=chunk))
        for chunk in _split(take_backs, MAX_MARKS_PER_DELTA):
            peer.stream.send(messages.MarksDelta(take_backs=chunk))


@attrs.frozen
class _PendingRecord:
    """Record to forward to all push targets except its source."""

    record: VmRecord
    source: Peer | None


class DirectoryPublisher:
    """Forwards directory changes in batches.

    A change is sent at once if the last batch was sent at least `coalesce_seconds` ago;
    changes that follow within that interval are sent together at its end.

    Parameters
    ----------
    peers : PeerTable
        Open links.
    clock : Clock
        Source of time.
    coalesce_seconds : float
        Minimum interval between two batches.
    """

    def __init__(
        self,
        peers: PeerTable,
        clock: Clock,
        coalesce_seconds: float = COALESCE_SECONDS,
    ) -> None:
        self._coalesce_seconds = coalesce_seconds
        self._peers = peers
        self._clock = clock
        self._pending_by_vm_id: dict[str, _PendingRecord] = {}
        self._flush_task: asyncio.Task[None] | None = None
        self._last_flush_at = float("-inf")

    def queue(self, record: VmRecord, source: Peer | None) -> None:
        """Queue a record for all push targets except the peer that sent it."""
        self._pending_by_vm_id[record.vm_id] = _PendingRecord(record, source)
        if self._flush_task is None:
            self._flush_task = asyncio.ensure_future(self._flush_later())

    async def close(self) -> None:
        """Send the pending records and stop."""
        if self._flush_task is not None:
            self._flush_task.cancel()
            self._flush()

    async def _flush_later(self) -> None:
        elapsed = self._clock.monotonic() - self._last_flush_at
        await self._clock.sleep(max(0.0, self._coalesce_seconds - elapsed))
        self._flush_task = None
        self._flush()

    def _flush(self) -> None:
        self._last_flush_at = self._clock.monotonic()
        pending = list(self._pending_by_vm_id.values())
        self._pending_by_vm_id.clear()
        deltas_by_selection: dict[tuple[bool, ...], list[messages.DirectoryDelta]] = {}
        for peer in self._peers:
            selection = tuple(
                self._peers.is_push_target(peer, p.source) for p in pending
            )
            deltas = deltas_by_selection.get(selection)
            if deltas is None:
                records = [
                    p.record
                    for p, is_selected in zip(pending, selection, strict=True)
                    if is_selected
                ]
                deltas = deltas_by_selection[selection] = directory_deltas(records)
            for delta in deltas:
                peer.stream.send(delta)


def directory_deltas(records: list[VmRecord]) -> list[messages.DirectoryDelta]:
    """Return the records as messages that fit into frames."""
    chunks = _split(records, MAX_RECORDS_PER_DELTA)
    return [messages.DirectoryDelta(chunk) for chunk in chunks]


def merge_records(
    membership: Membership,
    publisher: DirectoryPublisher,
    records: Iterable[VmRecord],
    source: Peer | None,
) -> None:
    """Merge directory records and queue the new ones for all peers but `source`."""
    for record in records:
        if membership.accept(record):
            publisher.queue(record, source)


def _split(items: list, size: int) -> list[tuple]:
    return [tuple(items[i : i + size]) for i in range(0, len(items), size)]
