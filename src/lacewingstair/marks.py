"""Marks of rollouts: stages reached and versions taken back, merged in any order."""

import hashlib

import attrs


@attrs.frozen
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
    """A stage that a zone's relay has cleared for one route of a rollout."""

    key: RolloutKey
    availability_zone: str
    route: str
    stage: int


@attrs.frozen
class TakeBack:
    """A version taken back. It never lapses.

    Parameters
    ----------
    key : RolloutKey
        The rollout.
    reason : str
        What convicted the version, for the report.
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
    """All marks known to a VM. The merge is commutative and idempotent."""

    def __init__(self) -> None:
        self.stages_by_place: dict[tuple[RolloutKey, str, str], int] = {}
        self.take_backs_by_key: dict[RolloutKey, TakeBack] = {}

    def merge_stage(self, mark: StageMark) -> bool:
        """Keep the higher stage; return whether the mark was news."""
        place = (mark.key, mark.availability_zone, mark.route)
        if mark.stage <= self.stages_by_place.get(place, 0):
            return False
        self.stages_by_place[place] = mark.stage
        return True

    def merge_take_back(self, mark: TakeBack) -> bool:
        """Keep the earliest take-back of a rollout; return whether it was news."""
        held = self.take_backs_by_key.get(mark.key)
        if held is not None and _order(held) <= _order(mark):
            return False
        self.take_backs_by_key[mark.key] = mark
        return True

    def stage(self, key: RolloutKey, availability_zone: str, route: str) -> int:
        """Return the stage cleared, 0 when none is."""
        return self.stages_by_place.get((key, availability_zone, route), 0)

    def is_taken_back(self, key: RolloutKey) -> bool:
        """Return whether the rollout's new version is taken back."""
        return key in self.take_backs_by_key

    def digest(self) -> int:
        """Return a digest that is equal for equal marks, 64 bits."""
        stages = sorted(
            (key.name, key.number, zone, route, stage)
            for (key, zone, route), stage in self.stages_by_place.items()
        )
        take_backs = sorted(map(attrs.astuple, self.take_backs_by_key.values()))
        text = repr((stages, take_backs)).encode("utf-8", "surrogatepass")
        return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def _order(mark: TakeBack) -> tuple[float, str, str]:
    return (mark.at, mark.by_vm_id, mark.reason)
