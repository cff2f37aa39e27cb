"""All Prometheus metrics of the daemon, with their units.

The composition root creates one `Metrics` and passes it, or single metrics of it, to
the parts. ``docs/OPERATIONS.md`` explains each metric and what to do about it.
"""

from collections.abc import Callable, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from lacewingstair.metrics.followed import FollowedCounter
from lacewingstair.metrics.names import metric_names
from lacewingstair.routing.outcomes import CallOutcome

# Bounds in seconds, closest around the 1.7 ms that a call may add.
LATENCY_BUCKETS = (
    0.001,
    0.002,
    0.003,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)
ROLLOUT_STATES = ("waiting", "in progress", "done", "taken back")


class Metrics:
    """Metrics of one VM, in a registry of its own.

    Attributes
    ----------
    registry : CollectorRegistry
        What ``/metrics`` shows.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.attempts = self._counter(
            "attempts", "Attempts at backend servers, by outcome.", ("route", "outcome")
        )
        self.attempt_seconds = Histogram(
            "lacewingstair_attempt_seconds",
            "Time from dispatch to the head of the answer, seconds.",
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.unusable_responses = self._followed(
            "unusable_responses",
            "Responses of backend servers outside the protocol, by fault.",
            ("fault",),
        )
        self.calls = self._counter(
            "calls", "Calls answered to callers, by status class.", ("status",)
        )
        self.call_seconds = Histogram(
            "lacewingstair_call_seconds",
            "Time from the head of a call to the end of its answer, seconds.",
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.control_bytes = self._followed(
            "control_bytes",
            "Bytes between VMs and with the log, by kind of peer and direction.",
            ("peer", "direction"),
        )
        self.closed_clients = self._followed(
            "closed_clients",
            "Clients that were refused or closed for a limit, by reason.",
            ("reason",),
        )
        self.refused_tickets = self._followed(
            "refused_tickets",
            "Records of the ticket stream that this VM has refused.",
        )
        self.ticket_number = self._gauge(
            "ticket_number", "Number of the ticket in force."
        )
        self.convergence_lag_seconds = self._gauge(
            "convergence_lag_seconds",
            "Time from the log's time of a record to its application, seconds;"
            " on log readers alone; NaN until measured.",
        )
        self.log_up = self._gauge("log_up", "1 while the log answers this VM, else 0.")
        self.log_gap = self._gauge(
            "log_gap", "1 while records have expired that no checkpoint covers."
        )
        self.log_lost_data = self._gauge(
            "log_lost_data",
            "1 while the log ends before records that this VM has applied.",
        )
        self.log_reader = self._gauge("log_reader", "1 while this VM reads the log.")
        self.links = self._gauge("links", "Open links to other VMs.")
        self.vms = self._gauge("vms", "VMs in the directory, by status.", ("status",))
        self.endpoints = self._gauge("endpoints", "Endpoints of live VMs.")
        self.rollouts = self._gauge("rollouts", "Rollouts, by state.", ("state",))
        self.take_backs = self._gauge(
            "take_backs", "Rollouts known to be taken back since the process started."
        )
        self.queue_size = self._gauge(
            "queue_size", "Entries that wait in a queue, by queue.", ("queue",)
        )
        self.send_queue_bytes = self._gauge(
            "send_queue_bytes", "Bytes that wait to be sent on links to other VMs."
        )
        self.ready = self._gauge("ready", "1 while the VM takes calls, else 0.")

    def record(self, outcome: CallOutcome) -> None:
        """Count one attempt; makes the metrics an `OutcomeSink`."""
        self.attempts.labels(outcome.route, outcome.result.value).inc()
        self.attempt_seconds.observe(outcome.latency_seconds)

    def count_call(self, status: int, seconds: float) -> None:
        """Count one call that was answered, or whose caller left (status 0)."""
        self.calls.labels(f"{status // 100}xx" if status else "aborted").inc()
        self.call_seconds.observe(seconds)

    def names(self) -> list[str]:
        """Return the name of every metric as ``/metrics`` shows it."""
        return metric_names(self.registry)

    def _counter(self, name: str, text: str, labels: tuple[str, ...] = ()) -> Counter:
        full = f"lacewingstair_{name}"
        return Counter(full, text, labels, registry=self.registry)

    def _followed(
        self, name: str, text: str, labels: tuple[str, ...] = ()
    ) -> FollowedCounter:
        counter = FollowedCounter(f"lacewingstair_{name}", text, labels)
        self.registry.register(counter)
        return counter

    def _gauge(self, name: str, text: str, labels: tuple[str, ...] = ()) -> Gauge:
        return Gauge(f"lacewingstair_{name}", text, labels, registry=self.registry)


def follow(gauge: Gauge, value: Callable[[], float]) -> None:
    """Let a gauge show a value that is read when the metrics are."""
    gauge.set_function(value)


def follow_labelled(
    gauge: Gauge, labels: tuple[str, ...], values: Callable[[], Mapping[str, float]]
) -> None:
    """Let a gauge with one label show a mapping that is read when the metrics are."""
    for label in labels:
        gauge.labels(label).set_function(lambda label=label: values().get(label, 0))
