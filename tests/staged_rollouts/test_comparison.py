import random

import pytest

from lacewingstair.staged_rollouts.comparison import Slice, VersionComparison
from lacewingstair.staged_rollouts.evidence import RouteCounts

SLICES = 12
CALLS_PER_SLICE = 300


def compare(seed, new_ms, old_ms, new_failures=0.004, old_failures=0.004):
    """Return the verdict on a version that gets a tenth of the calls.

    Parameters
    ----------
    new_ms, old_ms : callable
        Return the median latency of a slice in milliseconds.
    """
    rng = random.Random(seed)
    comparison = VersionComparison()
    for index in range(SLICES):
        new, old = RouteCounts(), RouteCounts()
        for _ in range(CALLS_PER_SLICE):
            is_new = rng.random() < 0.1
            median = (new_ms if is_new else old_ms)(rng, index)
            failures = new_failures if is_new else old_failures
            ms = median * rng.lognormvariate(0.0, 0.8)
            (new if is_new else old).count(rng.random() < failures, ms)
        comparison.close_slice(Slice({"view": new}, {"view": old}))
    return comparison.evaluate([])


def steady(rng, index):
    return 100.0


def slow_for_a_while(rng, index):
    return 800.0 if 3 <= index < 8 else 100.0


def half_slow(rng, index):
    return 800.0 if rng.random() < 0.5 else 100.0


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("ms", [steady, slow_for_a_while, half_slow])
def test_versions_that_change_alike_are_not_suspicious(ms, seed):
    """Guards against rolling back a version for a fault that affects both alike."""
    assert not compare(seed, ms, ms, 0.1, 0.1).is_suspicious


@pytest.mark.parametrize("seed", range(20))
def test_slowness_of_the_old_version_that_has_ended_hides_no_slow_one(seed):
    assert compare(seed, half_slow, slow_for_a_while).is_bad


@pytest.mark.parametrize("seed", range(20))
def test_a_slightly_slower_version_is_not_found_bad(seed):
    """Guards against rolling back a version for the speeds of its backend servers."""
    assert not compare(seed, lambda rng, index: 115.0, steady).is_bad


def test_good_calls_of_before_hide_no_late_failures():
    """Guards against failures that are diluted by all calls since the order."""
    comparison = VersionComparison()
    for index in range(SLICES):
        new, old = RouteCounts(), RouteCounts()
        for number in range(50):
            is_bad = index == SLICES - 1 and number % 2 == 0
            new.count(is_bad, 100.0)
            old.count(False, 100.0)
        comparison.close_slice(Slice({"view": new}, {"view": old}))
    assert comparison.evaluate([]).is_bad


def test_few_bad_calls_give_no_verdict():
    new, old = RouteCounts(calls=3, bad=3), RouteCounts(calls=1000)
    comparison = VersionComparison()
    assert not comparison.evaluate([Slice({"view": new}, {"view": old})]).is_bad
