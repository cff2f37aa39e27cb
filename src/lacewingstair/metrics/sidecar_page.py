"""Page of the metrics of a VM on a platform with a metadata store."""

import itertools
from collections import Counter
from collections.abc import Iterator, Mapping

import attrs
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from prometheus_client.registry import Collector
from prometheus_client.utils import floatToGoString

from lacewingstair.metrics.names import metric_names
from lacewingstair.metrics.sidecar import HistogramValues, SidecarMetrics


@attrs.frozen
class MetricsPage:
    """Page that a scrape gets."""

    body: bytes
    content_type: str


class SidecarCollector(Collector):
    """Yields the present values of the metrics.

    Parameters
    ----------
    metrics : SidecarMetrics
        What is shown.
    """

    def __init__(self, metrics: SidecarMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield each metric."""
        metrics = self._metrics
        yield _counter(
            "lacewingstair_caller_calls",
            "Calls of callers on this VM, by status; 0 without an answer.",
            ("status",),
            _by_label(metrics.calls_by_status),
        )
        yield _counter(
            "lacewingstair_account_calls",
            "First calls of client accounts, by account and outcome.",
            ("account", "outcome"),
            metrics.account_calls,
        )
        yield _histogram(
            "lacewingstair_caller_call_seconds",
            "Time from the head of a call to its answer, seconds.",
            metrics.call_seconds,
        )
        yield _counter(
            "lacewingstair_upstream_runs",
            "Calls sent to the backend server of this VM, by status; 0 without one.",
            ("status",),
            _by_label(metrics.runs_by_status),
        )
        yield _histogram(
            "lacewingstair_upstream_run_seconds",
            "Time that a call takes at the gate and the backend server, seconds.",
            metrics.run_seconds,
        )
        yield _histogram(
            "lacewingstair_upstream_abandoned_run_seconds",
            "Time that a call had run when its caller gave up, seconds.",
            metrics.abandoned_run_seconds,
        )
        yield _histogram(
            "lacewingstair_loop_lag_seconds",
            "Delay of the event loop at checks, four a second, seconds.",
            metrics.loop_lag_seconds,
        )
        yield _gauge(
            "lacewingstair_configuration_number",
            "Version of the configuration in force; 0 before the first.",
            metrics.configuration_number(),
        )
        yield _gauge(
            "lacewingstair_configuration_age_seconds",
            "Time since this VM last held the newest configuration for certain.",
            metrics.configuration_age_seconds(),
        )
        yield _gauge(
            "lacewingstair_store_era",
            "Times that the store came back from an older copy; 0 if not stated.",
            metrics.store_era(),
        )
        yield _gauge(
            "lacewingstair_store_era_seen_timestamp_seconds",
            "When this VM first saw the era of the store, seconds since 1970.",
            metrics.store_era_seen_at(),
        )
        yield _histogram(
            "lacewingstair_configuration_delay_seconds",
            "Longest time that a change can have taken from the store to this VM.",
            metrics.configuration_delay_seconds,
        )
        yield _counter(
            "lacewingstair_mesh_bytes",
            "Bytes between VMs and with the store, by kind, distance and direction.",
            ("kind", "distance", "direction"),
            metrics.mesh_bytes(),
        )
        yield _counter(
            "lacewingstair_store_calls",
            "Calls to the platform's store, by operation.",
            ("operation",),
            metrics.store_calls(),
        )
        yield _counter(
            "lacewingstair_upstream_arrivals",
            "Calls sent to the backend server of this VM, by why they were sent.",
            ("origin",),
            metrics.upstream_arrivals(),
        )
        yield _counter(
            "lacewingstair_capacity_calls",
            "Calls at the gate of this VM, by account and by admission or refusal.",
            ("account", "outcome"),
            metrics.capacity_calls(),
        )
        yield _counter(
            "lacewingstair_upstream_unusable_responses",
            "Responses of the backend server outside the protocol, by fault.",
            ("fault",),
            metrics.unusable_responses(),
        )
        yield _counter(
            "lacewingstair_closed_clients",
            "Clients that were refused or closed for a limit, by reason.",
            ("reason",),
            metrics.closed_clients(),
        )
        yield _gauge(
            "lacewingstair_client_held_bytes",
            "Bytes that clients at all addresses make the process hold.",
            metrics.client_held_bytes(),
        )
        yield _counter(
            "lacewingstair_upstream_silent_calls",
            "Calls without an answer although later ones were answered.",
            (),
            metrics.silent_calls(),
        )


def registry_of(metrics: SidecarMetrics) -> CollectorRegistry:
    """Return a registry that shows the metrics."""
    registry = CollectorRegistry()
    registry.register(SidecarCollector(metrics))
    return registry


def render(metrics: SidecarMetrics) -> MetricsPage:
    """Return the page of the present values."""
    return MetricsPage(generate_latest(registry_of(metrics)), CONTENT_TYPE_LATEST)


def names() -> list[str]:
    """Return the name of every metric as the page shows it."""
    return metric_names(registry_of(SidecarMetrics()))


def _by_label(counts: Counter[int]) -> dict[tuple[str, ...], float]:
    return {(str(value),): count for value, count in counts.items()}


def _counter(
    name: str,
    text: str,
    labels: tuple[str, ...],
    values: Mapping[tuple[str, ...], float],
) -> CounterMetricFamily:
    family = CounterMetricFamily(name, text, labels=labels)
    for found, value in sorted(values.items()):
        family.add_metric(found, value)
    return family


def _gauge(name: str, text: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(name, text, value=value)


def _histogram(name: str, text: str, values: HistogramValues) -> HistogramMetricFamily:
    bounds = [*map(floatToGoString, values.bounds), "+Inf"]
    buckets = list(zip(bounds, itertools.accumulate(values.counts), strict=True))
    return HistogramMetricFamily(name, text, buckets=buckets, sum_value=values.total)
