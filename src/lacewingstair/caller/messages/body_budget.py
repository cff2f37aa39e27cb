"""Bounds the memory of request bodies that a process holds; performs no I/O.

Load pattern: many callers upload at once, or send bodies slowly, while backend servers
are slow. A body is read whole before a backend server gets the call, so that a slow
caller takes no slot of one. What all bodies take together is bounded here, as their
bytes arrive: a length that is only announced takes nothing. An upload that cannot fit
beside those of the calls that run is refused before it is read.
"""

from lacewingstair.caller.connections.client_limits import DEFAULT_LIMITS

# Bodies may take more than all connections, which holds for a single large one alone.
LARGE_BODY_FACTOR = 1.75
MAX_HELD_BYTES = int(DEFAULT_LIMITS.max_held_bytes * LARGE_BODY_FACTOR)


class BodyBudget:
    """Bytes of the bodies of all open calls.

    Parameters
    ----------
    max_bytes : int
        Limit.

    Attributes
    ----------
    held_bytes : int
        Bytes of all bodies as far as they have arrived.
    complete_bytes : int
        Bytes of the bodies that are complete, until their calls end.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        self._max_bytes = max_bytes
        self.held_bytes = 0
        self.complete_bytes = 0

    def reserve(self) -> "BodyReservation":
        """Return an empty reservation for the body of one call."""
        return BodyReservation(self)

    def may_begin(self, length: int) -> bool:
        """Return whether a body of an announced length fits beside complete ones."""
        return self.complete_bytes + length <= self._max_bytes

    def try_add(self, size: int) -> bool:
        """Reserve further bytes if they fit; return whether they did."""
        if self.held_bytes + size > self._max_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int, is_complete: bool) -> None:
        """Release reserved bytes."""
        self.held_bytes -= size
        if is_complete:
            self.complete_bytes -= size


class BodyReservation:
    """Bytes that one call has reserved.

    Parameters
    ----------
    budget : BodyBudget
        Where they are reserved.
    """

    def __init__(self, budget: BodyBudget) -> None:
        self.budget = budget
        self._size = 0
        self._is_complete = False

    def grow_to(self, size: int) -> bool:
        """Reserve as much as is missing for a body; return whether it fits."""
        missing = size - self._size
        if missing <= 0:
            return True
        if not self.budget.try_add(missing):
            return False
        self._size = size
        return True

    def complete(self) -> None:
        """Note that the whole body has arrived."""
        if not self._is_complete:
            self._is_complete = True
            self.budget.complete_bytes += self._size

    def release(self) -> None:
        """Release the whole reservation."""
        self.budget.release(self._size, self._is_complete)
        self._size = 0
        self._is_complete = False
