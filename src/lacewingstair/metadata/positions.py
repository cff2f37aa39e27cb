"""Positions in a topic of the store: the store's era and an offset, in one number.

The store can come back from an older copy. Offsets then go back and are given out
again, and the store states a higher era. A position of a later era is always the higher
one, so that positions are compared as plain numbers wherever offsets were: between VMs,
in messages and between orders. Without a stated era, a position is the offset itself.
"""

# More records than a topic gets: one per microsecond for 12 days.
ERA_SPAN = 1 << 40
# Keeps positions below 2**62, so that they fit a signed 64-bit integer.
MAX_ERA = (1 << 22) - 1


def position_of(era: int, offset: int) -> int:
    """Return the position of an offset in an era."""
    return era * ERA_SPAN + offset


def era_of(position: int) -> int:
    """Return the era of a position; 0 if the store states none."""
    return max(0, position) // ERA_SPAN


def offset_of(position: int) -> int:
    """Return the offset of a position within its era."""
    return position % ERA_SPAN if position >= 0 else position
