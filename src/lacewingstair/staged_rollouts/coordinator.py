"""State of all rollouts on one VM: evidence, stages, and reports to the operators.

Every VM evaluates the evidence that it has. When it finds a version bad, it stops
sending calls to it immediately and informs the other VMs. The live VM with the lowest
id advances a rollout through its stages and writes the reports; if it cannot, the next
ones take over after a delay. The first final report in the store is authoritative.
"""

import random
from collections.abc import Callable

import attrs

from lacewingstair import events
from lacewingstair.runtime import Clock
from lacewingstair.staged_rollouts.evidence import GateEvidence, RouteCounts
from lacewingstair.staged_rollouts.evidence_log import EvidenceLog
from lacewingstair.staged_rollouts.marks import FinalMarks, RolloutMark, precedence
from lacewingstair.staged_rollouts.policy import (
    LOAD_TRIAL_SECONDS,
    Order,
    Stage,
    TrialAllowance,
    new_version_share,
    next_stage,
)
from lacewingstair.staged_rollouts.replaced_orders import ReplacedOrders, is_restored
from lacewingstair.staged_rollouts.report_tasks import ReportTasks, WriteReport
from lacewingstair.staged_rollouts.rollout import Rollout

STEP_SECONDS = 0.25
# Steps while the new version gets more than a small share of the calls.
FAST_STEP_SECONDS = 0.1
# Counts of the old version change little and are published at this interval; those of
# the new version are published each STEP_SECONDS.
OLD_EVIDENCE_INTERVAL_SECONDS = 1.0
# While the new version gets more than a small share, its bad calls are published, and
# published ones evaluated, this long after the last time.
BAD_CALL_INTERVAL_SECONDS = 0.05
# The calls of an order are estimated from those of this time on.
RATE_ESTIMATE_SECONDS = 1.0
# Each further live VM in the order of ids waits this much longer before it takes over.
TAKEOVER_SECONDS = 1.0
# A VM that has joined a rollout late takes over after this many others more, as it has
# not seen the evidence of before.
LATE_JOIN_RANK = 1
EVIDENCE_LOG_INTERVAL_SECONDS = 1.0
# VMs learn of a new era of the store within this time, and drop marks of orders that
# they have read in it already.
MOVED_MARK_SECONDS = 5.0


@attrs.frozen
class _EarlyMark:
    """Mark received from another VM for an order that this one does not have yet."""

    mark: RolloutMark
    received_at: float


class RolloutCoordinator:
    """Coordinates the rollouts of all services.

    Parameters
    ----------
    vm_id : str
        Id of this VM.
    incarnation : int
        Identifies this process of the VM.
    live_vm_ids : callable
        Returns the ids of the VMs that this one is linked to, and its own.
    publish_mark, publish_evidence : callable
        Send a message to the other VMs.
    write_report : callable
        Writes a report to the store unless it already holds a final one; returns the
        stage that the store holds afterwards.
    clock, rng
        Time and random number sources.
    allowance : TrialAllowance
        Calls of a service that a bad version may get.
    """

    def __init__(
        self,
        vm_id: str,
        incarnation: int,
        live_vm_ids: Callable[[], list[str]],
        publish_mark: Callable[[RolloutMark], None],
        publish_evidence: Callable[[GateEvidence], None],
        write_report: WriteReport,
        clock: Clock,
        rng: random.Random,
        allowance: TrialAllowance = TrialAllowance(),  # noqa: B008 - immutable
    ) -> None:
        self._allowance = allowance
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._live_vm_ids = live_vm_ids
        self._publish_mark = publish_mark
        self._publish_evidence = publish_evidence
        self._reports = ReportTasks(write_report, self._take_reported)
        self._clock = clock
        self._rng = rng
        self._rollouts_by_service: dict[str, Rollout] = {}
        self._final_marks = FinalMarks()
        self._early_marks_by_service: dict[str, _EarlyMark] = {}
        self._replaced_orders = ReplacedOrders()
        self._own_evidence: GateEvidence | None = None
        self._unpublished_slices: set[int] = set()
        self._published_at = 0.0

    def get(self, service: str) -> Rollout | None:
        """Return the newest rollout of a service."""
        return self._rollouts_by_service.get(service)

    def apply_order(self, order: Order) -> None:
        """Start the rollout of an order unless the same or a later one is known."""
        current = self._rollouts_by_service.get(order.service)
        if current is not None and order.offset <= current.order.offset:
            return
        if self._replaced_orders.move(order):
            service, version = order.service, order.target_version
            self._final_marks.move(service, version, order.offset)
            return
        if current is not None and is_restored(order, current.order):
            self._move(current, order)
            return
        if current is not None and current.order.target_version != order.target_version:
            self._supersede(current)
        now = self._clock.monotonic()
        evidence = EvidenceLog(
            order.target_version,
            lambda version: (
                not self._final_marks.is_rolled_back(order.service, version)
            ),
        )
        if current is not None:
            self._replaced_orders.add(current.order)
        rollout = Rollout(order, evidence, now, now, now, credit=self._rng.random())
        self._rollouts_by_service[order.service] = rollout
        # A version that is ordered again has been fixed under the same name.
        self._final_marks.forget(order.service, order.target_version)
        events.info(
            "rollout_ordered",
            service=order.service,
            version=order.target_version,
            duration_seconds=order.duration_seconds,
            offset=order.offset,
        )
        self._apply_early_mark(order)

    def _move(self, rollout: Rollout, order: Order) -> None:
        """Give a known order the position that it has in a new era of the store."""
        before, rollout.order = rollout.order, order
        own = self._own_evidence
        if own is not None and own.order_offset == before.offset:
            own.order_offset = order.offset
            # VMs that had the new position already have dropped what came under the
            # former one.
            self._unpublished_slices |= set(own.counts_by_route_by_slice)
        self._final_marks.move(order.service, order.target_version, order.offset)
        events.info(
            "rollout_order_restored",
            service=order.service,
            version=order.target_version,
            stage=rollout.stage.name.lower(),
            offset=order.offset,
        )
        self._apply_early_mark(order)
        is_new = self._clock.monotonic() - rollout.stage_entered_at < MOVED_MARK_SECONDS
        if is_new or not rollout.stage.is_final:
            self._publish_mark(self._mark(rollout))

    def handle_restored_store(self) -> None:
        """Report all rollouts again, as the store came back from an older copy."""
        now = self._clock.monotonic()
        for rollout in self._rollouts_by_service.values():
            if rollout.reported is not None:
                rollout.report_lost_at = now

    def _supersede(self, rollout: Rollout) -> None:
        """Take the calls from a version on trial once another one is ordered.

        Without a verdict it is neither trusted nor part of the old version. A rollout
        that was never reported may have ended before this process started.
        """
        if rollout.reported is not None:
            self._advance(rollout, Stage.ROLLED_BACK, "a later order")

    def _apply_earlier_mark(self, mark: RolloutMark, current: Order) -> None:
        """Apply the mark of an order that a later one has replaced."""
        is_ordered_again = mark.target_version == current.target_version
        if mark.stage.is_final and not is_ordered_again:
            self._final_marks.add(mark)

    def _apply_early_mark(self, order: Order) -> None:
        early = self._early_marks_by_service.pop(order.service, None)
        if early is None or early.mark.order_offset != order.offset:
            return
        mark, waited = early.mark, self._clock.monotonic() - early.received_at
        self.apply_mark(
            attrs.evolve(
                mark,
                elapsed_seconds=mark.elapsed_seconds + waited,
                stage_seconds=mark.stage_seconds + waited,
            )
        )

    def _keep_early_mark(self, mark: RolloutMark) -> None:
        """Keep a mark until its order arrives, possibly over another path.

        A final mark counts at once: its order may have been replaced and never arrive.
        """
        if mark.stage.is_final:
            self._final_marks.add(mark)
        current = self._early_marks_by_service.get(mark.service)
        if current is None or precedence(mark) > precedence(current.mark):
            early = _EarlyMark(mark, self._clock.monotonic())
            self._early_marks_by_service[mark.service] = early

    def apply_mark(self, mark: RolloutMark) -> None:
        """Apply the progress of a rollout received from another VM."""
        rollout = self._rollouts_by_service.get(mark.service)
        if rollout is None or rollout.order.offset < mark.order_offset:
            self._keep_early_mark(mark)
            return
        if rollout.order.offset != mark.order_offset:
            self._apply_earlier_mark(mark, rollout.order)
            return
        started_at = self._clock.monotonic() - mark.elapsed_seconds
        rollout.started_at = min(rollout.started_at, started_at)
        if mark.is_reported:
            rollout.report_lost_at = None
            rollout.reported = max(rollout.reported or mark.stage, mark.stage)
        if mark.is_reported and mark.stage.is_final:
            self._adopt_reported_stage(rollout, mark.stage)
            return
        self._advance(rollout, mark.stage, "another VM", mark.stage_seconds)

    def apply_evidence(self, evidence: GateEvidence) -> None:
        """Replace the counts of another gate by newer ones."""
        rollout = self._rollouts_by_service.get(evidence.service)
        if rollout is None or rollout.order.offset != evidence.order_offset:
            return
        rollout.evidence.apply(evidence)
        is_new = evidence.version == rollout.order.target_version
        now = self._clock.monotonic()
        is_due = now - rollout.evaluated_at >= BAD_CALL_INTERVAL_SECONDS
        if is_new and is_due and rollout.stage in (Stage.LOAD_TRIAL, Stage.SHIFTED):
            self._evaluate(rollout)

    def record_call(
        self, service: str, version: str, route: str, is_bad: bool, ms: float | None
    ) -> None:
        """Count a call at the gate of this VM; ms is None if not meaningful."""
        counts = self._own_counts_of(service, version, route, ms or 0.0)
        if counts is None:
            return
        counts.count(is_bad, ms)
        if is_bad:
            self._publish_bad_call(service, version)

    def record_abandoned_call(
        self, service: str, version: str, route: str, ms: float
    ) -> None:
        """Count a call at the gate of this VM whose caller gave up after `ms`."""
        counts = self._own_counts_of(service, version, route, ms)
        if counts is not None:
            counts.count_abandoned(ms)

    def _own_counts_of(
        self, service: str, version: str, route: str, ms: float
    ) -> RouteCounts | None:
        """Return where to count a call at this VM's gate that began `ms` ago.

        Calls are counted by their begin: the ones that end last are the slowest, and
        calls of the old version still end after the last one has begun. None is
        returned while nothing is rolled out.
        """
        rollout = self._rollouts_by_service.get(service)
        if rollout is None or rollout.stage.is_final:
            return None
        own = self._own_evidence
        offset = rollout.order.offset
        if own is None or (own.version, own.order_offset) != (version, offset):
            own = GateEvidence(self._vm_id, self._incarnation, service, version, offset)
            self._own_evidence = own
        began_at = self._clock.monotonic() - ms / 1000
        slice_index = rollout.slice_at(began_at)
        self._unpublished_slices.add(slice_index)
        return own.at(slice_index, route)

    def _publish_bad_call(self, service: str, version: str) -> None:
        """Publish the counts at once while a bad version could get many calls."""
        rollout = self._rollouts_by_service[service]
        is_new = version == rollout.order.target_version
        if not is_new or rollout.stage not in (Stage.LOAD_TRIAL, Stage.SHIFTED):
            return
        if self._clock.monotonic() - self._published_at >= BAD_CALL_INTERVAL_SECONDS:
            self._publish_own_evidence()
            self._evaluate(rollout)

    def selects_new_version(self, service: str) -> bool | None:
        """Return whether the next call goes to the new version; None if no rollout."""
        rollout = self._rollouts_by_service.get(service)
        if rollout is None:
            return None
        now = self._clock.monotonic()
        share = new_version_share(
            rollout.stage,
            now - rollout.stage_entered_at,
            (now - rollout.started_at) / rollout.order.duration_seconds,
            self._allowance,
            rollout.expected_calls,
        )
        if share >= 1.0:
            return True
        rollout.credit += share
        if rollout.credit < 1.0:
            return False
        rollout.credit -= 1.0
        return True

    def allows(
        self, service: str, vm_id: str, version: str, wants_new: bool | None
    ) -> bool:
        """Return whether a call may be sent to a version on a VM.

        Parameters
        ----------
        service, vm_id, version : str
            Candidate destination of the call.
        wants_new : bool or None
            What `selects_new_version` returned for the call.
        """
        if self._final_marks.is_rolled_back(service, version):
            return False
        rollout = self._rollouts_by_service.get(service)
        if rollout is None or wants_new is None:
            return True
        is_new = version == rollout.order.target_version
        if rollout.stage is Stage.COMPLETED:
            return is_new
        if (
            is_new
            and wants_new
            and rollout.stage is Stage.LOAD_TRIAL
            and rollout.is_concentrated(self._clock.monotonic())
        ):
            return vm_id == self._load_trial_vm_id(rollout)
        return is_new == wants_new

    def _load_trial_vm_id(self, rollout: Rollout) -> str | None:
        """Return the VM whose backend server gets all calls of the load trial."""
        live = set(self._live_vm_ids())
        candidates = [vm for vm in rollout.evidence.new_vm_ids if vm in live]
        return min(candidates, default=None)

    async def run(self) -> None:
        """Evaluate, advance and report the rollouts until cancelled."""
        try:
            while True:
                await self._clock.sleep(self._step_seconds())
                if self._clock.monotonic() - self._published_at >= STEP_SECONDS:
                    self._publish_own_evidence()
                for rollout in list(self._rollouts_by_service.values()):
                    self._step(rollout)
        finally:
            self._reports.cancel()

    def _step_seconds(self) -> float:
        stages = {rollout.stage for rollout in self._rollouts_by_service.values()}
        is_fast = bool(stages & {Stage.LOAD_TRIAL, Stage.SHIFTED})
        return FAST_STEP_SECONDS if is_fast else STEP_SECONDS

    def marks(self) -> list[RolloutMark]:
        """Return the marks to send to a VM when a link to it is established."""
        current = [self._mark(found) for found in self._rollouts_by_service.values()]
        return [*self._final_marks, *current]

    def _publish_own_evidence(self) -> None:
        own, now = self._own_evidence, self._clock.monotonic()
        if own is None or not self._unpublished_slices:
            return
        rollout = self._rollouts_by_service[own.service]
        if own.order_offset != rollout.order.offset:
            return
        is_new = own.version == rollout.order.target_version
        if not is_new and now - self._published_at < OLD_EVIDENCE_INTERVAL_SECONDS:
            return
        changed = own.copy(self._unpublished_slices)
        self._unpublished_slices = set()
        self._published_at = now
        rollout.evidence.apply(changed)
        self._publish_evidence(changed)

    def _step(self, rollout: Rollout) -> None:
        self._evaluate(rollout)
        now = self._clock.monotonic()
        takeover_rank = self._takeover_rank()
        if takeover_rank == 0:
            self._log_evidence(rollout, now)
        if rollout.is_joined_late:
            takeover_rank += LATE_JOIN_RANK
        waited = now - rollout.stage_entered_at - TAKEOVER_SECONDS * takeover_rank
        if waited < 0:
            return
        lost_at = rollout.report_lost_at
        if lost_at is not None and now - lost_at >= TAKEOVER_SECONDS * takeover_rank:
            self._reports.start(rollout, rollout.stage)
        if not rollout.stage.is_final:
            stage = next_stage(
                rollout.order,
                rollout.stage,
                now - rollout.started_at - TAKEOVER_SECONDS * takeover_rank,
                waited,
                rollout.evidence.new_calls,
                rollout.verdict,
            )
            # Completion is reported first, since the report makes the old version's
            # backend servers stop.
            if stage is not Stage.COMPLETED:
                is_bad = stage is Stage.ROLLED_BACK
                reason = rollout.verdict.reason if is_bad else "time"
                self._advance(rollout, stage, reason)
            else:
                self._reports.start(rollout, stage)
                return
        needs_report = rollout.reported is None or (
            rollout.stage.is_final and not rollout.reported.is_final
        )
        if needs_report:
            self._reports.start(rollout, rollout.stage)

    def _log_evidence(self, rollout: Rollout, now: float) -> None:
        """Log the counts of both versions, at most once a second."""
        is_due = now - rollout.evidence_logged_at >= EVIDENCE_LOG_INTERVAL_SECONDS
        if rollout.stage.is_final or not is_due:
            return
        rollout.evidence_logged_at = now
        for is_new in (False, True):
            total = rollout.evidence.total(is_new=is_new)
            events.info(
                "rollout_evidence",
                service=rollout.order.service,
                is_new=is_new,
                stage=rollout.stage.name.lower(),
                log_capital=round(rollout.verdict.log_capital, 1),
                calls=total.calls,
                bad=total.bad,
                buckets=str(dict(sorted(total.calls_by_bucket.items()))),
                abandoned=str(dict(sorted(total.abandoned_by_bucket.items()))),
            )

    def _take_reported(self, rollout: Rollout, stage: Stage) -> None:
        """Take the stage that the store holds after a report."""
        was_lost = rollout.report_lost_at is not None
        rollout.report_lost_at = None
        if was_lost and rollout.reported is not None and rollout.reported.is_final:
            # The copy may hold the end of an earlier order for this version.
            stage = rollout.reported
        rollout.reported = stage
        if stage.is_final:
            self._adopt_reported_stage(rollout, stage)
        self._publish_mark(self._mark(rollout))

    def _evaluate(self, rollout: Rollout) -> None:
        if rollout.stage.is_final:
            return
        now = rollout.evaluated_at = self._clock.monotonic()
        rollout.verdict = rollout.evidence.evaluate(rollout.slice_at(now))
        elapsed_seconds = now - rollout.started_at
        if elapsed_seconds >= RATE_ESTIMATE_SECONDS and not rollout.is_joined_late:
            rate = rollout.evidence.calls / elapsed_seconds
            rollout.expected_calls = rate * rollout.order.duration_seconds
        if rollout.verdict.is_bad:
            self._advance(rollout, Stage.ROLLED_BACK, rollout.verdict.reason)

    def _adopt_reported_stage(self, rollout: Rollout, stage: Stage) -> None:
        """Adopt the final stage reported in the store, overriding the local verdict."""
        if rollout.stage.is_final and rollout.stage is not stage:
            rollout.stage = Stage.SHIFTED
            self._final_marks.forget(
                rollout.order.service, rollout.order.target_version
            )
        rollout.reported = stage
        self._advance(rollout, stage, "the report in the store")

    def _advance(
        self,
        rollout: Rollout,
        stage: Stage,
        reason: str,
        stage_seconds: float = 0.0,
    ) -> None:
        # Two different final stages are resolved by the report in the store, in
        # `_adopt_reported_stage`.
        if stage <= rollout.stage or rollout.stage.is_final:
            return
        before, rollout.stage = rollout.stage, stage
        entered_at = self._clock.monotonic() - stage_seconds
        rollout.stage_entered_at = entered_at
        order = rollout.order
        if stage is Stage.LOAD_TRIAL:
            first = rollout.slice_at(entered_at)
            last = rollout.slice_at(entered_at + LOAD_TRIAL_SECONDS)
            rollout.evidence.concentrate(first, last)
        if stage.is_final:
            self._final_marks.add(self._mark(rollout))
        events.info(
            "rollout_advanced",
            service=order.service,
            version=order.target_version,
            stage=stage.name.lower(),
            before=before.name.lower(),
            reason=reason,
            calls=rollout.evidence.new_calls,
        )
        self._publish_mark(self._mark(rollout))

    def _mark(self, rollout: Rollout) -> RolloutMark:
        return RolloutMark(
            rollout.order.service,
            rollout.order.offset,
            rollout.stage,
            self._clock.monotonic() - rollout.started_at,
            rollout.report_lost_at is None
            and rollout.reported is not None
            and rollout.reported >= rollout.stage,
            rollout.order.target_version,
            self._clock.monotonic() - rollout.stage_entered_at,
        )

    def _takeover_rank(self) -> int:
        """Return the number of live VMs that take precedence over this one."""
        return sum(vm_id < self._vm_id for vm_id in self._live_vm_ids())
