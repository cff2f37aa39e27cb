"""State of all rollouts on one VM: evidence, stages, and reports to the operators.

Every VM evaluates the evidence that it has. When it finds a version bad, it stops
sending calls to it immediately and informs the other VMs. The live VM with the lowest
id advances a rollout through its stages and writes the reports; if it cannot, the next
ones take over after a delay. The first final report in the store is authoritative.
"""

import math
import random
from collections.abc import Awaitable, Callable

import attrs
from result import Err, Result

from lacewingstair import events
from lacewingstair.errors import StoreConflict, StoreUnavailable
from lacewingstair.runtime import Clock
from lacewingstair.staged_rollouts.evidence import (
    GateEvidence,
    RouteCounts,
    sum_by_route,
)
from lacewingstair.staged_rollouts.marks import RolloutMark
from lacewingstair.staged_rollouts.policy import (
    ALLOWED_SHARE,
    Order,
    Stage,
    compare_versions,
    new_version_share,
    next_stage,
)

STEP_SECONDS = 0.25
# Counts of the old version change little and are published at this interval; those of
# the new version are published at each step.
OLD_EVIDENCE_INTERVAL_SECONDS = 1.0
# Each further live VM in the order of ids waits this much longer before it takes over.
TAKEOVER_SECONDS = 1.0
EVIDENCE_LOG_INTERVAL_SECONDS = 1.0

WriteReport = Callable[
    [Order, Stage], Awaitable[Result[Stage, StoreUnavailable | StoreConflict]]
]


@attrs.frozen
class _EarlyMark:
    """Mark received from another VM for an order that this one does not have yet."""

    mark: RolloutMark
    received_at: float


@attrs.define
class Rollout:
    """State of one order on this VM."""

    order: Order
    started_at: float
    stage_entered_at: float
    stage: Stage = Stage.TRIAL
    reported: Stage | None = None
    credit: float = 0.0
    evidence_logged_at: float = -math.inf
    evidence_by_vm_id: dict[str, GateEvidence] = attrs.field(factory=dict)


class RolloutCoordinator:
    """Coordinates the rollouts of all services.

    Parameters
    ----------
    vm_id : str
        Id of this VM.
    live_vm_ids : callable
        Returns the ids of the VMs that this one is linked to, and its own.
    publish_mark, publish_evidence : callable
        Send a message to the other VMs.
    write_report : callable
        Writes a report to the store unless it already holds a final one; returns the
        stage that the store holds afterwards.
    clock, rng
        Time and random number sources.
    allowed_share : float
        Share of the calls of a service that a bad version may get.
    """

    def __init__(
        self,
        vm_id: str,
        live_vm_ids: Callable[[], list[str]],
        publish_mark: Callable[[RolloutMark], None],
        publish_evidence: Callable[[GateEvidence], None],
        write_report: WriteReport,
        clock: Clock,
        rng: random.Random,
        allowed_share: float = ALLOWED_SHARE,
    ) -> None:
        self._allowed_share = allowed_share
        self._vm_id = vm_id
        self._live_vm_ids = live_vm_ids
        self._publish_mark = publish_mark
        self._publish_evidence = publish_evidence
        self._write_report = write_report
        self._clock = clock
        self._rng = rng
        self._rollouts_by_service: dict[str, Rollout] = {}
        self._bad_versions_by_service: dict[str, set[str]] = {}
        self._early_marks_by_service: dict[str, _EarlyMark] = {}
        self._own_evidence: GateEvidence | None = None
        self._has_unpublished_evidence = False
        self._published_at = 0.0

    def get(self, service: str) -> Rollout | None:
        """Return the newest rollout of a service."""
        return self._rollouts_by_service.get(service)

    def apply_order(self, order: Order) -> None:
        """Start the rollout of an order unless the same or a later one is known."""
        current = self._rollouts_by_service.get(order.service)
        if current is not None and order.offset <= current.order.offset:
            return
        now = self._clock.monotonic()
        rollout = Rollout(order, now, now, credit=self._rng.random() - 1.0)
        self._rollouts_by_service[order.service] = rollout
        # A version that is ordered again has been fixed under the same name.
        bad = self._bad_versions_by_service.get(order.service, set())
        bad.discard(order.target_version)
        events.info(
            "rollout_ordered",
            service=order.service,
            version=order.target_version,
            duration_seconds=order.duration_seconds,
            offset=order.offset,
        )
        self._apply_early_mark(order)

    def _apply_early_mark(self, order: Order) -> None:
        early = self._early_marks_by_service.pop(order.service, None)
        if early is None or early.mark.order_offset != order.offset:
            return
        elapsed_seconds = (
            early.mark.elapsed_seconds + self._clock.monotonic() - early.received_at
        )
        self.apply_mark(attrs.evolve(early.mark, elapsed_seconds=elapsed_seconds))

    def _keep_early_mark(self, mark: RolloutMark) -> None:
        """Keep a mark until its order arrives, possibly over another path."""
        current = self._early_marks_by_service.get(mark.service)
        if current is None or _mark_precedence(mark) > _mark_precedence(current.mark):
            early = _EarlyMark(mark, self._clock.monotonic())
            self._early_marks_by_service[mark.service] = early

    def apply_mark(self, mark: RolloutMark) -> None:
        """Apply the progress of a rollout received from another VM."""
        rollout = self._rollouts_by_service.get(mark.service)
        if rollout is None or rollout.order.offset < mark.order_offset:
            self._keep_early_mark(mark)
            return
        if rollout.order.offset != mark.order_offset:
            return
        started_at = self._clock.monotonic() - mark.elapsed_seconds
        rollout.started_at = min(rollout.started_at, started_at)
        if mark.is_reported:
            rollout.reported = max(rollout.reported or mark.stage, mark.stage)
        if mark.is_reported and mark.stage.is_final:
            self._adopt_reported_stage(rollout, mark.stage)
            return
        self._advance(rollout, mark.stage, "another VM")

    def apply_evidence(self, evidence: GateEvidence) -> None:
        """Replace the counts of another gate by newer ones."""
        rollout = self._rollouts_by_service.get(evidence.service)
        if rollout is None or rollout.order.offset != evidence.order_offset:
            return
        current = rollout.evidence_by_vm_id.get(evidence.vm_id)
        is_same = current is not None and current.version == evidence.version
        if not is_same or evidence.calls >= current.calls:
            rollout.evidence_by_vm_id[evidence.vm_id] = evidence
        self._evaluate(rollout)

    def record_call(
        self, service: str, version: str, route: str, is_bad: bool, ms: float | None
    ) -> None:
        """Count a call at the gate of this VM; ms is None if not meaningful."""
        own = self._own_evidence_of(service, version)
        if own is not None:
            own.count(route, is_bad, ms)

    def record_abandoned_call(
        self, service: str, version: str, route: str, ms: float
    ) -> None:
        """Count a call at the gate of this VM whose caller gave up after `ms`."""
        own = self._own_evidence_of(service, version)
        if own is not None:
            own.count_abandoned(route, ms)

    def _own_evidence_of(self, service: str, version: str) -> GateEvidence | None:
        """Return the counts of this VM's gate, or None while nothing is rolled out."""
        rollout = self._rollouts_by_service.get(service)
        if rollout is None or rollout.stage.is_final:
            return None
        own = self._own_evidence
        offset = rollout.order.offset
        if own is None or (own.version, own.order_offset) != (version, offset):
            own = GateEvidence(self._vm_id, service, version, offset)
            self._own_evidence = own
        rollout.evidence_by_vm_id[self._vm_id] = own
        self._has_unpublished_evidence = True
        return own

    def selects_new_version(self, service: str) -> bool | None:
        """Return whether the next call goes to the new version; None if no rollout."""
        rollout = self._rollouts_by_service.get(service)
        if rollout is None:
            return None
        share = new_version_share(rollout.stage, self._allowed_share)
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
        if version in self._bad_versions_by_service.get(service, ()):
            return False
        rollout = self._rollouts_by_service.get(service)
        if rollout is None or wants_new is None:
            return True
        is_new = version == rollout.order.target_version
        if rollout.stage is Stage.COMPLETED:
            return is_new
        if is_new and wants_new and rollout.stage is Stage.LOAD_TRIAL:
            return vm_id == self._load_trial_vm_id(rollout)
        return is_new == wants_new

    def _load_trial_vm_id(self, rollout: Rollout) -> str | None:
        """Return the VM whose backend server gets all calls of the load trial."""
        target = rollout.order.target_version
        gates = rollout.evidence_by_vm_id.values()
        live = set(self._live_vm_ids())
        candidates = [g.vm_id for g in gates if g.version == target and g.vm_id in live]
        return min(candidates, default=None)

    async def run(self) -> None:
        """Evaluate, advance and report the rollouts until cancelled."""
        while True:
            await self._clock.sleep(STEP_SECONDS)
            self._publish_own_evidence()
            for rollout in list(self._rollouts_by_service.values()):
                await self._step(rollout)

    def marks(self) -> list[RolloutMark]:
        """Return the marks to send to a VM when a link to it is established."""
        return [self._mark(rollout) for rollout in self._rollouts_by_service.values()]

    def _publish_own_evidence(self) -> None:
        own, now = self._own_evidence, self._clock.monotonic()
        if own is None or not self._has_unpublished_evidence:
            return
        rollout = self._rollouts_by_service[own.service]
        is_new = own.version == rollout.order.target_version
        if not is_new and now - self._published_at < OLD_EVIDENCE_INTERVAL_SECONDS:
            return
        self._has_unpublished_evidence = False
        self._published_at = now
        self._publish_evidence(own)

    async def _step(self, rollout: Rollout) -> None:
        self._evaluate(rollout)
        now = self._clock.monotonic()
        takeover_rank = self._takeover_rank()
        if takeover_rank == 0:
            self._log_evidence(rollout, now)
        waited = now - rollout.stage_entered_at - TAKEOVER_SECONDS * takeover_rank
        if waited < 0:
            return
        if not rollout.stage.is_final:
            stage = next_stage(
                rollout.order,
                rollout.stage,
                now - rollout.started_at - TAKEOVER_SECONDS * takeover_rank,
                waited,
                self._new_version_calls(rollout),
            )
            # Completion is reported first, since the report makes the old version's
            # backend servers stop.
            if stage is not Stage.COMPLETED:
                self._advance(rollout, stage, "time")
            elif await self._report(rollout, stage):
                return
        needs_report = rollout.reported is None or (
            rollout.stage.is_final and not rollout.reported.is_final
        )
        if needs_report:
            await self._report(rollout, rollout.stage)

    def _log_evidence(self, rollout: Rollout, now: float) -> None:
        """Log the counts of both versions, at most once a second."""
        is_due = now - rollout.evidence_logged_at >= EVIDENCE_LOG_INTERVAL_SECONDS
        if rollout.stage.is_final or not is_due:
            return
        rollout.evidence_logged_at = now
        target = rollout.order.target_version
        gates = rollout.evidence_by_vm_id.values()
        for is_new in (False, True):
            found = sum_by_route(g for g in gates if (g.version == target) is is_new)
            total = RouteCounts()
            for counts in found.values():
                total.add(counts)
            events.info(
                "rollout_evidence",
                service=rollout.order.service,
                is_new=is_new,
                stage=rollout.stage.name.lower(),
                calls=total.calls,
                bad=total.bad,
                buckets=str(dict(sorted(total.calls_by_bucket.items()))),
                abandoned=str(dict(sorted(total.abandoned_by_bucket.items()))),
            )

    async def _report(self, rollout: Rollout, stage: Stage) -> bool:
        written = await self._write_report(rollout.order, stage)
        if isinstance(written, Err):
            events.warning(
                "rollout_not_reported",
                service=rollout.order.service,
                stage=stage.name.lower(),
                error=written.err_value,
            )
            return False
        rollout.reported = written.ok_value
        events.info(
            "rollout_reported",
            service=rollout.order.service,
            stage=written.ok_value.name.lower(),
        )
        if written.ok_value.is_final:
            self._adopt_reported_stage(rollout, written.ok_value)
        self._publish_mark(self._mark(rollout))
        return True

    def _evaluate(self, rollout: Rollout) -> None:
        if rollout.stage.is_final:
            return
        target = rollout.order.target_version
        gates = rollout.evidence_by_vm_id.values()
        new = sum_by_route(gate for gate in gates if gate.version == target)
        old = sum_by_route(gate for gate in gates if gate.version != target)
        verdict = compare_versions(new, old)
        if verdict.is_bad:
            self._advance(rollout, Stage.ROLLED_BACK, verdict.reason)

    def _adopt_reported_stage(self, rollout: Rollout, stage: Stage) -> None:
        """Adopt the final stage reported in the store, overriding the local verdict."""
        if rollout.stage.is_final and rollout.stage is not stage:
            rollout.stage = Stage.SHIFTED
            service = rollout.order.service
            bad = self._bad_versions_by_service.get(service, set())
            bad.discard(rollout.order.target_version)
        rollout.reported = stage
        self._advance(rollout, stage, "the report in the store")

    def _advance(self, rollout: Rollout, stage: Stage, reason: str) -> None:
        # Two different final stages are resolved by the report in the store, in
        # `_adopt_reported_stage`.
        if stage <= rollout.stage or rollout.stage.is_final:
            return
        before, rollout.stage = rollout.stage, stage
        rollout.stage_entered_at = self._clock.monotonic()
        order = rollout.order
        if stage is Stage.ROLLED_BACK:
            bad = self._bad_versions_by_service.setdefault(order.service, set())
            bad.add(order.target_version)
        events.info(
            "rollout_advanced",
            service=order.service,
            version=order.target_version,
            stage=stage.name.lower(),
            before=before.name.lower(),
            reason=reason,
            calls=self._new_version_calls(rollout),
        )
        self._publish_mark(self._mark(rollout))

    def _mark(self, rollout: Rollout) -> RolloutMark:
        return RolloutMark(
            rollout.order.service,
            rollout.order.offset,
            rollout.stage,
            self._clock.monotonic() - rollout.started_at,
            rollout.reported is not None and rollout.reported >= rollout.stage,
        )

    def _new_version_calls(self, rollout: Rollout) -> int:
        target = rollout.order.target_version
        gates = rollout.evidence_by_vm_id.values()
        return sum(gate.calls for gate in gates if gate.version == target)

    def _takeover_rank(self) -> int:
        """Return the number of live VMs that take precedence over this one."""
        return sum(vm_id < self._vm_id for vm_id in self._live_vm_ids())


def _mark_precedence(mark: RolloutMark) -> tuple[int, bool, Stage]:
    """Return the sort key by which one mark supersedes another.

    Within an order, a mark of a final report supersedes any other.
    """
    is_decided = mark.is_reported and mark.stage.is_final
    return (mark.order_offset, is_decided, mark.stage)
