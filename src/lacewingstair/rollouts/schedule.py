"""Schedule of a rollout: its stages, and the earliest and latest entry of each."""

import enum

from lacewingstair.tickets.parsing import Rollout

STAGE_SHARES = (0.0, 0.1, 0.25, 0.5, 1.0)
FINAL_STAGE = len(STAGE_SHARES) - 1
EARLIEST_ENTRY_FRACTIONS = (0.0, 0.2, 0.4, 0.6, 0.8)
# With too few calls for clearance, a stage is entered at this fraction of the window,
# so that a version that is not suspicious is fully rolled out before `end_by`.
LATEST_ENTRY_FRACTIONS = (0.0, 0.25, 0.5, 0.7, 0.88)
# A suspicious version is kept from entering a stage at most until this fraction of the
# window, which leaves time for the remaining stages.
MAX_HOLD_FRACTIONS = (0.0, 0.82, 0.86, 0.9, 0.94)
# Minimum duration of a stage as a fraction of the window if endpoints start late.
MIN_STAGE_FRACTION = 0.04
# Share of the old version in the final stage until this fraction of the window; without
# it there is nothing to compare the new version with. The rest of the window covers VMs
# whose clocks are behind, so that all traffic has shifted by `end_by`.
CONTROL_SHARE = 0.1
CONTROL_END_FRACTION = 0.97
# The share ramps up for this fraction of the window, but no longer than this.
MAX_RAMP_SECONDS = 20.0
RAMP_FRACTION = 0.03
MONITORING_FRACTION = 0.1
MIN_MONITORING_SECONDS = 60.0


class Promotion(enum.Enum):
    """Whether the schedule allows promotion to the next stage."""

    NOT_YET = "not yet"
    IF_CLEARED = "if cleared"
    NOW = "now"


def window(rollout: Rollout) -> float:
    """Return the time from start to `end_by` in seconds."""
    return rollout.end_by - rollout.start


def all_calls_from(rollout: Rollout) -> float:
    """Return the time from which the final stage sends all calls to the new version."""
    return rollout.start + CONTROL_END_FRACTION * window(rollout)


def new_version_share(
    rollout: Rollout, stage: int, entered_at: float, now: float
) -> float:
    """Return the new version's share of calls at a time, from 0 to 1.

    The share ramps up from that of the previous stage during the first seconds of a
    stage, so that a fault that shows immediately, or only under load, affects fewer
    calls before its evidence arrives.
    """
    if now < rollout.start:
        return 0.0
    if stage >= FINAL_STAGE and now >= all_calls_from(rollout):
        return 1.0
    share = _share_of_stage(rollout, stage)
    before = _share_of_stage(rollout, stage - 1) if stage > 0 else 0.0
    ramp = min(MAX_RAMP_SECONDS, RAMP_FRACTION * window(rollout))
    ramp_progress = min(1.0, max(0.0, now - entered_at) / ramp)
    return before + (share - before) * ramp_progress


def target_share(rollout: Rollout, stage: int, now: float) -> float:
    """Return the share that a stage ramps up to, from 0 to 1."""
    if stage >= FINAL_STAGE and now >= all_calls_from(rollout):
        return 1.0
    return _share_of_stage(rollout, stage)


def _share_of_stage(rollout: Rollout, stage: int) -> float:
    share = 1.0 - CONTROL_SHARE if stage >= FINAL_STAGE else STAGE_SHARES[stage]
    return max(rollout.trial_share, share)


def earliest_entry(rollout: Rollout, stage: int) -> float:
    """Return the time from which a cleared version may enter a stage."""
    return rollout.start + EARLIEST_ENTRY_FRACTIONS[stage] * window(rollout)


def latest_entry(rollout: Rollout, stage: int) -> float:
    """Return the time from which a stage is entered without clearance."""
    return rollout.start + LATEST_ENTRY_FRACTIONS[stage] * window(rollout)


def promotion_due_at(rollout: Rollout, stage: int, entered_at: float) -> float:
    """Return the time from which the stage after `stage` may be entered."""
    shortest = entered_at + MIN_STAGE_FRACTION * window(rollout)
    return max(earliest_entry(rollout, stage + 1), shortest)


def next_promotion(
    rollout: Rollout, stage: int, entered_at: float, now: float
) -> Promotion:
    """Return whether the stage after `stage`, entered at `entered_at`, is allowed."""
    if stage >= FINAL_STAGE or now < promotion_due_at(rollout, stage, entered_at):
        return Promotion.NOT_YET
    return (
        Promotion.NOW
        if now >= latest_entry(rollout, stage + 1)
        else Promotion.IF_CLEARED
    )


def may_hold(rollout: Rollout, stage: int, now: float) -> bool:
    """Return whether a suspicious version may still be held in a stage at a time."""
    return now < rollout.start + MAX_HOLD_FRACTIONS[stage + 1] * window(rollout)


def monitoring_end(rollout: Rollout) -> float:
    """Return the time at which monitoring ends."""
    return rollout.end_by + max(
        MIN_MONITORING_SECONDS, MONITORING_FRACTION * window(rollout)
    )
