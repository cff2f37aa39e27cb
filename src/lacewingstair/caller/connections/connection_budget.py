"""Decides which connections are closed when clients hold too much; performs no I/O.

Load pattern: many clients each stay within the limits of one connection, but together
make the process hold more than its VM has. What has never been a whole request is
closed first, and of that what has made no progress for longest; what a client asked for
and reads comes last. Small calls are still answered.
"""

import enum
from collections.abc import Hashable, Iterable, Mapping
from typing import TypeVar

import attrs

from lacewingstair.caller.connections.client_limits import ClientLimits

# A check looks at every connection; so much may arrive between two checks.
CHECK_SHARE = 1 / 16
# Closing connections that hold less frees little: they are closed only when all others
# do not suffice.
SMALL_BYTES = 16 << 10
MIN_CLOSED_BYTES = 1 << 10
# What is held under other limits leaves at least this share.
CLIENT_SHARE = 0.5
# One connection may hold more than the budget while the others hold less than this
# share of it: a single large call is served when the process has no other load.
QUIET_SHARE = 0.25
# Calls in progress may hold this share; further ones are refused, so that none of them
# is cut for its memory.
RUNNING_SHARE = 0.75
# Beyond this share, no call with a large body is begun.
LARGE_RUNNING_SHARE = 0.4

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


class Stage(enum.IntEnum):
    """What a connection is doing; those of a lower stage are closed first."""

    # A head or a body is incomplete; nothing has run.
    UNFINISHED = 0
    # All calls have been answered.
    IDLE = 1
    # An answer waits for a client that takes none of it.
    UNREAD = 2
    # Much waits behind a whole request that has no answer yet.
    QUEUED = 3
    # A client takes its answer.
    ANSWERED = 4
    # A whole request has no answer yet.
    RUNNING = 5


@attrs.frozen
class Holding:
    """What a connection makes the process hold.

    Parameters
    ----------
    stage : Stage
        What the connection is doing.
    size : int
        Bytes that are held.
    progress : float
        Bytes a second that the client moves; negative for the seconds in which it has
        moved none.
    running_size : int
        Bytes that are held for calls in progress.
    """

    stage: Stage
    size: int
    progress: float = 0.0
    running_size: int = 0


@attrs.frozen
class IdleConnection:
    """Connection without a call.

    Parameters
    ----------
    connection : object
        The connection.
    seconds : float
        Time since its last call ended, or since it was opened.
    has_called : bool
        Whether it has carried a call.
    """

    connection: Hashable
    seconds: float
    has_called: bool


class ConnectionBudget:
    """Bytes that peers make a process hold.

    Parameters
    ----------
    limits : ClientLimits
        Limits in force.

    Attributes
    ----------
    has_room, has_room_for_large : bool
        Whether further calls may begin, and those with large bodies, as of the latest
        check.
    """

    def __init__(self, limits: ClientLimits) -> None:
        self._limits = limits
        self._unchecked_bytes = 0
        self.has_room = self.has_room_for_large = True

    def note(self, size: int) -> bool:
        """Count bytes that were received or written; return whether to check."""
        self._unchecked_bytes += size
        return self._unchecked_bytes > self._limits.max_held_bytes * CHECK_SHARE

    def excess(
        self, holdings: Mapping[ConnectionT, Holding], other_bytes: int
    ) -> list[ConnectionT]:
        """Return the connections to close, in this order.

        Parameters
        ----------
        holdings : mapping
            What each connection makes the process hold.
        other_bytes : int
            Bytes held under limits of their own.
        """
        self._unchecked_bytes = 0
        most = self._limits.max_held_bytes
        allowed = max(most * CLIENT_SHARE, most - other_bytes)
        sizes = [found.size for found in holdings.values()]
        total, largest = sum(sizes), max(sizes, default=0)
        if total - largest + other_bytes <= most * QUIET_SHARE:
            self.has_room = self.has_room_for_large = True
            return []
        running = sum(found.running_size for found in holdings.values())
        self.has_room = running <= allowed * RUNNING_SHARE
        self.has_room_for_large = running <= allowed * LARGE_RUNNING_SHARE
        if total <= allowed:
            return []
        return _first_to_close(holdings, total - allowed)

    def may_make_room(self, idle: Iterable[IdleConnection]) -> list[Hashable]:
        """Return the connections that may make room for new ones, longest idle first.

        Clients reuse a connection that was idle for most of the allowed time, but do
        not open one long before their first call.
        """
        limits = self._limits
        allowed = [
            found
            for found in idle
            if found.seconds
            > (limits.idle_seconds if found.has_called else limits.head_seconds)
        ]
        allowed.sort(key=lambda found: found.seconds, reverse=True)
        return [found.connection for found in allowed]


def _first_to_close(
    holdings: Mapping[ConnectionT, Holding], excess: float
) -> list[ConnectionT]:
    """Return the connections whose end frees an excess, small ones last."""
    closed = []
    for is_small in (False, True):
        rest = [
            (found.stage, found.progress, -found.size, connection)
            for connection, found in holdings.items()
            if (found.size < SMALL_BYTES) is is_small and found.size >= MIN_CLOSED_BYTES
        ]
        rest.sort(key=lambda item: item[:3])
        for *_, negative_size, connection in rest:
            if excess <= 0:
                return closed
            closed.append(connection)
            excess += negative_size
    return closed
