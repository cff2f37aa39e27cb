import attrs
from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.rollouts.evidence import (
    CallCounts,
    EvidenceCounter,
    EvidenceReport,
    Growth,
    zone_source,
)
from lacewingstair.rollouts.marks import RolloutKey

KEY = RolloutKey("move", 1)


def report(source, sequence, calls, failures=0, *, is_zone_total=False, stage=0):
    counter = EvidenceCounter(KEY, "read", "v2", stage, calls, failures, 0, 0)
    return EvidenceReport(source, is_zone_total, sequence, (counter,))


def empty(source, sequence):
    return EvidenceReport(source, False, sequence, ())


def calls(growth):
    return sum(tally.calls for tally in growth.values())


@given(st.lists(st.tuples(st.integers(0, 9), st.booleans()), min_size=1))
def test_lost_and_repeated_reports_of_a_zone_are_made_up_by_the_next(steps):
    growth = Growth()
    source = zone_source("zone-1", "vm-1")
    growth.take(EvidenceReport(source, True, 0, ()))
    total = counted = 0
    for sequence, (more, is_lost) in enumerate([*steps, (0, False)], start=1):
        total += more
        if not is_lost:
            totals = report(source, sequence, total, is_zone_total=True)
            counted += calls(growth.take(totals))
            assert growth.take(totals) == {}
    assert counted == total


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 2)), min_size=1))
def test_calls_of_a_child_are_counted_once_at_most_whatever_parent_it_reports_to(steps):
    parents = (Growth(), Growth())
    total = counted = 0
    for sequence, (more, receiver) in enumerate(steps, start=1):
        total += more
        if receiver < len(parents):
            taken = parents[receiver].take(report("vm-1", sequence, total))
            counted += calls(taken)
    assert counted <= total


def test_consecutive_reports_of_a_child_are_counted_in_full():
    growth = Growth()
    growth.take(empty("vm-1", 0))
    counted = sum(
        calls(growth.take(report("vm-1", sequence, 10 * sequence)))
        for sequence in range(1, 6)
    )
    assert counted == 50


def test_a_child_that_moved_is_counted_from_its_first_report_on():
    # Its earlier calls went up the tree through its first parent.
    first, second = Growth(), Growth()
    first.take(empty("vm-1", 0))
    assert calls(first.take(report("vm-1", 1, 40))) == 40
    assert second.take(report("vm-1", 2, 45)) == {}
    assert calls(second.take(report("vm-1", 3, 50))) == 5
    first.forget("vm-1")
    assert first.take(report("vm-1", 4, 60)) == {}


def test_a_restarted_child_is_not_counted_twice_and_goes_on():
    growth = Growth()
    growth.take(empty("vm-1", 0))
    growth.take(report("vm-1", 1, 40, 4))
    assert growth.take(report("vm-1", 1000, 3)) == {}
    assert calls(growth.take(report("vm-1", 1001, 5))) == 2


def test_late_reports_and_impossible_growth_are_dropped():
    growth = Growth()
    growth.take(report("vm-1", 5, 40))
    assert growth.take(report("vm-1", 4, 90)) == {}
    assert growth.take(report("vm-1", 6, 41, failures=30)) == {}


def test_two_vms_that_both_report_as_root_of_a_zone_count_nothing_twice():
    growth = Growth()

    def totals(vm_id, sequence, count):
        source = zone_source("zone-1", vm_id)
        return report(source, sequence, count, is_zone_total=True)

    growth.take(totals("vm-1", 1, 100))
    assert growth.take(totals("vm-2", 1, 100)) == {}
    assert growth.take(totals("vm-1", 2, 120)) == {}
    assert calls(growth.take(totals("vm-1", 3, 130))) == 10


def test_a_new_stage_of_a_known_child_counts_from_zero():
    growth = Growth()
    growth.take(report("vm-1", 1, 40))
    assert calls(growth.take(report("vm-1", 2, 7, stage=1))) == 7


def test_every_count_of_a_tally_grows_and_adds():
    before, after = CallCounts(1, 2, 3, 4, 5), CallCounts(11, 22, 33, 44, 55)
    grown = after.grown_since(before)
    before.add(grown)
    assert attrs.astuple(grown) == (10, 20, 30, 40, 50)
    assert before == after
