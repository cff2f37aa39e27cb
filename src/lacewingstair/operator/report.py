"""Report for operators: the configuration in force and each move of traffic."""

from datetime import UTC, datetime
from typing import Any

from lacewingstair.acceptance import MeshState
from lacewingstair.marks import Marks, RolloutKey


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
    return {
        "ticket": state.number,
        "next_offset": state.next_offset,
        "digest": state.digest,
        "rollouts": {
            name: _rollout(state, marks, name, now) for name in sorted(state.rollouts)
        },
        "refused": [
            {
                "offset": d.offset,
                "number": d.number,
                "faults": [str(fault) for fault in d.faults],
            }
            for d in state.refusals
        ],
    }


def _rollout(state: MeshState, marks: Marks, name: str, now: float) -> dict[str, Any]:
    rollout = state.rollouts[name]
    key = RolloutKey(name, state.rollout_numbers[name])
    entry: dict[str, Any] = {
        "service": rollout.service,
        "from_version": rollout.from_version,
        "to_version": rollout.to_version,
    }
    taken_back = marks.take_backs_by_key.get(key)
    if taken_back is not None:
        entry["state"] = "taken back"
        entry["reason"] = taken_back.reason
        entry["evidence"] = taken_back.evidence
        entry["since"] = _time(taken_back.at)
        return entry
    entry["state"] = "waiting" if now < rollout.start else "in progress"
    return entry


def _time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds")
