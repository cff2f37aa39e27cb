"""Server of snapshots for VMs that are starting or lag far behind."""

import asyncio
import random
from collections.abc import Callable

import attrs

from lacewingstair.runtime import Clock
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.vm import messages
from lacewingstair.vm.directory import Directory
from lacewingstair.vm.dissemination import MarkPublisher
from lacewingstair.vm.peers import Peer
from lacewingstair.vm.snapshots import encode_snapshot, split_into_chunks

SNAPSHOT_SLOTS = 4
RETRY_AFTER_MS = 500
# Changes made after a cached snapshot was encoded reach the receiver as regular updates
# or through the comparison of digests.
CACHE_TTL_SECONDS = 2.0


@attrs.frozen
class _CachedSnapshot:
    """A cached encoded snapshot.

    `next_offset` is -1 if the snapshot has no state; `encoded_at` is in monotonic
    seconds.
    """

    next_offset: int
    with_directory: bool
    encoded_at: float
    chunks: list[messages.SnapshotChunk]


class SnapshotServer:
    """Serves a limited number of snapshots concurrently; replies Busy above the limit.

    Parameters
    ----------
    store, directory
        Sources of the state and of the records in a snapshot.
    mark_publisher : MarkPublisher
        Sends the marks before each snapshot.
    is_ready : callable
        Returns whether this VM has joined the mesh and can serve snapshots.
    clock, rng
        Time source and random number generator.
    slots : int
        Maximum number of snapshots served concurrently.

    Attributes
    ----------
    served, refused, max_concurrent : int
        Snapshots served, requests refused and the highest number of snapshots
        served concurrently, all since the start.
    """

    def __init__(
        self,
        store: StateStore,
        directory: Directory,
        mark_publisher: MarkPublisher,
        is_ready: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
        slots: int = SNAPSHOT_SLOTS,
    ) -> None:
        self._store = store
        self._directory = directory
        self._mark_publisher = mark_publisher
        self._is_ready = is_ready
        self._clock = clock
        self._rng = rng
        self._slots = slots
        self._transfers: set[asyncio.Task[None]] = set()
        self._encode_lock = asyncio.Lock()
        self._cached: _CachedSnapshot | None = None
        self.served = 0
        self.refused = 0
        self.max_concurrent = 0

    def serve(self, peer: Peer, request: messages.SnapshotRequest) -> None:
        """Start sending a snapshot, or reply Busy."""
        is_ready = self._is_ready()
        if not is_ready or len(self._transfers) >= self._slots:
            self.refused += 1
            peer.stream.send(messages.Busy(RETRY_AFTER_MS, is_ready))
            return
        task = asyncio.create_task(self._send_snapshot(peer, request))
        self._transfers.add(task)
        task.add_done_callback(self._transfers.discard)
        self.max_concurrent = max(self.max_concurrent, len(self._transfers))

    async def close(self) -> None:
        """Cancel all transfers and wait for them to end."""
        tasks = list(self._transfers)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_snapshot(
        self, peer: Peer, request: messages.SnapshotRequest
    ) -> None:
        async with self._encode_lock:
            # Snapshots are encoded one at a time, so a request that waited here can
            # usually reuse the snapshot of the previous one.
            chunks = await self._get_chunks(request)
        # The marks are sent first: a VM with the state but without the marks would send
        # calls to versions that have been taken back.
        self._mark_publisher.send_all(peer)
        for chunk in chunks:
            peer.stream.send(chunk)
            await peer.stream.drain()
        self.served += 1

    async def _get_chunks(
        self, request: messages.SnapshotRequest
    ) -> list[messages.SnapshotChunk]:
        state = self._store.state
        has_state = state.next_offset > request.next_offset
        next_offset = state.next_offset if has_state else -1
        now = self._clock.monotonic()
        cached = self._cached
        if (
            cached is not None
            and cached.next_offset == next_offset
            and cached.with_directory == request.with_directory
            and now - cached.encoded_at <= CACHE_TTL_SECONDS
        ):
            return cached.chunks
        records = self._directory if request.with_directory else ()
        encoded = await encode_snapshot(state if has_state else None, records)
        chunks = split_into_chunks(self._rng.getrandbits(32), encoded)
        self._cached = _CachedSnapshot(next_offset, request.with_directory, now, chunks)
        return chunks
