"""Work of one upstream: its speed, the costs of its calls, and what is left to do."""

import attrs

from lacewingstair.work.backlog import first_end_ms, remaining_ms
from lacewingstair.work.estimates import CallClass, CostEstimates
from lacewingstair.work.speed import USUAL_PERCENT, StatedSpeed


@attrs.define(eq=False)
class RunningWork:
    """A running call.

    Parameters
    ----------
    call : CallClass
        What is known of the call.
    expected_ms : float
        Its expected cost.
    started_at_ms : float
        Work that a slot had done when the call started.
    """

    call: CallClass
    expected_ms: float
    started_at_ms: float


class UpstreamWork:
    """Follows the work of one upstream; costs are at the usual speed of its machine."""

    def __init__(self) -> None:
        self._speed = StatedSpeed()
        self._costs = CostEstimates()
        self._running: set[RunningWork] = set()

    def is_known(self, now: float) -> bool:
        """Return whether the upstream states the speed of its machine."""
        return self._speed.is_known(now)

    def state_percent(self, percent: int, now: float) -> None:
        """Take a stated figure: how long work takes, in percent of the usual."""
        self._speed.state(percent, now)

    def percent(self, now: float) -> int:
        """Return the expected figure, or 0 if none is stated."""
        return max(1, round(self._speed.percent(now))) if self.is_known(now) else 0

    def slowness(self, now: float) -> float:
        """Return how many times as long as usual work takes; 1 if none is stated."""
        if not self.is_known(now):
            return 1.0
        return self._speed.percent(now) / USUAL_PERCENT

    def mean_ms(self, default_ms: float) -> float:
        """Return the mean cost of all calls, or a default before the first."""
        return default_ms if self._costs.is_empty else self._costs.mean_ms

    def expected_ms(self, call: CallClass, default_ms: float, now: float) -> float:
        """Return the expected cost of a call, or a default before the first."""
        if self._costs.is_empty:
            return default_ms
        return self._costs.expected_ms(call, now)

    def start(self, call: CallClass, now: float) -> RunningWork:
        """Add a running call."""
        expected_ms = 0.0
        if self.is_known(now):
            expected_ms = self._costs.expected_ms(call, now)
        running = RunningWork(call, expected_ms, self._speed.work_ms(now))
        self._running.add(running)
        return running

    def end(self, running: RunningWork, now: float, *, is_representative: bool) -> None:
        """Remove a running call, and record its cost if it is representative."""
        self._running.discard(running)
        if is_representative and self.is_known(now):
            cost_ms = self._speed.work_ms(now) - running.started_at_ms
            self._costs.record(running.call, cost_ms, now)

    def remaining_ms(self, now: float) -> list[float]:
        """Return the cost that is expected to remain of each running call."""
        done_ms = self._speed.work_ms(now)
        mean_ms = self._costs.mean_ms
        return [
            remaining_ms(call.expected_ms or mean_ms, done_ms - call.started_at_ms)
            for call in self._running
        ]

    def first_end_ms(self, now: float) -> float:
        """Return the expected work of a slot until the first running call ends."""
        return first_end_ms(self.remaining_ms(now))

    def reset(self) -> None:
        """Forget speed and costs, after the upstream was replaced."""
        self._speed.reset()
        self._costs = CostEstimates()
