"""Judging of rollouts on one VM: which judges run, and what they decide."""

from collections.abc import Callable, Collection, Iterable

import attrs

from lacewingstair.rollouts import schedule
from lacewingstair.rollouts.canary_analyzer import (
    FALSE_ROLLBACK_PROBABILITY,
    CanaryAnalyzer,
    Verdict,
)
from lacewingstair.rollouts.evidence_totals import ZoneGrowth
from lacewingstair.rollouts.marks import RolloutKey, StageMark
from lacewingstair.rollouts.view import RolloutView, routes_of
from lacewingstair.tickets.parsing import Rollout

# A part of the error rate is shared by the judges of subtrees, one per VM, the rest by
# the judges of all zones together: one for each time that a VM becomes a zone's root.
SUBTREE_PART = 0.3
ROOT_TENURES = 16


@attrs.define
class Trial:
    """Judges of one rollout on this VM.

    Parameters
    ----------
    rollout : Rollout
        The rollout.
    routes : tuple of str
        Routes that it moves.
    subtree, mesh : CanaryAnalyzer
        Judges of the subtree of this VM and of all zones.
    """

    rollout: Rollout
    routes: tuple[str, ...]
    subtree: CanaryAnalyzer
    mesh: CanaryAnalyzer

    def judges(self, is_root: bool) -> tuple[CanaryAnalyzer, ...]:
        """Return the judges in use; only the root of a zone sees all zones."""
        return (self.mesh, self.subtree) if is_root else (self.subtree,)

    def verdict(self, is_root: bool) -> Verdict | None:
        """Return the first verdict of a judge in use, None while there is none."""
        verdicts = (judge.verdict() for judge in self.judges(is_root))
        return next((v for v in verdicts if v is not None), None)

    def next_mark(self, held: StageMark, wall: float) -> StageMark | None:
        """Return the mark of the stage after `held`, None while it may not be entered.

        Parameters
        ----------
        held : StageMark
            Present mark of the route in this zone.
        wall : float
            Wall time in seconds.
        """
        due = schedule.next_promotion(self.rollout, held.stage, held.at, wall)
        if due is schedule.Promotion.NOT_YET:
            return None
        if due is schedule.Promotion.IF_CLEARED and not self._is_cleared(held):
            return None
        is_held = schedule.is_held(self.rollout, held.stage, wall)
        if is_held and self.mesh.is_suspicious:
            return None
        return attrs.evolve(
            held,
            stage=held.stage + 1,
            at=wall,
            evidence=self.mesh.figures(held.route),
        )

    def _is_cleared(self, held: StageMark) -> bool:
        return any(
            judge.is_cleared(held.route, held.stage)
            for judge in (self.mesh, self.subtree)
        )


class Trials:
    """Trials of the rollouts of the configuration, made when first needed.

    Parameters
    ----------
    view : RolloutView
        Configuration and marks in force in the zone of this VM.
    vm_count : callable
        Returns the number of VMs that judge.
    """

    def __init__(self, view: RolloutView, vm_count: Callable[[], int]) -> None:
        self._view = view
        self._vm_count = vm_count
        self._trials_by_key: dict[RolloutKey, Trial] = {}

    def get(self, key: RolloutKey) -> Trial:
        """Return the trial of a rollout that the configuration holds."""
        held = self._trials_by_key.get(key)
        if held is not None:
            return held
        trial = self._make(key)
        self._trials_by_key[key] = trial
        return trial

    def drop_unknown(self) -> None:
        """Drop the trials of rollouts that the configuration does not hold."""
        for key in list(self._trials_by_key):
            if not self._view.is_known(key):
                del self._trials_by_key[key]

    def judge(
        self,
        active: Collection[RolloutKey],
        fresh: Iterable[ZoneGrowth],
        is_root: bool,
        elapsed: float,
        now: float,
        wall: float,
    ) -> None:
        """Give fresh evidence to the judges of the active rollouts.

        Parameters
        ----------
        active : collection of RolloutKey
            Rollouts to judge.
        fresh : iterable of ZoneGrowth
            Evidence since the call before; that of other rollouts is dropped.
        is_root : bool
            Whether this VM is the root of its zone.
        elapsed : float
            Seconds since the call before.
        now, wall : float
            Monotonic and wall time in seconds.
        """
        trials = {key: self.get(key) for key in active}
        for key, trial in trials.items():
            for judge in trial.judges(is_root):
                for route in trial.routes:
                    judge.start_stage(route, self._phase(key, trial, route, wall))
                judge.invest_for_elapsed_time(elapsed)
        for growth in fresh:
            trial = trials.get(growth.place.key)
            if trial is None:
                continue
            zone = growth.availability_zone
            if zone == self._view.availability_zone:
                trial.subtree.add(zone, growth.place, growth.tally, now)
            if is_root:
                trial.mesh.add(zone, growth.place, growth.tally, now)
        for trial in trials.values():
            for judge in trial.judges(is_root):
                judge.close_due_blocks(now)

    def _make(self, key: RolloutKey) -> Trial:
        state = self._view.state
        rollout = state.rollouts[key.name]
        routes = routes_of(state, rollout)
        life = schedule.monitored_until(rollout) - rollout.start
        subtree = SUBTREE_PART * FALSE_ROLLBACK_PROBABILITY / max(1, self._vm_count())
        mesh = (1 - SUBTREE_PART) * FALSE_ROLLBACK_PROBABILITY / ROOT_TENURES
        return Trial(
            rollout,
            routes,
            CanaryAnalyzer(rollout, routes, subtree, life),
            CanaryAnalyzer(rollout, routes, mesh, life),
        )

    def _phase(self, key: RolloutKey, trial: Trial, route: str, wall: float) -> int:
        """Return the stage, or one more when a route has moved and is monitored."""
        stage = self._view.stage(key, route)
        is_over = wall >= schedule.all_calls_from(trial.rollout)
        return stage + (is_over and stage == schedule.FINAL_STAGE)
