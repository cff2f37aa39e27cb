"""Simulated rollouts of good and bad versions under the rollout policy."""

import math
import random

import pytest

from lacewingstair.staged_rollouts.comparison import Slice, Verdict, VersionComparison
from lacewingstair.staged_rollouts.evidence import GateEvidence, RouteCounts
from lacewingstair.staged_rollouts.evidence_log import EvidenceLog
from lacewingstair.staged_rollouts.policy import (
    LATEST_SHIFT_FRACTION,
    LOAD_TRIAL_SECONDS,
    Order,
    Stage,
    TrialAllowance,
    new_version_share,
    next_stage,
)

CALLS_PER_SECOND = 230
DURATION_SECONDS = 16.0
# Calls that the platform's terms allow a bad version: a tenth of all calls, plus 50.
MAX_BAD_VERSION_CALLS = 0.1 * CALLS_PER_SECOND * DURATION_SECONDS + 50
ORDER = Order("board", "v2", DURATION_SECONDS, 1)
ROUTES = ("view", "other")
ALLOWANCE = TrialAllowance(0.1, 50.0)
STEP_SECONDS = 0.25


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
    log = EvidenceLog("v2")
    gates = {
        version: GateEvidence(version, 1, "board", version, 1)
        for version in ("v1", "v2")
    }
    stage, stage_entered_at, new_calls, seconds = Stage.TRIAL, 0.0, 0, 0.0
    evaluated_at, verdict = 0.0, Verdict()
    while seconds < DURATION_SECONDS and not stage.is_final:
        seconds += 1 / CALLS_PER_SECOND
        route = ROUTES[rng.random() < 0.3]
        stage_seconds = seconds - stage_entered_at
        share = new_version_share(
            stage, stage_seconds, seconds / DURATION_SECONDS, ALLOWANCE
        )
        is_new = rng.random() < share
        if is_new:
            new_calls += 1
            is_loaded = stage in (Stage.LOAD_TRIAL, Stage.SHIFTED)
            found = outcome(rng, kind, route, seconds, is_loaded)
        else:
            found = rng.random() < 0.003, service_ms(rng)
        gates["v2" if is_new else "v1"].at(int(seconds), route).count(*found)
        if seconds - evaluated_at >= STEP_SECONDS:
            evaluated_at = seconds
            for gate in gates.values():
                log.apply(gate.copy())
            verdict = log.evaluate(int(seconds))
        after = next_stage(ORDER, stage, seconds, stage_seconds, new_calls, verdict)
        if after is Stage.LOAD_TRIAL:
            log.concentrate(int(seconds), int(seconds + LOAD_TRIAL_SECONDS))
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
    comparison = VersionComparison()
    for _ in range(6):
        new, old = {"view": RouteCounts()}, {"view": RouteCounts()}
        for _ in range(50):
            old["view"].count(rng.random() < 0.3, service_ms(rng) * 3)
        for _ in range(10):
            new["view"].count(rng.random() < 0.3, service_ms(rng) * 3)
        comparison.close_slice(Slice(new, old))
    assert not comparison.evaluate([]).is_suspicious


def test_a_trial_without_any_call_does_not_end():
    """Guards against completing a rollout whose new version got no calls."""
    late = DURATION_SECONDS * 0.99
    assert next_stage(ORDER, Stage.TRIAL, late, late, 0, Verdict()) is Stage.TRIAL
    assert next_stage(ORDER, Stage.TRIAL, late, late, 1, Verdict()) is Stage.LOAD_TRIAL


def test_the_load_trial_stays_within_what_a_bad_version_may_get():
    steps = range(int(LATEST_SHIFT_FRACTION * 1000))
    trial = sum(
        new_version_share(Stage.TRIAL, 0.0, step / 1000, ALLOWANCE) for step in steps
    )
    load_trial = new_version_share(Stage.LOAD_TRIAL, 0.0, 0.6, ALLOWANCE)
    seconds = trial / 1000 * DURATION_SECONDS + load_trial * LOAD_TRIAL_SECONDS
    assert seconds * CALLS_PER_SECOND < MAX_BAD_VERSION_CALLS


@pytest.mark.parametrize("stage", [Stage.TRIAL, Stage.LOAD_TRIAL])
def test_a_suspicious_version_gets_no_more_calls_until_no_time_remains(stage):
    """Guards against a shift to a version whose counts speak against it."""
    suspicious = Verdict(2.0, "calls failed")
    stay = next_stage(ORDER, stage, 0.63 * DURATION_SECONDS, 3.0, 200, suspicious)
    assert stay is stage
    share = new_version_share(stage, 3.0, 0.65, ALLOWANCE)
    assert share < 2 * ALLOWANCE.share
    last = next_stage(ORDER, stage, 0.9 * DURATION_SECONDS, 3.0, 200, suspicious)
    assert last is Stage.ROLLED_BACK


def test_a_service_with_few_calls_gets_a_larger_share_of_them_tried():
    """Guards against a verdict on a handful of calls where far more are allowed."""
    few = ALLOWANCE.trial_share(0.5, expected_calls=100)
    assert few > 3 * ALLOWANCE.trial_share(0.5, expected_calls=100_000)
    assert few <= 0.5
