"""Pool of keep-alive connections to backend servers."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

import attrs
from result import Err, Ok, Result

from lacewingstair.addresses import split_address
from lacewingstair.backend_server.connection import (
    BUFFER_BYTES,
    TCP_USER_TIMEOUT_MS,
    UpstreamConnection,
)
from lacewingstair.errors import ConnectError, ConnectionsBusy
from lacewingstair.runtime import Clock

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_TIMEOUT_SECONDS = 15.0
# Only some of the VMs connect to one upstream at the same time.
DEFAULT_SHARING_VMS = 8
SHARE_GROWTH_SECONDS = 10.0

Connect = Callable[[str], Awaitable[UpstreamConnection]]


@attrs.define
class _AddressPool:
    """Connections of this VM to one upstream."""

    share: float
    share_grown_at: float
    idle: deque[UpstreamConnection] = attrs.field(factory=deque)
    open: int = 0


class ConnectionPool:
    """Opens, reuses and closes connections to backend servers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    connect : callable, optional
        Opens a connection to an address; raises OSError.
    buffer_bytes : int
        Bytes buffered in each direction of a connection.
    sharing_vms : int
        Number of VMs among which the announced connections of an upstream are divided.
    tcp_user_timeout_ms : int
        See `UpstreamConnection`.
    """

    def __init__(
        self,
        clock: Clock,
        connect: Connect | None = None,
        buffer_bytes: int = BUFFER_BYTES,
        sharing_vms: int = DEFAULT_SHARING_VMS,
        tcp_user_timeout_ms: int = TCP_USER_TIMEOUT_MS,
    ) -> None:
        self._tcp_user_timeout_ms = tcp_user_timeout_ms
        self._buffer_bytes = buffer_bytes
        self._sharing_vms = sharing_vms
        self.connections_opened = 0
        self._clock = clock
        self._connect = connect or self._open_tcp
        self._pools_by_address: dict[str, _AddressPool] = {}

    async def acquire(
        self,
        address: str,
        connections: int,
        max_idle_seconds: float = IDLE_TIMEOUT_SECONDS,
    ) -> Result[UpstreamConnection, ConnectError | ConnectionsBusy]:
        """Return an idle connection that is recent enough, or open a new one.

        Parameters
        ----------
        address : str
            ``ip:port`` of the backend server.
        connections : int
            Connections that it announces, for all VMs together.
        max_idle_seconds : float
            Maximum idle time of a connection that is reused.
        """
        pool = self._pool_of(address, connections)
        now = self._clock.monotonic()
        reused = self._take_idle(pool, now, max_idle_seconds)
        if reused is not None:
            return Ok(reused)
        share = max(1, int(pool.share))
        if pool.open >= share and not self._close_oldest_idle(pool):
            return Err(ConnectionsBusy(address, share))
        return await self._open(address, pool)

    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Return a connection after its call; one that cannot be reused is dropped."""
        now = self._clock.monotonic()
        pool = self._pools_by_address.get(address)
        is_reusable = connection.end_call(now)
        if pool is None:
            connection.abort()
            return
        if is_reusable:
            pool.idle.append(connection)
            return
        pool.open -= 1
        connection.abort()

    def discard(self, address: str, connection: UpstreamConnection) -> None:
        """Close a connection at once, so that a late response reaches no other call."""
        connection.force_close()
        self.release(address, connection)

    def close_idle_before(self, address: str, used_before: float) -> None:
        """Close connections that have been idle since a time; they may be dead too."""
        pool = self._pools_by_address.get(address)
        if pool is None:
            return
        while pool.idle and pool.idle[0].last_used_at <= used_before:
            self._close_oldest_idle(pool)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address whose endpoint was removed."""
        pool = self._pools_by_address.get(address)
        while pool is not None and pool.idle:
            self._close_oldest_idle(pool)
        if pool is not None and not pool.open:
            del self._pools_by_address[address]

    def sweep(self) -> None:
        """Close connections that have reached the idle timeout."""
        oldest = self._clock.monotonic() - IDLE_TIMEOUT_SECONDS
        for address, pool in list(self._pools_by_address.items()):
            self.close_idle_before(address, oldest)
            if not pool.open:
                del self._pools_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._pools_by_address):
            self.close_idle(address)

    def _pool_of(self, address: str, connections: int) -> _AddressPool:
        pool = self._pools_by_address.get(address)
        if pool is None:
            share = max(1.0, connections / self._sharing_vms)
            pool = _AddressPool(share, self._clock.monotonic())
            self._pools_by_address[address] = pool
        return pool

    def _take_idle(
        self, pool: _AddressPool, now: float, max_idle_seconds: float
    ) -> UpstreamConnection | None:
        while pool.idle:
            # The most recently used connection is the least likely to be closed.
            connection = pool.idle[-1]
            if not connection.is_reusable():
                pool.idle.pop().abort()
                pool.open -= 1
                continue
            if now - connection.last_used_at > max_idle_seconds:
                return None
            return pool.idle.pop()
        return None

    def _close_oldest_idle(self, pool: _AddressPool) -> bool:
        if not pool.idle:
            return False
        pool.idle.popleft().abort()
        pool.open -= 1
        return True

    async def _open(
        self, address: str, pool: _AddressPool
    ) -> Result[UpstreamConnection, ConnectError]:
        pool.open += 1
        self.connections_opened += 1
        is_open = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                connection = await self._connect(address)
            is_open = True
        except (OSError, TimeoutError, ValueError) as error:
            if pool.open > 1:
                # Other connections are open, so the accept limit is reached. It is at
                # least their number. Connects that are made in a burst fail together.
                pool.share = max(1.0, pool.share / 2, pool.open - 1)
            is_refused = isinstance(error, ConnectionRefusedError)
            return Err(ConnectError(address, str(error) or "timeout", is_refused))
        finally:
            pool.open -= not is_open
        self._grow_share(pool)
        return Ok(connection)

    def _grow_share(self, pool: _AddressPool) -> None:
        now = self._clock.monotonic()
        if now - pool.share_grown_at >= SHARE_GROWTH_SECONDS:
            pool.share_grown_at = now
            pool.share += 1

    async def _open_tcp(self, address: str) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        host, port = split_address(address)
        now = self._clock.monotonic()
        _, connection = await loop.create_connection(
            lambda: UpstreamConnection(
                loop, now, self._buffer_bytes, self._tcp_user_timeout_ms
            ),
            host,
            port,
        )
        return connection
