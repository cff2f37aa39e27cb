"""Rollouts of the configuration with their marks in one availability zone."""

from lacewingstair.rollouts import schedule
from lacewingstair.rollouts.marks import Marks, RolloutKey, StageMark
from lacewingstair.tickets.acceptance import MeshState
from lacewingstair.tickets.parsing import Rollout
from lacewingstair.tickets.state_store import StateStore


class RolloutView:
    """Read access to rollouts and their marks, as seen by one availability zone.

    Parameters
    ----------
    availability_zone : str
        Zone whose stage marks apply.
    store, marks
        Active configuration and marks.
    """

    def __init__(self, availability_zone: str, store: StateStore, marks: Marks) -> None:
        self.availability_zone = availability_zone
        self._store = store
        self._marks = marks

    @property
    def state(self) -> MeshState:
        """Active configuration."""
        return self._store.state

    @property
    def marks_version(self) -> int:
        """Number that increases with every change of the marks."""
        return self._marks.version

    def rollouts(self) -> list[tuple[RolloutKey, Rollout]]:
        """Return the rollouts of the configuration."""
        state = self._store.state
        return [
            (RolloutKey(name, state.rollout_numbers[name]), rollout)
            for name, rollout in state.rollouts.items()
        ]

    def is_configured(self, key: RolloutKey) -> bool:
        """Return whether the configuration contains this rollout with this number."""
        return self._store.state.rollout_numbers.get(key.name) == key.number

    def is_rolled_back(self, key: RolloutKey) -> bool:
        """Return whether the rollout has a rollback mark."""
        return self._marks.is_rolled_back(key)

    def stage(self, key: RolloutKey, route: str) -> int:
        """Return the stage that the zone has reached on a route."""
        return self._marks.stage(key, self.availability_zone, route)

    def stage_mark(self, key: RolloutKey, route: str) -> StageMark | None:
        """Return the zone's stage mark of a route, None if there is none yet."""
        scope = (key, self.availability_zone, route)
        return self._marks.stage_marks_by_scope.get(scope)

    def active_keys(self, wall: float) -> list[RolloutKey]:
        """Return the rollouts that are active at a wall time in seconds."""
        return [
            key
            for key, rollout in self.rollouts()
            if self.is_active(key, rollout, wall)
        ]

    def is_active(self, key: RolloutKey, rollout: Rollout, wall: float) -> bool:
        """Return whether a rollout is in progress or monitored at a wall time."""
        if wall < rollout.start or self._marks.is_rolled_back(key):
            return False
        if wall < schedule.monitoring_end(rollout):
            return True
        return any(
            self.stage(key, route) < schedule.FINAL_STAGE
            for route in routes_of(self._store.state, rollout)
        )


def routes_of(state: MeshState, rollout: Rollout) -> tuple[str, ...]:
    """Return the names of the routes that a rollout affects, sorted."""
    names = (
        name for name, route in state.routes.items() if route.service == rollout.service
    )
    return tuple(sorted(names))
