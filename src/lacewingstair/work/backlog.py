"""Work left at an upstream: running calls by their age, and its queue; does no I/O.

The costs of calls that look alike are about log-normal. What remains of a running call
therefore grows with its age: a call that has already taken twice its expected cost is
probably one of the tail. All times are at the usual speed of the machine.
"""

import math
from collections.abc import Iterable

# Standard deviation of the logarithm of the costs of calls that look alike.
COST_SPREAD = 0.8
# Ages, in multiples of the expected cost, up to which the remaining share is tabulated.
MAX_AGE_RATIO = 8.0
STEPS_PER_RATIO = 8


def _remaining_share(age_ratio: float) -> float:
    """Return the mean of what remains at an age, in multiples of the expected cost."""
    if age_ratio <= 0:
        return 1.0
    # With a mean of 1, the logarithm of the cost has this distance to its centre.
    centred = math.log(age_ratio) + COST_SPREAD**2 / 2
    scale = COST_SPREAD * math.sqrt(2)
    beyond = math.erfc(centred / scale)
    mass_beyond = math.erfc((centred - COST_SPREAD**2) / scale)
    return mass_beyond / beyond - age_ratio


_SHARES = [
    _remaining_share(step / STEPS_PER_RATIO)
    for step in range(int(MAX_AGE_RATIO * STEPS_PER_RATIO) + 1)
]


def remaining_ms(expected_ms: float, age_ms: float) -> float:
    """Return the expected work that remains of a running call.

    Parameters
    ----------
    expected_ms : float
        Its cost as expected before it ran.
    age_ms : float
        Work already done on it.
    """
    position = age_ms / max(1e-3, expected_ms) * STEPS_PER_RATIO
    if position <= 0:
        return expected_ms
    step = int(position)
    if step >= len(_SHARES) - 1:
        return expected_ms * _SHARES[-1]
    low, high = _SHARES[step], _SHARES[step + 1]
    return expected_ms * (low + (high - low) * (position - step))


def first_end_ms(remaining: Iterable[float]) -> float:
    """Return the expected time until the first of some running calls ends.

    The calls end independently, so this is far below the least of their means.
    """
    rate = sum(1 / max(1.0, left_ms) for left_ms in remaining)
    return 1 / rate if rate else 0.0
