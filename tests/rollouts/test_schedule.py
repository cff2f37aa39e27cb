from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.rollouts import schedule
from lacewingstair.tickets.parsing import Rollout

windows = st.floats(1.0, 1e6)


def rollout(window, **changes):
    return Rollout("board", "v1", "v2", 1000.0, 1000.0 + window, **changes)


@given(windows, st.floats(0.001, 0.02))
def test_a_version_that_no_evidence_speaks_for_or_against_is_moved_in_time(
    window, tick
):
    move = rollout(window)
    stage, entered, now = 0, move.start, move.start
    while now < move.start + 0.9 * window:
        if schedule.next_promotion(move, stage, entered, now) is schedule.Promotion.NOW:
            stage, entered = stage + 1, now
        now += tick * window
    assert stage == schedule.FINAL_STAGE
    assert schedule.new_version_share(move, stage, entered, move.end_by) == 1.0


@given(windows, st.integers(0, 4), st.floats(-0.5, 2.0), st.floats(0.0, 1.0))
def test_the_share_stays_in_bounds_and_never_falls_within_a_stage(
    window, stage, part, trial_share
):
    move = rollout(window, trial_share=trial_share)
    entered = move.start
    now = move.start + part * window
    share = schedule.new_version_share(move, stage, entered, now)
    later = schedule.new_version_share(move, stage, entered, now + 0.1 * window)
    assert 0.0 <= share <= later <= 1.0
    assert (share == 0.0) or now >= move.start


@given(windows, st.floats(0.001, 0.01))
def test_a_version_that_is_suspicious_all_the_time_is_still_moved_in_time(window, tick):
    move = rollout(window)
    stage, entered, now = 0, move.start, move.start
    while now < move.start + window:
        is_due = (
            schedule.next_promotion(move, stage, entered, now) is schedule.Promotion.NOW
        )
        if is_due and not schedule.is_held(move, stage, now):
            stage, entered = stage + 1, now
        now += tick * window
    assert stage == schedule.FINAL_STAGE


def test_no_stage_is_entered_before_its_time_or_the_moment_after_the_last():
    move = rollout(100.0)
    late = move.start + 95.0
    assert (
        schedule.next_promotion(move, 0, move.start, 1019.9)
        is schedule.Promotion.NOT_YET
    )
    assert (
        schedule.next_promotion(move, 0, move.start, 1020.0)
        is schedule.Promotion.IF_CLEARED
    )
    # Endpoints that came late climb through every stage.
    assert (
        schedule.next_promotion(move, 0, late, late + 1.0) is schedule.Promotion.NOT_YET
    )
    assert schedule.next_promotion(move, 0, late, late + 4.0) is schedule.Promotion.NOW
    assert schedule.next_promotion(move, 4, late, 1e9) is schedule.Promotion.NOT_YET


def test_old_calls_remain_for_comparison_and_all_have_moved_before_the_set_time():
    """Guards against VMs with late clocks that send old calls after the set time."""
    move = rollout(100.0)
    assert schedule.new_version_share(move, 4, 1080.0, 1096.9) < 1.0
    assert schedule.new_version_share(move, 4, 1080.0, 1097.0) == 1.0
