"""The configuration in force on this VM and the records that led to it."""

from collections import deque
from collections.abc import Callable, Iterable

from lacewingstair.tickets.acceptance import (
    Decision,
    MeshState,
    TicketRecord,
    Verdict,
    fold,
)

RECENT_RECORDS = 256


class StateStore:
    """Holds the `MeshState` and never returns to an older one.

    Parameters
    ----------
    recent_records : int
        Records kept to bring another VM up to date.

    Attributes
    ----------
    state : MeshState
        Replaced by one assignment, so that readers see one state or the next.
    refused : int
        Records refused here since the start; those that came with a whole state were
        refused elsewhere and do not count.
    """

    def __init__(self, recent_records: int = RECENT_RECORDS) -> None:
        self.state = MeshState()
        self.refused = 0
        self._recent: deque[TicketRecord] = deque(maxlen=recent_records)
        self._listeners: list[Callable[[MeshState, MeshState], None]] = []

    def subscribe(self, listener: Callable[[MeshState, MeshState], None]) -> None:
        """Call `listener` with the state before and after each change."""
        self._listeners.append(listener)

    def apply(self, records: Iterable[TicketRecord]) -> list[Decision]:
        """Fold consecutive records; records already folded in are passed over.

        Folding stops at the first record that does not follow the state.
        """
        before = self.state
        state = before
        decisions: list[Decision] = []
        for record in records:
            if record.offset < state.next_offset:
                continue
            if record.offset > state.next_offset:
                break
            state, decision = fold(state, record)
            decisions.append(decision)
            self.refused += decision.verdict is Verdict.REFUSED
            self._recent.append(record)
        if decisions:
            self._replace(before, state)
        return decisions

    def adopt(self, state: MeshState) -> bool:
        """Take over a newer state as a whole; return whether it was newer."""
        before = self.state
        if state.next_offset <= before.next_offset or state.number < before.number:
            return False
        self._recent.clear()
        self._replace(before, state)
        return True

    def settle(self, state: MeshState) -> bool:
        """Take over another state of the same offset; return whether it was taken.

        States of one offset differ after the log lost records. The higher ticket
        number wins, then the higher digest, so that all VMs end with the same one.
        """
        before = self.state
        if state.next_offset != before.next_offset:
            return False
        if settling_order(state) <= settling_order(before):
            return False
        self._recent.clear()
        self._replace(before, state)
        return True

    def records_since(self, offset: int) -> tuple[TicketRecord, ...] | None:
        """Return the records from an offset on, or None when they are not kept."""
        if offset == self.state.next_offset:
            return ()
        if not self._recent or self._recent[0].offset > offset:
            return None
        return tuple(record for record in self._recent if record.offset >= offset)

    def _replace(self, before: MeshState, after: MeshState) -> None:
        self.state = after
        for listener in self._listeners:
            listener(before, after)


def settling_order(state: MeshState) -> tuple[int, int]:
    """Return what decides between states of one offset."""
    return (state.number, low_64_bits(state.digest))


def low_64_bits(digest: str) -> int:
    """Return the part of a state's digest that heartbeats carry."""
    return int(digest[-16:], 16)


def accepted(decisions: Iterable[Decision]) -> list[Decision]:
    """Return the decisions that changed the configuration."""
    return [d for d in decisions if d.verdict is Verdict.ACCEPTED]
