"""Connections to backend servers, reused between calls."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

import attrs
from result import Err, Ok, Result

from lacewingstair.addresses import split_address
from lacewingstair.backend_server.connection import (
    BUFFER_BYTES,
    UNACKNOWLEDGED_TIMEOUT_MS,
    UpstreamConnection,
)
from lacewingstair.errors import ConnectError, ConnectionsBusy
from lacewingstair.runtime import Clock

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_TIMEOUT_SECONDS = 15.0
# Not all VMs connect to an upstream at a time.
SHARE_OF_CONNECTIONS = 8
SHARE_GROWTH_SECONDS = 10.0

Connect = Callable[[str], Awaitable[UpstreamConnection]]


@attrs.define
class _Slots:
    """Connections of one upstream held by this VM."""

    share: float
    grown_at: float
    idle: deque[UpstreamConnection] = attrs.field(factory=deque)
    open: int = 0


class ConnectionPool:
    """Opens, keeps and closes connections to backend servers.

    Parameters
    ----------
    clock : Clock
        Time.
    connect : callable, optional
        Opens a connection to an address; raises OSError.
    buffer_bytes : int
        Bytes buffered in each direction of a connection.
    sharers : int
        VMs that share the connections which an upstream announces.
    unacknowledged_timeout_ms : int
        As for `UpstreamConnection`.
    """

    def __init__(
        self,
        clock: Clock,
        connect: Connect | None = None,
        buffer_bytes: int = BUFFER_BYTES,
        sharers: int = SHARE_OF_CONNECTIONS,
        unacknowledged_timeout_ms: int = UNACKNOWLEDGED_TIMEOUT_MS,
    ) -> None:
        self._unacknowledged_timeout_ms = unacknowledged_timeout_ms
        self._buffer_bytes = buffer_bytes
        self._sharers = sharers
        self.opened = 0
        self._clock = clock
        self._connect = connect or self._open_tcp
        self._pools_by_address: dict[str, _Slots] = {}

    async def acquire(
        self,
        address: str,
        connections: int,
        max_idle_seconds: float = IDLE_TIMEOUT_SECONDS,
    ) -> Result[UpstreamConnection, ConnectError | ConnectionsBusy]:
        """Return a connection that was idle for at most `max_idle_seconds`, or new.

        Parameters
        ----------
        address : str
            ``ip:port`` of the backend server.
        connections : int
            Connections that it announces, shared by all VMs.
        max_idle_seconds : float
            Longest idle time of a connection that is reused.
        """
        slots = self._slots(address, connections)
        now = self._clock.monotonic()
        reused = self._reuse(slots, now, max_idle_seconds)
        if reused is not None:
            return Ok(reused)
        share = max(1, int(slots.share))
        if slots.open >= share and not self._drop_idle(slots):
            return Err(ConnectionsBusy(address, share))
        return await self._open(address, slots)

    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Take a connection back after its call; a closed one is forgotten."""
        now = self._clock.monotonic()
        slots = self._pools_by_address.get(address)
        is_reusable = connection.end(now)
        if slots is None:
            connection.abort()
            return
        if is_reusable:
            slots.idle.append(connection)
            return
        slots.open -= 1
        connection.abort()

    def discard(self, address: str, connection: UpstreamConnection) -> None:
        """Close a connection at once, so that a late answer reaches no caller."""
        connection.force_close()
        self.release(address, connection)

    def close_idle_before(self, address: str, used_before: float) -> None:
        """Close idle connections last used before a time: they may be silent too."""
        slots = self._pools_by_address.get(address)
        if slots is None:
            return
        while slots.idle and slots.idle[0].last_used_at <= used_before:
            self._drop_idle(slots)

    def close_idle(self, address: str) -> None:
        """Close the idle connections of an endpoint that left."""
        slots = self._pools_by_address.get(address)
        while slots is not None and slots.idle:
            self._drop_idle(slots)
        if slots is not None and not slots.open:
            del self._pools_by_address[address]

    def sweep(self) -> None:
        """Close connections that were idle for too long."""
        oldest = self._clock.monotonic() - IDLE_TIMEOUT_SECONDS
        for address, slots in list(self._pools_by_address.items()):
            self.close_idle_before(address, oldest)
            if not slots.open:
                del self._pools_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._pools_by_address):
            self.close_idle(address)

    def _slots(self, address: str, connections: int) -> _Slots:
        slots = self._pools_by_address.get(address)
        if slots is None:
            share = max(1.0, connections / self._sharers)
            slots = _Slots(share, self._clock.monotonic())
            self._pools_by_address[address] = slots
        return slots

    def _reuse(
        self, slots: _Slots, now: float, max_idle_seconds: float
    ) -> UpstreamConnection | None:
        while slots.idle:
            # The most recently used one is the least likely to have been closed.
            connection = slots.idle[-1]
            if not connection.is_reusable():
                slots.idle.pop().abort()
                slots.open -= 1
                continue
            if now - connection.last_used_at > max_idle_seconds:
                return None
            return slots.idle.pop()
        return None

    def _drop_idle(self, slots: _Slots) -> bool:
        if not slots.idle:
            return False
        slots.idle.popleft().abort()
        slots.open -= 1
        return True

    async def _open(
        self, address: str, slots: _Slots
    ) -> Result[UpstreamConnection, ConnectError]:
        slots.open += 1
        self.opened += 1
        is_open = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                connection = await self._connect(address)
            is_open = True
        except (OSError, TimeoutError, ValueError) as error:
            if slots.open > 1:
                # It answers on other connections, so its accept limit is reached. The
                # limit is not below those; a burst of connects fails all at once.
                slots.share = max(1.0, slots.share / 2, slots.open - 1)
            is_refused = isinstance(error, ConnectionRefusedError)
            return Err(ConnectError(address, str(error) or "timeout", is_refused))
        finally:
            slots.open -= not is_open
        self._grow(slots)
        return Ok(connection)

    def _grow(self, slots: _Slots) -> None:
        now = self._clock.monotonic()
        if now - slots.grown_at >= SHARE_GROWTH_SECONDS:
            slots.grown_at = now
            slots.share += 1

    async def _open_tcp(self, address: str) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        host, port = split_address(address)
        now = self._clock.monotonic()
        _, connection = await loop.create_connection(
            lambda: UpstreamConnection(
                loop, now, self._buffer_bytes, self._unacknowledged_timeout_ms
            ),
            host,
            port,
        )
        return connection
