"""What this process believes of the backend server beside it; no input or output.

Reports arrive late, twice and out of order, and a backend server can start again under
the id it had. The start time tells one run from another, the sequence orders the
reports of one run, and what has been acknowledged as leaving stays so.

A process before this one may have acknowledged that the backend server leaves, and a
late report can say that it is ready. So the first run that is reported here counts only
once it is confirmed: by a health check, which one that leaves does not pass, or by new
reports for longer than late ones arrive.

A clock that was set back gives a new run an earlier start time than the one before.
Such a run is taken once the one before has lapsed, and has to be confirmed as well.
"""

import enum

import attrs

from lacewingstair.backend_server.admission_proxy import UpstreamIdentity
from lacewingstair.vm.entries import UpstreamState

# Ids of earlier runs that are remembered, so that their late reports do not count.
MAX_ENDED_RUNS = 16
# Reports that go on for this long after the first one come from a live backend server.
CONFIRMATION_SECONDS = 5.0
# Sequence of what a health check told; each report is newer.
HEALTH_CHECK_SEQUENCE = -1


@attrs.frozen
class UpstreamReport:
    """What a backend server says of itself.

    Parameters
    ----------
    upstream_id : str
        Its id.
    service, address, version : str
        What it serves, and where.
    slots : int
        Calls that it runs at a time.
    state : UpstreamState
        Ready or draining.
    sequence : int
        Raised with every report of one run.
    started_at_ms : int
        Start of its run, milliseconds since the Unix epoch; 0 when it does not say.
    warmup_remaining_ms : float
        How much longer it is slow after its start.
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
        """Identifies one run of a backend server."""
        return (self.started_at_ms, self.upstream_id)


class ReportOutcome(enum.Enum):
    """How a report was taken."""

    ACCEPTED = "taken"
    STALE = "stale"
    MISMATCHED = "foreign"


class UpstreamTracker:
    """Keeps the newest report of the backend server beside this process.

    Parameters
    ----------
    service, address : str
        What stands in the settings; other backend servers are not used.
    ttl_seconds : float
        Time after its last report until the backend server counts as gone.
    """

    def __init__(self, service: str, address: str, ttl_seconds: float) -> None:
        self._service = service
        self._address = address
        self._ttl_seconds = ttl_seconds
        self._latest: UpstreamReport | None = None
        self._reported_at = 0.0
        self._ended_runs: list[tuple[int, str]] = []
        # Ids that signed off before any of their reports was taken here.
        self._deregistered_ids: list[str] = []
        self._is_unreachable = False
        # Run that has lapsed and was replaced by one with an earlier start time. It is
        # gone only once that one is confirmed, as that one's report may be a late one.
        self._expired_run: tuple[int, str] | None = None
        # Since when an unconfirmed run has been reported; None when it is confirmed.
        self._unconfirmed_since: float | None = None

    @property
    def is_reported(self) -> bool:
        """Whether any report has been taken since the start."""
        return self._latest is not None or bool(self._ended_runs)

    @property
    def needs_confirmation(self) -> bool:
        """Whether the backend server counts only after a health check."""
        return self._latest is not None and self._unconfirmed_since is not None

    def confirm(self, upstream_id: str) -> bool:
        """Take that a backend server passed a health check; return whether it counts.

        Parameters
        ----------
        upstream_id : str
            Id with which it answered.
        """
        if not self.needs_confirmation or self._latest.upstream_id != upstream_id:
            return False
        self._set_confirmed()
        return True

    def restore(
        self, upstream_id: str, slots: int, now: float, version: str = ""
    ) -> bool:
        """Take a backend server that says it is healthy before its first report.

        Returns
        -------
        bool
            Whether it counts; it does not once anything has been reported.
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
        """Take a report; now is in monotonic seconds."""
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
        """Take the sign-off of a backend server."""
        current = self._latest
        if current is None or current.upstream_id != upstream_id:
            deregistered = [*self._deregistered_ids, upstream_id]
            self._deregistered_ids = deregistered[-MAX_ENDED_RUNS:]
            return
        self._record_ended(current.run)
        self._latest = None

    def mark_unreachable(self) -> None:
        """Note that it refuses connections; its next report makes it usable again."""
        self._is_unreachable = True

    def identity(self, now: float) -> UpstreamIdentity:
        """Return the backend server that counts now."""
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
        """Note that another run takes the place of the one that is current."""
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
        """Return whether a report is of a run known here or of a later one."""
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
