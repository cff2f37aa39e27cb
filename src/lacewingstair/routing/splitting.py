"""Split of the calls of a route between two versions."""

import random

import attrs


@attrs.define
class RandomSplit:
    """Draws each call independently.

    Parameters
    ----------
    rng : random.Random
        Source of randomness.
    """

    rng: random.Random

    def selects(self, share: float) -> bool:
        """Return whether the call goes to the version with this share."""
        return self.rng.random() < share


class SmoothSplit:
    """Spreads the calls evenly: after any n calls the count is within one of n * share.

    The phase is random, so that VMs with few calls do not all pick their first call.

    Parameters
    ----------
    rng : random.Random
        Source of the phase.
    """

    def __init__(self, rng: random.Random) -> None:
        self._accumulated_share = rng.random()

    def selects(self, share: float) -> bool:
        """Return whether the call goes to the version with this share."""
        self._accumulated_share += share
        if self._accumulated_share < 1.0:
            return False
        self._accumulated_share -= 1.0
        return True
