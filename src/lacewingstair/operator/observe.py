"""Connects the metrics to the parts whose state they show."""

from collections import Counter
from collections.abc import Callable, Mapping, Sized
from typing import Any

from lacewingstair.metrics.daemon import (
    ROLLOUT_STATES,
    Metrics,
    follow,
    follow_labelled,
)
from lacewingstair.operator.health import Health
from lacewingstair.rollouts.marks import Marks
from lacewingstair.ticket_log.http_log import HttpLogClient
from lacewingstair.ticket_log.status import LogStatus
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.vm.directory import Directory, VmStatus
from lacewingstair.vm.traffic import LinkTraffic

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
    log: HttpLogClient,
    log_status: LogStatus,
    traffic: LinkTraffic,
) -> None:
    """Let the metrics follow the parts; values are read when ``/metrics`` is."""
    follow(metrics.ticket_number, lambda: store.state.number)
    follow(metrics.links, lambda: len(links))
    follow(metrics.endpoints, lambda: _endpoints(directory))
    follow(metrics.take_backs, lambda: len(marks.rollbacks_by_key))
    follow(metrics.log_up, lambda: float(log_status.is_log_up))
    follow(metrics.log_gap, lambda: float(log_status.has_gap))
    follow(metrics.log_lost_data, lambda: float(log_status.has_lost_data))
    take_backs = metrics.queue_size.labels("take_backs")
    follow(take_backs, lambda: log_status.pending_take_backs)
    follow(metrics.log_reader, lambda: float(is_reader()))
    follow(metrics.ready, lambda: float(health().ready))
    follow_labelled(metrics.vms, _STATUS_NAMES, lambda: _statuses(directory))
    follow_labelled(metrics.rollouts, ROLLOUT_STATES, lambda: _rollouts(report()))

    metrics.refused_tickets.follow(lambda: {(): store.refused})
    metrics.control_bytes.follow(lambda: _control_bytes(traffic, log))
    follow(metrics.send_queue_bytes, traffic.queued_bytes)
    follow(metrics.convergence_lag_seconds, lambda: _lag(log_status))


def _control_bytes(
    traffic: LinkTraffic, log: HttpLogClient
) -> dict[tuple[str, str], int]:
    return {
        **traffic.bytes_by_distance_and_direction(),
        ("log", "sent"): log.bytes_sent,
        ("log", "received"): log.bytes_received,
    }


def _lag(log_status: LogStatus) -> float:
    lag = log_status.lag_seconds
    return float("nan") if lag is None else lag


def _endpoints(directory: Directory) -> int:
    return sum(len(record.endpoints) for record in directory.live())


def _statuses(directory: Directory) -> Counter[str]:
    return Counter(record.status.name.lower() for record in directory)


def _rollouts(report: Mapping[str, Any]) -> Counter[str]:
    return Counter(entry["state"] for entry in report["rollouts"].values())
