"""Controller of rollouts on one VM: shares, evidence, stages and take-backs.

Each VM works out its own share from the ticket's schedule and the marks; there is no
leader. The root of each zone moves the zone's stages. Any VM can take a version back.
"""

import asyncio
import math
import random
from collections.abc import Callable

from lacewingstair import events
from lacewingstair.rollouts.evidence import EvidenceTransport
from lacewingstair.rollouts.evidence_totals import EvidenceTotals
from lacewingstair.rollouts.marks import Marks, RolloutKey, StageMark, TakeBack
from lacewingstair.rollouts.trials import Trial, Trials
from lacewingstair.rollouts.verdicts import Verdict
from lacewingstair.rollouts.view import RolloutView
from lacewingstair.routing.outcomes import CallOutcome
from lacewingstair.routing.route_plans import RoutePlans
from lacewingstair.runtime import Clock
from lacewingstair.tickets.acceptance import MeshState
from lacewingstair.tickets.state_store import StateStore

STEP_SECONDS = 0.5
# From this share on a version takes calls for which the other one has no capacity.
PROVEN_SHARE = 0.5
# A step this late means that the VM was paused. It then decides nothing until the
# marks and reports that wait in its connections have been read. The same holds when it
# begins to step, since the ticket may be the first thing that it reads after a pause.
PAUSE_SECONDS = 3.0
SETTLE_SECONDS = 2.0


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
        self._transport = transport
        self._publish_stage = publish_stage
        self._publish_take_back = publish_take_back
        self._slots = slots
        self._view = RolloutView(availability_zone, store, marks)
        # Above the numbers of an earlier process of the same VM.
        first_sequence = int(clock.wall() * 1000)
        self._totals = EvidenceTotals(vm_id, self._view, transport, first_sequence)
        self._plans = RoutePlans(self._view, self._totals, clock, rng, slots)
        self._trials = Trials(self._view, vm_count)
        self._last_step: float | None = None
        self._decides_from = 0.0
        self._changed = asyncio.Event()
        store.subscribe(self._on_state)
        self._on_state(store.state, store.state)

    # -- Calls

    def choose_version(self, route: str, service: str) -> str:
        """Return the version for one call of a route."""
        plan = self._plans.get(route)
        if plan is None:
            return self._current(service)
        if plan.split.selects(plan.share):
            return plan.rollout.to_version
        return plan.rollout.from_version

    def versions(self, route: str, service: str) -> tuple[str, ...]:
        """Return versions that may serve a call of a route now, best first.

        The new version is not among them while it is on trial, so that calls for which
        the old version has no capacity do not exceed the share of the trial.
        """
        plan = self._plans.get(route)
        if plan is None:
            return (self._current(service),)
        old, new = plan.rollout.from_version, plan.rollout.to_version
        if plan.is_rolled_back:
            return (old,)
        if plan.share >= PROVEN_SHARE:
            return (new, old)
        return (old,) if self._slots(service, old) > 0 else (old, new)

    def record(self, outcome: CallOutcome) -> None:
        """Count the outcome of one attempt."""
        self._plans.record(outcome)

    def _current(self, service: str) -> str:
        # A ticket accepted during the call may have removed the service.
        held = self._store.state.services.get(service)
        return "" if held is None else held.current

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
        now = self._clock.wall()
        if self._view.active_keys(now):
            return STEP_SECONDS
        rollouts = self._store.state.rollouts.values()
        starts = [r.start - now for r in rollouts if r.start > now]
        if not starts:
            return None
        # Steps begin before the rollout does, so that a pause is noticed.
        return max(STEP_SECONDS, min(starts) - SETTLE_SECONDS)

    def step(self) -> None:
        """Judge the evidence so far, move stages and send totals."""
        now = self._clock.monotonic()
        wall = self._clock.wall()
        active = self._view.active_keys(wall)
        # Without a step before there is nothing to notice a pause by.
        elapsed = math.inf if self._last_step is None else now - self._last_step
        if elapsed > PAUSE_SECONDS:
            self._decides_from = now + SETTLE_SECONDS
        self._last_step = now
        self._plans.update_references(now)
        self._plans.refresh()
        is_root = self._transport.is_zone_root()
        fresh = self._totals.take_fresh()
        judged_seconds = min(elapsed, PAUSE_SECONDS)
        self._trials.judge(active, fresh, is_root, judged_seconds, now, wall)
        if now >= self._decides_from:
            for key in active:
                self._decide(key, wall)
        self._totals.send(active, self._plans.stages())

    def _on_state(self, _: MeshState, after: MeshState) -> None:
        self._marks.prune(after.number, after.rollout_numbers)
        self._trials.drop_unknown()
        self._totals.drop_unknown()
        self._plans.refresh()
        self._changed.set()

    # -- Decisions

    def _decide(self, key: RolloutKey, wall: float) -> None:
        trial = self._trials.get(key)
        is_root = self._transport.is_zone_root()
        verdict = trial.verdict(is_root)
        if verdict is not None:
            self._take_back(key, verdict, wall)
            return
        if not is_root:
            return
        if self._slots(trial.rollout.service, trial.rollout.to_version) <= 0:
            return
        for route in trial.routes:
            self._move(key, trial, route, wall)

    def _take_back(self, key: RolloutKey, verdict: Verdict, wall: float) -> None:
        mark = TakeBack(key, verdict.reason, verdict.evidence, wall, self._vm_id)
        events.warning(
            "version_taken_back",
            rollout=key.name,
            number=key.number,
            reason=mark.reason,
            evidence=mark.evidence,
        )
        self._publish_take_back(mark)

    def _move(self, key: RolloutKey, trial: Trial, route: str, wall: float) -> None:
        held = self._view.stage_mark(key, route)
        if held is None:
            mark = StageMark(key, self._zone, route, 0, wall)
        else:
            mark = trial.next_mark(held, wall)
        if mark is None:
            return
        events.info(
            "stage_cleared",
            rollout=mark.key.name,
            number=mark.key.number,
            route=mark.route,
            stage=mark.stage,
            evidence=mark.evidence,
        )
        self._publish_stage(mark)
