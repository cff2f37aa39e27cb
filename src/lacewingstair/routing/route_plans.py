"""Traffic split of each route under a rollout, and the counts of its calls."""

import random
from collections.abc import Callable

import attrs

from lacewingstair.rollouts import schedule
from lacewingstair.rollouts.evidence import CallCounts, CounterKey
from lacewingstair.rollouts.evidence_totals import EvidenceTotals
from lacewingstair.rollouts.latency import LatencyReference
from lacewingstair.rollouts.marks import RolloutKey
from lacewingstair.rollouts.probes import PROBE_SHARE, CallHistory, RecentCall
from lacewingstair.rollouts.view import RolloutView, routes_of
from lacewingstair.routing.outcomes import CallOutcome, CallResult
from lacewingstair.routing.splitting import SmoothSplit
from lacewingstair.runtime import Clock
from lacewingstair.tickets.parsing import Rollout

# During the cold start of an endpoint its latencies, rejections and slow failures are
# not counted. Failures within `FAST_FAILURE_SECONDS` are counted, as a cold start does
# not cause them.
COLD_START_SECONDS = 10.0
FAST_FAILURE_SECONDS = 0.5

# The share of the new version is at most this factor times the ratio of its slots to
# those of the old version, as backend servers in normal operation use less than half of
# their slots.
CAPACITY_HEADROOM_FACTOR = 2.0


@attrs.define
class RoutePlan:
    """Current split of the calls of one route, with the counts of their outcomes.

    Parameters
    ----------
    key, rollout
        Rollout that shifts the route.
    split : SmoothSplit
        Selects the calls of the new version.
    reference : LatencyReference
        Latency above which a call is slow.
    history : CallHistory
        Recent calls of both versions.
    share : float
        Share of the calls that the new version gets, 0 to 1.
    stage : int
        Stage that the zone has reached.
    is_rolled_back, is_counting : bool
        Whether the version is rolled back, and whether outcomes are counted.
    old_tally, new_tally : CallCounts
        Counts of the versions that are not yet added to the totals.
    """

    key: RolloutKey
    rollout: Rollout
    split: SmoothSplit
    reference: LatencyReference
    history: CallHistory = attrs.field(factory=CallHistory)
    share: float = 0.0
    stage: int = 0
    is_rolled_back: bool = False
    is_counting: bool = False
    old_tally: CallCounts = attrs.field(factory=CallCounts)
    new_tally: CallCounts = attrs.field(factory=CallCounts)

    def place(self, route: str, is_new: bool) -> CounterKey:
        """Return the place in the evidence to which a version's counts belong."""
        rollout = self.rollout
        version = rollout.to_version if is_new else rollout.from_version
        return CounterKey(self.key, route, version, self.stage)

    def record(self, outcome: CallOutcome, now: float) -> None:
        """Count the outcome of an attempt that ended at `now`, in monotonic seconds."""
        if not self.is_counting:
            return
        is_new = outcome.version == self.rollout.to_version
        if not is_new and outcome.version != self.rollout.from_version:
            return
        tally = self.new_tally if is_new else self.old_tally
        is_cold = outcome.endpoint_age_seconds < COLD_START_SECONDS
        result = outcome.result
        if result is CallResult.OK:
            is_slow = not is_cold and self._record_latency(outcome, is_new, tally, now)
            tally.calls += 1
            self.history.add(is_new, RecentCall(now, False, is_slow))
        elif result is CallResult.FAILED:
            if is_cold and outcome.latency_seconds > FAST_FAILURE_SECONDS:
                return
            tally.calls += 1
            tally.failures += 1
            self.history.add(is_new, RecentCall(now, True, False))
        elif result is CallResult.NOT_RUN and not is_cold:
            tally.refused += 1

    def _record_latency(
        self, outcome: CallOutcome, is_new: bool, tally: CallCounts, now: float
    ) -> bool:
        """Record the latency of a call; return whether the call was slow."""
        if not is_new:
            self.reference.add(outcome.latency_seconds, now)
        if self.reference.threshold is None:
            return False
        is_slow = outcome.latency_seconds > self.reference.threshold
        tally.timed += 1
        tally.slow += is_slow
        return is_slow


class RoutePlans:
    """Computes the plan of each route from configuration, marks and time.

    Parameters
    ----------
    view : RolloutView
        Configuration and marks in force in the zone of this VM.
    totals : EvidenceTotals
        Accumulates the counts of the plans.
    clock, rng
        Sources of time and randomness.
    slots : callable
        Returns the slots of the ready endpoints of a service's version.
    """

    def __init__(
        self,
        view: RolloutView,
        totals: EvidenceTotals,
        clock: Clock,
        rng: random.Random,
        slots: Callable[[str, str], int],
    ) -> None:
        self._view = view
        self._totals = totals
        self._clock = clock
        self._rng = rng
        self._slots = slots
        self._planned_marks_version = -1
        self._plans_by_route: dict[str, RoutePlan] = {}

    def get(self, route: str) -> RoutePlan | None:
        """Return the plan of a route by the current marks, None without a rollout."""
        if self._view.marks_version != self._planned_marks_version:
            self.refresh()
        return self._plans_by_route.get(route)

    def record(self, outcome: CallOutcome) -> None:
        """Count the outcome of an attempt; ignored if its route has no rollout."""
        plan = self._plans_by_route.get(outcome.route)
        if plan is not None:
            plan.record(outcome, self._clock.monotonic())

    def stages(self) -> dict[tuple[RolloutKey, str], int]:
        """Return the current stage by rollout and route."""
        return {
            (plan.key, route): plan.stage
            for route, plan in self._plans_by_route.items()
        }

    def update_references(self, now: float) -> None:
        """Update the reference latencies to `now`, in monotonic seconds."""
        for plan in self._plans_by_route.values():
            if plan.is_counting:
                plan.reference.update(now)

    def refresh(self) -> None:
        """Move the counts to the totals and recompute all plans."""
        wall = self._clock.wall()
        self._planned_marks_version = self._view.marks_version
        self._plans_by_route = {
            route: self._updated_plan(route, key, rollout, wall)
            for key, rollout in self._view.rollouts()
            for route in routes_of(self._view.state, rollout)
        }

    def _updated_plan(
        self, route: str, key: RolloutKey, rollout: Rollout, wall: float
    ) -> RoutePlan:
        plan = self._plans_by_route.get(route)
        if plan is None or plan.key != key:
            reference = LatencyReference(rollout.max_latency_ratio)
            plan = RoutePlan(key, rollout, SmoothSplit(self._rng), reference)
        self._flush_tallies(route, plan)
        plan.rollout = rollout
        plan.stage = self._view.stage(key, route)
        plan.is_rolled_back = self._view.is_rolled_back(key)
        plan.is_counting = self._view.is_active(key, rollout, wall)
        plan.share = self._share(route, plan, wall)
        return plan

    def _flush_tallies(self, route: str, plan: RoutePlan) -> None:
        for is_new in (False, True):
            tally = plan.new_tally if is_new else plan.old_tally
            if not tally.is_empty:
                self._totals.add(plan.place(route, is_new), tally)
        plan.old_tally, plan.new_tally = CallCounts(), CallCounts()

    def _share(self, route: str, plan: RoutePlan, wall: float) -> float:
        rollout = plan.rollout
        if plan.is_rolled_back:
            return 0.0
        new_slots = self._slots(rollout.service, rollout.to_version)
        old_slots = self._slots(rollout.service, rollout.from_version)
        mark = self._view.stage_mark(plan.key, route)
        entered_at = rollout.start if mark is None else mark.at
        share = schedule.new_version_share(rollout, plan.stage, entered_at, wall)
        if old_slots > 0:
            share = min(share, CAPACITY_HEADROOM_FACTOR * new_slots / old_slots)
        if plan.is_counting and plan.history.is_probing(self._clock.monotonic()):
            share = min(share, PROBE_SHARE)
        return share
