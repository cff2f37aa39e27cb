"""Marks of rollouts: stages reached and versions rolled back, merged in any order."""

import hashlib
import math
from collections.abc import Mapping

import attrs

# Seconds since the Unix epoch.
YEAR_9999 = 253_370_764_800.0


@attrs.frozen(cache_hash=True)
class RolloutKey:
    """Identifies a rollout; one set by a later ticket under the same name is different.

    Parameters
    ----------
    name : str
        Name in the configuration.
    number : int
        Number of the ticket that set it.
    """

    name: str
    number: int


@attrs.frozen
class StageMark:
    """Stage that the root of a zone has entered for one route of a rollout.

    Parameters
    ----------
    key : RolloutKey
        The rollout.
    availability_zone, route : str
        Zone and route to which the stage applies.
    stage : int
        Stage, 0 for the trial.
    at : float
        Seconds since the Unix epoch, 0 if unknown.
    evidence : str
        Summary of the statistics up to this stage, for the report.
    """

    key: RolloutKey
    availability_zone: str
    route: str
    stage: int
    at: float = 0.0
    evidence: str = ""


@attrs.frozen
class RollbackMark:
    """Rollback of a version. It never expires.

    Parameters
    ----------
    key : RolloutKey
        The rollout.
    reason : str
        In what respect the version is worse, for the report.
    evidence : str
        Statistics behind the verdict, for the report.
    at : float
        Seconds since the Unix epoch.
    by_vm_id : str
        VM that made the decision.
    """

    key: RolloutKey
    reason: str
    evidence: str
    at: float
    by_vm_id: str


class Marks:
    """All marks known to a VM. Merging is commutative, associative and idempotent.

    Marks of rollouts that are no longer in the configuration are dropped and not
    accepted again, so that VMs with the same configuration hold the same marks. Marks
    of tickets that this VM has not seen yet are kept.

    Attributes
    ----------
    version : int
        Incremented by every change.
    """

    def __init__(self) -> None:
        self.stage_marks_by_scope: dict[tuple[RolloutKey, str, str], StageMark] = {}
        self.rollbacks_by_key: dict[RolloutKey, RollbackMark] = {}
        self.version = 0
        self._digest = 0
        self._digest_version = -1
        self._ticket_number = 0
        self._numbers_by_name: dict[str, int] = {}

    @property
    def stages_by_scope(self) -> dict[tuple[RolloutKey, str, str], int]:
        """Stage by rollout, zone and route."""
        return {scope: mark.stage for scope, mark in self.stage_marks_by_scope.items()}

    def merge_stage(self, mark: StageMark) -> bool:
        """Keep the mark with the higher stage; return whether anything changed."""
        scope = (mark.key, mark.availability_zone, mark.route)
        current = self.stage_marks_by_scope.get(scope)
        if mark.stage < 0 or not self._is_relevant(mark.key) or not _is_valid(mark.at):
            return False
        if current is not None and _stage_order(mark) <= _stage_order(current):
            return False
        self.stage_marks_by_scope[scope] = mark
        self.version += 1
        return True

    def merge_rollback(self, mark: RollbackMark) -> bool:
        """Keep the earliest rollback of a rollout; return whether anything changed."""
        if not self._is_relevant(mark.key) or not _is_valid(mark.at):
            return False
        current = self.rollbacks_by_key.get(mark.key)
        if current is not None and _rollback_order(current) <= _rollback_order(mark):
            return False
        self.rollbacks_by_key[mark.key] = mark
        self.version += 1
        return True

    def prune(self, number: int, numbers_by_name: Mapping[str, int]) -> None:
        """Drop the marks of rollouts that are not in the configuration.

        Parameters
        ----------
        number : int
            Number of the last accepted ticket.
        numbers_by_name : mapping of str to int
            Number of the ticket that set each active rollout.
        """
        if number < self._ticket_number:
            return
        self._ticket_number = number
        self._numbers_by_name = dict(numbers_by_name)
        self.stage_marks_by_scope = {
            scope: mark
            for scope, mark in self.stage_marks_by_scope.items()
            if self._is_relevant(mark.key)
        }
        self.rollbacks_by_key = {
            key: mark
            for key, mark in self.rollbacks_by_key.items()
            if self._is_relevant(key)
        }
        self.version += 1

    def stage(self, key: RolloutKey, availability_zone: str, route: str) -> int:
        """Return the stage that has been entered, 0 without a mark."""
        mark = self.stage_marks_by_scope.get((key, availability_zone, route))
        return 0 if mark is None else mark.stage

    def stage_marks(self, key: RolloutKey) -> list[StageMark]:
        """Return the stage marks of a rollout, sorted by zone and route."""
        found = [mark for mark in self.stage_marks_by_scope.values() if mark.key == key]
        return sorted(found, key=lambda mark: (mark.availability_zone, mark.route))

    def is_rolled_back(self, key: RolloutKey) -> bool:
        """Return whether the rollout's new version has been rolled back."""
        return key in self.rollbacks_by_key

    def digest(self) -> int:
        """Return a 64-bit digest that is equal for equal marks."""
        # Cached, since every heartbeat (one a second) includes the digest and marks
        # change far less often.
        if self._digest_version != self.version:
            self._digest = self._compute_digest()
            self._digest_version = self.version
        return self._digest

    def _compute_digest(self) -> int:
        stages = sorted(map(attrs.astuple, self.stage_marks_by_scope.values()))
        rollback_marks = sorted(map(attrs.astuple, self.rollbacks_by_key.values()))
        text = repr((stages, rollback_marks)).encode("utf-8", "surrogatepass")
        return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")

    def _is_relevant(self, key: RolloutKey) -> bool:
        if key.number > self._ticket_number:
            return True
        return self._numbers_by_name.get(key.name) == key.number


def _is_valid(at: float) -> bool:
    # Other values cannot be ordered or have no calendar date for the report.
    return 0.0 <= at < YEAR_9999


def _stage_order(mark: StageMark) -> tuple[int, float, str]:
    known_at = mark.at if mark.at > 0 else math.inf
    return (mark.stage, -known_at, mark.evidence)


def _rollback_order(mark: RollbackMark) -> tuple[float, str, str, str]:
    return (mark.at, mark.by_vm_id, mark.reason, mark.evidence)
