import random

import pytest

from lacewingstair.rollouts import schedule
from lacewingstair.rollouts.analyses import RolloutAnalyses
from lacewingstair.rollouts.evidence import CallCounts, CounterKey
from lacewingstair.rollouts.evidence_totals import ZoneDelta
from lacewingstair.rollouts.marks import StageMark
from lacewingstair.rollouts.view import RolloutView
from lacewingstair.standins.rollout_mesh import RolloutMesh, first_sections, key_of


class AnalysisScenario:
    """Analysis on one VM in zone a-1 during a rollout of two routes."""

    def __init__(self):
        mesh = RolloutMesh({"a-1": "a", "b-1": "b"}, 1, random.Random(1))
        mesh.publish(**first_sections(5.0, 105.0, ("read", "confirm")))
        vm = mesh.vms("a-1")[0]
        self.key = key_of(vm)
        self.analyses = RolloutAnalyses(
            RolloutView("a-1", vm.store, vm.marks), lambda: 2
        )
        self.analysis = self.analyses.get(self.key)
        self.now = 0.0

    def analyze(self, zone, calls, failures, is_root):
        deltas = [
            ZoneDelta(
                zone, CounterKey(self.key, "read", "v1", 0), CallCounts(calls=calls)
            ),
            ZoneDelta(
                zone,
                CounterKey(self.key, "read", "v2", 0),
                CallCounts(calls=calls, failures=failures),
            ),
        ]
        self.now += 0.5
        wall = self.analysis.rollout.start + self.now
        self.analyses.analyze([self.key], deltas, is_root, 0.5, self.now, wall)

    def mark(self, stage):
        rollout = self.analysis.rollout
        return StageMark(self.key, "a-1", "read", stage, rollout.start)


@pytest.mark.parametrize(("zone", "is_seen"), [("a-1", True), ("b-1", False)])
def test_only_the_root_of_a_zone_analyzes_calls_of_other_zones(zone, is_seen):
    # Guards against evidence of other zones that is ignored or counted by every VM.
    root, inner = AnalysisScenario(), AnalysisScenario()
    root.analyze(zone, 60, 60, is_root=True)
    inner.analyze(zone, 60, 60, is_root=False)
    assert root.analysis.verdict(True) is not None
    assert (inner.analysis.verdict(False) is not None) == is_seen


def test_a_suspicious_version_is_held_past_the_latest_time_of_its_next_stage():
    # Guards against promotion of a version whose statistics are suspicious.
    scenario = AnalysisScenario()
    rollout = scenario.analysis.rollout
    late = schedule.latest_entry(rollout, 1) + 1.0
    assert scenario.analysis.next_stage_mark(scenario.mark(0), late).stage == 1
    for _ in range(40):
        if not scenario.analysis.mesh.is_suspicious:
            scenario.analyze("b-1", 4, 1, is_root=True)
    assert scenario.analysis.mesh.is_suspicious
    assert scenario.analysis.verdict(True) is None
    assert scenario.analysis.next_stage_mark(scenario.mark(0), late) is None
    last = rollout.start + schedule.MAX_HOLD_FRACTIONS[1] * schedule.window(rollout)
    assert scenario.analysis.next_stage_mark(scenario.mark(0), last).stage == 1
