"""Prometheus metrics of a VM on a platform with a metadata store."""

from prometheus_client import CollectorRegistry, Counter, Histogram

from lacewingstair.metrics.followed import FollowedCounter
from lacewingstair.metrics.names import metric_names

# Bounds in seconds.
CALL_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.2, 2.5, 5.0)
LAG_BUCKETS = (0.002, 0.01, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)


class SidecarMetrics:
    """Counters and histograms, in a registry of their own.

    Attributes
    ----------
    registry : CollectorRegistry
        What ``/metrics`` shows.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.calls = Counter(
            "lacewingstair_caller_calls",
            "Calls of callers on this VM, by status; 0 without an answer.",
            ("status",),
            registry=self.registry,
        )
        self.call_seconds = Histogram(
            "lacewingstair_caller_call_seconds",
            "Time from the head of a call to its answer, seconds.",
            buckets=CALL_BUCKETS,
            registry=self.registry,
        )
        self.runs = Counter(
            "lacewingstair_upstream_runs",
            "Calls sent to the backend server of this VM, by status; 0 without one.",
            ("status",),
            registry=self.registry,
        )
        self.run_seconds = Histogram(
            "lacewingstair_upstream_run_seconds",
            "Time that a call takes at the gate and the backend server, seconds.",
            buckets=CALL_BUCKETS,
            registry=self.registry,
        )
        self.loop_lag_seconds = Histogram(
            "lacewingstair_loop_lag_seconds",
            "Delay of the event loop at checks, four a second, seconds.",
            buckets=LAG_BUCKETS,
            registry=self.registry,
        )
        self.mesh_bytes = FollowedCounter(
            "lacewingstair_mesh_bytes",
            "Bytes between VMs and with the store, by kind, distance and direction.",
            ("kind", "distance", "direction"),
        )
        self.registry.register(self.mesh_bytes)
        self.upstream_arrivals = FollowedCounter(
            "lacewingstair_upstream_arrivals",
            "Calls sent to the backend server of this VM, by why they were sent.",
            ("origin",),
        )
        self.registry.register(self.upstream_arrivals)

    def names(self) -> list[str]:
        """Return the name of every metric as ``/metrics`` shows it."""
        return metric_names(self.registry)

    def count_call(self, route: str, status: int, seconds: float) -> None:
        """Count one call of a caller."""
        self.calls.labels(str(status)).inc()
        self.call_seconds.observe(seconds)

    def count_run(self, route: str, status: int, ms: float) -> None:
        """Count one call at the backend server."""
        self.runs.labels(str(status)).inc()
        self.run_seconds.observe(ms / 1000)
