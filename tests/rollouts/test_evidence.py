import attrs
from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.rollouts.evidence import (
    CallCounts,
    CounterDeltaTracker,
    EvidenceCounter,
    EvidenceReport,
    zone_total_source,
)
from lacewingstair.rollouts.marks import RolloutKey

KEY = RolloutKey("move", 1)


def report(source, sequence, calls, failures=0, *, is_zone_total=False, stage=0):
    counter = EvidenceCounter(KEY, "read", "v2", stage, calls, failures, 0, 0)
    return EvidenceReport(source, is_zone_total, sequence, (counter,))


def empty_report(source, sequence):
    return EvidenceReport(source, False, sequence, ())


def calls(deltas):
    return sum(counts.calls for counts in deltas.values())


@given(st.lists(st.tuples(st.integers(0, 9), st.booleans()), min_size=1))
def test_the_next_report_of_a_zone_compensates_lost_and_repeated_ones(steps):
    tracker = CounterDeltaTracker()
    source = zone_total_source("zone-1", "vm-1")
    tracker.observe(EvidenceReport(source, True, 0, ()))
    total = counted = 0
    for sequence, (increment, is_lost) in enumerate([*steps, (0, False)], start=1):
        total += increment
        if not is_lost:
            totals = report(source, sequence, total, is_zone_total=True)
            counted += calls(tracker.observe(totals))
            assert tracker.observe(totals) == {}
    assert counted == total


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 2)), min_size=1))
def test_calls_of_a_child_are_counted_once_at_most_whatever_parent_it_reports_to(steps):
    parents = (CounterDeltaTracker(), CounterDeltaTracker())
    total = counted = 0
    for sequence, (increment, receiver) in enumerate(steps, start=1):
        total += increment
        if receiver < len(parents):
            deltas = parents[receiver].observe(report("vm-1", sequence, total))
            counted += calls(deltas)
    assert counted <= total


def test_consecutive_reports_of_a_child_are_counted_in_full():
    tracker = CounterDeltaTracker()
    tracker.observe(empty_report("vm-1", 0))
    counted = sum(
        calls(tracker.observe(report("vm-1", sequence, 10 * sequence)))
        for sequence in range(1, 6)
    )
    assert counted == 50


def test_a_child_that_moved_is_counted_from_its_first_report_on():
    # Its earlier calls are already in the totals of its first parent.
    first, second = CounterDeltaTracker(), CounterDeltaTracker()
    first.observe(empty_report("vm-1", 0))
    assert calls(first.observe(report("vm-1", 1, 40))) == 40
    assert second.observe(report("vm-1", 2, 45)) == {}
    assert calls(second.observe(report("vm-1", 3, 50))) == 5
    first.forget("vm-1")
    assert first.observe(report("vm-1", 4, 60)) == {}


def test_a_restarted_child_is_not_counted_twice_and_goes_on():
    tracker = CounterDeltaTracker()
    tracker.observe(empty_report("vm-1", 0))
    tracker.observe(report("vm-1", 1, 40, 4))
    assert tracker.observe(report("vm-1", 1000, 3)) == {}
    assert calls(tracker.observe(report("vm-1", 1001, 5))) == 2


def test_late_reports_and_invalid_increments_are_dropped():
    tracker = CounterDeltaTracker()
    tracker.observe(report("vm-1", 5, 40))
    assert tracker.observe(report("vm-1", 4, 90)) == {}
    assert tracker.observe(report("vm-1", 6, 41, failures=30)) == {}


def test_two_vms_that_both_report_as_root_of_a_zone_count_nothing_twice():
    tracker = CounterDeltaTracker()

    def totals(vm_id, sequence, count):
        source = zone_total_source("zone-1", vm_id)
        return report(source, sequence, count, is_zone_total=True)

    tracker.observe(totals("vm-1", 1, 100))
    assert tracker.observe(totals("vm-2", 1, 100)) == {}
    assert tracker.observe(totals("vm-1", 2, 120)) == {}
    assert calls(tracker.observe(totals("vm-1", 3, 130))) == 10


def test_a_new_stage_of_a_known_child_counts_from_zero():
    tracker = CounterDeltaTracker()
    tracker.observe(report("vm-1", 1, 40))
    assert calls(tracker.observe(report("vm-1", 2, 7, stage=1))) == 7


def test_every_count_is_subtracted_and_added():
    before, after = CallCounts(1, 2, 3, 4, 5), CallCounts(11, 22, 33, 44, 55)
    increments = after.delta_since(before)
    before.add(increments)
    assert attrs.astuple(increments) == (10, 20, 30, 40, 50)
    assert before == after
