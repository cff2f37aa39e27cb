"""Decides the traffic share of a new version, and whether it is rolled back.

The module does no I/O: decisions depend on the time since the order and the counts.

How each failure mode is handled:

* The version fails or is slow from the start, or later: it gets a small share of the
  calls, and is rolled back as soon as its counts differ from those of the old version.
* It is bad for few of its calls only: while its counts make it suspicious, it keeps the
  small share until they decide, or until no time remains.
* It is bad on one route only: routes are also compared one by one.
* It is bad under load only: before all calls shift, one of its backend servers briefly
  gets as many calls as it can run.
* Its backend servers are still cold: their calls do not count until they are warm.
* Both versions are affected alike: the new one is compared with the old one over the
  same period.
"""

import enum

import attrs

from lacewingstair.staged_rollouts.comparison import Verdict

# Shares in the trial, as multiples of the allowed share. The later part of the trial
# uses more: it also finds versions that turn bad late, and fewer calls are spent while
# faults of both versions hide a bad one. What is left of the allowance is for the load
# trial and for the calls that a version gets after the shift until it is found bad.
EARLY_TRIAL_SHARE_FACTOR = 0.4
LATE_TRIAL_SHARE_FACTOR = 1.6
LATE_TRIAL_START_FRACTION = 0.4
MAX_TRIAL_SHARE = 0.5
# Share of the calls in the load trial, as a multiple of the allowed share.
LOAD_TRIAL_SHARE_FACTOR = 3.0
LOAD_TRIAL_SECONDS = 1.5
# Fractions of the duration of the order. A late start leaves a version that turns bad
# late less time with all calls.
LOAD_TRIAL_START_FRACTION = 0.62
LATEST_SHIFT_FRACTION = 0.74
# All calls of the old version have ended after this time, so that it may stop.
OLD_VERSION_DRAIN_SECONDS = 2.0
MIN_TRIAL_CALLS = 25


class Stage(enum.IntEnum):
    """Progress of a rollout; a higher stage supersedes a lower one."""

    TRIAL = 1
    LOAD_TRIAL = 2
    SHIFTED = 3
    COMPLETED = 4
    ROLLED_BACK = 5

    @property
    def is_final(self) -> bool:
        """Whether no other stage follows."""
        return self in (Stage.COMPLETED, Stage.ROLLED_BACK)


@attrs.frozen
class TrialAllowance:
    """Calls of a service that a bad version may get during an order.

    Parameters
    ----------
    share : float
        Share of all calls.
    extra_calls : float
        Calls beyond that share.
    """

    share: float = 0.1
    extra_calls: float = 0.0

    def trial_share(self, elapsed_fraction: float, expected_calls: float) -> float:
        """Return the share of the calls that the new version gets in its trial.

        Parameters
        ----------
        elapsed_fraction : float
            Time since the order, as a part of its duration.
        expected_calls : float
            Calls of both versions during the order; 0 if nothing is known of them.
        """
        is_late = elapsed_fraction >= LATE_TRIAL_START_FRACTION
        factor = LATE_TRIAL_SHARE_FACTOR if is_late else EARLY_TRIAL_SHARE_FACTOR
        extra_share = self.extra_calls / expected_calls if expected_calls else 0.0
        return min(factor * (self.share + extra_share), MAX_TRIAL_SHARE)

    @property
    def load_trial_share(self) -> float:
        """Share of the calls that one backend server gets in the load trial."""
        return min(1.0, LOAD_TRIAL_SHARE_FACTOR * self.share)


@attrs.frozen
class Order:
    """Order to roll out a version of a service.

    Parameters
    ----------
    service, target_version : str
        Service, and the version to roll out.
    duration_seconds : float
        Time within which the rollout has to be completed.
    offset : int
        Offset of the order in the operators' log; a higher one is a later order.
    """

    service: str
    target_version: str
    duration_seconds: float
    offset: int


def new_version_share(
    stage: Stage,
    stage_seconds: float,
    elapsed_fraction: float,
    allowance: TrialAllowance,
    expected_calls: float = 0.0,
) -> float:
    """Return the share of the calls that the new version gets.

    Parameters
    ----------
    stage : Stage
        Current stage.
    stage_seconds : float
        Time since it was entered.
    elapsed_fraction : float
        Time since the order, as a part of its duration.
    allowance : TrialAllowance
        Calls that a bad version may get.
    expected_calls : float
        Calls of both versions during the order; 0 if nothing is known of them.
    """
    match stage:
        case Stage.TRIAL | Stage.LOAD_TRIAL:
            if is_concentrated(stage, stage_seconds):
                return allowance.load_trial_share
            return allowance.trial_share(elapsed_fraction, expected_calls)
        case Stage.SHIFTED | Stage.COMPLETED:
            return 1.0
    return 0.0


def is_concentrated(stage: Stage, stage_seconds: float) -> bool:
    """Return whether one backend server gets all calls of the new version."""
    return stage is Stage.LOAD_TRIAL and stage_seconds < LOAD_TRIAL_SECONDS


def next_stage(
    order: Order,
    stage: Stage,
    elapsed_seconds: float,
    stage_seconds: float,
    calls: int,
    verdict: Verdict,
) -> Stage:
    """Return the next or current stage of a rollout.

    A version that is suspicious stays at a small share of the calls, so that further
    calls decide, until the last moment at which its rollout can still be completed.

    Parameters
    ----------
    order : Order
        Order of the rollout.
    stage : Stage
        Current stage.
    elapsed_seconds : float
        Time since the order.
    stage_seconds : float
        Time since the current stage was entered.
    calls : int
        Number of calls of the new version that have been counted.
    verdict : Verdict
        Comparison of the new version with the old one.
    """
    if stage.is_final:
        return stage
    if verdict.is_bad:
        return Stage.ROLLED_BACK
    latest_shift = LATEST_SHIFT_FRACTION * order.duration_seconds
    match stage:
        case Stage.TRIAL:
            if elapsed_seconds < LOAD_TRIAL_START_FRACTION * order.duration_seconds:
                return stage
            has_time = elapsed_seconds < latest_shift - LOAD_TRIAL_SECONDS
            if has_time and (calls < MIN_TRIAL_CALLS or verdict.is_suspicious):
                return stage
            if verdict.is_suspicious:
                return Stage.ROLLED_BACK
            return Stage.LOAD_TRIAL if calls else stage
        case Stage.LOAD_TRIAL:
            if stage_seconds < LOAD_TRIAL_SECONDS:
                return stage
            if elapsed_seconds < latest_shift and verdict.is_suspicious:
                return stage
            return Stage.ROLLED_BACK if verdict.is_suspicious else Stage.SHIFTED
        case Stage.SHIFTED:
            if stage_seconds >= OLD_VERSION_DRAIN_SECONDS:
                return Stage.COMPLETED
    return stage
