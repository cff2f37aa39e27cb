"""Sequential comparison of a new version with the old one.

Both versions are compared within short slices of time and route by route, so that load
or faults that affect both versions alike make neither look worse, however they change
over time. The capital of a test is a product of likelihood ratios whose expected value
is at most one for a version that is no worse than tolerated. It exceeds ``1 / alpha``
with a probability of at most ``alpha``, however often it is checked (Ville's
inequality). Slices that borrow calls of the old version from earlier ones are not
independent of those, so that the bound holds only approximately then. The initial
capital is invested in parts: evidence of earlier slices that speaks for the new version
uses up only what has been invested by then.
"""

import math
from collections.abc import Iterator

import attrs

from lacewingstair.staged_rollouts.evidence import CountsByRoute, RouteCounts, sum_of

# Probability of finding a version bad that is no worse than tolerated.
FALSE_VERDICT_PROBABILITY = 1e-3
# Capital from which a version is not moved to the next stage while time remains, and is
# rolled back when none remains: a sound one loses a rollout, a bad one gets all calls.
SUSPICIOUS_LOG_CAPITAL = math.log(3.0)
# A version may fail this many times as often as the old one. Backend servers that are
# down or drop answers are spread unevenly over the versions.
TOLERATED_FAILURE_FACTOR = 1.5
# A version may have this many times as many slow answers as the old one.
TOLERATED_SLOWNESS_FACTOR = 1.0
# As backend servers differ in speed, the typical answer of a version may be slower by
# this many buckets, and that of a single backend server with all slots in use by
# MAX_CONCENTRATED_SHIFT. Slow answers are then counted from as many buckets further up.
MAX_SHIFT = 1
MAX_CONCENTRATED_SHIFT = 2
# Answers are slow above the lowest bucket above which the old version had at most these
# shares of its answers in the slices before.
SLOW_TAIL_SHARES = (0.1, 0.02, 0.004)
# Factors by which the new version may be worse that the tests bet on.
BETS = (2.5, 8.0, 50.0)
# Part of the initial capital that is invested in the first slice; the rest is spread
# over the others.
FIRST_INVESTMENT = 0.5
EXPECTED_SLICES = 32
# A slice is completed by calls of the old version in earlier ones until it has as many
# as this, or as this multiple of those of the new version.
MIN_REFERENCE_CALLS = 100
MIN_REFERENCE_RATIO = 2.0
# A limit for slow answers needs this many answers of the old version in earlier slices,
# and this many above it.
MIN_LIMIT_CALLS = 30
MIN_CALLS_ABOVE_LIMIT = 1.0
# A version with fewer bad calls than this is never found bad.
MIN_BAD_CALLS = 4
ALL_ROUTES = "all routes"
# Part of the error rate that the tests over all routes share; those of single routes
# share the rest.
ALL_ROUTES_ERROR_SHARE = 0.75


@attrs.frozen
class Slice:
    """Calls of both versions in the same period, by route.

    Parameters
    ----------
    new_by_route, old_by_route : mapping
        Counts of both versions.
    is_concentrated : bool
        Whether one backend server, which may be a slow one, gets all calls of the new
        version.
    """

    new_by_route: CountsByRoute = attrs.field(factory=dict)
    old_by_route: CountsByRoute = attrs.field(factory=dict)
    is_concentrated: bool = False

    @property
    def observations(self) -> tuple[int, int, bool]:
        """Numbers of calls, which differ from those at any other state of the slice."""
        new = sum(counts.observations for counts in self.new_by_route.values())
        old = sum(counts.observations for counts in self.old_by_route.values())
        return new, old, self.is_concentrated


@attrs.frozen
class Verdict:
    """Result of a comparison.

    Parameters
    ----------
    log_capital : float
        Logarithm of the largest capital of all tests, each multiplied by its part of
        the error rate.
    reason : str
        Counts of the test with the largest capital.
    """

    log_capital: float = -math.inf
    reason: str = ""

    @property
    def is_bad(self) -> bool:
        """Whether the version is to be rolled back."""
        return self.log_capital >= -math.log(FALSE_VERDICT_PROBABILITY)

    @property
    def is_suspicious(self) -> bool:
        """Whether the version is not to be moved to the next stage."""
        return self.log_capital >= SUSPICIOUS_LOG_CAPITAL


@attrs.frozen
class _Tally:
    """Calls and bad calls of both versions in one slice for one test."""

    new_calls: int = 0
    new_bad: int = 0
    old_calls: int = 0
    old_bad: int = 0

    def __add__(self, other: "_Tally") -> "_Tally":
        return _Tally(
            self.new_calls + other.new_calls,
            self.new_bad + other.new_bad,
            self.old_calls + other.old_calls,
            self.old_bad + other.old_bad,
        )

    def log_factor(self, bet: float, tolerated: float) -> float:
        """Return the log likelihood ratio of a bet on how much worse the version is.

        Given the bad calls of both versions together, those of the new version follow
        at most (in convex order) a binomial distribution, whatever the common rate is.
        """
        bad = self.new_bad + self.old_bad
        if not bad or not self.new_calls or not self.old_calls:
            return 0.0
        null_share = _share(self.new_calls, self.old_calls, tolerated)
        bet_share = _share(self.new_calls, self.old_calls, tolerated * bet)
        return self.new_bad * math.log(bet_share / null_share) + (
            self.old_bad * math.log((1.0 - bet_share) / (1.0 - null_share))
        )


def _share(new_calls: int, old_calls: int, factor: float) -> float:
    return new_calls * factor / (new_calls * factor + old_calls)


@attrs.define
class _Test:
    """Capital of one test by bet, after all closed slices."""

    tolerated: float
    total: _Tally = attrs.field(factory=_Tally)
    slices: int = 0
    log_capital_by_bet: list[float] = attrs.field(
        factory=lambda: [-math.inf] * len(BETS)
    )

    def after(self, tally: _Tally) -> "_Test":
        """Return the test after one more slice."""
        investment = math.log(_investment(self.slices) / len(BETS))
        capital = [
            _log_sum(before, investment) + tally.log_factor(bet, self.tolerated)
            for before, bet in zip(self.log_capital_by_bet, BETS, strict=True)
        ]
        return _Test(self.tolerated, self.total + tally, self.slices + 1, capital)

    @property
    def log_capital(self) -> float:
        """Logarithm of the capital of all bets together."""
        if self.total.new_bad < MIN_BAD_CALLS:
            return -math.inf
        capital = -math.inf
        for found in self.log_capital_by_bet:
            capital = _log_sum(capital, found)
        return capital


def _investment(index: int) -> float:
    if index == 0:
        return FIRST_INVESTMENT
    # The sum over all later slices is bounded, also beyond the expected number.
    remaining = 1.0 - FIRST_INVESTMENT
    if index < EXPECTED_SLICES:
        return 0.8 * remaining / (EXPECTED_SLICES - 1)
    return 0.2 * remaining * EXPECTED_SLICES / (index * (index + 1))


def _log_sum(a: float, b: float) -> float:
    high, low = max(a, b), min(a, b)
    if high == -math.inf:
        return high
    return high + math.log1p(math.exp(low - high))


@attrs.frozen
class _Scope:
    """Counts of both versions for one route, or for all.

    Parameters
    ----------
    name : str
        The route.
    new, old : RouteCounts
        Counts to compare.
    before : RouteCounts
        Earlier counts of the old version, which tell what is slow. Limits taken from
        the counts that are compared would make the new version look slow.
    """

    name: str
    new: RouteCounts
    old: RouteCounts
    before: RouteCounts


@attrs.define
class _Totals:
    """Counts of both versions over all routes and several slices."""

    new: RouteCounts = attrs.field(factory=RouteCounts)
    old: RouteCounts = attrs.field(factory=RouteCounts)

    def add(self, found: Slice) -> None:
        """Add a slice."""
        self.new.add(sum_of(found.new_by_route.values()))
        self.old.add(sum_of(found.old_by_route.values()))

    def copy(self) -> "_Totals":
        """Return totals that do not change with these."""
        return _Totals(self.new.copy(), self.old.copy())

    def shift(self, found: Slice) -> int:
        """Return by how many buckets answers may be slower in a slice."""
        if found.is_concentrated:
            return MAX_CONCENTRATED_SHIFT
        shift = self.new.median_bucket() - self.old.median_bucket()
        return min(max(0, shift), MAX_SHIFT)


@attrs.frozen
class _State:
    """Tests and totals after a slice, and the slice's observations then."""

    observations: tuple[int, int, bool]
    tests: dict[tuple[str, str], _Test]
    totals: _Totals


class VersionComparison:
    """Tests of a new version against the old one, slice by slice."""

    def __init__(self) -> None:
        self._tests: dict[tuple[str, str], _Test] = {}
        self._slices: list[Slice] = []
        self._closed = _Totals()
        # States after the open slices of the last evaluation; those before the first
        # slice that has changed since are used again.
        self._states: list[_State] = []

    def close_slice(self, found: Slice) -> None:
        """Add a slice that gets no more calls."""
        self._closed.add(found)
        shift = self._closed.shift(found)
        self._tests = _after(self._tests, found, self._slices, shift)
        self._slices.append(found)
        self._states.clear()

    def evaluate(self, open_slices: list[Slice]) -> Verdict:
        """Return the verdict after the closed slices and the given ones."""
        observations = [found.observations for found in open_slices]
        unchanged = 0
        for state, observed in zip(self._states, observations, strict=False):
            if state.observations != observed:
                break
            unchanged += 1
        del self._states[unchanged:]
        tests = self._states[-1].tests if unchanged else self._tests
        totals = self._states[-1].totals if unchanged else self._closed
        earlier = [*self._slices, *open_slices[:unchanged]]
        for found in open_slices[unchanged:]:
            totals = totals.copy()
            totals.add(found)
            tests = _after(tests, found, earlier, totals.shift(found))
            earlier.append(found)
            self._states.append(_State(found.observations, tests, totals))
        return _verdict(tests)


def _verdict(tests: dict[tuple[str, str], _Test]) -> Verdict:
    """Return the verdict by the test that speaks most against the version."""
    verdict = Verdict()
    route_tests = sum(route != ALL_ROUTES for route, _ in tests)
    for (route, statistic), test in tests.items():
        if route == ALL_ROUTES:
            part = ALL_ROUTES_ERROR_SHARE / (len(tests) - route_tests)
        else:
            part = (1.0 - ALL_ROUTES_ERROR_SHARE) / route_tests
        log_capital = test.log_capital + math.log(part)
        if log_capital <= verdict.log_capital:
            continue
        total = test.total
        verdict = Verdict(
            log_capital,
            f"{route}: {total.new_bad} of {total.new_calls} {statistic},"
            f" {total.old_bad} of {total.old_calls} on the old version",
        )
    return verdict


def _after(
    tests: dict[tuple[str, str], _Test],
    found: Slice,
    earlier: list[Slice],
    shift: int,
) -> dict[tuple[str, str], _Test]:
    """Return the tests after one more slice."""
    after = dict(tests)
    for scope in _scopes(found, earlier):
        for statistic, tolerated, tally in _tallies(scope, shift):
            test = after.get((scope.name, statistic)) or _Test(tolerated)
            after[scope.name, statistic] = test.after(tally)
    return after


def _scopes(found: Slice, earlier: list[Slice]) -> Iterator[_Scope]:
    """Yield the counts to compare, over all routes and for each route."""
    if not found.new_by_route:
        return
    old_by_slice = [sum_of(other.old_by_route.values()) for other in earlier]
    new_total = sum_of(found.new_by_route.values())
    old_total = sum_of(found.old_by_route.values())
    yield _scope(ALL_ROUTES, new_total, old_total, old_by_slice)
    for route, new in found.new_by_route.items():
        old = found.old_by_route.get(route, RouteCounts()).copy()
        old_by_slice = [
            other.old_by_route.get(route, RouteCounts()) for other in earlier
        ]
        yield _scope(route, new, old, old_by_slice)


def _scope(
    name: str, new: RouteCounts, old: RouteCounts, old_by_slice: list[RouteCounts]
) -> _Scope:
    remaining = list(old_by_slice)
    needed = min(MIN_REFERENCE_CALLS, MIN_REFERENCE_RATIO * new.calls)
    while remaining and old.calls < needed:
        old.add(remaining.pop())
    before = RouteCounts()
    needed = MIN_CALLS_ABOVE_LIMIT / min(SLOW_TAIL_SHARES)
    while remaining and before.calls < needed:
        before.add(remaining.pop())
    return _Scope(name, new, old, before)


def _tallies(scope: _Scope, shift: int) -> Iterator[tuple[str, float, _Tally]]:
    """Yield the name, the tolerated factor and the counts of each test."""
    new, old = scope.new, scope.old
    yield (
        "calls failed",
        TOLERATED_FAILURE_FACTOR,
        _Tally(new.calls, new.bad, old.calls, old.bad),
    )
    answered_before = sum(scope.before.calls_by_bucket.values())
    for share in SLOW_TAIL_SHARES:
        if answered_before < max(MIN_LIMIT_CALLS, MIN_CALLS_ABOVE_LIMIT / share):
            continue
        limit = scope.before.bucket_of_tail(share)
        new_unserved, new_known = new.unserved_and_known(limit + shift)
        old_unserved, old_known = old.unserved_and_known(limit)
        yield (
            f"calls failed or were slower than the old version's slowest {share:.1%}",
            TOLERATED_SLOWNESS_FACTOR,
            _Tally(new_known, new_unserved, old_known, old_unserved),
        )
