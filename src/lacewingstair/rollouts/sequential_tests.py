"""Anytime-valid sequential tests that compare two versions.

Each test compares the ratio of bad calls of the old and the new version within a block
of calls. The factor of a block is a likelihood ratio whose expected value is at most
one whenever the null hypothesis holds in that block, whatever the common ratio is, so
that overload of both versions makes neither look worse. The capital, a product of such
factors, exceeds ``1 / alpha`` with a probability of at most ``alpha``, however often it
is checked (Ville's inequality).
"""

import math
from collections.abc import Sequence

import attrs

RATIO_FLOOR = 1e-4
MAX_NEWTON_STEPS = 40
# An error of 1e-7 would raise the expected factor of a block of 100,000 calls to 1.005.
PROJECTION_TOLERANCE = 1e-12
# Effective number of calls in the estimate of the old version's ratio; the weight of
# older calls decays.
ESTIMATE_CALLS = 2000.0


@attrs.frozen
class Block:
    """Calls of both versions in the same period.

    Parameters
    ----------
    old_calls, old_bad, new_calls, new_bad : int
        Calls, and the bad ones among them.
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
        """Effective number of compared pairs, 0 if either version has no calls."""
        total = self.old_calls + self.new_calls
        return self.old_calls * self.new_calls / total if total else 0.0


def project_onto_null(
    old_calls: int, old: float, new_calls: int, new: float, margin: float
) -> float:
    """Return the old ratio of the point on ``new = old + margin`` nearest to a bet.

    The distance is the Kullback-Leibler divergence weighted by the calls, which makes
    the likelihood ratio against that point valid for the whole half-space beyond it.
    """
    low, high = sorted((old, new - margin))
    low = max(low, RATIO_FLOOR / 2)
    high = max(low, min(high, 1.0 - margin - RATIO_FLOOR / 2))
    q = (old_calls * old + new_calls * (new - margin)) / (old_calls + new_calls)
    for _ in range(MAX_NEWTON_STEPS):
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
        # Bisects the bracket if the Newton step would leave it.
        q = q - step if low < q - step < high else (low + high) / 2
    return q


def log_likelihood_ratio(block: Block, old: float, new: float, margin: float) -> float:
    """Return the log likelihood ratio of a block for a bet on (old, new)."""
    q = project_onto_null(block.old_calls, old, block.new_calls, new, margin)
    return _binomial_log_ratio(
        block.old_calls, block.old_bad, old, q
    ) + _binomial_log_ratio(block.new_calls, block.new_bad, new, q + margin)


def _binomial_log_ratio(calls: int, bad: int, bet: float, null: float) -> float:
    return bad * math.log(bet / null) + (calls - bad) * math.log((1 - bet) / (1 - null))


@attrs.define
class BaselineRatioEstimate:
    """Running estimate of the old version's ratio, used for bets on later blocks.

    Parameters
    ----------
    prior : float
        Ratio assumed before the first call.
    """

    prior: float
    _calls: float = 20.0
    _bad: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._bad = self.prior * self._calls

    @property
    def value(self) -> float:
        """Estimate, bounded away from zero and one."""
        return min(max(self._bad / self._calls, RATIO_FLOOR), 0.9)

    def add(self, block: Block) -> None:
        """Add the old version's calls of a block."""
        self._calls += block.old_calls
        self._bad += block.old_bad
        excess = self._calls / ESTIMATE_CALLS
        if excess > 1:
            self._calls /= excess
            self._bad /= excess


def inferiority_factors(
    block: Block, old: float, margin: float, increases: Sequence[float]
) -> list[float]:
    """Return the log factor of a block for each increase that the test bets on.

    The null hypothesis is that the new ratio exceeds the old one by at most `margin`.
    """
    return [
        log_likelihood_ratio(block, old, min(old + increase, 0.98), margin)
        if min(old + increase, 0.98) - old > margin
        else 0.0
        for increase in increases
    ]


def non_inferiority_factor(block: Block, old: float, increase: float) -> float:
    """Return the log factor of a block for a bet that both ratios are equal.

    The null hypothesis is that the new ratio exceeds the old one by at least
    `increase`.
    """
    old = min(old, 1.0 - increase - 2 * RATIO_FLOOR)
    return log_likelihood_ratio(block, old, old, increase)


@attrs.define
class InferiorityTest:
    """Test whose capital grows while the new version is worse than tolerated.

    The initial capital of one is invested in fractions over the life of the rollout, so
    that earlier good calls have not yet used up the capital left for a late fault. The
    fractions sum to at most one, which keeps Ville's bound for the whole rollout.

    Parameters
    ----------
    bet_count : int
        Number of increases among which each investment is divided evenly.
    """

    bet_count: int
    invested: float = 0.0
    _capital: list[float] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._capital = [0.0] * self.bet_count

    def invest(self, fraction: float) -> None:
        """Invest a fraction of the initial capital, limited to what is left of it."""
        fraction = max(0.0, min(fraction, 1.0 - self.invested))
        self.invested += fraction
        for index in range(self.bet_count):
            self._capital[index] += fraction / self.bet_count

    def add(self, factors: Sequence[float]) -> None:
        """Multiply the capital by the factors of a block, given as logarithms."""
        for index, factor in enumerate(factors):
            grown = math.log(max(self._capital[index], 1e-300)) + factor
            self._capital[index] = math.exp(min(grown, 600.0))

    @property
    def log_capital(self) -> float:
        """Logarithm of the invested capital."""
        total = sum(self._capital)
        return math.log(total) if total > 0 else -math.inf


@attrs.define
class NonInferiorityTest:
    """Test in one stage that the new version is not worse by a given increase."""

    log_capital: float = 0.0

    def add(self, factor: float) -> None:
        """Multiply the capital by the factor of a block, given as a logarithm."""
        self.log_capital += factor
