"""Bad versions that a load or a fault hides, and good ones that look bad under it."""

import pytest

from lacewingstair.staged_rollouts.policy import Stage
from tests.staged_rollouts.load import Load, simulate

SMALL_SERVERS = {
    "calls_per_second": 511.0,
    "median_ms": 55.0,
    "slots": 9,
    "patience_ms": 800.0,
}
HIDDEN_VERSIONS = {
    "few slow answers": Load("slow", 0.12, **SMALL_SERVERS),
    "answers slower by a small factor": Load("slow", 0.5, 3.0),
    "slow answers whose callers give up": Load(
        "slow", 0.5, impatient_share=0.5, impatient_ms=150.0, **SMALL_SERVERS
    ),
    "slow while the old version was slow": Load("slow", 0.5, old_slow_until=8.0),
    "answers that take longer than seconds": Load(
        "slow", 0.5, median_ms=535.0, patience_ms=8200.0, slots=100
    ),
    "few failures": Load("errors", 0.1, **SMALL_SERVERS),
    "few failures of one route": Load("one_class", 0.3, **SMALL_SERVERS),
    "few failures under load": Load("under_load", 0.15, **SMALL_SERVERS),
    "failures under load in a burst": Load(
        "under_load", 0.44, burst=(8.8, 11.4, 1.8), **SMALL_SERVERS
    ),
    "failures after most of the trial": Load(
        "late", 0.5, late_seconds=9.0, **SMALL_SERVERS
    ),
    "failures while all VMs restart": Load(
        "late", 0.3, restart_every_seconds=0.5, **SMALL_SERVERS
    ),
    "failures of a service with few calls": Load("errors", calls_per_second=20.0),
}
GOOD_VERSIONS = {
    "calm": Load(**SMALL_SERVERS),
    "a slow old version": Load(old_slow_until=8.0),
    "a few calls a second": Load(calls_per_second=8.0),
    "restarts of all VMs": Load(restart_every_seconds=2.0, **SMALL_SERVERS),
}


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("name", HIDDEN_VERSIONS)
def test_a_hidden_bad_version_gets_no_more_calls_than_allowed(name, seed):
    result = simulate(HIDDEN_VERSIONS[name], seed)
    assert result.stage is Stage.ROLLED_BACK
    allowed = result.allowed_calls
    assert result.new_calls <= allowed


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("name", GOOD_VERSIONS)
def test_a_good_version_is_completed_by_its_deadline(name, seed):
    result = simulate(GOOD_VERSIONS[name], seed)
    assert result.stage is Stage.COMPLETED


@pytest.mark.parametrize("seed", range(3))
def test_a_version_on_trial_gets_no_calls_once_another_is_ordered(seed):
    """Guards against counting an undecided version as part of the old one."""
    load = Load(
        "under_load", second_order_at=5.0, calls_per_second=100.0, slots=6, median_ms=60
    )
    result = simulate(load, seed)
    assert result.new_calls <= result.allowed_calls
    assert result.calls > 1000
