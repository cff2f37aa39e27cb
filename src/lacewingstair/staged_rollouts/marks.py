"""Progress of a rollout as exchanged between VMs."""

from collections.abc import Iterator

import attrs

from lacewingstair.staged_rollouts.policy import Stage

# Versions of a service whose ends are remembered.
MAX_FINAL_MARKS = 8


@attrs.frozen
class RolloutMark:
    """Progress of a rollout, sent from one VM to another.

    Parameters
    ----------
    service : str
        Service that is rolled out.
    order_offset : int
        Offset of the order.
    stage : Stage
        Stage that the rollout has reached.
    elapsed_seconds : float
        Time since the order.
    is_reported : bool
        Whether the report in the store has reached this stage.
    target_version : str
        Version that is rolled out.
    stage_seconds : float
        Time since the stage was entered.
    """

    service: str
    order_offset: int
    stage: Stage
    elapsed_seconds: float
    is_reported: bool
    target_version: str
    stage_seconds: float = 0.0


def precedence(mark: RolloutMark) -> tuple[int, bool, Stage]:
    """Return the sort key by which one mark supersedes another.

    Within an order, a mark of a final report supersedes any other.
    """
    is_decided = mark.is_reported and mark.stage.is_final
    return (mark.order_offset, is_decided, mark.stage)


class FinalMarks:
    """How the rollouts of versions ended, also of orders that were replaced."""

    def __init__(self) -> None:
        # By service and version, the oldest first.
        self._by_service: dict[str, dict[str, RolloutMark]] = {}

    def __iter__(self) -> Iterator[RolloutMark]:
        for marks_by_version in self._by_service.values():
            yield from marks_by_version.values()

    def add(self, mark: RolloutMark) -> None:
        """Add a final mark unless one that supersedes it is known."""
        marks_by_version = self._by_service.setdefault(mark.service, {})
        known = marks_by_version.pop(mark.target_version, mark)
        marks_by_version[mark.target_version] = max(known, mark, key=precedence)
        while len(marks_by_version) > MAX_FINAL_MARKS:
            del marks_by_version[next(iter(marks_by_version))]

    def move(self, service: str, version: str, order_offset: int) -> None:
        """Give the order of a version the position that it has in a new era."""
        marks_by_version = self._by_service.get(service, {})
        mark = marks_by_version.get(version)
        if mark is not None:
            marks_by_version[version] = attrs.evolve(mark, order_offset=order_offset)

    def forget(self, service: str, version: str) -> None:
        """Forget how the rollout of a version ended."""
        self._by_service.get(service, {}).pop(version, None)

    def is_rolled_back(self, service: str, version: str) -> bool:
        """Return whether a version was rolled back."""
        mark = self._by_service.get(service, {}).get(version)
        return mark is not None and mark.stage is Stage.ROLLED_BACK
