"""What this process believes of the backend server beside it; no input or output.

Reports arrive late, twice and out of order, and a backend server can start again under
the id it had. The start time tells one run from another, the sequence orders the
reports of one run, and what has been acknowledged as leaving stays so.
"""

import enum

import attrs

from lacewingstair.backend_server.gate import UpstreamIdentity
from lacewingstair.vm.entries import UpstreamState

# Ids of earlier runs that are remembered, so that their late reports do not count.
MAX_REMEMBERED_RUNS = 16
# Sequence of what a health check told; each report is newer.
RESTORED_SEQUENCE = -1


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
    born_ms : int
        Start of its run, milliseconds since the Unix epoch; 0 when it does not say.
    cold_ms : float
        How much longer it is slow after its start.
    """

    upstream_id: str
    service: str
    address: str
    version: str
    slots: int
    state: UpstreamState
    sequence: int
    born_ms: int = 0
    cold_ms: float = 0.0

    @property
    def run(self) -> tuple[int, str]:
        """Identifies one run of a backend server."""
        return (self.born_ms, self.upstream_id)


class Verdict(enum.Enum):
    """How a report was taken."""

    TAKEN = "taken"
    STALE = "stale"
    FOREIGN = "foreign"


class UpstreamRegister:
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
        self._newest: UpstreamReport | None = None
        self._reported_at = 0.0
        self._gone_runs: list[tuple[int, str]] = []
        self._is_unreachable = False

    @property
    def is_reported(self) -> bool:
        """Whether any report has been taken since the start."""
        return self._newest is not None or bool(self._gone_runs)

    def restore(self, upstream_id: str, slots: int, now: float) -> bool:
        """Take a backend server that says it is healthy before its first report.

        Returns
        -------
        bool
            Whether it counts; it does not once anything has been reported.
        """
        if self.is_reported:
            return False
        self._newest = UpstreamReport(
            upstream_id,
            self._service,
            self._address,
            "",
            slots,
            UpstreamState.READY,
            RESTORED_SEQUENCE,
        )
        self._reported_at = now
        return True

    def report(self, report: UpstreamReport, now: float) -> Verdict:
        """Take a report; now is in monotonic seconds."""
        if report.service != self._service or report.address != self._address:
            return Verdict.FOREIGN
        if report.run in self._gone_runs:
            return Verdict.STALE
        held = self._newest
        if held is not None and not _is_newer(report, held):
            return Verdict.STALE
        is_restored = held is not None and held.sequence == RESTORED_SEQUENCE
        if held is not None and held.run != report.run and not is_restored:
            self._remember_gone(held.run)
        self._newest = report
        self._reported_at = now
        self._is_unreachable = False
        return Verdict.TAKEN

    def leave(self, upstream_id: str) -> None:
        """Take the sign-off of a backend server."""
        held = self._newest
        if held is None or held.upstream_id != upstream_id:
            return
        self._remember_gone(held.run)
        self._newest = None

    def unreachable(self) -> None:
        """Note that it refuses connections; its next report makes it usable again."""
        self._is_unreachable = True

    def identity(self, now: float) -> UpstreamIdentity:
        """Return the backend server that counts now."""
        held = self._newest
        if held is None:
            return UpstreamIdentity()
        state = held.state
        is_lapsed = now - self._reported_at > self._ttl_seconds
        if self._is_unreachable or is_lapsed:
            state = UpstreamState.ABSENT
        return UpstreamIdentity(held.upstream_id, held.version, held.slots, state)

    def _remember_gone(self, run: tuple[int, str]) -> None:
        self._gone_runs = [*self._gone_runs, run][-MAX_REMEMBERED_RUNS:]


def _is_newer(report: UpstreamReport, held: UpstreamReport) -> bool:
    if held.sequence == RESTORED_SEQUENCE:
        return True
    if report.run == held.run:
        return report.sequence > held.sequence
    if report.born_ms and held.born_ms:
        return report.born_ms > held.born_ms
    return report.upstream_id != held.upstream_id
