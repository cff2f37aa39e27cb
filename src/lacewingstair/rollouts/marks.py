"""Marks of rollouts: stages reached and versions taken back, merged in any order."""

import hashlib
import math
from collections.abc import Mapping

import attrs

# Seconds since the Unix epoch.
YEAR_9999 = 253_370_764_800.0


@attrs.frozen(cache_hash=True)
class RolloutKey:
    """Identifies one rollout; a later ticket with the same name is another one.

    Parameters
    ----------
    name : str
        Name in the configuration.
    number : int
        Ticket that set it.
    """

    name: str
    number: int


@attrs.frozen
class StageMark:
    """A stage that a zone's root has cleared for one route of a rollout.

    Parameters
    ----------
    key : RolloutKey
        The rollout.
    availability_zone, route : str
        Where the stage is in force.
    stage : int
        Stage, 0 for the trial.
    at : float
        Seconds since the Unix epoch, 0 when unknown.
    evidence : str
        Figures of the stage before, for the report.
    """

    key: RolloutKey
    availability_zone: str
    route: str
    stage: int
    at: float = 0.0
    evidence: str = ""


@attrs.frozen
class RollbackMark:
    """A version taken back. It never lapses.

    Parameters
    ----------
    key : RolloutKey
        The rollout.
    reason : str
        What the version does worse, for the report.
    evidence : str
        Figures behind the verdict, for the report.
    at : float
        Seconds since the Unix epoch.
    by_vm_id : str
        VM that decided.
    """

    key: RolloutKey
    reason: str
    evidence: str
    at: float
    by_vm_id: str


class Marks:
    """All marks known to a VM. The merge is commutative and idempotent.

    Marks of rollouts that the configuration no longer holds are dropped and not taken
    in again; VMs with the same configuration therefore keep the same marks. Marks of
    tickets that this VM has not yet seen are kept.

    Attributes
    ----------
    version : int
        Raised with every change.
    """

    def __init__(self) -> None:
        self.stage_marks_by_scope: dict[tuple[RolloutKey, str, str], StageMark] = {}
        self.rollbacks_by_key: dict[RolloutKey, RollbackMark] = {}
        self.version = 0
        self._digest = 0
        self._digest_version = -1
        self._number = 0
        self._numbers_by_name: dict[str, int] = {}

    @property
    def stages_by_place(self) -> dict[tuple[RolloutKey, str, str], int]:
        """Stage by rollout, zone and route."""
        return {place: mark.stage for place, mark in self.stage_marks_by_scope.items()}

    def merge_stage(self, mark: StageMark) -> bool:
        """Keep the higher stage; return whether it changed."""
        place = (mark.key, mark.availability_zone, mark.route)
        held = self.stage_marks_by_scope.get(place)
        if mark.stage < 0 or not self._is_live(mark.key) or not _is_valid(mark.at):
            return False
        if held is not None and _stage_order(mark) <= _stage_order(held):
            return False
        self.stage_marks_by_scope[place] = mark
        self.version += 1
        return True

    def merge_rollback(self, mark: RollbackMark) -> bool:
        """Keep the earliest take-back of a rollout; return whether it changed."""
        if not self._is_live(mark.key) or not _is_valid(mark.at):
            return False
        held = self.rollbacks_by_key.get(mark.key)
        if held is not None and _order(held) <= _order(mark):
            return False
        self.rollbacks_by_key[mark.key] = mark
        self.version += 1
        return True

    def prune(self, number: int, numbers_by_name: Mapping[str, int]) -> None:
        """Drop the marks of rollouts that the configuration does not hold.

        Parameters
        ----------
        number : int
            Last accepted ticket.
        numbers_by_name : mapping of str to int
            Ticket that set each rollout in force.
        """
        if number < self._number:
            return
        self._number = number
        self._numbers_by_name = dict(numbers_by_name)
        self.stage_marks_by_scope = {
            place: mark
            for place, mark in self.stage_marks_by_scope.items()
            if self._is_live(mark.key)
        }
        self.rollbacks_by_key = {
            key: mark
            for key, mark in self.rollbacks_by_key.items()
            if self._is_live(key)
        }
        self.version += 1

    def stage(self, key: RolloutKey, availability_zone: str, route: str) -> int:
        """Return the stage cleared, 0 when none is."""
        mark = self.stage_marks_by_scope.get((key, availability_zone, route))
        return 0 if mark is None else mark.stage

    def stage_marks(self, key: RolloutKey) -> list[StageMark]:
        """Return the stage marks of a rollout, by zone and route."""
        found = [mark for mark in self.stage_marks_by_scope.values() if mark.key == key]
        return sorted(found, key=lambda mark: (mark.availability_zone, mark.route))

    def is_rolled_back(self, key: RolloutKey) -> bool:
        """Return whether the rollout's new version is taken back."""
        return key in self.rollbacks_by_key

    def digest(self) -> int:
        """Return a digest that is equal for equal marks, 64 bits."""
        # Heartbeats ask for it every second, and marks change far less often.
        if self._digest_version != self.version:
            self._digest = self._compute_digest()
            self._digest_version = self.version
        return self._digest

    def _compute_digest(self) -> int:
        stages = sorted(map(attrs.astuple, self.stage_marks_by_scope.values()))
        take_backs = sorted(map(attrs.astuple, self.rollbacks_by_key.values()))
        text = repr((stages, take_backs)).encode("utf-8", "surrogatepass")
        return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")

    def _is_live(self, key: RolloutKey) -> bool:
        if key.number > self._number:
            return True
        return self._numbers_by_name.get(key.name) == key.number


def _is_valid(at: float) -> bool:
    # Other times have no place in the order of marks, or no date in the report.
    return 0.0 <= at < YEAR_9999


def _stage_order(mark: StageMark) -> tuple[int, float, str]:
    known_at = mark.at if mark.at > 0 else math.inf
    return (mark.stage, -known_at, mark.evidence)


def _order(mark: RollbackMark) -> tuple[float, str, str, str]:
    return (mark.at, mark.by_vm_id, mark.reason, mark.evidence)
