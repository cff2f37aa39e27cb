"""Report for operators: the configuration in force and each move of traffic.

The state of a rollout follows from configuration, marks and time alone, so that every
VM with the same marks gives the same answer, also after a restart.
"""

import enum
from datetime import UTC, datetime
from typing import Any

import attrs
import cattrs

from lacewingstair.rollouts import schedule
from lacewingstair.rollouts.marks import Marks, RolloutKey, StageMark
from lacewingstair.rollouts.view import routes_of
from lacewingstair.tickets.acceptance import MeshState
from lacewingstair.tickets.parsing import Rollout


class MoveState(enum.Enum):
    """State of a rollout."""

    WAITING = "waiting"
    IN_PROGRESS = "in progress"
    DONE = "done"
    TAKEN_BACK = "taken back"


@attrs.frozen
class StageEntry:
    """Stage of one route in one availability zone.

    Parameters
    ----------
    availability_zone, route : str
        Where.
    stage : int
        Stage, from 0 for the trial to `schedule.FINAL_STAGE`.
    share : float
        Share of the new version that the stage allows.
    since : str
        When the zone entered the stage.
    waits_for : str
        What the next stage waits for; empty in the final stage.
    evidence : str
        Figures on which the zone entered the stage.
    """

    availability_zone: str
    route: str
    stage: int
    share: float
    since: str
    waits_for: str
    evidence: str


@attrs.frozen
class RolloutEntry:
    """One rollout.

    Parameters
    ----------
    service, from_version, to_version, start, end_by : str
        From the ticket.
    number : int
        Ticket that set the rollout.
    state : MoveState
        State of the move.
    since : str
        When the state began; the start time while it has not come.
    reason : str
        What it waits for, or why the version was taken back.
    evidence : str
        Figures behind a take-back.
    by_vm : str
        VM that took the version back.
    stages : tuple of StageEntry
        Progress by zone and route.
    """

    service: str
    from_version: str
    to_version: str
    start: str
    end_by: str
    number: int
    state: MoveState
    since: str
    reason: str = ""
    evidence: str = ""
    by_vm: str = ""
    stages: tuple[StageEntry, ...] = ()


@attrs.frozen
class RefusalEntry:
    """A refused record of the log."""

    offset: int
    number: int | None
    faults: tuple[str, ...]


@attrs.frozen
class Report:
    """The whole report."""

    ticket: int
    next_offset: int
    digest: str
    rollouts: dict[str, RolloutEntry]
    refused: tuple[RefusalEntry, ...]


def build_report(state: MeshState, marks: Marks, now: float) -> dict[str, Any]:
    """Return the report as a JSON object.

    Parameters
    ----------
    state : MeshState
        Configuration in force.
    marks : Marks
        Stages and take-backs known.
    now : float
        Seconds since the Unix epoch.
    """
    return cattrs.unstructure(make_report(state, marks, now))


def make_report(state: MeshState, marks: Marks, now: float) -> Report:
    """Return the report; the parameters are those of `build_report`."""
    rollouts = {
        name: _rollout(state, marks, name, now) for name in sorted(state.rollouts)
    }
    refused = tuple(
        RefusalEntry(d.offset, d.number, tuple(str(fault) for fault in d.faults))
        for d in state.refusals
    )
    return Report(state.number, state.next_offset, state.digest, rollouts, refused)


def _rollout(state: MeshState, marks: Marks, name: str, now: float) -> RolloutEntry:
    rollout = state.rollouts[name]
    key = RolloutKey(name, state.rollout_numbers[name])
    routes = routes_of(state, rollout)
    held = [mark for mark in marks.stage_marks(key) if mark.route in routes]
    entry = RolloutEntry(
        service=rollout.service,
        from_version=rollout.from_version,
        to_version=rollout.to_version,
        start=_time(rollout.start),
        end_by=_time(rollout.end_by),
        number=key.number,
        state=MoveState.WAITING,
        since=_time(rollout.start),
        stages=tuple(_stage(rollout, mark, now) for mark in held),
    )
    taken_back = marks.rollbacks_by_key.get(key)
    if taken_back is not None:
        return attrs.evolve(
            entry,
            state=MoveState.TAKEN_BACK,
            since=_time(taken_back.at),
            reason=taken_back.reason,
            evidence=taken_back.evidence,
            by_vm=taken_back.by_vm_id,
            stages=tuple(attrs.evolve(s, waits_for="") for s in entry.stages),
        )
    if now < rollout.start:
        return attrs.evolve(entry, reason="waits for its start")
    if not routes:
        return attrs.evolve(entry, reason=f"no route leads to {rollout.service}")
    if not held:
        reason = f"waits for endpoints of {rollout.to_version}"
        return attrs.evolve(entry, reason=reason)
    all_calls_from = schedule.all_calls_from(rollout)
    if is_done(routes, held) and now >= all_calls_from:
        since = _time(max(all_calls_from, *(mark.at for mark in held)))
        return attrs.evolve(entry, state=MoveState.DONE, since=since)
    since = _time(min(mark.at for mark in held))
    return attrs.evolve(entry, state=MoveState.IN_PROGRESS, since=since)


def is_done(routes: tuple[str, ...], held: list[StageMark]) -> bool:
    """Return whether each zone with marks has every route in the final stage."""
    final = {
        (mark.availability_zone, mark.route)
        for mark in held
        if mark.stage >= schedule.FINAL_STAGE
    }
    zones = {mark.availability_zone for mark in held}
    return all((zone, route) in final for zone in zones for route in routes)


def _stage(rollout: Rollout, mark: StageMark, now: float) -> StageEntry:
    return StageEntry(
        availability_zone=mark.availability_zone,
        route=mark.route,
        stage=mark.stage,
        share=schedule.target_share(rollout, mark.stage, now),
        since=_time(mark.at),
        waits_for=_waits_for(rollout, mark, now),
        evidence=mark.evidence,
    )


def _waits_for(rollout: Rollout, mark: StageMark, now: float) -> str:
    if mark.stage >= schedule.FINAL_STAGE:
        all_calls_from = schedule.all_calls_from(rollout)
        return (
            "" if now >= all_calls_from else f"the last calls, {_time(all_calls_from)}"
        )
    step = schedule.next_promotion(rollout, mark.stage, mark.at, now)
    if step is schedule.Promotion.NOT_YET:
        due = schedule.promotion_due_at(rollout, mark.stage, mark.at)
        return f"its time, {_time(due)}"
    if step is schedule.Promotion.IF_CLEARED:
        latest = schedule.latest_entry(rollout, mark.stage + 1)
        return f"evidence, at most until {_time(latest)}"
    return f"the zone's decision: endpoints of {rollout.to_version} or suspicion"


def _time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds")
