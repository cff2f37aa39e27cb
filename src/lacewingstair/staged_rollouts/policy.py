"""Decides how many calls a new version gets, and when it is good or bad.

No input or output: the decisions depend on the time since the order and the counts.

Load patterns and what answers them:

* A version that fails or is slow from its start, or later: it gets a small share of the
  calls, and is taken back as soon as its counts differ from those of the old version.
* One that is bad on one route only: routes are compared one by one.
* One that is bad under load only: before all calls move, one of its backend servers
  gets as many calls as it can run for a short time.
* A new version whose backend servers are still cold: their calls do not count until
  they are warm.
* Trouble that hits both versions alike: the new one is compared with the old one over
  the same time.
"""

import enum
from collections.abc import Mapping

import attrs

from lacewingstair.staged_rollouts.evidence import RouteCounts

# Share that a bad version may get of all calls in the time of its order.
ALLOWED_SHARE = 0.1
# Shares on trial and in the load trial, as multiples of the allowed share: the trial
# lasts for most of the time, and the load trial is short.
TRIAL_PART = 0.4
LOAD_TRIAL_PART = 3.0
LOAD_TRIAL_SECONDS = 2.0
# Parts of the time that the order gives.
LOAD_TRIAL_AT = 0.45
LATEST_SHIFT_AT = 0.7
# All calls have ended on the old version before it may stop.
SHIFTED_SECONDS = 2.0
LEAST_TRIAL_CALLS = 25
# A version is bad when this many calls failed and their ratio exceeds the old one's by
# this much.
LEAST_BAD_CALLS = 4
LEAST_BAD_EXCESS = 0.08
# A call is slow when it takes over 1.5 ** 3 = 3.4 times the old version's median.
SLOW_CLASSES = 3
LEAST_SLOW_CALLS = 6
LEAST_SLOW_EXCESS = 0.2


class Stage(enum.IntEnum):
    """How far a rollout is; a higher one replaces a lower one."""

    TRIAL = 1
    LOAD_TRIAL = 2
    SHIFTED = 3
    COMPLETED = 4
    ROLLED_BACK = 5

    @property
    def is_final(self) -> bool:
        """Whether nothing follows."""
        return self in (Stage.COMPLETED, Stage.ROLLED_BACK)


@attrs.frozen
class Order:
    """Order to move a service to a version.

    Parameters
    ----------
    service, target_version : str
        What moves, and where.
    duration_seconds : float
        Time in which it has to be done.
    offset : int
        Place of the order in the operators' log; a higher one is a later order.
    """

    service: str
    target_version: str
    duration_seconds: float
    offset: int


@attrs.frozen
class Verdict:
    """Why a version is bad; empty when it is not."""

    reason: str = ""

    @property
    def is_bad(self) -> bool:
        """Whether it is taken back."""
        return bool(self.reason)


GOOD = Verdict()


def judge(
    new_by_route: Mapping[str, RouteCounts], old_by_route: Mapping[str, RouteCounts]
) -> Verdict:
    """Compare the calls of both versions, all together and route by route."""
    verdict = _judge_counts("all routes", _sum(new_by_route), _sum(old_by_route))
    if verdict.is_bad:
        return verdict
    for route, new in new_by_route.items():
        verdict = _judge_counts(route, new, old_by_route.get(route, RouteCounts()))
        if verdict.is_bad:
            return verdict
    return GOOD


def share_of_new(stage: Stage, allowed_share: float = ALLOWED_SHARE) -> float:
    """Return the share of the calls that the new version gets."""
    match stage:
        case Stage.TRIAL:
            return TRIAL_PART * allowed_share
        case Stage.LOAD_TRIAL:
            return min(1.0, LOAD_TRIAL_PART * allowed_share)
        case Stage.SHIFTED | Stage.COMPLETED:
            return 1.0
    return 0.0


def next_stage(
    order: Order, stage: Stage, elapsed_seconds: float, stage_seconds: float, calls: int
) -> Stage:
    """Return the stage of a version that is not bad so far.

    Parameters
    ----------
    order : Order
        What was ordered.
    stage : Stage
        Stage now.
    elapsed_seconds : float
        Time since the order.
    stage_seconds : float
        Time in the present stage.
    calls : int
        Calls that the new version has answered.
    """
    part = elapsed_seconds / order.duration_seconds
    match stage:
        case Stage.TRIAL:
            is_tried = calls >= LEAST_TRIAL_CALLS
            if part >= LATEST_SHIFT_AT - LOAD_TRIAL_SECONDS / order.duration_seconds:
                is_tried = calls > 0
            if part >= LOAD_TRIAL_AT and is_tried:
                return Stage.LOAD_TRIAL
        case Stage.LOAD_TRIAL:
            if stage_seconds >= LOAD_TRIAL_SECONDS:
                return Stage.SHIFTED
        case Stage.SHIFTED:
            if stage_seconds >= SHIFTED_SECONDS:
                return Stage.COMPLETED
    return stage


def _sum(counts_by_route: Mapping[str, RouteCounts]) -> RouteCounts:
    total = RouteCounts()
    for counts in counts_by_route.values():
        total.add(counts)
    return total


def _judge_counts(name: str, new: RouteCounts, old: RouteCounts) -> Verdict:
    if new.bad >= LEAST_BAD_CALLS:
        new_ratio = new.bad / new.calls
        old_ratio = old.bad / old.calls if old.calls else 0.0
        if new_ratio - old_ratio >= LEAST_BAD_EXCESS:
            return Verdict(
                f"{name}: {new.bad} of {new.calls} calls failed,"
                f" {old.bad} of {old.calls} on the old version"
            )
    if not old.calls_by_bucket or not new.calls_by_bucket:
        return GOOD
    limit = old.median_class() + SLOW_CLASSES
    slow = new.slower_than(limit)
    answered, old_answered = (
        sum(new.calls_by_bucket.values()),
        sum(old.calls_by_bucket.values()),
    )
    excess = slow / answered - old.slower_than(limit) / old_answered
    if slow >= LEAST_SLOW_CALLS and excess >= LEAST_SLOW_EXCESS:
        return Verdict(f"{name}: {slow} of {answered} answers were slow")
    return GOOD
