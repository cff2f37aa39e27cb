"""State of one order to roll out a version."""

import math

import attrs

from lacewingstair.staged_rollouts.comparison import Verdict
from lacewingstair.staged_rollouts.evidence_log import EvidenceLog
from lacewingstair.staged_rollouts.policy import Order, Stage, is_concentrated

# Length of the slices of time in which versions are compared; longer rollouts have at
# most MAX_SLICES of them.
SLICE_SECONDS = 1.0
MAX_SLICES = 32
# A VM that joins a rollout later than this has not seen the evidence of before.
LATE_JOIN_SECONDS = 2.0


@attrs.define
class Rollout:
    """State of one order on this VM.

    Parameters
    ----------
    order : Order
        The order.
    evidence : EvidenceLog
        Counts of all gates.
    started_at, stage_entered_at, received_at : float
        When the order was given, when the stage was entered and when this VM received
        the order, in monotonic seconds.
    stage : Stage
        Current stage.
    reported : Stage or None
        Stage of the newest report in the store.
    credit : float
        Part of a call that the new version is owed.
    verdict : Verdict
        Newest comparison of the versions.
    expected_calls : float
        Calls of both versions during the order; 0 if nothing is known of them.
    evaluated_at : float
        When the versions were compared last, in monotonic seconds.
    evidence_logged_at : float
        When the evidence was logged last, in monotonic seconds.
    report_lost_at : float or None
        When the store came back from an older copy, which may lack the newest report,
        in monotonic seconds; None once the report is known to be in the store.
    """

    order: Order
    evidence: EvidenceLog
    started_at: float
    stage_entered_at: float
    received_at: float
    stage: Stage = Stage.TRIAL
    reported: Stage | None = None
    credit: float = 0.0
    verdict: Verdict = Verdict()
    expected_calls: float = 0.0
    evaluated_at: float = -math.inf
    evidence_logged_at: float = -math.inf
    report_lost_at: float | None = None

    def slice_at(self, now: float) -> int:
        """Return the index of the slice of time that contains a moment."""
        length = max(SLICE_SECONDS, self.order.duration_seconds / MAX_SLICES)
        return max(0, int((now - self.started_at) / length))

    def is_concentrated(self, now: float) -> bool:
        """Return whether one backend server gets all calls of the new version."""
        return is_concentrated(self.stage, now - self.stage_entered_at)

    @property
    def is_joined_late(self) -> bool:
        """Whether this VM has not seen the beginning of the rollout."""
        return self.received_at - self.started_at > LATE_JOIN_SECONDS
