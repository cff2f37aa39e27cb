"""Bounds the memory that messages of other VMs take in a process; performs no I/O.

Load pattern: many VMs send calls with large bodies at once to the VM of one backend
server. Each message is within its own limit, but all together end the process. A stream
in the middle of a large message waits before it is read on, so that its sender waits
too; messages are completed one after the other as earlier ones end.
"""

import asyncio
import contextlib
from collections.abc import Iterator

# The smallest VMs have 200 MB, and a message is copied while it is decoded and sent on.
MAX_RECEIVED_BYTES = 32 << 20
# Smaller messages are always read on.
LARGE_MESSAGE_BYTES = 256 << 10
# A sender whose data is not read drops the connection after 2 s.
MAX_PAUSE_SECONDS = 1.0


class ReceiveBudget:
    """Bytes of incomplete messages and of the bodies of running calls.

    Parameters
    ----------
    max_bytes : int
        Bytes beyond which streams in the middle of a large message wait.
    """

    def __init__(self, max_bytes: int = MAX_RECEIVED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._body_bytes = 0
        # Bytes by stream of its large incomplete message, in the order of their starts.
        self._incomplete_bytes_by_stream: dict[object, int] = {}
        self._freed = asyncio.Event()

    @property
    def held_bytes(self) -> int:
        """Bytes that are held now."""
        return self._body_bytes + sum(self._incomplete_bytes_by_stream.values())

    @contextlib.contextmanager
    def holding(self, size: int) -> Iterator[None]:
        """Count the body of a call while it runs."""
        self._body_bytes += size
        try:
            yield
        finally:
            self._body_bytes -= size
            self._notify()

    def set_incomplete(self, stream: object, size: int) -> None:
        """Set the bytes received of a stream's incomplete message."""
        if size >= LARGE_MESSAGE_BYTES:
            self._incomplete_bytes_by_stream[stream] = size
            return
        if self._incomplete_bytes_by_stream.pop(stream, None) is not None:
            self._notify()

    def may_read(self, stream: object) -> bool:
        """Return whether a stream may be read on.

        The large message that began first is always completed, so that not all of them
        wait for each other.
        """
        streams = self._incomplete_bytes_by_stream
        if stream not in streams or stream is next(iter(streams)):
            return True
        return self.held_bytes < self._max_bytes

    async def wait_for_room(self, stream: object) -> None:
        """Wait until a stream may be read on, for a limited time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_PAUSE_SECONDS):
                while not self.may_read(stream):
                    self._freed.clear()
                    await self._freed.wait()

    def _notify(self) -> None:
        self._freed.set()
