"""Rollouts: the share of each version per route, evidence, stages and take-backs.

Each VM works out its own share from the ticket's schedule and the marks. The root of
each zone moves the zone's stages. Any VM takes a version back. Nobody leads.
"""

import asyncio
import math
import random
from collections import deque
from collections.abc import Callable, Iterable, Sequence

import attrs

from lacewingstair import events, schedule
from lacewingstair.acceptance import MeshState
from lacewingstair.evidence import (
    EvidenceReport,
    EvidenceTransport,
    Growth,
    Place,
    Tally,
    counters,
    zone_of,
    zone_source,
)
from lacewingstair.latency import LatencyReference
from lacewingstair.marks import Marks, RolloutKey, StageMark, TakeBack
from lacewingstair.outcomes import CallOutcome, CallResult
from lacewingstair.runtime import Clock
from lacewingstair.splitting import SmoothSplit
from lacewingstair.store import StateStore
from lacewingstair.tickets import Rollout
from lacewingstair.verdicts import WRONG_TAKE_BACK, Judge

STEP_SECONDS = 0.5
# From this share on a version takes calls for which the other one has no capacity.
PROVEN_SHARE = 0.5
# A step this late means that the VM was paused. It then decides nothing until the
# marks and reports that wait in its connections have been read. The same holds when it
# begins to step, since the ticket may be the first thing that it reads after a pause.
PAUSE_SECONDS = 3.0
SETTLE_SECONDS = 2.0

# A new endpoint's latency and slow failures count for nothing during its cold start.
# Failures faster than this are no effect of a cold start.
COLD_SECONDS = 10.0
COLD_FAILURE_SECONDS = 0.5

# New slots per old slot that a share may use: backend servers in normal operation run
# at less than half of their slots.
CAPACITY_FACTOR = 2.0

# A part of the error rate is shared by the judges of subtrees, one per VM, the rest by
# the judges of all zones together: one for each time that a VM becomes a zone's root.
SUBTREE_PART = 0.3
ROOT_TENURES = 16

# A VM whose own last calls look worse on the new version halves the share, which both
# spares calls and gives the tests old calls to compare with. A lower share hides faults
# that show only under load.
PROBE_SHARE = 0.5
PROBE_NEW_CALLS = 20
PROBE_OLD_CALLS = 100
PROBE_AGE_SECONDS = 10.0
# Fewer recent calls of the old version than this say less than its last ones.
PROBE_MIN_OLD_CALLS = 10
# A probe lasts this long after its cause, so that it does not end with the first few
# old calls that it brings.
PROBE_SECONDS = 10.0


@attrs.frozen
class ProbeRule:
    """When the last calls of this VM look worse on the new version.

    Parameters
    ----------
    min_bad : int
        Fewest bad calls.
    increase, deviations : float
        Increase of the ratio, absolute and in standard deviations of the old ratio.
    """

    min_bad: int
    increase: float
    deviations: float

    def holds(self, new: Sequence[bool], old: Sequence[bool]) -> bool:
        """Return whether the new version's calls look worse."""
        if sum(new) < self.min_bad:
            return False
        expected = (sum(old) + 1) / (len(old) + 2)
        spread = (expected * (1 - expected) / len(new)) ** 0.5
        excess = sum(new) / len(new) - expected
        return excess >= max(self.increase, self.deviations * spread)


FAILURE_PROBE = ProbeRule(3, 0.15, 3.0)
# A third of a good version's calls is above the latency threshold.
SLOWNESS_PROBE = ProbeRule(8, 0.55, 4.0)


@attrs.frozen
class RecentCall:
    """One of the last calls of a version on this VM."""

    at: float
    is_failed: bool
    is_slow: bool


class RouteCounters:
    """What this VM remembers of the last calls on one route of a rollout."""

    def __init__(self, max_latency_ratio: float) -> None:
        self.reference = LatencyReference(max_latency_ratio)
        self._new: deque[RecentCall] = deque(maxlen=PROBE_NEW_CALLS)
        self._old: deque[RecentCall] = deque(maxlen=PROBE_OLD_CALLS)
        self._probes_until = float("-inf")

    def remember(self, is_new: bool, call: RecentCall) -> None:
        """Take one call."""
        (self._new if is_new else self._old).append(call)

    def is_probing(self, now: float) -> bool:
        """Return whether the last calls look worse on the new version, or did so."""
        if self._looks_bad(now):
            self._probes_until = now + PROBE_SECONDS
        return now < self._probes_until

    def _looks_bad(self, now: float) -> bool:
        oldest = now - PROBE_AGE_SECONDS
        new = [call for call in self._new if call.at >= oldest]
        recent = [call for call in self._old if call.at >= oldest]
        old = recent if len(recent) >= PROBE_MIN_OLD_CALLS else self._old
        return FAILURE_PROBE.holds(
            [call.is_failed for call in new], [call.is_failed for call in old]
        ) or SLOWNESS_PROBE.holds(
            [call.is_slow for call in new], [call.is_slow for call in old]
        )


@attrs.define
class RoutePlan:
    """How the calls of one route are split now."""

    key: RolloutKey
    rollout: Rollout
    split: SmoothSplit
    counters: RouteCounters
    share: float = 0.0
    stage: int = 0
    is_taken_back: bool = False
    is_counting: bool = False
    old: Tally = attrs.field(factory=Tally)
    new: Tally = attrs.field(factory=Tally)

    def place(self, route: str, is_new: bool) -> Place:
        """Return what `new` or `old` counts."""
        rollout = self.rollout
        version = rollout.to_version if is_new else rollout.from_version
        return Place(self.key, route, version, self.stage)


@attrs.define
class _Trial:
    """Judges of one rollout on this VM."""

    rollout: Rollout
    routes: tuple[str, ...]
    subtree: Judge
    mesh: Judge

    def judges(self, is_root: bool) -> tuple[Judge, ...]:
        """Return the judges in use; only the root of a zone sees all zones."""
        return (self.mesh, self.subtree) if is_root else (self.subtree,)


class RolloutController:
    """Moves the traffic of rollouts on one VM.

    Parameters
    ----------
    vm_id, availability_zone : str
        This VM.
    store, marks
        Configuration and marks in force.
    clock, rng
        Time and randomness.
    transport : EvidenceTransport
        Carries evidence to the parent and between zones.
    publish_stage, publish_take_back : callable
        Merge a mark and pass it on.
    slots : callable
        Returns the slots of the ready endpoints of a service's version.
    vm_count : callable
        Returns the number of VMs that judge.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        availability_zone: str,
        store: StateStore,
        marks: Marks,
        clock: Clock,
        rng: random.Random,
        transport: EvidenceTransport,
        publish_stage: Callable[[StageMark], None],
        publish_take_back: Callable[[TakeBack], None],
        slots: Callable[[str, str], int],
        vm_count: Callable[[], int],
    ) -> None:
        self._vm_id = vm_id
        self._zone = availability_zone
        self._store = store
        self._marks = marks
        self._clock = clock
        self._rng = rng
        self._transport = transport
        self._publish_stage = publish_stage
        self._publish_take_back = publish_take_back
        self._slots = slots
        self._vm_count = vm_count
        self._plans_by_route: dict[str, RoutePlan] = {}
        self._trials_by_key: dict[RolloutKey, _Trial] = {}
        self._totals_by_place: dict[Place, Tally] = {}
        self._fresh: list[tuple[str, Place, Tally]] = []
        self._growth = Growth()
        self._zone_growth = Growth()
        # Starts above the numbers of an earlier process of the same VM.
        self._sequence = int(clock.wall() * 1000)
        self._last_sent: dict[bool, tuple[object, ...] | None] = {}
        self._last_step: float | None = None
        self._decides_from = 0.0
        self._seen_marks = -1
        self._seen_state: MeshState | None = None
        self._changed = asyncio.Event()
        store.subscribe(self._on_state)
        transport.on_evidence(self._on_evidence)
        transport.on_child_lost(self._growth.forget)
        self._on_state(store.state, store.state)

    # -- Calls

    def choose_version(self, route: str, service: str) -> str:
        """Return the version for one call of a route."""
        if self._marks.version != self._seen_marks:
            self._refresh()
        plan = self._plans_by_route.get(route)
        if plan is None:
            return self._current(service)
        if plan.split.takes(plan.share):
            return plan.rollout.to_version
        return plan.rollout.from_version

    def versions(self, route: str, service: str) -> tuple[str, ...]:
        """Return versions that may serve a call of a route now, best first.

        The new version is not among them while it is on trial, so that calls for which
        the old version has no capacity do not exceed the share of the trial.
        """
        if self._marks.version != self._seen_marks:
            self._refresh()
        plan = self._plans_by_route.get(route)
        if plan is None:
            return (self._current(service),)
        old, new = plan.rollout.from_version, plan.rollout.to_version
        if plan.is_taken_back:
            return (old,)
        if plan.share >= PROVEN_SHARE:
            return (new, old)
        return (old,) if self._slots(service, old) > 0 else (old, new)

    def _current(self, service: str) -> str:
        # The service may have gone with a ticket that came during the call.
        held = self._store.state.services.get(service)
        return "" if held is None else held.current

    def record(self, outcome: CallOutcome) -> None:
        """Take the outcome of one attempt."""
        plan = self._plans_by_route.get(outcome.route)
        if plan is None or not plan.is_counting:
            return
        is_new = outcome.version == plan.rollout.to_version
        if not is_new and outcome.version != plan.rollout.from_version:
            return
        tally = plan.new if is_new else plan.old
        is_cold = outcome.endpoint_age_seconds < COLD_SECONDS
        result = outcome.result
        if result is CallResult.OK:
            is_slow = self._time(plan, outcome, is_new, is_cold, tally)
            tally.calls += 1
            self._remember(plan, is_new, False, is_slow)
        elif result is CallResult.FAILED:
            if is_cold and outcome.latency_seconds > COLD_FAILURE_SECONDS:
                return
            tally.calls += 1
            tally.failures += 1
            self._remember(plan, is_new, True, False)
        elif result is CallResult.NOT_RUN and not is_cold:
            tally.refused += 1

    def _time(
        self,
        plan: RoutePlan,
        outcome: CallOutcome,
        is_new: bool,
        is_cold: bool,
        tally: Tally,
    ) -> bool:
        if is_cold:
            return False
        reference = plan.counters.reference
        if not is_new:
            reference.add(outcome.latency_seconds, self._clock.monotonic())
        if reference.threshold is None:
            return False
        is_slow = outcome.latency_seconds > reference.threshold
        tally.timed += 1
        tally.slow += is_slow
        return is_slow

    def _remember(
        self, plan: RoutePlan, is_new: bool, is_failed: bool, is_slow: bool
    ) -> None:
        call = RecentCall(self._clock.monotonic(), is_failed, is_slow)
        plan.counters.remember(is_new, call)

    # -- Time

    async def run(self) -> None:
        """Step while a rollout is active and wait for the next one otherwise."""
        while True:
            self.step()
            delay = self._seconds_to_next_step()
            await self._sleep_until_changed(delay)

    async def _sleep_until_changed(self, delay: float | None) -> None:
        self._changed.clear()
        tasks = [asyncio.ensure_future(self._changed.wait())]
        if delay is not None:
            tasks.append(asyncio.ensure_future(self._clock.sleep(delay)))
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    def _seconds_to_next_step(self) -> float | None:
        state = self._store.state
        now = self._clock.wall()
        if self._active_keys(now):
            return STEP_SECONDS
        starts = [r.start - now for r in state.rollouts.values() if r.start > now]
        if not starts:
            return None
        # Steps begin before the rollout does, so that a pause is noticed.
        return max(STEP_SECONDS, min(starts) - SETTLE_SECONDS)

    def step(self) -> None:
        """Judge the evidence so far, move stages and send totals."""
        now = self._clock.monotonic()
        wall = self._clock.wall()
        active = self._active_keys(wall)
        # Without a step before there is nothing to notice a pause by.
        elapsed = math.inf if self._last_step is None else now - self._last_step
        if elapsed > PAUSE_SECONDS:
            self._decides_from = now + SETTLE_SECONDS
        self._last_step = now
        for plan in self._plans_by_route.values():
            if plan.is_counting:
                plan.counters.reference.update(now)
        self._refresh()
        self._judge(active, now, min(elapsed, PAUSE_SECONDS))
        if now >= self._decides_from:
            for key in active:
                self._decide(key, wall)
        self._send(active)

    # -- Evidence

    def _on_evidence(self, report: EvidenceReport) -> None:
        if not report.is_zone_total:
            for place, tally in self._growth.take(report).items():
                self._add_total(place, tally)
            return
        zone = zone_of(report)
        if zone == self._zone:
            return
        growth = self._zone_growth.take(report)
        self._fresh.extend(
            (zone, place, tally)
            for place, tally in growth.items()
            if self._is_known(place.key)
        )

    def _add_total(self, place: Place, tally: Tally) -> None:
        if not self._is_known(place.key):
            return
        self._totals_by_place.setdefault(place, Tally()).add(tally)
        self._fresh.append((self._zone, place, tally))

    def _flush(self, route: str, plan: RoutePlan) -> None:
        """Move the counts of this VM to the totals of its subtree."""
        for is_new in (False, True):
            tally = plan.new if is_new else plan.old
            if not tally.is_empty:
                self._add_total(plan.place(route, is_new), tally)
        plan.old, plan.new = Tally(), Tally()

    def _judge(self, active: list[RolloutKey], now: float, elapsed: float) -> None:
        fresh, self._fresh = self._fresh, []
        is_root = self._transport.is_zone_root()
        trials = {key: self._trial(key) for key in active}
        for key, trial in trials.items():
            for judge in trial.judges(is_root):
                for route in trial.routes:
                    judge.start_stage(route, self._phase(key, trial, route))
                judge.pass_time(elapsed)
        for zone, place, tally in fresh:
            trial = trials.get(place.key)
            if trial is None:
                continue
            if zone == self._zone:
                trial.subtree.add(zone, place, tally, now)
            if is_root:
                trial.mesh.add(zone, place, tally, now)
        for trial in trials.values():
            for judge in trial.judges(is_root):
                judge.settle(now)

    def _phase(self, key: RolloutKey, trial: _Trial, route: str) -> int:
        """Return the stage, or one more when a route has moved and is monitored."""
        stage = self._marks.stage(key, self._zone, route)
        is_over = self._clock.wall() >= schedule.whole_from(trial.rollout)
        return stage + (is_over and stage == schedule.FINAL_STAGE)

    def _trial(self, key: RolloutKey) -> _Trial:
        held = self._trials_by_key.get(key)
        if held is not None:
            return held
        rollout = self._store.state.rollouts[key.name]
        routes = routes_of(self._store.state, rollout)
        life = schedule.monitored_until(rollout) - rollout.start
        subtree = SUBTREE_PART * WRONG_TAKE_BACK / max(1, self._vm_count())
        mesh = (1 - SUBTREE_PART) * WRONG_TAKE_BACK / ROOT_TENURES
        trial = _Trial(
            rollout,
            routes,
            Judge(rollout, routes, subtree, life),
            Judge(rollout, routes, mesh, life),
        )
        self._trials_by_key[key] = trial
        return trial

    def _send(self, active: list[RolloutKey]) -> None:
        if not active:
            self._last_sent.clear()
            return
        is_root = self._transport.is_zone_root()
        # Earlier stages change no more; the one before the present is kept for calls
        # that end late.
        stages = {
            (plan.key, route): plan.stage
            for route, plan in self._plans_by_route.items()
        }
        recent = {
            place: tally
            for place, tally in self._totals_by_place.items()
            if place.stage >= stages.get((place.key, place.route), 0) - 1
        }
        held = counters(recent, active)
        if self._last_sent.get(is_root) == held:
            return
        self._last_sent = {is_root: held}
        self._sequence += 1
        source = zone_source(self._zone, self._vm_id) if is_root else self._vm_id
        self._transport.send_evidence(
            EvidenceReport(source, is_root, self._sequence, held)
        )

    # -- Decisions

    def _decide(self, key: RolloutKey, wall: float) -> None:
        trial = self._trial(key)
        is_root = self._transport.is_zone_root()
        verdicts = (judge.verdict() for judge in trial.judges(is_root))
        verdict = next((v for v in verdicts if v is not None), None)
        if verdict is not None:
            mark = TakeBack(key, verdict.reason, verdict.evidence, wall, self._vm_id)
            events.warning(
                "version_taken_back",
                rollout=key.name,
                number=key.number,
                reason=mark.reason,
                evidence=mark.evidence,
            )
            self._publish_take_back(mark)
            return
        if (
            not is_root
            or self._slots(trial.rollout.service, trial.rollout.to_version) <= 0
        ):
            return
        for route in trial.routes:
            self._move(key, trial, route, wall)

    def _move(self, key: RolloutKey, trial: _Trial, route: str, wall: float) -> None:
        held = self._marks.marks_by_place.get((key, self._zone, route))
        if held is None:
            self._publish(StageMark(key, self._zone, route, 0, wall))
            return
        due = schedule.next_step(trial.rollout, held.stage, held.at, wall)
        if due is schedule.Step.NOT_YET:
            return
        if due is schedule.Step.IF_CLEARED and not self._is_cleared(trial, held):
            return
        is_held = schedule.is_held(trial.rollout, held.stage, wall)
        if is_held and trial.mesh.is_suspicious:
            return
        evidence = trial.mesh.figures(route)
        mark = StageMark(key, self._zone, route, held.stage + 1, wall, evidence)
        self._publish(mark)

    def _is_cleared(self, trial: _Trial, held: StageMark) -> bool:
        return any(
            judge.is_cleared(held.route, held.stage)
            for judge in (trial.mesh, trial.subtree)
        )

    def _publish(self, mark: StageMark) -> None:
        events.info(
            "stage_cleared",
            rollout=mark.key.name,
            number=mark.key.number,
            route=mark.route,
            stage=mark.stage,
            evidence=mark.evidence,
        )
        self._publish_stage(mark)

    # -- Plans

    def _on_state(self, _: MeshState, after: MeshState) -> None:
        self._marks.prune(after.number, after.rollout_numbers)
        for held in (self._trials_by_key, self._totals_by_place):
            for entry in list(held):
                if not self._is_known(getattr(entry, "key", entry)):
                    del held[entry]
        self._refresh()
        self._changed.set()

    def _is_known(self, key: RolloutKey) -> bool:
        return self._store.state.rollout_numbers.get(key.name) == key.number

    def _active_keys(self, wall: float) -> list[RolloutKey]:
        state = self._store.state
        return [
            key
            for name, rollout in state.rollouts.items()
            if self._is_active(
                key := RolloutKey(name, state.rollout_numbers[name]), rollout, wall
            )
        ]

    def _is_active(self, key: RolloutKey, rollout: Rollout, wall: float) -> bool:
        if wall < rollout.start or self._marks.is_taken_back(key):
            return False
        if wall < schedule.monitored_until(rollout):
            return True
        return any(
            self._marks.stage(key, self._zone, route) < schedule.FINAL_STAGE
            for route in routes_of(self._store.state, rollout)
        )

    def _refresh(self) -> None:
        """Work out the plan of each route from configuration, marks and time."""
        state = self._store.state
        wall = self._clock.wall()
        self._seen_marks = self._marks.version
        plans: dict[str, RoutePlan] = {}
        for name, rollout in state.rollouts.items():
            key = RolloutKey(name, state.rollout_numbers[name])
            for route in routes_of(state, rollout):
                plans[route] = self._updated_plan(route, key, rollout, wall)
        self._plans_by_route = plans

    def _updated_plan(
        self, route: str, key: RolloutKey, rollout: Rollout, wall: float
    ) -> RoutePlan:
        plan = self._plans_by_route.get(route)
        if plan is None or plan.key != key:
            route_counters = RouteCounters(rollout.max_latency_ratio)
            plan = RoutePlan(key, rollout, SmoothSplit(self._rng), route_counters)
        self._flush(route, plan)
        plan.rollout = rollout
        plan.stage = self._marks.stage(key, self._zone, route)
        plan.is_taken_back = self._marks.is_taken_back(key)
        plan.is_counting = self._is_active(key, rollout, wall)
        plan.share = self._share(route, plan, wall)
        return plan

    def _share(self, route: str, plan: RoutePlan, wall: float) -> float:
        rollout = plan.rollout
        if plan.is_taken_back:
            return 0.0
        new = self._slots(rollout.service, rollout.to_version)
        old = self._slots(rollout.service, rollout.from_version)
        mark = self._marks.marks_by_place.get((plan.key, self._zone, route))
        entered = rollout.start if mark is None else mark.at
        share = schedule.share_at(rollout, plan.stage, entered, wall)
        if old > 0:
            share = min(share, CAPACITY_FACTOR * new / old)
        if plan.is_counting and plan.counters.is_probing(self._clock.monotonic()):
            share = min(share, PROBE_SHARE)
        return share


def routes_of(state: MeshState, rollout: Rollout) -> tuple[str, ...]:
    """Return the names of the routes that a rollout moves, sorted."""
    names: Iterable[str] = (
        name for name, route in state.routes.items() if route.service == rollout.service
    )
    return tuple(sorted(names))
