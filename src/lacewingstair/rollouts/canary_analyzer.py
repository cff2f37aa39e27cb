"""Verdicts on the new version of a rollout from the growth of evidence.

A `Judge` looks at one scope: the subtree of a VM, or all zones together. In a scope
each statistic is tested per route and over all routes. Blocks of different routes,
stages and sources are never pooled before the comparison, since their shares of the new
version differ; the capital of the sum is the product over their factors.
"""

import math
from collections.abc import Callable, Iterator

import attrs

from lacewingstair.rollouts.evidence import CallCounts, CounterKey
from lacewingstair.rollouts.sequential_tests import (
    BadnessTest,
    Block,
    Clearance,
    OldRatio,
    badness_factors,
    soundness_factor,
)
from lacewingstair.tickets.parsing import Rollout

# Probability that a good version is taken back at all, over all tests of a rollout.
FALSE_ROLLBACK_PROBABILITY = 1e-4
# Probability that a bad version clears a stage by its figures.
WRONG_CLEARANCE = 1e-2
# Capital from which a version is kept in its stage as long as the set time allows.
SUSPICIOUS_LOG_CAPITAL = math.log(10.0)

ALL_ROUTES = ""

# Parts of the starting capital put at risk when a route starts, at each further stage,
# and evenly over time.
PART_AT_START = 0.2
PART_PER_STAGE = 0.08
PART_OVER_TIME = 0.4

# A block is closed when it holds about one compared pair. Calls of one source that are
# too few in this time are pooled with those of other sources in the same stage, where
# the versions' shares are the same. Rates may drift within a block only as far as both
# versions drift alike.
BLOCK_INFORMATION = 0.9
BLOCK_SECONDS = 3.0
POOLED_INFORMATION = 0.9
POOLED_SECONDS = 60.0
POOLED = ""


@attrs.frozen(eq=False)
class Statistic:
    """A ratio of bad calls that is compared between versions.

    Parameters
    ----------
    name : str
        Used in reasons, after the name of the version.
    counted : callable
        Returns calls and bad calls of a tally.
    margin, bad_increase : callable
        Return the increase that is allowed, and the one that makes a version bad.
    increases : tuple of float
        Further increases that are bet on.
    prior : float
        Ratio of the old version assumed before any call.
    is_needed_to_clear : bool
        Whether a stage is cleared only when this statistic is sound.
    weight : float
        Part of the error rate for the test over all routes, and for all tests of
        single routes together. The weights of all statistics add up to one half.
    """

    name: str
    counted: Callable[[CallCounts], tuple[int, int]]
    margin: Callable[[Rollout], float]
    bad_increase: Callable[[Rollout], float]
    increases: tuple[float, ...]
    prior: float
    is_needed_to_clear: bool
    weight: float

    def bets(self, rollout: Rollout) -> tuple[float, ...]:
        """Return the increases that are bet on, the smallest first."""
        smallest = self.bad_increase(rollout)
        return (smallest, *(i for i in self.increases if i > smallest))


STATISTICS = (
    Statistic(
        "fails more often",
        lambda tally: (tally.calls, tally.failures),
        lambda rollout: rollout.max_failure_increase / 2,
        lambda rollout: rollout.max_failure_increase,
        (0.06, 0.2, 0.5, 0.95),
        0.005,
        True,
        0.3,
    ),
    Statistic(
        "is slower",
        lambda tally: (tally.timed, tally.slow),
        lambda _: 0.12,
        lambda _: 0.24,
        (0.4, 0.6),
        0.3,
        True,
        0.12,
    ),
    Statistic(
        "refuses more calls",
        lambda tally: (tally.offered, tally.refused),
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
    """Finding that the new version is bad, with the figures behind it."""

    reason: str
    evidence: str


@attrs.define
class _Pending:
    """Calls of a block that is not closed yet; `since` is in monotonic seconds."""

    since: float
    old: CallCounts = attrs.field(factory=CallCounts)
    new: CallCounts = attrs.field(factory=CallCounts)

    @property
    def information(self) -> float:
        """Compared pairs of attempts."""
        return Block(self.old.offered, 0, self.new.offered).information

    def block(self, statistic: Statistic) -> Block:
        """Return the calls that a statistic counts."""
        return Block(*statistic.counted(self.old), *statistic.counted(self.new))


@attrs.define
class _Figures:
    block: Block = attrs.field(factory=Block)


class CanaryAnalyzer:
    """Tests of one rollout in one scope.

    Parameters
    ----------
    rollout : Rollout
        The rollout.
    routes : tuple of str
        Routes of its service.
    error_rate : float
        Probability with which this scope may find a good version to be bad.
    life_seconds : float
        Time from start to the end of monitoring.
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
        self._badness_tests = {
            (name, s): BadnessTest(len(s.bets(rollout))) for name, s in self._tests()
        }
        self._ratios = {(name, s): OldRatio(s.prior) for name, s in self._tests()}
        self._figures = {test: _Figures() for test in self._badness_tests}
        self._pending: dict[tuple[str, str, int], _Pending] = {}
        self._clearances: dict[tuple[str, int, Statistic], Clearance] = {}
        self._stages_seen: set[tuple[str, int]] = set()

    def start_stage(self, route: str, stage: int) -> None:
        """Put capital at risk for a stage that a route has entered."""
        for scope in (route, ALL_ROUTES):
            if scope not in self._scopes or (scope, stage) in self._stages_seen:
                continue
            is_first = not any(seen == scope for seen, _ in self._stages_seen)
            self._stages_seen.add((scope, stage))
            for statistic in STATISTICS:
                part = PART_AT_START if is_first else PART_PER_STAGE
                self._badness_tests[scope, statistic].invest(part)

    def invest_for_elapsed_time(self, seconds: float) -> None:
        """Put capital at risk for the time passed."""
        part = PART_OVER_TIME * seconds / self._life_seconds
        for badness_test in self._badness_tests.values():
            badness_test.invest(part)

    def add(
        self, source: str, place: CounterKey, tally: CallCounts, now: float
    ) -> None:
        """Take the growth of one counter.

        Parameters
        ----------
        source : str
            Where the calls were made; sources are compared separately.
        place : CounterKey
            What was counted.
        tally : CallCounts
            Growth.
        now : float
            Monotonic seconds.
        """
        if place.route not in self._scopes:
            return
        is_new = place.version == self._rollout.to_version
        if not is_new and place.version != self._rollout.from_version:
            return
        slot = (source, place.route, place.stage)
        pending = self._pending.get(slot)
        if pending is None:
            pending = self._pending[slot] = _Pending(now)
        (pending.new if is_new else pending.old).add(tally)

    def close_due_blocks(self, now: float) -> None:
        """Close the blocks that hold enough calls or are old enough."""
        for slot, pending in list(self._pending.items()):
            if slot[0] != POOLED:
                self._settle_source(slot, pending, now)
        for slot, pending in list(self._pending.items()):
            if slot[0] != POOLED:
                continue
            is_old = now - pending.since >= POOLED_SECONDS
            if pending.information >= POOLED_INFORMATION or is_old:
                del self._pending[slot]
                self._close(slot, pending)

    def _settle_source(
        self, slot: tuple[str, str, int], pending: _Pending, now: float
    ) -> None:
        if pending.information >= BLOCK_INFORMATION:
            del self._pending[slot]
            self._close(slot, pending)
        elif now - pending.since >= BLOCK_SECONDS:
            del self._pending[slot]
            pooled = self._pending.setdefault((POOLED, *slot[1:]), _Pending(now))
            pooled.old.add(pending.old)
            pooled.new.add(pending.new)

    def _close(self, slot: tuple[str, str, int], pending: _Pending) -> None:
        _, route, stage = slot
        for statistic in STATISTICS:
            block = pending.block(statistic)
            if block.information > 0:
                self._take(route, stage, statistic, block)

    def verdict(self) -> Verdict | None:
        """Return the verdict of the test furthest above its threshold, or None."""
        test = max(self._badness_tests, key=self._excess)
        if self._excess(test) < 0:
            return None
        capital = self._badness_tests[test].log_capital
        scope, statistic = test
        where = f"on route {scope}" if scope != ALL_ROUTES else "over all routes"
        block = self._figures[test].block
        reason = f"{self._rollout.to_version} {statistic.name} {where}"
        needed = self._log_thresholds[test]
        evidence = f"{_compare(block)}; log capital {capital:.1f}, needed {needed:.1f}"
        return Verdict(reason, evidence)

    def _excess(self, test: tuple[str, Statistic]) -> float:
        return self._badness_tests[test].log_capital - self._log_thresholds[test]

    @property
    def is_suspicious(self) -> bool:
        """Whether a test has much capital, though perhaps not enough for a verdict."""
        return any(
            b.log_capital > SUSPICIOUS_LOG_CAPITAL for b in self._badness_tests.values()
        )

    def is_cleared(self, route: str, stage: int) -> bool:
        """Return whether the figures of a stage show that the version is not bad."""
        needed = -math.log(WRONG_CLEARANCE)
        return not self.is_suspicious and all(
            self._clearance(route, stage, statistic).log_capital >= needed
            for statistic in STATISTICS
            if statistic.is_needed_to_clear
        )

    def figures(self, route: str) -> str:
        """Return the calls compared so far on a route, for the report."""
        return "; ".join(
            f"{statistic.name}: {_compare(self._figures[route, statistic].block)}"
            for statistic in STATISTICS
            if (route, statistic) in self._figures
        )

    def _tests(self) -> Iterator[tuple[str, Statistic]]:
        for scope in self._scopes:
            for statistic in STATISTICS:
                yield scope, statistic

    def _clearance(self, route: str, stage: int, statistic: Statistic) -> Clearance:
        return self._clearances.setdefault((route, stage, statistic), Clearance())

    def _take(self, route: str, stage: int, statistic: Statistic, block: Block) -> None:
        rollout = self._rollout
        ratio = self._ratios[route, statistic]
        bets = statistic.bets(rollout)
        margin = statistic.margin(rollout)
        factors = badness_factors(block, ratio.value, margin, bets)
        for scope in (route, ALL_ROUTES):
            self._badness_tests[scope, statistic].add(factors)
            self._figures[scope, statistic].block += block
        factor = soundness_factor(block, ratio.value, statistic.bad_increase(rollout))
        self._clearance(route, stage, statistic).add(factor)
        ratio.add(block)


def _compare(block: Block) -> str:
    return (
        f"{block.new_bad} of {block.new_calls} calls"
        f" against {block.old_bad} of {block.old_calls}"
    )
