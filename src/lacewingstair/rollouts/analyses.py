"""Analyses of the rollouts on one VM: analyzers in use, and promotion of stages."""

from collections.abc import Callable, Collection, Iterable

import attrs

from lacewingstair.rollouts import schedule
from lacewingstair.rollouts.evidence_totals import ZoneDelta
from lacewingstair.rollouts.marks import RolloutKey, StageMark
from lacewingstair.rollouts.version_analyzer import (
    FALSE_ROLLBACK_PROBABILITY,
    Verdict,
    VersionAnalyzer,
)
from lacewingstair.rollouts.view import RolloutView, routes_of
from lacewingstair.tickets.parsing import Rollout

# A fraction of the error rate is divided among the analyzers of subtrees, one per VM,
# the rest among the analyzers of all zones: one for each time that a VM becomes the
# root of a zone.
SUBTREE_ERROR_FRACTION = 0.3
EXPECTED_ROOT_TENURES = 16


@attrs.define
class RolloutAnalysis:
    """Analyzers of one rollout on this VM.

    Parameters
    ----------
    rollout : Rollout
        The rollout.
    routes : tuple of str
        Routes that it affects.
    subtree, mesh : VersionAnalyzer
        Analyzers of the subtree of this VM and of all zones.
    """

    rollout: Rollout
    routes: tuple[str, ...]
    subtree: VersionAnalyzer
    mesh: VersionAnalyzer

    def analyzers(self, is_root: bool) -> tuple[VersionAnalyzer, ...]:
        """Return the analyzers in use; only the root of a zone covers all zones."""
        return (self.mesh, self.subtree) if is_root else (self.subtree,)

    def verdict(self, is_root: bool) -> Verdict | None:
        """Return the first verdict of the analyzers in use, None if there is none."""
        verdicts = (analyzer.verdict() for analyzer in self.analyzers(is_root))
        return next((v for v in verdicts if v is not None), None)

    def next_stage_mark(self, current: StageMark, wall: float) -> StageMark | None:
        """Return the mark of the next stage, None while it may not be entered.

        Parameters
        ----------
        current : StageMark
            Current mark of the route in this zone.
        wall : float
            Wall time in seconds.
        """
        due = schedule.next_promotion(self.rollout, current.stage, current.at, wall)
        if due is schedule.Promotion.NOT_YET:
            return None
        if due is schedule.Promotion.IF_CLEARED and not self._is_cleared(current):
            return None
        may_hold = schedule.may_hold(self.rollout, current.stage, wall)
        if may_hold and self.mesh.is_suspicious:
            return None
        return attrs.evolve(
            current,
            stage=current.stage + 1,
            at=wall,
            evidence=self.mesh.summary(current.route),
        )

    def _is_cleared(self, current: StageMark) -> bool:
        return any(
            analyzer.is_cleared(current.route, current.stage)
            for analyzer in (self.mesh, self.subtree)
        )


class RolloutAnalyses:
    """Analyses of the configured rollouts, created on first use.

    Parameters
    ----------
    view : RolloutView
        Active configuration and marks in the zone of this VM.
    vm_count : callable
        Returns the number of VMs that run an analysis.
    """

    def __init__(self, view: RolloutView, vm_count: Callable[[], int]) -> None:
        self._view = view
        self._vm_count = vm_count
        self._analyses_by_key: dict[RolloutKey, RolloutAnalysis] = {}

    def get(self, key: RolloutKey) -> RolloutAnalysis:
        """Return the analysis of a configured rollout."""
        current = self._analyses_by_key.get(key)
        if current is not None:
            return current
        analysis = self._create(key)
        self._analyses_by_key[key] = analysis
        return analysis

    def drop_removed_rollouts(self) -> None:
        """Drop the analyses of rollouts that are not in the configuration."""
        for key in list(self._analyses_by_key):
            if not self._view.is_configured(key):
                del self._analyses_by_key[key]

    def analyze(
        self,
        active: Collection[RolloutKey],
        deltas: Iterable[ZoneDelta],
        is_root: bool,
        elapsed: float,
        now: float,
        wall: float,
    ) -> None:
        """Pass new evidence to the analyzers of the active rollouts.

        Parameters
        ----------
        active : collection of RolloutKey
            Rollouts to analyze.
        deltas : iterable of ZoneDelta
            Evidence since the previous call; that of other rollouts is discarded.
        is_root : bool
            Whether this VM is the root of its zone.
        elapsed : float
            Seconds since the previous call.
        now, wall : float
            Monotonic and wall time in seconds.
        """
        analyses = {key: self.get(key) for key in active}
        for key, analysis in analyses.items():
            for analyzer in analysis.analyzers(is_root):
                for route in analysis.routes:
                    analyzer.start_stage(
                        route, self._analysis_stage(key, analysis, route, wall)
                    )
                analyzer.invest_for_elapsed_time(elapsed)
        for delta in deltas:
            analysis = analyses.get(delta.counter_key.key)
            if analysis is None:
                continue
            zone = delta.availability_zone
            if zone == self._view.availability_zone:
                analysis.subtree.add(zone, delta.counter_key, delta.counts, now)
            if is_root:
                analysis.mesh.add(zone, delta.counter_key, delta.counts, now)
        for analysis in analyses.values():
            for analyzer in analysis.analyzers(is_root):
                analyzer.close_due_blocks(now)

    def _create(self, key: RolloutKey) -> RolloutAnalysis:
        state = self._view.state
        rollout = state.rollouts[key.name]
        routes = routes_of(state, rollout)
        life = schedule.monitoring_end(rollout) - rollout.start
        subtree = (
            SUBTREE_ERROR_FRACTION
            * FALSE_ROLLBACK_PROBABILITY
            / max(1, self._vm_count())
        )
        mesh = (
            (1 - SUBTREE_ERROR_FRACTION)
            * FALSE_ROLLBACK_PROBABILITY
            / EXPECTED_ROOT_TENURES
        )
        return RolloutAnalysis(
            rollout,
            routes,
            VersionAnalyzer(rollout, routes, subtree, life),
            VersionAnalyzer(rollout, routes, mesh, life),
        )

    def _analysis_stage(
        self, key: RolloutKey, analysis: RolloutAnalysis, route: str, wall: float
    ) -> int:
        """Return the stage, plus one if a route has fully shifted and is monitored."""
        stage = self._view.stage(key, route)
        is_over = wall >= schedule.all_calls_from(analysis.rollout)
        return stage + (is_over and stage == schedule.FINAL_STAGE)
