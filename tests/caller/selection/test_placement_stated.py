"""Placement on VMs whose backend servers state the speed of their machines."""

import random
from collections import Counter

import pytest

from lacewingstair.caller.selection.placement import (
    PROBE_AGE_SECONDS,
    Candidate,
    Distance,
    choose_candidate,
    stated_times,
)
from lacewingstair.vm.call_messages import LoadReport


def candidate(vm_id, percent=100, running=0, wait_ms=0.0, age=0.0, unreported=0):
    load = LoadReport(running, 0, 6, 2.2 * percent, wait_ms, True, work_percent=percent)
    return Candidate(vm_id, Distance.SAME_ZONE, load, unreported, age)


def chosen(*candidates, seeds=60, relative_cost=1.0):
    """Return how often each VM is chosen."""
    return Counter(
        choose_candidate(
            candidates, 600.0, 1200.0, 2.0, random.Random(seed), relative_cost
        ).vm_id
        for seed in range(seeds)
    )


def test_a_call_goes_where_it_finishes_first():
    """Guards against a fast machine that is passed over for its few queued calls."""
    slow = candidate("slow", 250)
    fast = candidate("fast", 60, running=6, wait_ms=50.0)
    assert chosen(slow, fast) == {"fast": 60}


def test_calls_sent_since_the_report_are_counted():
    """Guards against a stale report that attracts a whole burst."""
    assert chosen(candidate("a", unreported=30), candidate("b", 150)) == {"b": 60}


def test_a_fresh_report_is_preferred_to_an_old_one_that_says_the_same():
    counts = chosen(candidate("old", 100, age=1.5), candidate("fresh", 100))
    assert counts["fresh"] > 40


@pytest.mark.parametrize("age", [0.0, 1.9])
def test_many_vms_with_the_same_reports_share_the_calls(age):
    """Guards against all VMs that send a burst to the best of the same reports."""
    fleet = [candidate(str(number), 60 + number, age=age) for number in range(20)]
    counts = chosen(*fleet, seeds=1000)
    assert max(counts.values()) < 150
    assert len(counts) > 15


def test_a_slow_vm_whose_report_is_old_gets_one_call():
    """Guards against a recovered backend server that is never called again."""
    fresh = candidate("fresh", 100, running=3)
    for percent in (250, 1000):
        assert chosen(fresh, candidate("slow", percent)) == {"fresh": 60}
        probed = candidate("slow", percent, 6, 500.0, PROBE_AGE_SECONDS)
        assert chosen(fresh, probed) == {"slow": 60}
        called = candidate("slow", percent, 6, 500.0, PROBE_AGE_SECONDS, unreported=1)
        assert stated_times(called, 1.0).service_ms > 200
        assert chosen(fresh, called) == {"fresh": 60}


def test_vms_with_and_without_a_stated_speed_are_compared():
    """Guards against a fleet in which only some backend servers state a speed."""
    unstated = Candidate(
        "unstated", Distance.SAME_ZONE, LoadReport(0, 0, 6, 220.0, 0.0, True)
    )
    assert chosen(candidate("slow", 400), unstated) == {"unstated": 60}
    assert chosen(candidate("fast", 30), unstated) == {"fast": 60}


def test_a_dear_call_prefers_a_machine_that_is_fast_at_its_usual_speed():
    """Guards against the cost on one machine that is taken for that on all others."""
    slow = LoadReport(0, 0, 6, 400.0, 0.0, True, work_percent=100)
    fast = LoadReport(3, 0, 6, 150.0, 0.0, True, work_percent=100)
    candidates = (
        Candidate("slow", Distance.SAME_ZONE, slow),
        Candidate("fast", Distance.SAME_ZONE, fast),
    )
    assert chosen(*candidates, relative_cost=3.0) == {"fast": 60}
