"""Rollout controller of one VM: traffic shares, evidence, stages and rollbacks.

Each VM computes its own traffic share from the ticket's schedule and the marks; there
is no leader. The root of each zone promotes the zone's stages. Any VM can roll a
version back.
"""

import asyncio
import math
import random
from collections.abc import Callable

from lacewingstair import events
from lacewingstair.rollouts.analyses import RolloutAnalyses, RolloutAnalysis
from lacewingstair.rollouts.evidence import EvidenceTransport
from lacewingstair.rollouts.evidence_totals import EvidenceTotals
from lacewingstair.rollouts.marks import Marks, RollbackMark, RolloutKey, StageMark
from lacewingstair.rollouts.version_analyzer import Verdict
from lacewingstair.rollouts.view import RolloutView
from lacewingstair.routing.outcomes import CallOutcome
from lacewingstair.routing.route_plans import RoutePlans
from lacewingstair.runtime import Clock
from lacewingstair.tickets.acceptance import MeshState
from lacewingstair.tickets.state_store import StateStore

STEP_SECONDS = 0.5
# From this share on, each version may take calls for which the other has no capacity.
OVERFLOW_MIN_SHARE = 0.5
# A step that is late by this much indicates that the VM was paused. The VM then makes
# no decision until it has had time to read the marks and reports queued in its
# connections. The same applies to the first step, since the ticket may be the first
# message that is read after a pause.
PAUSE_THRESHOLD_SECONDS = 3.0
CATCH_UP_SECONDS = 2.0


class RolloutController:
    """Shifts the traffic of rollouts on one VM.

    Parameters
    ----------
    vm_id, availability_zone : str
        Id and zone of this VM.
    store, marks
        Active configuration and marks.
    clock, rng
        Time and random number sources.
    transport : EvidenceTransport
        Sends evidence to the parent and between zones.
    publish_stage, publish_rollback : callable
        Merge a mark locally and forward it to the other VMs.
    slots : callable
        Returns the number of slots of the ready endpoints of a service's version.
    vm_count : callable
        Returns the number of VMs that run an analysis.
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
        publish_rollback: Callable[[RollbackMark], None],
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
        self._publish_rollback = publish_rollback
        self._slots = slots
        self._view = RolloutView(availability_zone, store, marks)
        # Wall time keeps the sequence numbers above those of an earlier process of this
        # VM.
        first_sequence = int(clock.wall() * 1000)
        self._totals = EvidenceTotals(vm_id, self._view, transport, first_sequence)
        self._plans = RoutePlans(self._view, self._totals, clock, rng, slots)
        self._analyses = RolloutAnalyses(self._view, vm_count)
        self._last_step: float | None = None
        self._decisions_allowed_from = 0.0
        self._changed = asyncio.Event()
        store.subscribe(self._on_state)
        self._on_state(store.state, store.state)

    # -- Calls

    def choose_version(self, route: str, service: str) -> str:
        """Return the version that serves the next call of a route."""
        plan = self._plans.get(route)
        if plan is None:
            return self._current_version(service)
        if plan.split.selects(plan.share):
            return plan.rollout.to_version
        return plan.rollout.from_version

    def versions(self, route: str, service: str) -> tuple[str, ...]:
        """Return the versions that may serve a call of a route now, preferred first.

        Below `OVERFLOW_MIN_SHARE` the new version is excluded while the old one has
        slots; otherwise calls that exceed the capacity of the old version would raise
        the new version above its share.
        """
        plan = self._plans.get(route)
        if plan is None:
            return (self._current_version(service),)
        old, new = plan.rollout.from_version, plan.rollout.to_version
        if plan.is_rolled_back:
            return (old,)
        if plan.share >= OVERFLOW_MIN_SHARE:
            return (new, old)
        return (old,) if self._slots(service, old) > 0 else (old, new)

    def record(self, outcome: CallOutcome) -> None:
        """Count the outcome of one attempt."""
        self._plans.record(outcome)

    def _current_version(self, service: str) -> str:
        # A ticket accepted during the call may have removed the service.
        existing = self._store.state.services.get(service)
        return "" if existing is None else existing.current

    # -- Time

    async def run(self) -> None:
        """Step while a rollout is active; otherwise wait for the next one."""
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
        # Stepping begins before the rollout starts, so that a pause is detected.
        return max(STEP_SECONDS, min(starts) - CATCH_UP_SECONDS)

    def step(self) -> None:
        """Analyze the evidence so far, promote stages and send totals."""
        now = self._clock.monotonic()
        wall = self._clock.wall()
        active = self._view.active_keys(wall)
        # A pause before the first step cannot be detected, so one is assumed.
        elapsed = math.inf if self._last_step is None else now - self._last_step
        if elapsed > PAUSE_THRESHOLD_SECONDS:
            self._decisions_allowed_from = now + CATCH_UP_SECONDS
        self._last_step = now
        self._plans.update_references(now)
        self._plans.refresh()
        is_root = self._transport.is_zone_root()
        deltas = self._totals.drain_deltas()
        analyzed_seconds = min(elapsed, PAUSE_THRESHOLD_SECONDS)
        self._analyses.analyze(active, deltas, is_root, analyzed_seconds, now, wall)
        if now >= self._decisions_allowed_from:
            for key in active:
                self._evaluate(key, wall)
        self._totals.send(active, self._plans.stages())

    def _on_state(self, _: MeshState, after: MeshState) -> None:
        self._marks.prune(after.number, after.rollout_numbers)
        self._analyses.drop_removed_rollouts()
        self._totals.drop_removed_rollouts()
        self._plans.refresh()
        self._changed.set()

    # -- Decisions

    def _evaluate(self, key: RolloutKey, wall: float) -> None:
        analysis = self._analyses.get(key)
        is_root = self._transport.is_zone_root()
        verdict = analysis.verdict(is_root)
        if verdict is not None:
            self._roll_back(key, verdict, wall)
            return
        if not is_root:
            return
        if self._slots(analysis.rollout.service, analysis.rollout.to_version) <= 0:
            return
        for route in analysis.routes:
            self._promote(key, analysis, route, wall)

    def _roll_back(self, key: RolloutKey, verdict: Verdict, wall: float) -> None:
        mark = RollbackMark(key, verdict.reason, verdict.evidence, wall, self._vm_id)
        events.warning(
            "version_taken_back",
            rollout=key.name,
            number=key.number,
            reason=mark.reason,
            evidence=mark.evidence,
        )
        self._publish_rollback(mark)

    def _promote(
        self, key: RolloutKey, analysis: RolloutAnalysis, route: str, wall: float
    ) -> None:
        existing = self._view.stage_mark(key, route)
        if existing is None:
            mark = StageMark(key, self._zone, route, 0, wall)
        else:
            mark = analysis.next_stage_mark(existing, wall)
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
