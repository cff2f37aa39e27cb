"""Simulated rollouts of good and bad versions under the rollout policy."""

import math
import random

import pytest

from lacewingstair.staged_rollouts.evidence import RouteCounts
from lacewingstair.staged_rollouts.policy import (
    LOAD_TRIAL_SECONDS,
    Order,
    Stage,
    compare_versions,
    new_version_share,
    next_stage,
)

CALLS_PER_SECOND = 230
DURATION_SECONDS = 16.0
# Calls that the platform's terms allow a bad version: a tenth of all calls, plus 50.
MAX_BAD_VERSION_CALLS = 0.1 * CALLS_PER_SECOND * DURATION_SECONDS + 50
ORDER = Order("board", "v2", DURATION_SECONDS, 1)
ROUTES = ("view", "other")


def service_ms(rng):
    return rng.lognormvariate(math.log(150), 0.7)


def outcome(rng, kind, route, seconds, is_loaded):
    """Return whether a call of the new version is bad, and its latency."""
    ms = service_ms(rng)
    is_affected = rng.random() < 0.45
    match kind:
        case "errors":
            return is_affected, ms
        case "slow":
            return False, ms * (8 if is_affected else 1)
        case "late":
            return is_affected and seconds > 3, ms
        case "one route":
            return is_affected and route == ROUTES[1], ms
        case "under load":
            return is_affected and is_loaded, ms
    return rng.random() < 0.003, ms


def simulate(kind, seed):
    """Simulate a rollout; return its last stage, the new calls and the seconds."""
    rng = random.Random(seed)
    new = {route: RouteCounts() for route in ROUTES}
    old = {route: RouteCounts() for route in ROUTES}
    stage, stage_entered_at, new_calls, seconds = Stage.TRIAL, 0.0, 0, 0.0
    while seconds < DURATION_SECONDS and not stage.is_final:
        seconds += 1 / CALLS_PER_SECOND
        route = ROUTES[rng.random() < 0.3]
        if rng.random() < new_version_share(stage):
            new_calls += 1
            is_loaded = stage in (Stage.LOAD_TRIAL, Stage.SHIFTED)
            new[route].count(*outcome(rng, kind, route, seconds, is_loaded))
        else:
            old[route].count(rng.random() < 0.003, service_ms(rng))
        if compare_versions(new, old).is_bad:
            return Stage.ROLLED_BACK, new_calls, seconds
        after = next_stage(ORDER, stage, seconds, seconds - stage_entered_at, new_calls)
        if after is not stage:
            stage, stage_entered_at = after, seconds
    return stage, new_calls, seconds


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("kind", ["errors", "slow", "late", "one route", "under load"])
def test_a_bad_version_is_rolled_back_before_it_gets_too_many_calls(kind, seed):
    stage, new_calls, _ = simulate(kind, seed)
    assert stage is Stage.ROLLED_BACK
    assert new_calls <= MAX_BAD_VERSION_CALLS


@pytest.mark.parametrize("seed", range(30))
def test_a_good_version_is_completed_in_time(seed):
    stage, _, seconds = simulate("good", seed)
    assert stage is Stage.COMPLETED
    assert seconds < DURATION_SECONDS


def test_overload_of_both_versions_causes_no_rollback():
    """Guards against a rollback due to an overload that affects both versions."""
    rng = random.Random(1)
    new, old = {"view": RouteCounts()}, {"view": RouteCounts()}
    for _ in range(300):
        old["view"].count(rng.random() < 0.3, service_ms(rng) * 3)
    for _ in range(60):
        new["view"].count(rng.random() < 0.3, service_ms(rng) * 3)
    assert not compare_versions(new, old).is_bad


def test_a_trial_without_any_call_does_not_end():
    """Guards against completing a rollout whose new version got no calls."""
    late = DURATION_SECONDS * 0.99
    assert next_stage(ORDER, Stage.TRIAL, late, late, 0) is Stage.TRIAL
    assert next_stage(ORDER, Stage.TRIAL, late, late, 1) is Stage.LOAD_TRIAL


def test_the_load_trial_stays_within_what_a_bad_version_may_get():
    trial = new_version_share(Stage.TRIAL) * DURATION_SECONDS
    load_trial = new_version_share(Stage.LOAD_TRIAL) * LOAD_TRIAL_SECONDS
    assert (trial + load_trial) * CALLS_PER_SECOND < MAX_BAD_VERSION_CALLS
