import random

from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.rollouts.marks import Marks, RollbackMark, RolloutKey, StageMark

keys = st.builds(RolloutKey, st.sampled_from(["move", "other"]), st.integers(1, 4))
times = st.sampled_from([0.0, 10.0, 20.0])
stage_marks = st.builds(
    StageMark,
    keys,
    st.sampled_from(["zone-1", "zone-2"]),
    st.just("read"),
    st.integers(0, 4),
    times,
    st.sampled_from(["", "figures"]),
)
rollback_marks = st.builds(
    RollbackMark,
    keys,
    st.sampled_from(["fails", "slow"]),
    st.sampled_from(["", "figures"]),
    times,
    st.sampled_from(["vm-1", "vm-2"]),
)
mark_lists = st.lists(st.one_of(stage_marks, rollback_marks), max_size=12)
KEY = RolloutKey("move", 1)


def merge(marks, mark):
    if isinstance(mark, StageMark):
        return marks.merge_stage(mark)
    return marks.merge_rollback(mark)


def merged(marks_in_order):
    marks = Marks()
    for mark in marks_in_order:
        merge(marks, mark)
    return marks


def content(marks):
    return marks.stage_marks_by_scope, marks.rollbacks_by_key


@given(mark_lists, st.randoms(use_true_random=False))
def test_marks_merge_in_any_order_and_any_number_of_times(marks, rng):
    repeated = marks + marks
    rng.shuffle(repeated)
    one, other = merged(marks), merged(repeated)
    assert content(one) == content(other)
    assert one.digest() == other.digest()


@given(mark_lists, mark_lists, mark_lists)
def test_merging_the_marks_of_vms_is_associative(first, second, third):
    def join(one, other):
        return [
            *one.stage_marks_by_scope.values(),
            *one.rollbacks_by_key.values(),
            *other.stage_marks_by_scope.values(),
            *other.rollbacks_by_key.values(),
        ]

    a, b, c = merged(first), merged(second), merged(third)
    left = merged(join(merged(join(a, b)), c))
    right = merged(join(a, merged(join(b, c))))
    assert content(left) == content(right)


@given(mark_lists, st.integers(0, 12))
def test_vms_with_the_same_configuration_keep_the_same_marks(marks, position):
    # Guards against digests that differ permanently between VMs that dropped an ended
    # rollout before and after its last marks arrived.
    early, late = merged(marks[:position]), merged(marks)
    early.prune(2, {"move": 2})
    for mark in marks[position:]:
        merge(early, mark)
    late.prune(2, {"move": 2})
    assert content(early) == content(late)
    assert early.digest() == late.digest()


@given(mark_lists)
def test_a_repeated_merge_changes_nothing(marks):
    current = merged(marks)
    version = current.version
    assert not any(merge(current, mark) for mark in marks)
    assert current.version == version


def test_an_older_configuration_does_not_restore_marks():
    marks = Marks()
    marks.prune(5, {"move": 5})
    marks.prune(1, {"move": 1})
    assert not marks.merge_stage(StageMark(KEY, "zone-1", "read", 1, 10.0))


def test_marks_of_a_ticket_not_yet_seen_are_kept():
    marks = Marks()
    marks.prune(1, {"move": 1})
    ahead = RolloutKey("move", 2)
    assert marks.merge_rollback(RollbackMark(ahead, "fails", "", 10.0, "vm-1"))
    marks.prune(2, {"move": 2})
    assert marks.is_rolled_back(ahead)


def test_values_that_would_break_the_order_or_the_report_are_rejected():
    marks = Marks()
    for at in (float("nan"), float("inf"), -1.0, 1e18):
        assert not marks.merge_stage(StageMark(KEY, "zone-1", "read", 1, at))
        assert not marks.merge_rollback(RollbackMark(KEY, "fails", "", at, "vm-1"))
    assert not marks.merge_stage(StageMark(KEY, "zone-1", "read", -1, 10.0))


def test_the_earliest_of_many_rollbacks_is_kept_on_every_vm():
    found = [RollbackMark(KEY, "fails", "", float(n), f"vm-{n}") for n in range(1, 9)]
    for seed in range(20):
        random.Random(seed).shuffle(found)
        assert merged(found).rollbacks_by_key[KEY].by_vm_id == "vm-1"


def test_the_digest_follows_every_change_of_the_marks():
    """Guards against a stale cached digest that hides new marks from peers."""
    marks = Marks()
    key = RolloutKey("move", 1)
    seen = [marks.digest()]
    marks.merge_stage(StageMark(key, "z", "read", 1, 5.0))
    seen.append(marks.digest())
    marks.merge_rollback(RollbackMark(key, "bad", "", 6.0, "vm"))
    seen.append(marks.digest())
    assert len(set(seen)) == 3
    marks.prune(2, {})
    assert marks.digest() == seen[0]
