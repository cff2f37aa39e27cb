"""Sequential tests of two versions that may be stopped at any time.

Each test compares the ratio of bad calls of the old and the new version in the same
block of calls. The factor of a block has an expected value of at most one whenever the
null hypothesis holds in that block, whatever the common ratio is, so overload that hits
both versions alike makes neither look worse. The capital that a product of such factors
builds up exceeds ``1 / alpha`` with a probability of at most ``alpha``, however often
it is looked at (Ville's inequality).
"""

import math
from collections.abc import Sequence

import attrs

RATIO_FLOOR = 1e-4
NEWTON_STEPS = 40
# An error of 1e-7 raises the expected factor of a block of 100,000 calls to 1.005.
PROJECTION_TOLERANCE = 1e-12
# Calls that the estimate of the old version's ratio weighs; older ones fade out.
FORGETTING_CALLS = 2000.0


@attrs.frozen
class Block:
    """Calls of both versions in the same window.

    Parameters
    ----------
    old_calls, old_bad, new_calls, new_bad : int
        Calls, and those of them that count as bad.
    """

    old_calls: int = 0
    old_bad: int = 0
    new_calls: int = 0
    new_bad: int = 0

    def __add__(self, other: "Block") -> "Block":
        return Block(
            self.old_calls + other.old_calls,
            self.old_bad + other.old_bad,
            self.new_calls + other.new_calls,
            self.new_bad + other.new_bad,
        )

    @property
    def information(self) -> float:
        """Effective number of compared pairs, 0 when a version has no calls."""
        total = self.old_calls + self.new_calls
        return self.old_calls * self.new_calls / total if total else 0.0


def project(
    old_calls: int, old: float, new_calls: int, new: float, margin: float
) -> float:
    """Return the old ratio of the point ``new = old + margin`` nearest to a bet.

    Nearest is by Kullback-Leibler divergence weighted by the calls, which makes the
    likelihood ratio against that point valid for the whole half-space behind it.
    """
    low, high = sorted((old, new - margin))
    low = max(low, RATIO_FLOOR / 2)
    high = max(low, min(high, 1.0 - margin - RATIO_FLOOR / 2))
    q = (old_calls * old + new_calls * (new - margin)) / (old_calls + new_calls)
    for _ in range(NEWTON_STEPS):
        q = min(max(q, low), high)
        r = q + margin
        q_spread = q * (1 - q)
        r_spread = r * (1 - r)
        slope = old_calls * (q - old) / q_spread + new_calls * (r - new) / r_spread
        if slope > 0:
            high = q
        else:
            low = q
        curve = old_calls * (q * q - 2 * old * q + old) / (q_spread * q_spread)
        curve += new_calls * (r * r - 2 * new * r + new) / (r_spread * r_spread)
        step = slope / curve
        if abs(step) <= PROJECTION_TOLERANCE * q:
            break
        # A step out of the bracket is replaced by halving it.
        q = q - step if low < q - step < high else (low + high) / 2
    return q


def log_factor(block: Block, old: float, new: float, margin: float) -> float:
    """Return the logarithm of the block's likelihood ratio of a bet on (old, new)."""
    q = project(block.old_calls, old, block.new_calls, new, margin)
    return _log_ratio(block.old_calls, block.old_bad, old, q) + _log_ratio(
        block.new_calls, block.new_bad, new, q + margin
    )


def _log_ratio(calls: int, bad: int, bet: float, null: float) -> float:
    return bad * math.log(bet / null) + (calls - bad) * math.log((1 - bet) / (1 - null))


@attrs.define
class OldRatio:
    """Running estimate of the old version's ratio, used for bets on later blocks.

    Parameters
    ----------
    prior : float
        Ratio assumed before any call.
    """

    prior: float
    _calls: float = 20.0
    _bad: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._bad = self.prior * self._calls

    @property
    def value(self) -> float:
        """Estimate, kept off zero and one."""
        return min(max(self._bad / self._calls, RATIO_FLOOR), 0.9)

    def add(self, block: Block) -> None:
        """Take the old version's calls of a block."""
        self._calls += block.old_calls
        self._bad += block.old_bad
        excess = self._calls / FORGETTING_CALLS
        if excess > 1:
            self._calls /= excess
            self._bad /= excess


def badness_factors(
    block: Block, old: float, margin: float, increases: Sequence[float]
) -> list[float]:
    """Return the log factor of a block for each increase that is bet on.

    The null hypothesis is that the new ratio exceeds the old one by `margin` at most.
    """
    return [
        log_factor(block, old, min(old + increase, 0.98), margin)
        if min(old + increase, 0.98) - old > margin
        else 0.0
        for increase in increases
    ]


def soundness_factor(block: Block, old: float, increase: float) -> float:
    """Return the log factor for a new ratio that equals the old one.

    The null hypothesis is that the new ratio exceeds the old one by `increase` at
    least.
    """
    old = min(old, 1.0 - increase - 2 * RATIO_FLOOR)
    return log_factor(block, old, old, increase)


@attrs.define
class BadnessTest:
    """Capital that grows while the new version is worse than allowed.

    The starting capital of one is invested in parts over the life of the rollout, so
    that a fault that begins late meets capital that earlier good calls have not used
    up. The sum of parts is at most one, which keeps Ville's bound for the whole
    rollout.

    Parameters
    ----------
    bets : int
        Number of increases that share each part evenly.
    """

    bets: int
    invested: float = 0.0
    _capital: list[float] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._capital = [0.0] * self.bets

    def invest(self, part: float) -> None:
        """Put a part of the starting capital at risk, as far as any is left."""
        part = max(0.0, min(part, 1.0 - self.invested))
        self.invested += part
        for index in range(self.bets):
            self._capital[index] += part / self.bets

    def add(self, factors: Sequence[float]) -> None:
        """Multiply the capital by the factors of a block, given as logarithms."""
        for index, factor in enumerate(factors):
            grown = math.log(max(self._capital[index], 1e-300)) + factor
            self._capital[index] = math.exp(min(grown, 600.0))

    @property
    def log_capital(self) -> float:
        """Logarithm of the capital at risk."""
        total = sum(self._capital)
        return math.log(total) if total > 0 else -math.inf


@attrs.define
class Clearance:
    """Evidence of one stage that the new version is not bad, as a logarithm."""

    log_capital: float = 0.0

    def add(self, factor: float) -> None:
        """Take the factor of a block."""
        self.log_capital += factor
