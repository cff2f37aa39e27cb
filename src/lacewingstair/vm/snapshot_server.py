"""Serving snapshots to VMs that start or are far behind."""

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
# What changes while a snapshot is reused reaches the receiver as updates or is repaired
# by digests.
REUSE_SECONDS = 2.0


@attrs.frozen
class _Built:
    """An encoded snapshot, built at `at` in monotonic seconds; -1: without state."""

    next_offset: int
    with_directory: bool
    at: float
    chunks: list[messages.SnapshotChunk]


class SnapshotServer:
    """Serves a few snapshots at a time and answers Busy beyond that.

    Parameters
    ----------
    store, directory
        What is served.
    marks : MarkPublisher
        Sends the marks ahead of a snapshot.
    is_ready : callable
        Returns whether this VM has got its own first snapshot.
    clock, rng
        Time and randomness.
    slots : int
        Snapshots served at a time.

    Attributes
    ----------
    served, refused, max_concurrent : int
        Counts since the start.
    """

    def __init__(
        self,
        store: StateStore,
        directory: Directory,
        marks: MarkPublisher,
        is_ready: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
        slots: int = SNAPSHOT_SLOTS,
    ) -> None:
        self._store = store
        self._directory = directory
        self._marks = marks
        self._is_ready = is_ready
        self._clock = clock
        self._rng = rng
        self._slots = slots
        self._tasks: set[asyncio.Task[None]] = set()
        self._building = asyncio.Lock()
        self._built: _Built | None = None
        self.served = 0
        self.refused = 0
        self.max_concurrent = 0

    def serve(self, peer: Peer, request: messages.SnapshotRequest) -> None:
        """Send a snapshot, or Busy."""
        is_ready = self._is_ready()
        if not is_ready or len(self._tasks) >= self._slots:
            self.refused += 1
            peer.stream.send(messages.Busy(RETRY_AFTER_MS, is_ready))
            return
        task = asyncio.create_task(self._send(peer, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.max_concurrent = max(self.max_concurrent, len(self._tasks))

    async def close(self) -> None:
        """Stop serving."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send(self, peer: Peer, request: messages.SnapshotRequest) -> None:
        async with self._building:
            # One that has waited mostly finds what the one before it has built.
            chunks = await self._chunks(request)
        # The marks go first: a VM that has the state without them would send calls to
        # versions that are taken back.
        self._marks.send_all(peer)
        for chunk in chunks:
            peer.stream.send(chunk)
            await peer.stream.drain()
        self.served += 1

    async def _chunks(
        self, request: messages.SnapshotRequest
    ) -> list[messages.SnapshotChunk]:
        state = self._store.state
        has_state = state.next_offset > request.next_offset
        next_offset = state.next_offset if has_state else -1
        now = self._clock.monotonic()
        built = self._built
        if (
            built is not None
            and built.next_offset == next_offset
            and built.with_directory == request.with_directory
            and now - built.at <= REUSE_SECONDS
        ):
            return built.chunks
        records = self._directory if request.with_directory else ()
        data = await encode_snapshot(state if has_state else None, records)
        chunks = split_into_chunks(self._rng.getrandbits(32), data)
        self._built = _Built(next_offset, request.with_directory, now, chunks)
        return chunks
