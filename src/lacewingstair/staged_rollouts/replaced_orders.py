"""Orders that later ones have replaced, recognised when the store loses the later ones.

A store that comes back from an older copy holds the orders of that time as the newest
ones. Their rollouts have ended; they must not begin anew.
"""

from collections import deque

import attrs

from lacewingstair.metadata.positions import era_of, offset_of
from lacewingstair.staged_rollouts.policy import Order

# Over all services; a copy is some seconds old, and few orders are given in that time.
MAX_ORDERS = 64


def is_restored(order: Order, known: Order) -> bool:
    """Return whether an order is a known one as it is read in a later era."""
    is_later = era_of(order.offset) > era_of(known.offset)
    return is_later and attrs.evolve(order, offset=known.offset) == known


class ReplacedOrders:
    """Newest of the orders that were replaced since the start."""

    def __init__(self) -> None:
        self._orders: deque[Order] = deque(maxlen=MAX_ORDERS)

    def add(self, order: Order) -> None:
        """Add an order that is replaced by another one."""
        self._orders.append(order)

    def move(self, order: Order) -> bool:
        """Take the position of a replaced order in a later era; False for any other.

        The copy has each record at the offset that it always had.
        """
        for index, known in enumerate(self._orders):
            is_same_place = offset_of(order.offset) == offset_of(known.offset)
            if is_same_place and is_restored(order, known):
                self._orders[index] = order
                return True
        return False
