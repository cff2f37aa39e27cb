"""Schedule of a rollout: its stages and when each may and must be reached."""

import enum

from lacewingstair.tickets.parsing import Rollout

STAGE_SHARES = (0.0, 0.1, 0.25, 0.5, 1.0)
FINAL_STAGE = len(STAGE_SHARES) - 1
EARLIEST_PARTS = (0.0, 0.2, 0.4, 0.6, 0.8)
# A stage without enough calls for a verdict is left at these parts of the window, so
# that a version that is not suspicious is moved before `end_by`.
LATEST_PARTS = (0.0, 0.25, 0.5, 0.7, 0.88)
# A suspicious version stays in a stage at most until these parts of the window, from
# which it can still climb through the stages that are left.
HOLD_PARTS = (0.0, 0.82, 0.86, 0.9, 0.94)
# A stage lasts at least this part of the window when endpoints came late.
SHORTEST_PART = 0.04
# Share of the old version in the final stage until this part of the window; without it
# there is nothing to compare the new version with. The rest of the window covers VMs
# whose clocks are late, so that all traffic has moved by `end_by`.
CONTROL_SHARE = 0.1
CONTROL_PART = 0.97
# The share climbs for this part of the window, at most for this time.
RAMP_SECONDS = 20.0
RAMP_PART = 0.03
MONITORING_PART = 0.1
MONITORING_SECONDS = 60.0


class Promotion(enum.Enum):
    """Whether the schedule allows the next stage."""

    NOT_YET = "not yet"
    IF_CLEARED = "if cleared"
    NOW = "now"


def window(rollout: Rollout) -> float:
    """Return the seconds from start to end."""
    return rollout.end_by - rollout.start


def all_calls_from(rollout: Rollout) -> float:
    """Return the time from which the final stage sends all calls to the new version."""
    return rollout.start + CONTROL_PART * window(rollout)


def new_version_share(
    rollout: Rollout, stage: int, entered: float, now: float
) -> float:
    """Return the new version's share at a time, from 0 to 1.

    The share climbs from the stage before during the first seconds of a stage, so that
    a fault that shows at once, or only under load, meets fewer calls before its
    evidence has arrived.
    """
    if now < rollout.start:
        return 0.0
    if stage >= FINAL_STAGE and now >= all_calls_from(rollout):
        return 1.0
    share = _share_of_stage(rollout, stage)
    before = _share_of_stage(rollout, stage - 1) if stage > 0 else 0.0
    ramp = min(RAMP_SECONDS, RAMP_PART * window(rollout))
    climbed = min(1.0, max(0.0, now - entered) / ramp)
    return before + (share - before) * climbed


def target_share(rollout: Rollout, stage: int, now: float) -> float:
    """Return the share that a stage climbs to, from 0 to 1."""
    if stage >= FINAL_STAGE and now >= all_calls_from(rollout):
        return 1.0
    return _share_of_stage(rollout, stage)


def _share_of_stage(rollout: Rollout, stage: int) -> float:
    share = 1.0 - CONTROL_SHARE if stage >= FINAL_STAGE else STAGE_SHARES[stage]
    return max(rollout.trial_share, share)


def earliest_entry(rollout: Rollout, stage: int) -> float:
    """Return the time from which a cleared version may enter a stage."""
    return rollout.start + EARLIEST_PARTS[stage] * window(rollout)


def latest_entry(rollout: Rollout, stage: int) -> float:
    """Return the time at which a stage is entered without clearance."""
    return rollout.start + LATEST_PARTS[stage] * window(rollout)


def promotion_due_at(rollout: Rollout, stage: int, entered: float) -> float:
    """Return the time from which the stage after `stage` may be entered."""
    shortest = entered + SHORTEST_PART * window(rollout)
    return max(earliest_entry(rollout, stage + 1), shortest)


def next_promotion(
    rollout: Rollout, stage: int, entered: float, now: float
) -> Promotion:
    """Return whether the stage after `stage`, entered at `entered`, is due."""
    if stage >= FINAL_STAGE or now < promotion_due_at(rollout, stage, entered):
        return Promotion.NOT_YET
    return (
        Promotion.NOW
        if now >= latest_entry(rollout, stage + 1)
        else Promotion.IF_CLEARED
    )


def is_held(rollout: Rollout, stage: int, now: float) -> bool:
    """Return whether a suspicious version may be kept in a stage at a time."""
    return now < rollout.start + HOLD_PARTS[stage + 1] * window(rollout)


def monitored_until(rollout: Rollout) -> float:
    """Return the time at which monitoring ends."""
    return rollout.end_by + max(MONITORING_SECONDS, MONITORING_PART * window(rollout))
