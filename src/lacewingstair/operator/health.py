"""Health of a VM for operators."""

from collections.abc import Sequence

import attrs

from lacewingstair.ticket_log.status import LogStatus


@attrs.frozen
class Health:
    """Whether the VM lives and takes calls.

    Parameters
    ----------
    ready : bool
        Whether calls should be sent to the VM.
    reasons : tuple of str
        Why it is not ready; empty when it is.
    warnings : tuple of str
        What limits it while it serves.
    """

    ready: bool
    reasons: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()

    def document(self) -> dict[str, object]:
        """Return the JSON object of ``/health``."""
        return {
            "live": True,
            "ready": self.ready,
            "reasons": list(self.reasons),
            "warnings": list(self.warnings),
        }


def build_health(
    *,
    is_configured: bool,
    is_leaving: bool,
    is_reader: bool,
    log_status: LogStatus,
    links: int,
    live_vms: int,
    diverged_peers: Sequence[str] = (),
) -> Health:
    """Return the health; a VM that is cut off stays ready with what it holds."""
    reasons = []
    if not is_configured:
        reasons.append("no configuration yet")
    if is_leaving:
        reasons.append("the VM is leaving")
    warnings = []
    if is_reader and not log_status.is_log_up:
        warnings.append("the log does not answer; the state held is served")
    if log_status.has_gap:
        warnings.append("records of the log have expired that no checkpoint covers")
    if log_status.has_lost_data:
        warnings.append("the log ends before records that this VM has applied")
    if diverged_peers:
        warnings.append(
            "another state at the same offset on " + ", ".join(diverged_peers)
        )
    if links == 0 and live_vms > 1:
        warnings.append("no link to another VM")
    return Health(not reasons, tuple(reasons), tuple(warnings))
