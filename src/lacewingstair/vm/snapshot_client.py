"""Client that fetches the directory and the state from a peer."""

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

RESPONSE_TIMEOUT_SECONDS = 5.0
MAX_RETRY_DELAY_SECONDS = 10.0
# When all VMs start at the same time, none has a snapshot for the others. A VM that has
# found no peer with a snapshot within this time joins with its own state.
BOOTSTRAP_TIMEOUT_SECONDS = 4.0


@attrs.define(eq=False)
class _Transfer:
    """A snapshot transfer in progress; `deadline` is in monotonic seconds."""

    peer: Peer
    deadline: float
    assembler: SnapshotAssembler = attrs.field(factory=SnapshotAssembler)


class SnapshotClient:
    """Requests a snapshot from one peer at a time, nearest peers first.

    Parameters
    ----------
    own : VmRecord
        This VM; only its zone and region are used.
    peers : PeerTable
        Peers to request snapshots from.
    store : StateStore
        Adopts a newer state and ignores an older one.
    merge_records : callable
        Merges the received directory records.
    clock, rng
        Time source and random number generator.

    Attributes
    ----------
    is_joined : bool
        Whether the first snapshot has been applied or the wait for one timed out.
    """

    def __init__(
        self,
        own: VmRecord,
        peers: PeerTable,
        store: StateStore,
        merge_records: Callable[[tuple[VmRecord, ...]], None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._peers = peers
        self._store = store
        self._merge_records = merge_records
        self._clock = clock
        self._rng = rng
        self._transfer: _Transfer | None = None
        self._needs_state = False
        self._attempt = 0
        self._retry_at = 0.0
        self._asked_vm_ids: set[str] = set()
        self._bootstrap_deadline: float | None = None
        self.is_joined = False

    def request_newer_state(self, next_offset: int) -> None:
        """Request a newer state because peers no longer keep the missing records."""
        if next_offset > self._store.state.next_offset:
            self._needs_state = True
            self.poll()

    def resolve_divergence(self, peer: Peer) -> None:
        """Request the state of a peer whose state differs at the same offset."""
        if self._transfer is not None or not self.is_joined:
            return
        now = self._clock.monotonic()
        self._transfer = _Transfer(peer, now + RESPONSE_TIMEOUT_SECONDS)
        # A peer sends its state only to VMs with a lower offset.
        previous_offset = self._store.state.next_offset - 1
        peer.stream.send(messages.SnapshotRequest(previous_offset, False))

    def poll(self) -> None:
        """Request a snapshot if one is needed and no transfer or backoff is pending."""
        now = self._clock.monotonic()
        self._check_bootstrap_deadline(now)
        if self._transfer is not None and self._transfer.deadline <= now:
            events.info("snapshot_timeout", peer=self._transfer.peer.vm_id)
            self._schedule_retry(0)
        is_needed = self._needs_state or not self.is_joined
        if not is_needed or self._transfer is not None or now < self._retry_at:
            return
        peer = self._choose_peer()
        if peer is None:
            return
        self._asked_vm_ids.add(peer.vm_id)
        self._transfer = _Transfer(peer, now + RESPONSE_TIMEOUT_SECONDS)
        next_offset = self._store.state.next_offset
        request = messages.SnapshotRequest(next_offset, not self.is_joined)
        peer.stream.send(request)

    def on_busy(self, peer: Peer, busy: messages.Busy) -> None:
        """Schedule a retry, with another peer if there is one."""
        if not self._is_transfer_source(peer):
            return
        self._schedule_retry(busy.retry_after_ms)
        if busy.has_snapshot:
            self._extend_bootstrap_deadline()

    def on_close(self, peer: Peer) -> None:
        """Discard the partial snapshot if its source has disconnected."""
        if self._is_transfer_source(peer):
            self._schedule_retry(0)

    def on_chunk(self, peer: Peer, chunk: messages.SnapshotChunk) -> None:
        """Add a chunk and apply the snapshot when it is complete."""
        if not self._is_transfer_source(peer):
            return
        self._extend_bootstrap_deadline()
        self._transfer.deadline = self._clock.monotonic() + RESPONSE_TIMEOUT_SECONDS
        outcome = self._transfer.assembler.add(chunk)
        if isinstance(outcome, Err):
            events.warning(
                "snapshot_refused", peer=peer.vm_id, reason=outcome.err_value
            )
            self._schedule_retry(0)
            return
        if outcome.ok_value is not None:
            self._apply_snapshot(peer, outcome.ok_value)

    def _apply_snapshot(self, peer: Peer, snapshot: Snapshot) -> None:
        self._transfer = None
        self._attempt = 0
        self._needs_state = False
        self._asked_vm_ids.clear()
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
        self._merge_records(snapshot.records)

    def _choose_peer(self) -> Peer | None:
        peers = list(self._peers)
        if self.is_joined:
            # Only the state is missing, and some peers may not have it either.
            own_offset = self._store.state.next_offset
            peers = [peer for peer in peers if peer.next_offset > own_offset]
        candidates = [peer for peer in peers if peer.vm_id not in self._asked_vm_ids]
        if not candidates:
            self._asked_vm_ids.clear()
            candidates = peers
        if not candidates:
            return None
        nearest = min(map(self._distance, candidates))
        return self._rng.choice([p for p in candidates if self._distance(p) == nearest])

    def _distance(self, peer: Peer) -> int:
        if peer.availability_zone == self._own.availability_zone:
            return 0
        return 1 if peer.region == self._own.region else 2

    def _is_transfer_source(self, peer: Peer) -> bool:
        return self._transfer is not None and self._transfer.peer is peer

    def _schedule_retry(self, retry_after_ms: int) -> None:
        self._transfer = None
        base_delay = max(0.1, min(retry_after_ms / 1000, MAX_RETRY_DELAY_SECONDS))
        delay = full_jitter(
            self._rng, self._attempt, base_delay, MAX_RETRY_DELAY_SECONDS
        )
        self._attempt += 1
        self._retry_at = self._clock.monotonic() + delay

    def _extend_bootstrap_deadline(self) -> None:
        # A peer has a snapshot, so wait longer before joining without one.
        self._bootstrap_deadline = self._clock.monotonic() + 2 * MAX_RETRY_DELAY_SECONDS

    def _check_bootstrap_deadline(self, now: float) -> None:
        if self.is_joined:
            return
        if self._bootstrap_deadline is None:
            self._bootstrap_deadline = now + BOOTSTRAP_TIMEOUT_SECONDS
        if now >= self._bootstrap_deadline and self._transfer is None:
            events.info("started_without_snapshot")
            self.is_joined = True
