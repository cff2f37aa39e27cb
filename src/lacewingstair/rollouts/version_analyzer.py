"""Statistical analysis of the new version of a rollout.

A `VersionAnalyzer` covers one part of the mesh: the subtree of a VM, or all zones
together. It tests each statistic per route and over all routes. Calls of different
routes and stages are never pooled before the comparison, since their shares of the new
version differ, and calls of different sources only if they are sparse. The test over
all routes multiplies the factors of the blocks instead.
"""

import math
from collections.abc import Callable, Iterator

import attrs

from lacewingstair.rollouts.evidence import CallCounts, CounterKey
from lacewingstair.rollouts.sequential_tests import (
    BaselineRatioEstimate,
    Block,
    InferiorityTest,
    NonInferiorityTest,
    inferiority_factors,
    non_inferiority_factor,
)
from lacewingstair.tickets.parsing import Rollout

# Upper bound on the probability that a good version is rolled back, over all tests of a
# rollout.
FALSE_ROLLBACK_PROBABILITY = 1e-4
# Upper bound on the probability that a bad version is cleared for the next stage by its
# statistics.
FALSE_CLEARANCE_PROBABILITY = 1e-2
# Capital from which a version is held in its stage for as long as the schedule allows.
SUSPICIOUS_LOG_CAPITAL = math.log(10.0)

ALL_ROUTES = ""

# Fractions of the initial capital invested when a route starts, at each further stage,
# and evenly over time.
INITIAL_INVESTMENT = 0.2
INVESTMENT_PER_STAGE = 0.08
INVESTMENT_OVER_TIME = 0.4

# A block is closed when it holds about one compared pair. If one source has too few
# calls for that in this time, they are pooled with those of other sources in the same
# stage, where the shares of the versions are equal. The tests allow rates to drift
# within a block only if both versions drift alike.
MIN_BLOCK_INFORMATION = 0.9
MAX_BLOCK_SECONDS = 3.0
MIN_POOLED_INFORMATION = 0.9
MAX_POOLED_SECONDS = 60.0
POOLED_SOURCE = ""


@attrs.frozen(eq=False)
class Statistic:
    """A ratio of bad calls that is compared between the versions.

    Parameters
    ----------
    name : str
        Used in reasons, after the name of the version.
    select_counts : callable
        Returns the number of calls and of bad calls.
    margin, bad_increase : callable
        Return the tolerated increase, and the increase that makes a version bad.
    increases : tuple of float
        Further increases that the inferiority test bets on.
    prior : float
        Ratio of the old version assumed before the first call.
    is_required_for_clearance : bool
        Whether a stage is cleared only if this statistic is shown to be non-inferior.
    weight : float
        Fraction of the error rate spent on the test over all routes, and again on all
        tests of single routes together. The weights of all statistics add up to one
        half.
    """

    name: str
    select_counts: Callable[[CallCounts], tuple[int, int]]
    margin: Callable[[Rollout], float]
    bad_increase: Callable[[Rollout], float]
    increases: tuple[float, ...]
    prior: float
    is_required_for_clearance: bool
    weight: float

    def bets(self, rollout: Rollout) -> tuple[float, ...]:
        """Return the increases that the test bets on, in ascending order."""
        smallest = self.bad_increase(rollout)
        return (smallest, *(i for i in self.increases if i > smallest))


STATISTICS = (
    Statistic(
        "fails more often",
        lambda counts: (counts.calls, counts.failures),
        lambda rollout: rollout.max_failure_increase / 2,
        lambda rollout: rollout.max_failure_increase,
        (0.06, 0.2, 0.5, 0.95),
        0.005,
        True,
        0.3,
    ),
    Statistic(
        "is slower",
        lambda counts: (counts.timed, counts.slow),
        lambda _: 0.12,
        lambda _: 0.24,
        (0.4, 0.6),
        0.3,
        True,
        0.12,
    ),
    Statistic(
        "refuses more calls",
        lambda counts: (counts.offered, counts.refused),
        lambda _: 0.1,
        lambda _: 0.2,
        (0.5, 0.85),
        0.01,
        False,
        0.08,
    ),
)


@attrs.frozen
class Verdict:
    """Result that the new version is bad, with the statistics that show it."""

    reason: str
    evidence: str


@attrs.define
class _OpenBlock:
    """Calls of a block that is not closed yet; `since` is in monotonic seconds."""

    since: float
    old: CallCounts = attrs.field(factory=CallCounts)
    new: CallCounts = attrs.field(factory=CallCounts)

    @property
    def information(self) -> float:
        """Effective number of compared pairs of attempts."""
        return Block(self.old.offered, 0, self.new.offered).information

    def block(self, statistic: Statistic) -> Block:
        """Return the block of one statistic."""
        return Block(
            *statistic.select_counts(self.old), *statistic.select_counts(self.new)
        )


@attrs.define
class _BlockTotal:
    block: Block = attrs.field(factory=Block)


class VersionAnalyzer:
    """Sequential tests of one rollout for one part of the mesh.

    Parameters
    ----------
    rollout : Rollout
        The rollout.
    routes : tuple of str
        Routes of its service.
    error_rate : float
        Upper bound on the probability that this analyzer finds a good version bad.
    life_seconds : float
        Time from the start of the rollout to the end of monitoring.
    """

    def __init__(
        self,
        rollout: Rollout,
        routes: tuple[str, ...],
        error_rate: float,
        life_seconds: float,
    ) -> None:
        self._rollout = rollout
        self._life_seconds = life_seconds
        self._scopes = (*routes, ALL_ROUTES)
        self._log_thresholds = {
            (name, s): -math.log(error_rate * s.weight / (len(routes) if name else 1))
            for name, s in self._tests()
        }
        self._inferiority_tests = {
            (name, s): InferiorityTest(len(s.bets(rollout)))
            for name, s in self._tests()
        }
        self._baseline_ratios = {
            (name, s): BaselineRatioEstimate(s.prior) for name, s in self._tests()
        }
        self._totals = {test: _BlockTotal() for test in self._inferiority_tests}
        self._open_blocks: dict[tuple[str, str, int], _OpenBlock] = {}
        self._non_inferiority_tests: dict[
            tuple[str, int, Statistic], NonInferiorityTest
        ] = {}
        self._stages_seen: set[tuple[str, int]] = set()

    def start_stage(self, route: str, stage: int) -> None:
        """Invest capital for a stage that a route has entered."""
        for scope in (route, ALL_ROUTES):
            if scope not in self._scopes or (scope, stage) in self._stages_seen:
                continue
            is_first = not any(seen == scope for seen, _ in self._stages_seen)
            self._stages_seen.add((scope, stage))
            for statistic in STATISTICS:
                fraction = INITIAL_INVESTMENT if is_first else INVESTMENT_PER_STAGE
                self._inferiority_tests[scope, statistic].invest(fraction)

    def invest_for_elapsed_time(self, seconds: float) -> None:
        """Invest capital in proportion to the elapsed time."""
        fraction = INVESTMENT_OVER_TIME * seconds / self._life_seconds
        for inferiority_test in self._inferiority_tests.values():
            inferiority_test.invest(fraction)

    def add(
        self, source: str, counter_key: CounterKey, counts: CallCounts, now: float
    ) -> None:
        """Add the increments of one counter to its open block.

        Parameters
        ----------
        source : str
            Where the calls were made; sources are compared separately.
        counter_key : CounterKey
            Counter that was incremented.
        counts : CallCounts
            Increments.
        now : float
            Monotonic seconds.
        """
        if counter_key.route not in self._scopes:
            return
        is_new = counter_key.version == self._rollout.to_version
        if not is_new and counter_key.version != self._rollout.from_version:
            return
        block_key = (source, counter_key.route, counter_key.stage)
        open_block = self._open_blocks.get(block_key)
        if open_block is None:
            open_block = self._open_blocks[block_key] = _OpenBlock(now)
        (open_block.new if is_new else open_block.old).add(counts)

    def close_due_blocks(self, now: float) -> None:
        """Close the blocks that hold enough calls or have reached their maximum age."""
        for block_key, open_block in list(self._open_blocks.items()):
            if block_key[0] != POOLED_SOURCE:
                self._close_or_pool(block_key, open_block, now)
        for block_key, open_block in list(self._open_blocks.items()):
            if block_key[0] != POOLED_SOURCE:
                continue
            is_old = now - open_block.since >= MAX_POOLED_SECONDS
            if open_block.information >= MIN_POOLED_INFORMATION or is_old:
                del self._open_blocks[block_key]
                self._close(block_key, open_block)

    def _close_or_pool(
        self, block_key: tuple[str, str, int], open_block: _OpenBlock, now: float
    ) -> None:
        if open_block.information >= MIN_BLOCK_INFORMATION:
            del self._open_blocks[block_key]
            self._close(block_key, open_block)
        elif now - open_block.since >= MAX_BLOCK_SECONDS:
            del self._open_blocks[block_key]
            pooled = self._open_blocks.setdefault(
                (POOLED_SOURCE, *block_key[1:]), _OpenBlock(now)
            )
            pooled.old.add(open_block.old)
            pooled.new.add(open_block.new)

    def _close(self, block_key: tuple[str, str, int], open_block: _OpenBlock) -> None:
        _, route, stage = block_key
        for statistic in STATISTICS:
            block = open_block.block(statistic)
            if block.information > 0:
                self._test_block(route, stage, statistic, block)

    def verdict(self) -> Verdict | None:
        """Return the verdict of the test that exceeds its threshold most, or None."""
        test = max(self._inferiority_tests, key=self._log_excess)
        if self._log_excess(test) < 0:
            return None
        capital = self._inferiority_tests[test].log_capital
        scope, statistic = test
        where = f"on route {scope}" if scope != ALL_ROUTES else "over all routes"
        block = self._totals[test].block
        reason = f"{self._rollout.to_version} {statistic.name} {where}"
        threshold = self._log_thresholds[test]
        evidence = (
            f"{_describe(block)}; log capital {capital:.1f}, needed {threshold:.1f}"
        )
        return Verdict(reason, evidence)

    def _log_excess(self, test: tuple[str, Statistic]) -> float:
        return self._inferiority_tests[test].log_capital - self._log_thresholds[test]

    @property
    def is_suspicious(self) -> bool:
        """Whether a test has gained much capital, though maybe too little to reject."""
        return any(
            b.log_capital > SUSPICIOUS_LOG_CAPITAL
            for b in self._inferiority_tests.values()
        )

    def is_cleared(self, route: str, stage: int) -> bool:
        """Return whether the statistics of a stage show that the version is not bad."""
        threshold = -math.log(FALSE_CLEARANCE_PROBABILITY)
        return not self.is_suspicious and all(
            self._non_inferiority_test(route, stage, statistic).log_capital >= threshold
            for statistic in STATISTICS
            if statistic.is_required_for_clearance
        )

    def summary(self, route: str) -> str:
        """Return a summary of the calls compared so far on a route, for the report."""
        return "; ".join(
            f"{statistic.name}: {_describe(self._totals[route, statistic].block)}"
            for statistic in STATISTICS
            if (route, statistic) in self._totals
        )

    def _tests(self) -> Iterator[tuple[str, Statistic]]:
        for scope in self._scopes:
            for statistic in STATISTICS:
                yield scope, statistic

    def _non_inferiority_test(
        self, route: str, stage: int, statistic: Statistic
    ) -> NonInferiorityTest:
        return self._non_inferiority_tests.setdefault(
            (route, stage, statistic), NonInferiorityTest()
        )

    def _test_block(
        self, route: str, stage: int, statistic: Statistic, block: Block
    ) -> None:
        rollout = self._rollout
        ratio = self._baseline_ratios[route, statistic]
        bets = statistic.bets(rollout)
        margin = statistic.margin(rollout)
        factors = inferiority_factors(block, ratio.value, margin, bets)
        for scope in (route, ALL_ROUTES):
            self._inferiority_tests[scope, statistic].add(factors)
            self._totals[scope, statistic].block += block
        factor = non_inferiority_factor(
            block, ratio.value, statistic.bad_increase(rollout)
        )
        self._non_inferiority_test(route, stage, statistic).add(factor)
        ratio.add(block)


def _describe(block: Block) -> str:
    return (
        f"{block.new_bad} of {block.new_calls} calls"
        f" against {block.old_bad} of {block.old_calls}"
    )
