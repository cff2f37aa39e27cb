"""Tracks the state of the local backend server from its reports; performs no I/O.

Reports may be delayed, duplicated or reordered, and a backend server can restart under
the same id. The start time distinguishes runs, the sequence number orders the reports
of one run, and a run whose deregistration was acknowledged is never used again.

A previous process on this VM may have acknowledged the deregistration, and a delayed
report can still say that the backend server is ready. The first run that is reported to
this process is therefore used only once it is confirmed: by a health check, which a
backend server that shuts down does not pass, or by new reports that continue for longer
than delayed ones arrive.

After a clock was set back, a new run has an earlier start time than the previous one.
Such a run is accepted once the previous one has expired, and has to be confirmed too.
"""

import enum

import attrs

from lacewingstair.backend_server.admission_proxy import UpstreamIdentity
from lacewingstair.vm.entries import UpstreamState

# Number of ended runs that are kept, so that their delayed reports are recognized.
MAX_ENDED_RUNS = 16
# Reports that continue for this long after the first one come from a live backend
# server; delayed reports do not arrive for as long.
CONFIRMATION_SECONDS = 5.0
# Sequence number of the state from a health check; every report is newer.
HEALTH_CHECK_SEQUENCE = -1


@attrs.frozen
class UpstreamReport:
    """State that a backend server reports of itself.

    Parameters
    ----------
    upstream_id : str
        Id of the backend server.
    service, address, version : str
        Its service, address and version.
    slots : int
        Calls that it runs concurrently.
    state : UpstreamState
        Ready or draining.
    sequence : int
        Increases with every report of one run.
    started_at_ms : int
        Start of the run in milliseconds since the Unix epoch; 0 if not reported.
    warmup_remaining_ms : float
        Time until the backend server is warm after its start.
    """

    upstream_id: str
    service: str
    address: str
    version: str
    slots: int
    state: UpstreamState
    sequence: int
    started_at_ms: int = 0
    warmup_remaining_ms: float = 0.0

    @property
    def run(self) -> tuple[int, str]:
        """Identity of one run of a backend server."""
        return (self.started_at_ms, self.upstream_id)


class ReportOutcome(enum.Enum):
    """Result of applying a report."""

    ACCEPTED = "taken"
    STALE = "stale"
    MISMATCHED = "foreign"


class UpstreamTracker:
    """Keeps the latest report of the local backend server.

    Parameters
    ----------
    service, address : str
        Service and address from the settings; reports with others are rejected.
    ttl_seconds : float
        Time after the last report at which the backend server is considered absent.
    """

    def __init__(self, service: str, address: str, ttl_seconds: float) -> None:
        self._service = service
        self._address = address
        self._ttl_seconds = ttl_seconds
        self._latest: UpstreamReport | None = None
        self._reported_at = 0.0
        self._ended_runs: list[tuple[int, str]] = []
        # Ids that deregistered before any of their reports was accepted here.
        self._deregistered_ids: list[str] = []
        self._is_unreachable = False
        # Expired run that was replaced by one with an earlier start time. It counts as
        # ended only once the replacement is confirmed, which may be a delayed report.
        self._expired_run: tuple[int, str] | None = None
        # First report of a run that is not confirmed yet; None once it is confirmed.
        self._unconfirmed_since: float | None = None

    @property
    def is_reported(self) -> bool:
        """Whether any state has been accepted since the start."""
        return self._latest is not None or bool(self._ended_runs)

    @property
    def needs_confirmation(self) -> bool:
        """Whether the latest run is not confirmed yet."""
        return self._latest is not None and self._unconfirmed_since is not None

    def confirm(self, upstream_id: str) -> bool:
        """Confirm the latest run by a health check; return whether it was confirmed.

        Parameters
        ----------
        upstream_id : str
            Id in the response to the health check.
        """
        if not self.needs_confirmation or self._latest.upstream_id != upstream_id:
            return False
        self._set_confirmed()
        return True

    def restore(
        self, upstream_id: str, slots: int, now: float, version: str = ""
    ) -> bool:
        """Use a backend server that passed a health check before its first report.

        Returns
        -------
        bool
            Whether it is used; it is not once anything has been reported.
        """
        if self.is_reported:
            return False
        self._latest = UpstreamReport(
            upstream_id,
            self._service,
            self._address,
            version,
            slots,
            UpstreamState.READY,
            HEALTH_CHECK_SEQUENCE,
        )
        self._reported_at = now
        return True

    def apply_report(self, report: UpstreamReport, now: float) -> ReportOutcome:
        """Apply a report; `now` is in monotonic seconds."""
        if report.service != self._service or report.address != self._address:
            return ReportOutcome.MISMATCHED
        if report.run in self._ended_runs:
            return ReportOutcome.STALE
        current = self._latest
        is_newer = current is None or _is_newer(report, current)
        if not is_newer and not self._may_replace_expired(report, current, now):
            return ReportOutcome.STALE
        is_restored = current is not None and current.sequence == HEALTH_CHECK_SEQUENCE
        if not self._follows_known_run(report):
            self._unconfirmed_since = now
        elif self._is_confirmed_by_time(report, now):
            self._set_confirmed()
        if current is not None and current.run != report.run and not is_restored:
            self._replace(current, is_newer)
        self._latest = report
        self._reported_at = now
        self._is_unreachable = False
        return ReportOutcome.ACCEPTED

    def deregister(self, upstream_id: str) -> None:
        """Apply the deregistration of a backend server."""
        current = self._latest
        if current is None or current.upstream_id != upstream_id:
            deregistered = [*self._deregistered_ids, upstream_id]
            self._deregistered_ids = deregistered[-MAX_ENDED_RUNS:]
            return
        self._record_ended(current.run)
        self._latest = None

    def mark_unreachable(self) -> None:
        """Mark a backend server that refuses connections absent until it reports."""
        self._is_unreachable = True

    def identity(self, now: float) -> UpstreamIdentity:
        """Return the identity and effective state of the backend server."""
        current = self._latest
        if current is None:
            return UpstreamIdentity()
        state = current.state
        is_unconfirmed = (
            state is UpstreamState.READY and self._unconfirmed_since is not None
        )
        if self._is_unreachable or self._is_expired(now) or is_unconfirmed:
            state = UpstreamState.ABSENT
        return UpstreamIdentity(
            current.upstream_id, current.version, current.slots, state
        )

    def _is_expired(self, now: float) -> bool:
        return now - self._reported_at > self._ttl_seconds

    def _may_replace_expired(
        self, report: UpstreamReport, current: UpstreamReport, now: float
    ) -> bool:
        return current.run != report.run and self._is_expired(now)

    def _replace(self, current: UpstreamReport, is_newer: bool) -> None:
        """Record that another run replaces the current one."""
        if is_newer or current.state is not UpstreamState.READY:
            self._record_ended(current.run)
            self._expired_run = None
        else:
            self._expired_run = current.run

    def _set_confirmed(self) -> None:
        self._unconfirmed_since = None
        if self._expired_run is not None:
            self._record_ended(self._expired_run)
            self._expired_run = None

    def _follows_known_run(self, report: UpstreamReport) -> bool:
        """Return whether a report is of a known run or of a later one."""
        current = self._latest
        if current is not None and current.sequence == HEALTH_CHECK_SEQUENCE:
            return current.upstream_id == report.upstream_id
        if current is not None and current.run == report.run:
            return True
        known = (
            [*self._ended_runs] if current is None else [*self._ended_runs, current.run]
        )
        latest_started_at_ms = max(
            (started_at_ms for started_at_ms, _ in known), default=0
        )
        return 0 < latest_started_at_ms < report.started_at_ms

    def _is_confirmed_by_time(self, report: UpstreamReport, now: float) -> bool:
        since = self._unconfirmed_since
        if since is None or now - since < CONFIRMATION_SECONDS:
            return False
        if report.upstream_id in self._deregistered_ids:
            return False
        return self._latest is not None and self._latest.run == report.run

    def _record_ended(self, run: tuple[int, str]) -> None:
        self._ended_runs = [*self._ended_runs, run][-MAX_ENDED_RUNS:]


def _is_newer(report: UpstreamReport, current: UpstreamReport) -> bool:
    if current.sequence == HEALTH_CHECK_SEQUENCE:
        return True
    if report.run == current.run:
        return report.sequence > current.sequence
    if report.started_at_ms and current.started_at_ms:
        return report.started_at_ms > current.started_at_ms
    return report.upstream_id != current.upstream_id
