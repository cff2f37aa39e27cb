"""Forwards calls to the backend servers of a service through their gates."""

import asyncio
import random
from collections.abc import Callable

import attrs

from lacewingstair import events
from lacewingstair.backend_server.admission_proxy import AdmissionProxy
from lacewingstair.caller.calls.hedging import Hedge
from lacewingstair.caller.selection.candidates import CandidateSelection, TriedVms
from lacewingstair.metadata.configuration import CallRoute
from lacewingstair.routing.limits import (
    DEFAULT_RETRY_ALLOWANCE,
    RetryAllowance,
    RetryBudget,
)
from lacewingstair.runtime import Clock
from lacewingstair.staged_rollouts.coordinator import RolloutCoordinator
from lacewingstair.vm.call_link import SuspendedCall
from lacewingstair.vm.call_links import CallLinks
from lacewingstair.vm.call_messages import (
    CallAnswer,
    CallFailed,
    CallOutcome,
    CallRefused,
    CallRequest,
    RefusalReason,
    SendOrigin,
)
from lacewingstair.vm.entries import MeshView, VmEntry

# Largest number of refusals by gates and backend servers that one call may collect.
MAX_REFUSALS = 4
# Calls with larger bodies are not begun while more than this waits in the streams to
# other VMs: their callers may be gone before it is taken.
LARGE_BODY_BYTES = 64 << 10
MAX_UNSENT_BYTES = 16 << 20
UNSENT_RETRY_AFTER_MS = 500.0
# Share of the allowance for direct retries. The rest is reserved for calls that retried
# runs make, which are counted only after they were made.
RETRY_BUDGET_SHARE = 0.8
# Part of the extra allowance that is granted over time. Each VM can additionally save
# up to one retry.
EXTRA_RETRIES_SHARE = 0.3
# Lower bound for the number of VMs that share the minimum of retries: right after a
# start a VM knows only few of them.
MIN_ASSUMED_VMS = 16
# With less remaining time, a retry at another backend server is not worth its load.
MIN_RETRY_MS = 50.0


@attrs.frozen
class ForwardedCall:
    """Call with everything that determines where and how often it runs.

    Parameters
    ----------
    request_id : str
        Request id from the caller.
    route_name : str
        Name of the route.
    route : CallRoute
        Configuration of the route.
    service : str
        Service that was selected for the call.
    method, target : str
        Request line.
    header_lines, body : bytes
        Headers and body of the request.
    target_at, deadline_at : float
        Latency target, after which a response loses most of its value, and deadline,
        after which it is useless; monotonic seconds.
    parent_is_retry : bool
        Whether the run that makes this call is itself a retry.
    account_priority : int or None
        Rank of the caller's account, which takes precedence over that of the route.
    account : str
        Name of the caller's account; empty if it has none.
    is_nested : bool
        Whether the backend server of this VM makes the call while it runs another one.
    """

    request_id: str
    route_name: str
    route: CallRoute
    service: str
    method: str
    target: str
    header_lines: bytes
    body: bytes
    target_at: float
    deadline_at: float
    parent_is_retry: bool = False
    account_priority: int | None = None
    account: str = ""
    is_nested: bool = False

    @property
    def priority(self) -> int:
        """Rank among the calls of a service; 0 is the highest."""
        if self.account_priority is None:
            return self.route.priority
        return self.account_priority


@attrs.frozen
class ForwardingFailure:
    """Outcome of a call that got no response from a backend server.

    Parameters
    ----------
    is_not_run : bool
        Whether it is certain that the call did not run and will not run.
    is_timeout : bool
        Whether the deadline has passed.
    reason : str
        Description of the failure.
    retry_after_ms : float
        Delay after which capacity may be available.
    was_refused_upstream : bool
        Whether a backend server refused the call.
    """

    is_not_run: bool
    is_timeout: bool
    reason: str
    retry_after_ms: float = 0.0
    was_refused_upstream: bool = False


@attrs.define
class _Progress(TriedVms):
    """State of a call over its attempts."""

    origin: SendOrigin = SendOrigin.FIRST
    # Whether a token of the retry budget was taken for an attempt that is not sent yet.
    has_retry_token: bool = False
    was_refused: bool = False
    sent: int = 0
    refusals: int = 0
    may_have_run: bool = False
    retry_after_ms: float = 0.0
    last_answer: CallAnswer | None = None
    last_reason: str = "no backend server takes the call"
    is_timeout: bool = False

    def record_sent(self, next_origin: SendOrigin) -> None:
        """Record a sent attempt; `next_origin` is the reason of a possible next one."""
        self.sent += 1
        self.has_retry_token = False
        self.origin = next_origin


class Forwarder:
    """Selects the gate for each call, and retries at other gates where that is safe.

    Parameters
    ----------
    own_entry : callable
        Returns the entry of this VM.
    view : MeshView
        Entries of all VMs.
    links : CallLinks
        Links to other VMs.
    gate : AdmissionProxy
        Proxy of this VM.
    rollouts : RolloutCoordinator
        Decides which calls go to a new version.
    clock, rng
        Sources of time and randomness.
    allowance : RetryAllowance
        Retries that all VMs together may make.

    Attributes
    ----------
    selection : CandidateSelection
        Selects the VM of each attempt.
    """

    def __init__(
        self,
        own_entry: Callable[[], VmEntry],
        view: MeshView,
        links: CallLinks,
        gate: AdmissionProxy,
        rollouts: RolloutCoordinator,
        clock: Clock,
        rng: random.Random,
        allowance: RetryAllowance = DEFAULT_RETRY_ALLOWANCE,
    ) -> None:
        self._allowance = allowance
        self._rollouts = rollouts
        self._own_entry = own_entry
        self._view = view
        self._links = links
        self._gate = gate
        self._clock = clock
        self._budgets_by_service: dict[str, RetryBudget] = {}
        self.selection = CandidateSelection(
            own_entry, view, links, gate, rollouts, clock, rng
        )

    async def forward(self, call: ForwardedCall) -> CallAnswer | ForwardingFailure:
        """Return the response of a backend server, or why there is none."""
        budget = self._budget(call.service)
        if call.parent_is_retry:
            budget.count_external_retry()
        else:
            budget.count_call()
        progress = _Progress(
            origin=_first_origin(call),
            prefers_new_version=self._rollouts.selects_new_version(call.service),
        )
        while True:
            vm_id = self.selection.choose_vm(call, progress)
            if vm_id is None:
                return self._final_outcome(progress, budget)
            try:
                outcome = await self._run_at(vm_id, call, progress.origin)
                if isinstance(outcome, SuspendedCall):
                    vm_id, outcome = await self._hedge(
                        call, {vm_id: outcome}, progress, budget
                    )
            except asyncio.CancelledError:
                self._log_abandoned(call, vm_id, progress)
                raise
            progress.tried.add(vm_id)
            if progress.prefers_new_version:
                # Calls that the new version did not serve are retried at the old one.
                progress.prefers_new_version = False
            self._log_attempt(call, vm_id, outcome, progress)
            if isinstance(outcome, CallAnswer):
                self.selection.record_answer(call, len(outcome.body))
            if not self._should_continue(call, outcome, progress, budget):
                return self._final_outcome(progress, budget)

    async def _hedge(
        self,
        call: ForwardedCall,
        suspended_by_vm_id: dict[str, SuspendedCall],
        progress: _Progress,
        budget: RetryBudget,
    ) -> tuple[str, CallOutcome]:
        """Run a call at other VMs while its VM is silent, and use the first response.

        The attempt at the silent VM is kept, because the VM may only be slow and its
        response would be lost.
        """
        has_retry_token = False

        def start_next_attempt() -> None:
            nonlocal has_retry_token
            remaining_ms = (call.deadline_at - self._clock.monotonic()) * 1000
            sent = progress.sent + len(hedge.vm_ids)
            if remaining_ms < MIN_RETRY_MS or sent >= call.route.max_attempts:
                return
            if progress.refusals >= MAX_REFUSALS:
                return
            other = self.selection.choose_vm(call, progress)
            if other is None or not (has_retry_token or budget.try_acquire()):
                return
            has_retry_token = True
            progress.tried.add(other)
            hedge.start(other, self._run_at(other, call, SendOrigin.SILENT_VM))

        def on_attempt_ended(outcome: CallOutcome | None) -> None:
            nonlocal has_retry_token
            was_sent = True
            if isinstance(outcome, CallRefused):
                progress.refusals += 1
                was_sent = outcome.was_sent
            if outcome is not None:
                progress.sent += was_sent
            if isinstance(outcome, CallFailed):
                progress.may_have_run = True
            # An attempt that was not sent leaves its retry token to the next one.
            has_retry_token = has_retry_token and not was_sent
            start_next_attempt()

        hedge = Hedge(suspended_by_vm_id, on_attempt_ended)
        progress.tried.update(hedge.vm_ids)
        start_next_attempt()
        served = await hedge.first_response()
        progress.sent += hedge.abandoned
        progress.may_have_run = progress.may_have_run or hedge.abandoned > 0
        return served

    def _should_continue(
        self,
        call: ForwardedCall,
        outcome: CallOutcome,
        progress: _Progress,
        budget: RetryBudget,
    ) -> bool:
        """Record an outcome; return whether the call is sent to another gate."""
        remaining_ms = (call.deadline_at - self._clock.monotonic()) * 1000
        match outcome:
            case CallRefused(reason=reason, was_sent=was_sent):
                progress.last_reason = f"refused: {reason.name.lower()}"
                progress.last_answer = None
                if was_sent:
                    progress.record_sent(SendOrigin.AFTER_REFUSAL)
                progress.was_refused = progress.was_refused or was_sent
                progress.refusals += 1
                progress.retry_after_ms = max(
                    progress.retry_after_ms, outcome.retry_after_ms
                )
                if progress.refusals >= MAX_REFUSALS or remaining_ms <= 0:
                    return False
                return not was_sent or self._reserve_retry(call, progress, budget)
            case CallFailed():
                progress.record_sent(SendOrigin.AFTER_FAILURE)
                progress.may_have_run = True
                progress.is_timeout = outcome.is_timeout
                progress.last_reason = outcome.reason
                progress.last_answer = None
            case CallAnswer(status=status):
                progress.record_sent(SendOrigin.AFTER_ERROR)
                progress.may_have_run = True
                progress.last_answer = outcome
                if status < 500 or outcome.has_failed_nested_call:
                    return False
        if not call.route.allows_repeat or remaining_ms < MIN_RETRY_MS:
            return False
        return self._reserve_retry(call, progress, budget)

    def _reserve_retry(
        self, call: ForwardedCall, progress: _Progress, budget: RetryBudget
    ) -> bool:
        if progress.sent >= call.route.max_attempts:
            return False
        progress.has_retry_token = progress.has_retry_token or budget.try_acquire()
        return progress.has_retry_token

    def _final_outcome(
        self, progress: _Progress, budget: RetryBudget
    ) -> CallAnswer | ForwardingFailure:
        if progress.has_retry_token:
            budget.refund()
        if progress.last_answer is not None:
            return progress.last_answer
        return ForwardingFailure(
            is_not_run=not progress.may_have_run,
            is_timeout=progress.is_timeout,
            reason=progress.last_reason,
            retry_after_ms=progress.retry_after_ms,
            was_refused_upstream=progress.was_refused,
        )

    async def _run_at(
        self, vm_id: str, call: ForwardedCall, origin: SendOrigin
    ) -> CallOutcome | SuspendedCall:
        now = self._clock.monotonic()
        request = CallRequest(
            call_id=0,
            request_id=call.request_id,
            service=call.service,
            version="",
            route=call.route_name,
            method=call.method,
            target=call.target,
            header_lines=call.header_lines,
            body=call.body,
            remaining_ms=(call.deadline_at - now) * 1000,
            target_ms=(call.target_at - now) * 1000,
            priority=call.priority,
            allows_repeat=call.route.allows_repeat,
            origin=origin,
            account=call.account,
            is_nested=call.is_nested,
        )
        if vm_id == self._own_entry().vm_id:
            return await self._gate.run(request)
        link = self._links.get(vm_id)
        is_large = len(call.body) >= LARGE_BODY_BYTES
        if is_large and self._links.unsent_bytes > MAX_UNSENT_BYTES:
            reason = RefusalReason.FULL
            return CallRefused(
                0, reason, UNSENT_RETRY_AFTER_MS, False, self._gate.load()
            )
        if link is None:
            reason = RefusalReason.UNREACHABLE
            return CallRefused(0, reason, 0.0, False, self._gate.load())
        return await link.run(request)

    def _budget(self, service: str) -> RetryBudget:
        found = self._budgets_by_service.get(service)
        if found is None:
            allowance = self._allowance
            found = RetryBudget(
                self._clock,
                RETRY_BUDGET_SHARE * allowance.share,
                EXTRA_RETRIES_SHARE * allowance.extra / allowance.window_seconds,
                lambda: max(MIN_ASSUMED_VMS, len(self._view)),
            )
            self._budgets_by_service[service] = found
        return found

    def _log_abandoned(
        self, call: ForwardedCall, vm_id: str, progress: _Progress
    ) -> None:
        """Log the VM of a call whose caller disconnected or whose deadline passed."""
        events.call_line(
            "call_abandoned",
            is_failure=True,
            call=call.request_id,
            route=call.route_name,
            service=call.service,
            vm=vm_id,
            attempt=len(progress.tried) + 1,
            left_ms=round((call.deadline_at - self._clock.monotonic()) * 1000),
        )

    def _log_attempt(
        self,
        call: ForwardedCall,
        vm_id: str,
        outcome: CallOutcome,
        progress: _Progress,
    ) -> None:
        load = outcome.load
        events.call_line(
            "call_placed",
            is_failure=not isinstance(outcome, CallAnswer) or outcome.status >= 500,
            call=call.request_id,
            route=call.route_name,
            service=call.service,
            vm=vm_id,
            attempt=len(progress.tried),
            origin=progress.origin.name.lower(),
            running=load.running,
            waiting=load.waiting,
            outcome=_outcome_text(outcome),
            left_ms=round((call.deadline_at - self._clock.monotonic()) * 1000),
        )


def _first_origin(call: ForwardedCall) -> SendOrigin:
    return SendOrigin.REPEATED_RUN if call.parent_is_retry else SendOrigin.FIRST


def _outcome_text(outcome: CallOutcome) -> str:
    match outcome:
        case CallAnswer(status=status):
            return f"status {status}"
        case CallRefused(reason=reason):
            return f"refused {reason.name.lower()}"
        case CallFailed(reason=reason):
            return f"failed {reason}"
