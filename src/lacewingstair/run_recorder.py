"""Records the runs of calls at the backend server of a VM, for metrics and rollouts."""

from collections.abc import Callable

from lacewingstair.metrics.sidecar import SidecarMetrics
from lacewingstair.runtime import Clock
from lacewingstair.staged_rollouts.coordinator import RolloutCoordinator


class RunRecorder:
    """Counts runs, and tells the rollouts of them as far as they judge the version.

    Parameters
    ----------
    metrics : SidecarMetrics
        Counts all runs.
    rollouts : RolloutCoordinator
        Compares the runs of versions.
    service, version : callable
        Return what the backend server on this VM runs.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        metrics: SidecarMetrics,
        rollouts: RolloutCoordinator,
        service: Callable[[], str],
        version: Callable[[], str],
        clock: Clock,
    ) -> None:
        self._metrics = metrics
        self._rollouts = rollouts
        self._service = service
        self._version = version
        self._clock = clock
        self._cold_until = 0.0

    def note_warmup(self, remaining_seconds: float) -> None:
        """Take the time for which the durations of runs still say nothing."""
        self._cold_until = self._clock.monotonic() + remaining_seconds

    def record(
        self, route: str, status: int, ms: float, has_unserved_call: bool
    ) -> None:
        """Record a run that has ended; status 0 is no answer."""
        self._metrics.count_run(route, status, ms)
        if has_unserved_call:
            # Its failure says nothing about the version of this backend server.
            return
        is_cold = self._clock.monotonic() < self._cold_until
        self._rollouts.record_call(
            self._service(),
            self._version(),
            route,
            status == 0 or status >= 500,
            None if is_cold else ms,
        )

    def record_abandoned(self, route: str, ms: float) -> None:
        """Record a run whose caller gave up after this time."""
        self._metrics.count_abandoned_run(ms)
        service, version = self._service(), self._version()
        self._rollouts.record_abandoned_call(service, version, route, ms)
