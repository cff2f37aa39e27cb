import random

import pytest

from lacewingstair.rollouts import schedule
from lacewingstair.rollouts.analyses import Trials
from lacewingstair.rollouts.evidence import CallCounts, CounterKey
from lacewingstair.rollouts.evidence_totals import ZoneGrowth
from lacewingstair.rollouts.marks import StageMark
from lacewingstair.rollouts.view import RolloutView
from lacewingstair.standins.rollout_mesh import RolloutMesh, first_sections, key_of


class Scene:
    """Trials of one VM in zone a-1 during a rollout of two routes."""

    def __init__(self):
        mesh = RolloutMesh({"a-1": "a", "b-1": "b"}, 1, random.Random(1))
        mesh.publish(**first_sections(5.0, 105.0, ("read", "confirm")))
        vm = mesh.vms("a-1")[0]
        self.key = key_of(vm)
        self.trials = Trials(RolloutView("a-1", vm.store, vm.marks), lambda: 2)
        self.trial = self.trials.get(self.key)
        self.now = 0.0

    def judge(self, zone, calls, failures, is_root):
        growths = [
            ZoneGrowth(
                zone, CounterKey(self.key, "read", "v1", 0), CallCounts(calls=calls)
            ),
            ZoneGrowth(
                zone,
                CounterKey(self.key, "read", "v2", 0),
                CallCounts(calls=calls, failures=failures),
            ),
        ]
        self.now += 0.5
        wall = self.trial.rollout.start + self.now
        self.trials.judge([self.key], growths, is_root, 0.5, self.now, wall)

    def mark(self, stage):
        rollout = self.trial.rollout
        return StageMark(self.key, "a-1", "read", stage, rollout.start)


@pytest.mark.parametrize(("zone", "is_seen"), [("a-1", True), ("b-1", False)])
def test_only_the_root_of_a_zone_judges_calls_of_other_zones(zone, is_seen):
    # Guards against evidence of other zones that is ignored, or counted by every VM.
    root, inner = Scene(), Scene()
    root.judge(zone, 60, 60, is_root=True)
    inner.judge(zone, 60, 60, is_root=False)
    assert root.trial.verdict(True) is not None
    assert (inner.trial.verdict(False) is not None) == is_seen


def test_a_suspicious_version_is_held_past_the_latest_time_of_its_next_stage():
    # Guards against a stage that is entered while failures are being looked into.
    scene = Scene()
    rollout = scene.trial.rollout
    late = schedule.latest_entry(rollout, 1) + 1.0
    assert scene.trial.next_mark(scene.mark(0), late).stage == 1
    for _ in range(40):
        if not scene.trial.mesh.is_suspicious:
            scene.judge("b-1", 4, 1, is_root=True)
    assert scene.trial.mesh.is_suspicious
    assert scene.trial.verdict(True) is None
    assert scene.trial.next_mark(scene.mark(0), late) is None
    last = rollout.start + schedule.HOLD_PARTS[1] * schedule.window(rollout)
    assert scene.trial.next_mark(scene.mark(0), last).stage == 1
