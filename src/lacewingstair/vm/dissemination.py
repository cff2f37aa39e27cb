"""Passing on what is new: tickets, marks and changes of the directory."""

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
# Leaves room below the largest frame; longer runs of records go as snapshots.
MAX_DELTA_CHARACTERS = 256 << 10


class TicketPublisher:
    """Folds ticket records and passes on those that were new.

    Parameters
    ----------
    own : VmRecord
        This VM; only its region is used.
    store : StateStore
        The configuration.
    peers : PeerTable
        Open links.
    log_region : str
        Region whose VMs read the log for all regions; empty if each reads it.
    """

    def __init__(
        self, own: VmRecord, store: StateStore, peers: PeerTable, log_region: str = ""
    ) -> None:
        self._own = own
        self._store = store
        self._peers = peers
        self._is_in_log_region = own.region == log_region

    def apply(
        self, records: tuple[TicketRecord, ...], source: Peer | None
    ) -> list[Decision]:
        """Fold records from the log, or from a peer, and pass on the new ones."""
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
        after = self._store.state.next_offset
        fresh = tuple(r for r in records if before <= r.offset < after)
        delta = ticket_delta(fresh)
        if delta is not None:
            self._push(delta, source)
        return decisions

    def _push(self, delta: messages.TicketDelta, source: Peer | None) -> None:
        # Other regions get tickets from the log's region or, if none is set, read the
        # log themselves. A region that gets them in neither way pulls after heartbeats
        # have shown the difference.
        for peer in self._peers:
            is_wanted = self._is_in_log_region or peer.region == self._own.region
            if is_wanted and self._peers.is_push_target(peer, source):
                peer.stream.send(delta)


def ticket_delta(records: tuple[TicketRecord, ...]) -> messages.TicketDelta | None:
    """Return consecutive records as a message, or None when they are too many."""
    if not records or sum(len(r.value) for r in records) > MAX_DELTA_CHARACTERS:
        return None
    return messages.TicketDelta(records[0].offset, records[-1].offset + 1, records)


class MarkPublisher:
    """Merges marks and passes on those that were new.

    Parameters
    ----------
    marks : Marks
        All marks.
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
        """Merge marks of this VM, or from a peer, and pass on the new ones."""
        fresh_stages = tuple(m for m in stages if self._marks.merge_stage(m))
        fresh = tuple(m for m in take_backs if self._marks.merge_rollback(m))
        if fresh_stages or fresh:
            self._peers.push(messages.MarksDelta(fresh_stages, fresh), source)

    def send_all(self, peer: Peer) -> None:
        """Send all marks to a peer whose marks differ."""
        stages = list(self._marks.stage_marks_by_scope.values())
        take_backs = list(self._marks.rollbacks_by_key.values())
        for part in _parts(stages, MAX_MARKS_PER_DELTA):
            peer.stream.send(messages.MarksDelta(stages=part))
        for part in _parts(take_backs, MAX_MARKS_PER_DELTA):
            peer.stream.send(messages.MarksDelta(take_backs=part))


@attrs.frozen
class _Pending:
    """A record to pass on to all push targets but its source."""

    record: VmRecord
    source: Peer | None


class DirectoryPublisher:
    """Passes on changes of the directory, coalesced.

    A change that follows a quiet time is sent at once; those that follow within
    the time of coalescing are sent together.

    Parameters
    ----------
    peers : PeerTable
        Open links.
    clock : Clock
        Time.
    coalesce_seconds : float
        Time in which changes are collected.
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
        self._pending_by_vm_id: dict[str, _Pending] = {}
        self._flushing: asyncio.Task[None] | None = None
        self._flushed_at = float("-inf")

    def queue(self, record: VmRecord, source: Peer | None) -> None:
        """Pass a record on, except to the peer that sent it."""
        self._pending_by_vm_id[record.vm_id] = _Pending(record, source)
        if self._flushing is None:
            self._flushing = asyncio.ensure_future(self._flush_later())

    async def close(self) -> None:
        """Send what is pending and stop."""
        if self._flushing is not None:
            self._flushing.cancel()
            self._flush()

    async def _flush_later(self) -> None:
        since = self._clock.monotonic() - self._flushed_at
        await self._clock.sleep(max(0.0, self._coalesce_seconds - since))
        self._flushing = None
        self._flush()

    def _flush(self) -> None:
        self._flushed_at = self._clock.monotonic()
        pending = list(self._pending_by_vm_id.values())
        self._pending_by_vm_id.clear()
        deltas_by_choice: dict[tuple[bool, ...], list[messages.DirectoryDelta]] = {}
        for peer in self._peers:
            choice = tuple(self._peers.is_push_target(peer, p.source) for p in pending)
            deltas = deltas_by_choice.get(choice)
            if deltas is None:
                records = [
                    p.record
                    for p, is_sent in zip(pending, choice, strict=True)
                    if is_sent
                ]
                deltas = deltas_by_choice[choice] = directory_deltas(records)
            for delta in deltas:
                peer.stream.send(delta)


def directory_deltas(records: list[VmRecord]) -> list[messages.DirectoryDelta]:
    """Return records as messages that fit into frames."""
    parts = _parts(records, MAX_RECORDS_PER_DELTA)
    return [messages.DirectoryDelta(part) for part in parts]


def merge_records(
    membership: Membership,
    publisher: DirectoryPublisher,
    records: Iterable[VmRecord],
    source: Peer | None,
) -> None:
    """Merge records received from a peer and pass on those that were new."""
    for record in records:
        if membership.accept(record):
            publisher.queue(record, source)


def _parts(items: list, size: int) -> list[tuple]:
    return [tuple(items[i : i + size]) for i in range(0, len(items), size)]
