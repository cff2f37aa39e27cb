"""Plain policies that the rollouts are measured against, one judge per VM.

They share the schedule of the project, by time alone, and its marks.
"""

import random
from collections import deque
from collections.abc import Callable
from typing import Protocol

from lacewingstair.registry import Registry
from lacewingstair.rollouts import schedule
from lacewingstair.rollouts.marks import RollbackMark
from lacewingstair.routing.outcomes import CallOutcome, CallResult
from lacewingstair.standins.rollout_mesh import SimulatedVm, key_of

THRESHOLD_RATIO = 0.05
THRESHOLD_SECONDS = 10.0
THRESHOLD_MIN_CALLS = 10
CONSECUTIVE_FAILURES = 5


class Policy(Protocol):
    """Chooses versions and takes outcomes."""

    def choose_version(self, route: str, service: str) -> str:
        """Return the version for one call."""
        ...

    def record(self, outcome: CallOutcome) -> None:
        """Take one outcome."""
        ...


policies: Registry[Callable[[SimulatedVm, random.Random], Policy]] = Registry("policy")


@policies.register("sequential tests")
def sequential(vm: SimulatedVm, _: random.Random) -> Policy:
    """Return the controller of the project."""
    return vm.controller


@policies.register("schedule only")
class ScheduleOnly:
    """Moves by time and never takes back."""

    def __init__(self, vm: SimulatedVm, rng: random.Random) -> None:
        self._vm = vm
        self._rng = rng

    def choose_version(self, route: str, service: str) -> str:
        """Return the version for one call."""
        if self._vm.marks.is_rolled_back(key_of(self._vm)):
            return "v1"
        return "v2" if self._rng.random() < self._share() else "v1"

    def record(self, outcome: CallOutcome) -> None:
        """Take one outcome."""
        if outcome.version == "v2" and outcome.result is not CallResult.NOT_RUN:
            self.judge(outcome.result is CallResult.FAILED)

    def judge(self, is_failed: bool) -> None:
        """Judge one call of the new version."""

    def take_back(self, reason: str) -> None:
        """Publish a take-back."""
        vm = self._vm
        mark = RollbackMark(key_of(vm), reason, "", vm.clock.wall(), vm.vm_id)
        vm.mesh.publish_mark(vm, mark)

    def _share(self) -> float:
        rollout = self._vm.store.state.rollouts["move"]
        now = self._vm.clock.wall()
        stage = max(
            s
            for s in range(schedule.FINAL_STAGE + 1)
            if s == 0 or now >= schedule.earliest_entry(rollout, s)
        )
        entered = schedule.earliest_entry(rollout, stage)
        return schedule.new_version_share(rollout, stage, entered, now)


@policies.register("5% over 10 s")
class FixedThreshold(ScheduleOnly):
    """Takes back above a failure ratio over a window of fixed length."""

    def __init__(self, vm: SimulatedVm, rng: random.Random) -> None:
        super().__init__(vm, rng)
        self._calls: deque[tuple[float, bool]] = deque()

    def judge(self, is_failed: bool) -> None:
        """Judge one call of the new version."""
        now = self._vm.clock.monotonic()
        self._calls.append((now, is_failed))
        while self._calls[0][0] < now - THRESHOLD_SECONDS:
            self._calls.popleft()
        failed = sum(bad for _, bad in self._calls)
        count = len(self._calls)
        if count >= THRESHOLD_MIN_CALLS and failed > THRESHOLD_RATIO * count:
            self.take_back("failure ratio")


@policies.register("5 consecutive failures")
class ConsecutiveFailures(ScheduleOnly):
    """Takes back after consecutive failures, as in the ScalWS load balancing guide."""

    def __init__(self, vm: SimulatedVm, rng: random.Random) -> None:
        super().__init__(vm, rng)
        self._failures = 0

    def judge(self, is_failed: bool) -> None:
        """Judge one call of the new version."""
        self._failures = self._failures + 1 if is_failed else 0
        if self._failures >= CONSECUTIVE_FAILURES:
            self.take_back("consecutive failures")
