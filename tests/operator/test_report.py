import json

import attrs
import pytest

from lacewingstair.operator.report import MoveState, build_report, make_report
from lacewingstair.rollouts.marks import Marks, RollbackMark, RolloutKey, StageMark
from lacewingstair.rollouts.schedule import FINAL_STAGE
from lacewingstair.tickets.acceptance import MeshState
from lacewingstair.tickets.parsing import Rollout, Route

KEY = RolloutKey("move", 3)
START, END = 1000.0, 1100.0
STATE = MeshState(
    number=3,
    routes={"read": Route("board"), "confirm": Route("board"), "x": Route("desk")},
    rollouts={"move": Rollout("board", "v1", "v2", START, END)},
    rollout_numbers={"move": 3},
)
PLACES = [(zone, route) for zone in ("z-1", "z-2") for route in ("read", "confirm")]


def marks_at(stage, at=1080.0):
    marks = Marks()
    for zone, route in PLACES:
        marks.merge_stage(StageMark(KEY, zone, route, stage, at, "9 of 10"))
    return marks


def entry(marks, now, state=STATE):
    return make_report(state, marks, now).rollouts["move"]


def test_a_rollout_waits_for_its_start_then_for_endpoints():
    before = entry(Marks(), START - 1)
    assert (before.state, before.reason) == (MoveState.WAITING, "waits for its start")
    after = entry(Marks(), START + 1)
    assert after.state is MoveState.WAITING
    assert after.reason == "waits for endpoints of v2"


def test_a_rollout_without_routes_is_not_called_done():
    state = attrs.evolve(STATE, routes={})
    assert entry(Marks(), END + 1, state).reason == "no route leads to board"


@pytest.mark.parametrize(
    ("now", "waits_for"),
    [
        (1015.0, "its time, 1970-01-01T00:17:00+00:00"),
        (1022.0, "evidence, at most until 1970-01-01T00:17:05+00:00"),
        (1030.0, "the zone's decision: endpoints of v2 or suspicion"),
    ],
)
def test_a_stage_says_what_the_next_one_waits_for(now, waits_for):
    found = entry(marks_at(0, START), now)
    assert found.state is MoveState.IN_PROGRESS
    assert {stage.waits_for for stage in found.stages} == {waits_for}
    assert [(s.availability_zone, s.route) for s in found.stages] == sorted(PLACES)


def test_a_rollout_is_done_only_when_every_zone_has_moved_every_route():
    marks = marks_at(FINAL_STAGE - 1, 1060.0)
    for zone, route in PLACES[:-1]:
        marks.merge_stage(StageMark(KEY, zone, route, FINAL_STAGE, 1080.0))
        assert entry(marks, END + 1).state is MoveState.IN_PROGRESS
    marks.merge_stage(StageMark(KEY, *PLACES[-1], FINAL_STAGE, 1085.0))
    # Until then some calls still go to the old version.
    assert entry(marks, END - 3.1).state is MoveState.IN_PROGRESS
    done = entry(marks, END - 3)
    assert (done.state, done.since) == (MoveState.DONE, "1970-01-01T00:18:17+00:00")


def test_a_take_back_is_reported_over_any_stage_with_its_reason():
    marks = marks_at(FINAL_STAGE)
    marks.merge_rollback(RollbackMark(KEY, "v2 fails", "5 of 5", 1090.0, "vm-1"))
    found = entry(marks, END + 1)
    assert found.state is MoveState.TAKEN_BACK
    assert (found.reason, found.evidence, found.by_vm) == ("v2 fails", "5 of 5", "vm-1")
    assert found.since == "1970-01-01T00:18:10+00:00"


def test_marks_of_an_earlier_rollout_and_of_removed_routes_say_nothing():
    marks = marks_at(FINAL_STAGE)
    later = attrs.evolve(STATE, rollout_numbers={"move": 4})
    assert entry(marks, START + 1, later).state is MoveState.WAITING
    marks.merge_stage(StageMark(KEY, "z-1", "removed", 0, 1090.0))
    assert entry(marks, END).state is MoveState.DONE


def test_the_report_is_plain_json():
    document = json.loads(json.dumps(build_report(STATE, marks_at(1), 1050.0)))
    move = document["rollouts"]["move"]
    assert move["state"] == "in progress"
    assert move["stages"][0]["evidence"] == "9 of 10"
    assert document["refused"] == []
