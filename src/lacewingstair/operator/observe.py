"""Connects the metrics to the parts whose state they show."""

from collections import Counter
from collections.abc import Callable, Mapping, Sized
from typing import Any

from lacewingstair.acceptance import MeshState
from lacewingstair.directory import Directory, VmStatus
from lacewingstair.marks import Marks
from lacewingstair.metrics import (
    ROLLOUT_STATES,
    Metrics,
    follow,
    follow_labelled,
)
from lacewingstair.operator.health import Health
from lacewingstair.platform.status import LogStatus
from lacewingstair.store import StateStore

_STATUS_NAMES = tuple(status.name.lower() for status in VmStatus)


def observe(
    metrics: Metrics,
    *,
    store: StateStore,
    directory: Directory,
    marks: Marks,
    links: Sized,
    report: Callable[[], Mapping[str, Any]],
    health: Callable[[], Health],
    is_reader: Callable[[], bool],
    log_status: LogStatus,
) -> None:
    """Let the metrics follow the parts; values are read when ``/metrics`` is."""
    follow(metrics.ticket_number, lambda: store.state.number)
    follow(metrics.links, lambda: len(links))
    follow(metrics.endpoints, lambda: _endpoints(directory))
    follow(metrics.take_backs, lambda: len(marks.take_backs_by_key))
    follow(metrics.log_up, lambda: float(log_status.is_log_up))
    follow(metrics.log_gap, lambda: float(log_status.has_gap))
    follow(metrics.log_lost_data, lambda: float(log_status.has_lost_data))
    take_backs = metrics.queue_size.labels("take_backs")
    follow(take_backs, lambda: log_status.pending_take_backs)
    follow(metrics.log_reader, lambda: float(is_reader()))
    follow(metrics.ready, lambda: float(health().ready))
    follow_labelled(metrics.vms, _STATUS_NAMES, lambda: _statuses(directory))
    follow_labelled(metrics.rollouts, ROLLOUT_STATES, lambda: _rollouts(report()))

    def count_refused(before: MeshState, after: MeshState) -> None:
        new = [d for d in after.refusals if d.offset >= before.next_offset]
        metrics.refused_tickets.inc(len(new))

    store.subscribe(count_refused)


def _endpoints(directory: Directory) -> int:
    return sum(len(record.endpoints) for record in directory.live())


def _statuses(directory: Directory) -> Counter[str]:
    return Counter(record.status.name.lower() for record in directory)


def _rollouts(report: Mapping[str, Any]) -> Counter[str]:
    return Counter(entry["state"] for entry in report["rollouts"].values())
