"""Metrics of a VM on a platform with a metadata store.

The values are kept in plain objects. `metrics.sidecar_page` shows them with
prometheus_client, which takes memory and time at a start and is loaded when the metrics
are first asked for.
"""

import bisect
from collections import Counter
from collections.abc import Callable, Mapping

# Bounds in seconds.
CALL_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.2, 2.5, 5.0)
LAG_BUCKETS = (0.002, 0.01, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
DELAY_BUCKETS = (0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 2.5, 5.0, 10.0, 20.0)

LabelledValues = Mapping[tuple[str, ...], float]


class HistogramValues:
    """Numbers of observations by upper bound.

    Parameters
    ----------
    bounds : tuple of float
        Upper bounds, ascending; greater values are counted behind the last one.

    Attributes
    ----------
    counts : list of int
        Observations of each bucket, not cumulated.
    total : float
        Sum of all observations.
    """

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Count one value."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value


class SidecarMetrics:
    """Counters and histograms of one process.

    Attributes
    ----------
    calls_by_status, runs_by_status : Counter
        Calls of callers, and calls at the backend server; status 0 is no answer.
    account_calls : Counter
        First calls of client accounts by account and outcome: asked, admitted,
        refused_quota and refused_capacity.
    call_seconds, run_seconds, loop_lag_seconds : HistogramValues
        Durations in seconds.
    abandoned_run_seconds : HistogramValues
        Time that calls had run at the backend server when their caller gave up, in
        seconds.
    configuration_delay_seconds : HistogramValues
        Longest time that each change of the operators' records can have taken from the
        store to this VM, in seconds.
    configuration_number, configuration_age_seconds : callable
        Return the version in force, and the time since this VM last held the newest
        records of the operators for certain.
    store_era, store_era_seen_at : callable
        Return the era of the store, and when it was first seen in seconds since 1970;
        0 if the store states none.
    mesh_bytes, store_calls, upstream_arrivals, unusable_responses,
    capacity_calls, closed_clients, silent_calls : callable
        Return values that other parts keep, by their labels.
    client_held_bytes : callable
        Returns the bytes that clients make the process hold.
    """

    def __init__(self) -> None:
        self.calls_by_status: Counter[int] = Counter()
        self.runs_by_status: Counter[int] = Counter()
        self.account_calls: Counter[tuple[str, str]] = Counter()
        self.call_seconds = HistogramValues(CALL_BUCKETS)
        self.run_seconds = HistogramValues(CALL_BUCKETS)
        self.abandoned_run_seconds = HistogramValues(CALL_BUCKETS)
        self.loop_lag_seconds = HistogramValues(LAG_BUCKETS)
        self.configuration_delay_seconds = HistogramValues(DELAY_BUCKETS)
        self.configuration_number: Callable[[], float] = lambda: 0
        self.configuration_age_seconds: Callable[[], float] = lambda: 0.0
        self.store_era: Callable[[], float] = lambda: 0
        self.store_era_seen_at: Callable[[], float] = lambda: 0.0
        self.mesh_bytes: Callable[[], LabelledValues] = dict
        self.store_calls: Callable[[], LabelledValues] = dict
        self.upstream_arrivals: Callable[[], LabelledValues] = dict
        self.silent_calls: Callable[[], LabelledValues] = dict
        self.capacity_calls: Callable[[], LabelledValues] = dict
        self.unusable_responses: Callable[[], LabelledValues] = dict
        self.closed_clients: Callable[[], LabelledValues] = dict
        self.client_held_bytes: Callable[[], float] = lambda: 0

    def count_call(self, route: str, status: int, seconds: float) -> None:
        """Count one call of a caller."""
        self.calls_by_status[status] += 1
        self.call_seconds.observe(seconds)

    def count_run(self, route: str, status: int, ms: float) -> None:
        """Count one call at the backend server."""
        self.runs_by_status[status] += 1
        self.run_seconds.observe(ms / 1000)

    def count_abandoned_run(self, ms: float) -> None:
        """Count one call whose caller gave up while the backend server ran it."""
        self.abandoned_run_seconds.observe(ms / 1000)
