"""Clock and randomness that the composition root passes to every other module."""

import asyncio
import random
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary start."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""
        ...


class SystemClock:
    """Clock of the machine."""

    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary start."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""
        await asyncio.sleep(seconds)


def full_jitter(
    rng: random.Random, attempt: int, base_seconds: float, cap_seconds: float
) -> float:
    """Return a delay drawn evenly from zero to an exponentially growing bound.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.
    attempt : int
        Number of failed attempts so far, from 0.
    base_seconds, cap_seconds : float
        Bound after the first failure, and the largest bound.
    """
    bound = min(cap_seconds, base_seconds * 2 ** min(attempt, 30))
    return rng.uniform(0.0, bound)
