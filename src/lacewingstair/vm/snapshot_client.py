"""Getting the directory and the state from a neighbour."""

import random
from collections.abc import Callable

import attrs
from result import Err

from lacewingstair import events
from lacewingstair.runtime import Clock, full_jitter
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.vm import messages
from lacewingstair.vm.directory import VmRecord
from lacewingstair.vm.peers import Peer, PeerTable
from lacewingstair.vm.snapshots import Snapshot, SnapshotAssembler

ANSWER_TIMEOUT_SECONDS = 5.0
RETRY_CAP_SECONDS = 10.0
# VMs that all start at once have nothing to give each other. After this time without
# a peer that has a snapshot, a VM serves what it has.
BOOTSTRAP_SECONDS = 4.0


@attrs.define(eq=False)
class _Fetch:
    """A snapshot being received; `give_up_at` is in monotonic seconds."""

    peer: Peer
    give_up_at: float
    assembler: SnapshotAssembler = attrs.field(factory=SnapshotAssembler)


class SnapshotClient:
    """Asks one peer at a time for a snapshot, its own zone first.

    Parameters
    ----------
    own : VmRecord
        This VM; only its place is used.
    peers : PeerTable
        Peers to ask.
    store : StateStore
        Takes over a newer state; an older one is dropped.
    merge : callable
        Takes the records of the directory.
    clock, rng
        Time and randomness.

    Attributes
    ----------
    is_joined : bool
        Whether the first snapshot has been taken over, or was not to be had.
    """

    def __init__(
        self,
        own: VmRecord,
        peers: PeerTable,
        store: StateStore,
        merge: Callable[[tuple[VmRecord, ...]], None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._peers = peers
        self._store = store
        self._merge = merge
        self._clock = clock
        self._rng = rng
        self._fetch: _Fetch | None = None
        self._needs_state = False
        self._attempt = 0
        self._retry_at = 0.0
        self._asked: set[str] = set()
        self._joins_alone_at: float | None = None
        self.is_joined = False

    def request_newer_state(self, next_offset: int) -> None:
        """Ask for a newer state, since the records that are missing are not kept."""
        if next_offset > self._store.state.next_offset:
            self._needs_state = True
            self.poll()

    def resolve_divergence(self, peer: Peer) -> None:
        """Get the state of a peer that has the same offset and another state."""
        if self._fetch is not None or not self.is_joined:
            return
        now = self._clock.monotonic()
        self._fetch = _Fetch(peer, now + ANSWER_TIMEOUT_SECONDS)
        # The peer sends its state to those that have less.
        before = self._store.state.next_offset - 1
        peer.stream.send(messages.SnapshotRequest(before, False))

    def poll(self) -> None:
        """Ask a peer when a snapshot is needed and the time for it has come."""
        now = self._clock.monotonic()
        self._check_bootstrap(now)
        if self._fetch is not None and self._fetch.give_up_at <= now:
            events.info("snapshot_timeout", peer=self._fetch.peer.vm_id)
            self._retry_later(0)
        is_needed = self._needs_state or not self.is_joined
        if not is_needed or self._fetch is not None or now < self._retry_at:
            return
        peer = self._choose()
        if peer is None:
            return
        self._asked.add(peer.vm_id)
        self._fetch = _Fetch(peer, now + ANSWER_TIMEOUT_SECONDS)
        next_offset = self._store.state.next_offset
        request = messages.SnapshotRequest(next_offset, not self.is_joined)
        peer.stream.send(request)

    def on_busy(self, peer: Peer, busy: messages.Busy) -> None:
        """Ask again later, and another peer if there is one."""
        if not self._is_from_source(peer):
            return
        self._retry_later(busy.retry_after_ms)
        if busy.is_joined:
            self._wait_longer()

    def on_close(self, peer: Peer) -> None:
        """Drop what a closed connection has sent so far."""
        if self._is_from_source(peer):
            self._retry_later(0)

    def on_chunk(self, peer: Peer, chunk: messages.SnapshotChunk) -> None:
        """Add a chunk; take the snapshot over when it is whole."""
        if not self._is_from_source(peer):
            return
        self._wait_longer()
        self._fetch.give_up_at = self._clock.monotonic() + ANSWER_TIMEOUT_SECONDS
        added = self._fetch.assembler.add(chunk)
        if isinstance(added, Err):
            events.warning("snapshot_refused", peer=peer.vm_id, reason=added.err_value)
            self._retry_later(0)
            return
        if added.ok_value is not None:
            self._take_over(peer, added.ok_value)

    def _take_over(self, peer: Peer, snapshot: Snapshot) -> None:
        self._fetch = None
        self._attempt = 0
        self._needs_state = False
        self._asked.clear()
        state = snapshot.state
        is_adopted = state is not None and (
            self._store.adopt(state) or self._store.settle(state)
        )
        events.info(
            "snapshot_taken_over",
            peer=peer.vm_id,
            records=len(snapshot.records),
            next_offset=self._store.state.next_offset,
            is_state_newer=is_adopted,
        )
        self.is_joined = True
        self._merge(snapshot.records)

    def _choose(self) -> Peer | None:
        peers = list(self._peers)
        if self.is_joined:
            # Only the state is missing, and neighbours can lack it as well.
            held = self._store.state.next_offset
            peers = [peer for peer in peers if peer.next_offset > held]
        fresh = [peer for peer in peers if peer.vm_id not in self._asked]
        if not fresh:
            self._asked.clear()
            fresh = peers
        if not fresh:
            return None
        nearest = min(map(self._distance, fresh))
        return self._rng.choice([p for p in fresh if self._distance(p) == nearest])

    def _distance(self, peer: Peer) -> int:
        if peer.availability_zone == self._own.availability_zone:
            return 0
        return 1 if peer.region == self._own.region else 2

    def _is_from_source(self, peer: Peer) -> bool:
        return self._fetch is not None and self._fetch.peer is peer

    def _retry_later(self, retry_after_ms: int) -> None:
        self._fetch = None
        base = max(0.1, min(retry_after_ms / 1000, RETRY_CAP_SECONDS))
        delay = full_jitter(self._rng, self._attempt, base, RETRY_CAP_SECONDS)
        self._attempt += 1
        self._retry_at = self._clock.monotonic() + delay

    def _wait_longer(self) -> None:
        # There is a snapshot to be had, so do not start without.
        self._joins_alone_at = self._clock.monotonic() + 2 * RETRY_CAP_SECONDS

    def _check_bootstrap(self, now: float) -> None:
        if self.is_joined:
            return
        if self._joins_alone_at is None:
            self._joins_alone_at = now + BOOTSTRAP_SECONDS
        if now >= self._joins_alone_at and self._fetch is None:
            events.info("started_without_snapshot")
            self.is_joined = True
