"""Load patterns that the placement handles."""

import random

import attrs
from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.caller.selection.placement import (
    Candidate,
    Distance,
    choose_candidate,
)
from lacewingstair.vm.call_messages import LoadReport


def candidate(vm_id, distance, running=0, waiting=0, service_ms=150.0, **values):
    load = LoadReport(running, waiting, 18, service_ms, waiting * service_ms / 18, True)
    return Candidate(vm_id, distance, load, **values)


def chosen_vm_id(*candidates, target_ms=600.0, body_kib=2.0, seed=1, **options):
    rng = random.Random(seed)
    nearest_first = sorted(candidates, key=lambda found: found.distance)
    found = choose_candidate(nearest_first, target_ms, 1200.0, body_kib, rng, **options)
    return None if found is None else found.vm_id


SAME_ZONE_VM = candidate("near", Distance.SAME_ZONE, running=10)
OTHER_REGION_VM = candidate("far", Distance.OTHER_REGION)


def test_a_call_stays_in_its_zone_while_it_meets_its_target_there():
    """Guards against traffic between regions that benefits no caller."""
    slow = candidate("slow", Distance.SAME_ZONE, running=18, service_ms=260.0)
    assert chosen_vm_id(SAME_ZONE_VM, OTHER_REGION_VM) == "near"
    assert (
        chosen_vm_id(slow, candidate("far", Distance.OTHER_REGION, service_ms=110))
        == "slow"
    )


def test_a_call_does_not_leave_its_zone_for_time_within_its_target():
    """Guards against traffic between zones while all calls are well within target."""
    busy = candidate("near", Distance.SAME_ZONE, running=17, service_ms=300.0)
    idle = candidate("other", Distance.SAME_REGION, service_ms=60.0)
    assert chosen_vm_id(busy, idle) == "near"


def test_a_call_goes_to_another_region_when_it_would_be_late_in_its_zone():
    """Guards against an overloaded zone while another region has free capacity."""
    full = candidate("full", Distance.SAME_ZONE, running=18, waiting=60)
    assert chosen_vm_id(full, OTHER_REGION_VM) == "far"


def with_link_wait(found, ms):
    load = attrs.evolve(found.load, link_wait_ms=ms)
    return attrs.evolve(found, load=load)


def test_a_call_avoids_a_vm_whose_link_is_full_of_uploads():
    """Guards against calls that wait behind uploads before an idle backend server."""
    idle = candidate("near", Distance.SAME_ZONE, running=2)
    other = candidate("other", Distance.SAME_REGION, running=8)
    assert chosen_vm_id(idle, other) == "near"
    assert chosen_vm_id(with_link_wait(idle, 900.0), other) == "other"
    stale = attrs.evolve(with_link_wait(idle, 900.0), age_seconds=5.0)
    assert chosen_vm_id(stale, other) == "near"


def test_an_upload_prefers_a_wide_link():
    narrow = candidate("narrow", Distance.SAME_ZONE, running=2, transfer_ms=600.0)
    wide = candidate("wide", Distance.SAME_ZONE, running=8, transfer_ms=30.0)
    assert chosen_vm_id(narrow, wide, body_kib=360.0) == "wide"


def test_a_call_with_a_large_response_stays_in_its_zone_for_longer():
    full = candidate("full", Distance.SAME_ZONE, running=18, waiting=40)
    assert chosen_vm_id(full, OTHER_REGION_VM) == "far"
    assert chosen_vm_id(full, OTHER_REGION_VM, body_kib=90.0) == "full"


def test_the_penalty_of_distance_grows_with_the_bodies():
    """Guards against uploads that fill links between regions for a small gain."""
    slow = candidate("slow", Distance.SAME_ZONE, running=18, service_ms=400.0)
    far = candidate("far", Distance.OTHER_REGION, service_ms=110.0)
    assert chosen_vm_id(slow, far, target_ms=500.0) == "far"
    assert chosen_vm_id(slow, far, target_ms=500.0, body_kib=60.0) == "slow"
    # A call that no VM of its region can serve in time still leaves.
    full = candidate("full", Distance.SAME_ZONE, running=18, waiting=400)
    assert chosen_vm_id(full, far, target_ms=500.0, body_kib=60.0) == "far"


def test_an_overloaded_vm_of_another_region_is_skipped():
    """Guards against callers that wait for a refusal from another region."""
    full = candidate("full", Distance.OTHER_REGION, running=18, waiting=80)
    near = candidate("near", Distance.SAME_ZONE, running=18, waiting=80)
    assert chosen_vm_id(full) is None
    assert chosen_vm_id(full, near) == "near"
    assert chosen_vm_id(OTHER_REGION_VM) == "far"


def test_a_late_call_may_use_the_time_until_its_deadline():
    busy = candidate("busy", Distance.OTHER_REGION, running=18, waiting=80)
    assert chosen_vm_id(busy, target_ms=-10.0) == "busy"


def test_calls_sent_since_the_newest_load_report_are_counted():
    """Guards against a stale load report that attracts a whole burst."""
    stale = candidate("stale", Distance.SAME_ZONE, unreported=60)
    assert chosen_vm_id(stale, candidate("other", Distance.SAME_REGION)) == "other"


def test_a_slow_vm_is_tried_again():
    """Guards against a backend server that never gets calls again after being slow."""
    slow = candidate("slow", Distance.SAME_ZONE, service_ms=3000.0)
    assert chosen_vm_id(slow, SAME_ZONE_VM) == "near"
    aged = candidate("slow", Distance.SAME_ZONE, service_ms=300.0, age_seconds=3.0)
    assert chosen_vm_id(aged, SAME_ZONE_VM) == "slow"


def test_no_vm_is_chosen_without_candidates():
    assert chosen_vm_id() is None


def test_a_vm_of_another_region_with_a_free_slot_is_used_even_if_late():
    """Guards against refusals of calls that an idle backend server could still run."""
    slow = candidate("slow", Distance.OTHER_REGION, running=4, service_ms=900.0)
    assert chosen_vm_id(slow, target_ms=600.0) == "slow"
    assert chosen_vm_id(slow, target_ms=-100.0) == "slow"
    slower = candidate("slower", Distance.OTHER_REGION, running=4, service_ms=1300.0)
    assert chosen_vm_id(slower) is None


def test_far_vms_are_not_looked_at_while_a_near_one_serves_well():
    """Guards against calls that cost more processor time in a larger fleet."""

    def nearest_first():
        yield candidate("near", Distance.SAME_ZONE, running=2)
        yield candidate("other", Distance.SAME_REGION)
        raise AssertionError("a VM behind it was asked for")

    found = choose_candidate(nearest_first(), 600.0, 1200.0, 2.0, random.Random(1))
    assert found.vm_id == "near"


@given(
    loads=st.lists(
        st.tuples(
            st.sampled_from(list(Distance)),
            st.integers(0, 60),
            st.floats(1.0, 3000.0),
        ),
        max_size=12,
    ),
    target_ms=st.floats(-100.0, 3000.0),
    body_kib=st.floats(0.0, 100.0),
)
def test_the_choice_is_the_same_as_among_all(loads, target_ms, body_kib):
    """Guards against a far VM with room that is passed over for a full near one."""
    candidates = sorted(
        (
            candidate(str(number), distance, running=min(running, 18), service_ms=ms)
            for number, (distance, running, ms) in enumerate(loads)
        ),
        key=lambda found: found.distance,
    )

    class NoTies:
        def random(self):
            return 0.0

    chosen = choose_candidate(candidates, target_ms, 4000.0, body_kib, NoTies())
    each = [
        found
        for found in candidates
        if choose_candidate([found], target_ms, 4000.0, body_kib, NoTies())
    ]
    assert (chosen is None) == (not each)
    for other in each:
        pair = sorted([chosen, other], key=lambda found: found.distance)
        best = choose_candidate(pair, target_ms, 4000.0, body_kib, NoTies())
        assert best is chosen


def test_a_nested_call_is_not_kept_from_a_gate_that_puts_it_ahead():
    """Guards against parents that fail since all gates have long queues.

    A nested call that its zone has refused has only a VM of another zone left. With
    the queue of first calls there, it would not be in time; ahead of them, it is.
    """
    full = candidate("full", Distance.SAME_REGION, running=18, waiting=100)
    assert chosen_vm_id(full, target_ms=500.0) is None
    assert chosen_vm_id(full, target_ms=500.0, goes_ahead=True) == "full"
