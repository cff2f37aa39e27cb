"""Watches the connections of clients at all addresses of a process.

It closes those that `connection_budget` and `answer_progress` choose, ends heads that
take too long, and counts all closes by their reason.
"""

import asyncio
import time
from collections import Counter, deque
from collections.abc import Callable, Hashable
from typing import Protocol

from lacewingstair import events
from lacewingstair.caller.connections.client_limits import (
    DEFAULT_LIMITS,
    ClientLimits,
    CloseReason,
)
from lacewingstair.caller.connections.connection_budget import (
    ConnectionBudget,
    Holding,
    IdleConnection,
)
from lacewingstair.caller.connections.parsing_pace import ParsingPace
from lacewingstair.garbage_collection import CutCallCollector
from lacewingstair.runtime import Clock

SWEEP_SECONDS = 1.0
# Closed connections may leave this part of the budget to the garbage collector.
CUT_DIVISOR = 8
# Connections beyond the limits that may still send a request, at all addresses.
MAX_WAITING_CONNECTIONS = 192
MIN_PARSING_DELAY_SECONDS = 0.001


class Connection(Protocol):
    """What the guard asks of a connection."""

    idle_seconds: float | None
    has_called: bool

    def holding(self) -> Holding:
        """Return what the client makes the process hold."""
        ...

    def grow_older(self, seconds: float) -> CloseReason | None:
        """Let time pass; return why the connection has to be cut off, if it has."""
        ...

    def abort(self) -> None:
        """Close the connection at once; what is unsent is dropped."""
        ...

    def parse_on(self) -> None:
        """Parse what was received of a chunked body."""
        ...

    def give_up(self) -> bool:
        """Refuse a request whose body is arriving, else close the connection.

        Returns
        -------
        bool
            Whether the connection stays open for its answer.
        """
        ...


class WaitingConnection(Protocol):
    """Connection beyond a limit that may still send a request."""

    def abort(self) -> None:
        """Close the connection at once."""
        ...


class ConnectionGuard:
    """Connections of all clients of a process.

    Parameters
    ----------
    limits : ClientLimits
        Limits in force.
    other_bytes : callable
        Returns the bytes that the parts with limits of their own hold: messages from
        and to other VMs, and responses of the backend server.

    Attributes
    ----------
    closed_by_reason : Counter
        Refusals and closes since the start of the process.
    """

    def __init__(
        self,
        limits: ClientLimits = DEFAULT_LIMITS,
        other_bytes: Callable[[], int] = lambda: 0,
    ) -> None:
        self.limits = limits
        self.closed_by_reason: Counter[CloseReason] = Counter()
        self._other_bytes = other_bytes
        self._budget = ConnectionBudget(limits)
        self._collector = CutCallCollector(limits.max_held_bytes // CUT_DIVISOR)
        self._connections: set[Connection] = set()
        self._pace = ParsingPace(time.monotonic())
        # Connections whose next part is parsed once the pace allows it.
        self._paced: deque[Connection] = deque()
        self._is_parsing_scheduled = False
        # At all addresses, the oldest first; values are None.
        self._waiting: dict[WaitingConnection, None] = {}
        # Connections that may make room for new ones, since the last sweep.
        self._idle_by_server: dict[Hashable, deque[Connection]] = {}

    @property
    def held_bytes(self) -> int:
        """Bytes that all clients make the process hold."""
        return sum(connection.holding().size for connection in self._connections)

    @property
    def has_room(self) -> bool:
        """Whether further calls may begin."""
        return self._budget.has_room

    @property
    def has_room_for_large(self) -> bool:
        """Whether further calls with large bodies may begin."""
        return self._budget.has_room_for_large

    def closes_by_label(self) -> dict[tuple[str], int]:
        """Return the refusals and closes by the label of their reason."""
        counts = self.closed_by_reason.items()
        return {(reason.value,): count for reason, count in counts}

    def add(self, connection: Connection) -> None:
        """Watch a connection."""
        self._connections.add(connection)

    def discard(self, connection: Connection, cut_calls: int, size: int) -> None:
        """Forget a connection that is closed.

        Parameters
        ----------
        connection : Connection
            The connection.
        cut_calls : int
            Its calls that had no response.
        size : int
            Bytes that it held.
        """
        self._connections.discard(connection)
        if cut_calls:
            self._collector.note(cut_calls, size)

    def note(self, size: int) -> None:
        """Count bytes that were received or written, and keep to the budget."""
        if self._budget.note(size):
            self._keep_budget()

    def note_parsing(self, seconds: float, now: float) -> None:
        """Count time that the parsing of a chunked body took."""
        self._pace.note(seconds, now)

    def may_parse(
        self, connection: Connection, loop: asyncio.AbstractEventLoop
    ) -> bool:
        """Return whether a chunked body is parsed on; if not, it is told when it is."""
        if not self._pace.delay_seconds(time.monotonic()):
            return True
        if connection not in self._paced:
            self._paced.append(connection)
        self._schedule_parsing(loop)
        return False

    def _schedule_parsing(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._is_parsing_scheduled:
            return
        self._is_parsing_scheduled = True
        delay = self._pace.delay_seconds(time.monotonic())
        loop.call_later(max(MIN_PARSING_DELAY_SECONDS, delay), self._parse_next, loop)

    def _parse_next(self, loop: asyncio.AbstractEventLoop) -> None:
        """Let connections parse on in the order in which they began to wait."""
        self._is_parsing_scheduled = False
        for _ in range(len(self._paced)):
            if self._pace.delay_seconds(time.monotonic()):
                break
            connection = self._paced.popleft()
            if connection in self._connections:
                connection.parse_on()
        if self._paced:
            self._schedule_parsing(loop)

    def count(self, reason: CloseReason, **fields: object) -> None:
        """Count a refusal or close, and log it."""
        self.closed_by_reason[reason] += 1
        events.call_line("client_closed", True, reason=reason.value, **fields)

    def make_room(self, server: Hashable, connections: list[Connection]) -> bool:
        """Close one of a server's connections for a new one; return whether it did.

        Connections are looked through once between two sweeps, as only those change
        for how long one is idle: clients that connect again and again cost little.
        """
        if server not in self._idle_by_server:
            found = self._budget.may_make_room(
                IdleConnection(found, found.idle_seconds, found.has_called)
                for found in connections
                if found in self._connections and found.idle_seconds is not None
            )
            self._idle_by_server[server] = deque(found)
        idle = self._idle_by_server[server]
        while idle:
            connection = idle.popleft()
            # It may have got a call, or have been closed, since the search.
            if connection in self._connections and connection.idle_seconds is not None:
                self._cut_off(connection, CloseReason.IDLE)
                return True
        return False

    def add_waiting(self, connection: WaitingConnection) -> None:
        """Note a connection that waits; the oldest one is closed beyond a limit.

        A client sends its request as soon as it is connected, so that those that wait
        for longest are the least likely to send one.
        """
        self._waiting[connection] = None
        if len(self._waiting) > MAX_WAITING_CONNECTIONS:
            oldest = next(iter(self._waiting))
            del self._waiting[oldest]
            self.count(CloseReason.CONNECTIONS)
            oldest.abort()

    def discard_waiting(self, connection: WaitingConnection) -> None:
        """Forget a connection that waited."""
        self._waiting.pop(connection, None)

    def close_silent(self, connection: Connection) -> None:
        """Close a connection that has never sent anything, for one that has."""
        self._cut_off(connection, CloseReason.IDLE)

    async def run(self, clock: Clock) -> None:
        """Check all connections periodically, until cancelled."""
        while True:
            await clock.sleep(SWEEP_SECONDS)
            self.sweep()

    def sweep(self, seconds: float = SWEEP_SECONDS) -> None:
        """Let time pass for all connections.

        A process that was paused counts the pause as one interval: what clients have
        sent meanwhile has not been read yet.
        """
        self._idle_by_server.clear()
        for connection in list(self._connections):
            reason = connection.grow_older(seconds)
            if reason is not None:
                self._cut_off(connection, reason)
        self._keep_budget()

    def _keep_budget(self) -> None:
        holdings = {found: found.holding() for found in self._connections}
        for connection in self._budget.excess(holdings, self._other_bytes()):
            found = holdings[connection]
            stage = found.stage.name.lower()
            self.count(CloseReason.MEMORY, held_bytes=found.size, stage=stage)
            if not connection.give_up():
                # Its transport may report the end a little later.
                self._connections.discard(connection)

    def _cut_off(self, connection: Connection, reason: CloseReason) -> None:
        self.count(reason, held_bytes=connection.holding().size)
        # Its transport may report the end a little later.
        self._connections.discard(connection)
        connection.abort()
