from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.rollouts import schedule
from lacewingstair.tickets.parsing import Rollout

windows = st.floats(1.0, 1e6)


def make_rollout(window, **changes):
    return Rollout("board", "v1", "v2", 1000.0, 1000.0 + window, **changes)


@given(windows, st.floats(0.001, 0.02))
def test_a_version_without_evidence_is_fully_rolled_out_in_time(window, step_fraction):
    rollout = make_rollout(window)
    stage, entered_at, now = 0, rollout.start, rollout.start
    while now < rollout.start + 0.9 * window:
        if (
            schedule.next_promotion(rollout, stage, entered_at, now)
            is schedule.Promotion.NOW
        ):
            stage, entered_at = stage + 1, now
        now += step_fraction * window
    assert stage == schedule.FINAL_STAGE
    assert schedule.new_version_share(rollout, stage, entered_at, rollout.end_by) == 1.0


@given(windows, st.integers(0, 4), st.floats(-0.5, 2.0), st.floats(0.0, 1.0))
def test_the_share_stays_in_bounds_and_never_decreases_within_a_stage(
    window, stage, elapsed_fraction, trial_share
):
    rollout = make_rollout(window, trial_share=trial_share)
    entered_at = rollout.start
    now = rollout.start + elapsed_fraction * window
    share = schedule.new_version_share(rollout, stage, entered_at, now)
    later = schedule.new_version_share(rollout, stage, entered_at, now + 0.1 * window)
    assert 0.0 <= share <= later <= 1.0
    assert (share == 0.0) or now >= rollout.start


@given(windows, st.floats(0.001, 0.01))
def test_a_permanently_suspicious_version_is_still_rolled_out_in_time(
    window, step_fraction
):
    rollout = make_rollout(window)
    stage, entered_at, now = 0, rollout.start, rollout.start
    while now < rollout.start + window:
        is_due = (
            schedule.next_promotion(rollout, stage, entered_at, now)
            is schedule.Promotion.NOW
        )
        if is_due and not schedule.may_hold(rollout, stage, now):
            stage, entered_at = stage + 1, now
        now += step_fraction * window
    assert stage == schedule.FINAL_STAGE


def test_no_stage_is_entered_early_or_immediately_after_the_previous_one():
    rollout = make_rollout(100.0)
    late = rollout.start + 95.0
    assert (
        schedule.next_promotion(rollout, 0, rollout.start, 1019.9)
        is schedule.Promotion.NOT_YET
    )
    assert (
        schedule.next_promotion(rollout, 0, rollout.start, 1020.0)
        is schedule.Promotion.IF_CLEARED
    )
    # With endpoints that start late, every stage is still entered in turn.
    assert (
        schedule.next_promotion(rollout, 0, late, late + 1.0)
        is schedule.Promotion.NOT_YET
    )
    assert (
        schedule.next_promotion(rollout, 0, late, late + 4.0) is schedule.Promotion.NOW
    )
    assert schedule.next_promotion(rollout, 4, late, 1e9) is schedule.Promotion.NOT_YET


def test_old_calls_remain_for_comparison_and_all_have_shifted_before_end_by():
    """Guards against VMs with slow clocks that use the old version after `end_by`."""
    rollout = make_rollout(100.0)
    assert schedule.new_version_share(rollout, 4, 1080.0, 1096.9) < 1.0
    assert schedule.new_version_share(rollout, 4, 1080.0, 1097.0) == 1.0
