"""Decides the traffic share of a new version, and whether it is rolled back.

The module does no I/O: decisions depend on the time since the order and the counts.

How each failure mode is handled:

* The version fails or is slow from the start, or later: it gets a small share of the
  calls, and is rolled back as soon as its counts differ from those of the old version.
* It is bad on one route only: routes are also compared one by one.
* It is bad under load only: before all calls shift, one of its backend servers briefly
  gets as many calls as it can run.
* Its backend servers are still cold: their calls do not count until they are warm.
* Both versions are affected alike: the new one is compared with the old one over the
  same period.
"""

import enum
from collections.abc import Mapping

import attrs

from lacewingstair.staged_rollouts.evidence import RouteCounts

# Share of all calls during an order that a bad version may get.
ALLOWED_SHARE = 0.1
# Shares in the trial and in the load trial, as multiples of the allowed share: the
# trial takes most of the time, while the load trial is short.
TRIAL_SHARE_FACTOR = 0.4
LOAD_TRIAL_SHARE_FACTOR = 3.0
LOAD_TRIAL_SECONDS = 2.0
# Fractions of the duration of the order.
LOAD_TRIAL_START_FRACTION = 0.45
LATEST_SHIFT_FRACTION = 0.7
# All calls of the old version have ended after this time, so that it may stop.
OLD_VERSION_DRAIN_SECONDS = 2.0
MIN_TRIAL_CALLS = 25
# A version is bad if at least this many calls failed and the failure ratio exceeds that
# of the old version by at least this much.
MIN_BAD_CALLS = 4
MIN_BAD_RATIO_INCREASE = 0.08
# A call is slow if it takes more than 1.5 ** 3 = 3.4 times the old version's median.
SLOW_BUCKETS = 3
MIN_SLOW_CALLS = 6
MIN_SLOW_RATIO_INCREASE = 0.2


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


@attrs.frozen
class Verdict:
    """Result of a comparison: why a version is bad, empty if it is not."""

    reason: str = ""

    @property
    def is_bad(self) -> bool:
        """Whether the version is to be rolled back."""
        return bool(self.reason)


GOOD = Verdict()


def compare_versions(
    new_by_route: Mapping[str, RouteCounts], old_by_route: Mapping[str, RouteCounts]
) -> Verdict:
    """Compare the calls of both versions, over all routes and route by route."""
    verdict = _compare_counts("all routes", _sum(new_by_route), _sum(old_by_route))
    if verdict.is_bad:
        return verdict
    for route, new in new_by_route.items():
        verdict = _compare_counts(route, new, old_by_route.get(route, RouteCounts()))
        if verdict.is_bad:
            return verdict
    return GOOD


def new_version_share(stage: Stage, allowed_share: float = ALLOWED_SHARE) -> float:
    """Return the share of the calls that the new version gets."""
    match stage:
        case Stage.TRIAL:
            return TRIAL_SHARE_FACTOR * allowed_share
        case Stage.LOAD_TRIAL:
            return min(1.0, LOAD_TRIAL_SHARE_FACTOR * allowed_share)
        case Stage.SHIFTED | Stage.COMPLETED:
            return 1.0
    return 0.0


def next_stage(
    order: Order, stage: Stage, elapsed_seconds: float, stage_seconds: float, calls: int
) -> Stage:
    """Return the next or current stage of a version that is not bad so far.

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
    """
    elapsed_fraction = elapsed_seconds / order.duration_seconds
    match stage:
        case Stage.TRIAL:
            has_enough_calls = calls >= MIN_TRIAL_CALLS
            if (
                elapsed_fraction
                >= LATEST_SHIFT_FRACTION - LOAD_TRIAL_SECONDS / order.duration_seconds
            ):
                has_enough_calls = calls > 0
            if elapsed_fraction >= LOAD_TRIAL_START_FRACTION and has_enough_calls:
                return Stage.LOAD_TRIAL
        case Stage.LOAD_TRIAL:
            if stage_seconds >= LOAD_TRIAL_SECONDS:
                return Stage.SHIFTED
        case Stage.SHIFTED:
            if stage_seconds >= OLD_VERSION_DRAIN_SECONDS:
                return Stage.COMPLETED
    return stage


def _sum(counts_by_route: Mapping[str, RouteCounts]) -> RouteCounts:
    total = RouteCounts()
    for counts in counts_by_route.values():
        total.add(counts)
    return total


def _compare_counts(name: str, new: RouteCounts, old: RouteCounts) -> Verdict:
    if new.bad >= MIN_BAD_CALLS:
        new_ratio = new.bad / new.calls
        old_ratio = old.bad / old.calls if old.calls else 0.0
        if new_ratio - old_ratio >= MIN_BAD_RATIO_INCREASE:
            return Verdict(
                f"{name}: {new.bad} of {new.calls} calls failed,"
                f" {old.bad} of {old.calls} on the old version"
            )
    if not old.calls_by_bucket or not new.calls_by_bucket:
        return GOOD
    limit = old.median_bucket() + SLOW_BUCKETS
    slow = new.calls_above(limit)
    answered, old_answered = (
        sum(new.calls_by_bucket.values()),
        sum(old.calls_by_bucket.values()),
    )
    excess = slow / answered - old.calls_above(limit) / old_answered
    if slow >= MIN_SLOW_CALLS and excess >= MIN_SLOW_RATIO_INCREASE:
        return Verdict(f"{name}: {slow} of {answered} answers were slow")
    return GOOD
