from lacewingstair.staged_rollouts.marks import (
    MAX_FINAL_MARKS,
    FinalMarks,
    RolloutMark,
)
from lacewingstair.staged_rollouts.policy import Stage


def mark(stage, version="v2", offset=7, is_reported=False):
    return RolloutMark("board", offset, stage, 9.0, is_reported, version)


def test_a_reported_end_supersedes_one_that_was_not_reported():
    """Guards against blocking a version that was completed, in either order."""
    reported = mark(Stage.COMPLETED, is_reported=True)
    guessed = mark(Stage.ROLLED_BACK)
    for first, second in ((reported, guessed), (guessed, reported)):
        marks = FinalMarks()
        marks.add(first)
        marks.add(second)
        assert not marks.is_rolled_back("board", "v2")


def test_the_end_of_a_later_order_supersedes_that_of_an_earlier_one():
    marks = FinalMarks()
    marks.add(mark(Stage.ROLLED_BACK, offset=9))
    marks.add(mark(Stage.COMPLETED, offset=7, is_reported=True))
    assert marks.is_rolled_back("board", "v2")


def test_a_forgotten_version_is_not_rolled_back():
    marks = FinalMarks()
    marks.add(mark(Stage.ROLLED_BACK))
    marks.forget("board", "v2")
    assert not marks.is_rolled_back("board", "v2")
    assert list(marks) == []


def test_the_number_of_marks_of_a_service_is_bounded():
    marks = FinalMarks()
    for number in range(2 * MAX_FINAL_MARKS):
        marks.add(mark(Stage.ROLLED_BACK, version=f"v{number}", offset=number))
    assert len(list(marks)) == MAX_FINAL_MARKS
