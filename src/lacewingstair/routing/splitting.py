"""Traffic splitting of a route between two versions."""

import random

import attrs


@attrs.define
class RandomSplit:
    """Selects each call independently at random.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.
    """

    rng: random.Random

    def selects(self, share: float) -> bool:
        """Return whether the next call goes to the version with this share."""
        return self.rng.random() < share


class SmoothSplit:
    """Selects calls at even intervals.

    After any n calls the number of selected calls is within one of n * share. The phase
    is random, so that VMs with few calls do not all select their first one.

    Parameters
    ----------
    rng : random.Random
        Source of the phase.
    """

    def __init__(self, rng: random.Random) -> None:
        self._accumulated_share = rng.random()

    def selects(self, share: float) -> bool:
        """Return whether the next call goes to the version with this share."""
        self._accumulated_share += share
        if self._accumulated_share < 1.0:
            return False
        self._accumulated_share -= 1.0
        return True
