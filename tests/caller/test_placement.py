"""Replays of the load patterns that the placement answers."""

import random

from lacewingstair.caller.placement import Candidate, Distance, place
from lacewingstair.vm.call_messages import LoadReport


def candidate(vm_id, distance, running=0, waiting=0, service_ms=150.0, **values):
    load = LoadReport(running, waiting, 18, service_ms, waiting * service_ms / 18, True)
    return Candidate(vm_id, distance, load, **values)


def placed(*candidates, target_ms=600.0, is_large=False, seed=1):
    rng = random.Random(seed)
    found = place(candidates, target_ms, 1200.0, is_large, rng)
    return None if found is None else found.vm_id


NEAR = candidate("near", Distance.SAME_ZONE, running=10)
FAR = candidate("far", Distance.OTHER_REGION)


def test_a_call_stays_near_while_it_is_in_time_there():
    """Guards against traffic between regions that no caller gains from."""
    slow = candidate("slow", Distance.SAME_ZONE, running=18, service_ms=260.0)
    assert placed(NEAR, FAR) == "near"
    assert (
        placed(slow, candidate("far", Distance.OTHER_REGION, service_ms=110)) == "slow"
    )


def test_a_call_does_not_leave_its_zone_to_gain_time_that_no_caller_needs():
    """Guards against traffic between zones while every call is well in time."""
    busy = candidate("near", Distance.SAME_ZONE, running=17, service_ms=300.0)
    idle = candidate("other", Distance.SAME_REGION, service_ms=60.0)
    assert placed(busy, idle) == "near"


def test_a_call_goes_far_when_it_would_be_late_near():
    """Guards against a zone short of room while another region has some."""
    full = candidate("full", Distance.SAME_ZONE, running=18, waiting=60)
    assert placed(full, FAR) == "far"


def test_a_large_answer_stays_near_for_longer():
    full = candidate("full", Distance.SAME_ZONE, running=18, waiting=40)
    assert placed(full, FAR) == "far"
    assert placed(full, FAR, is_large=True) == "full"


def test_a_far_vm_that_is_known_to_be_too_busy_is_not_asked():
    """Guards against callers that wait for the refusal of another region."""
    full = candidate("full", Distance.OTHER_REGION, running=18, waiting=80)
    near = candidate("near", Distance.SAME_ZONE, running=18, waiting=80)
    assert placed(full) is None
    assert placed(full, near) == "near"
    assert placed(FAR) == "far"


def test_a_call_that_is_late_already_may_use_the_rest_of_its_time():
    busy = candidate("busy", Distance.OTHER_REGION, running=18, waiting=80)
    assert placed(busy, target_ms=-10.0) == "busy"


def test_calls_since_the_newest_report_count():
    """Guards against a stale report that attracts a whole burst."""
    stale = candidate("stale", Distance.SAME_ZONE, unreported=60)
    assert placed(stale, candidate("other", Distance.SAME_REGION)) == "other"


def test_one_that_was_slow_is_tried_again():
    """Guards against a backend server that was slow once and gets no calls again."""
    slow = candidate("slow", Distance.SAME_ZONE, service_ms=3000.0)
    assert placed(slow, NEAR) == "near"
    aged = candidate("slow", Distance.SAME_ZONE, service_ms=300.0, age_seconds=3.0)
    assert placed(aged, NEAR) == "slow"


def test_nothing_is_placed_without_candidates():
    assert placed() is None


def test_a_far_vm_with_a_free_slot_is_asked_although_it_would_be_late():
    """Guards against refusals of calls that a free backend server could still run."""
    slow = candidate("slow", Distance.OTHER_REGION, running=4, service_ms=900.0)
    assert placed(slow, target_ms=600.0) == "slow"
    assert placed(slow, target_ms=-100.0) == "slow"
    slower = candidate("slower", Distance.OTHER_REGION, running=4, service_ms=1300.0)
    assert placed(slower) is None
