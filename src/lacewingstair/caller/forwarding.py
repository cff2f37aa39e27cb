"""Forwards a call to the backend servers of its service, through their gates."""

import asyncio
import random
from collections.abc import Callable, Iterator

import attrs

from lacewingstair import events
from lacewingstair.backend_server.gate import Gate
from lacewingstair.caller.hedging import Hedge
from lacewingstair.caller.placement import Candidate, Distance, place
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

# Gates that are asked for room for one call, beyond those it was sent to.
MAX_REFUSALS = 4
# The rest is left for the calls of repeated runs, which are counted only once made.
REPEAT_PART = 0.8
# Part of the allowance beyond the share that is given out over time; each VM also saves
# up to one repeat.
EXTRA_REPEATS_PART = 0.3
# Few VMs are known right after a start, though many may share the minimum.
LEAST_SHARERS = 16
# Time without which a repeat at another backend server is not worth its load.
LEAST_REPEAT_MS = 50.0


@attrs.frozen
class ForwardCall:
    """A call with what decides where and how often it runs.

    Parameters
    ----------
    request_id : str
        Id that the caller gave.
    route_name : str
        Name of its route.
    route : CallRoute
        The route.
    service : str
        Service that was chosen for it.
    method, target : str
        Request line.
    header_lines, body : bytes
        The rest of the request.
    target_at, end_at : float
        When its answer loses most of its worth, and all of it; monotonic seconds.
    is_of_repeat : bool
        Whether the run that makes the call is a repeat.
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
    end_at: float
    is_of_repeat: bool = False


@attrs.frozen
class NotServed:
    """A call without an answer of a backend server.

    Parameters
    ----------
    is_not_run : bool
        Whether it is certain that the call did not run and will not.
    is_timeout : bool
        Whether its time has passed.
    reason : str
        Why.
    retry_after_ms : float
        Time after which there may be room.
    has_failed : bool
        Whether it ended as a backend server refused it.
    """

    is_not_run: bool
    is_timeout: bool
    reason: str
    retry_after_ms: float = 0.0
    has_failed: bool = False


@attrs.define
class _Progress:
    """What has happened to a call so far."""

    origin: SendOrigin = SendOrigin.FIRST
    # Whether the budget has allowed a repeat that is not sent yet.
    has_token: bool = False
    was_refused: bool = False
    tried: set[str] = attrs.field(factory=set)
    sent: int = 0
    refusals: int = 0
    may_have_run: bool = False
    retry_after_ms: float = 0.0
    last_answer: CallAnswer | None = None
    wants_new: bool | None = None
    last_reason: str = "no backend server takes the call"
    is_timeout: bool = False

    def was_sent(self, next_origin: SendOrigin) -> None:
        """Note a send; `next_origin` is why a further one would be made."""
        self.sent += 1
        self.has_token = False
        self.origin = next_origin


class Forwarder:
    """Chooses the gate of each call, and another one where that cannot run it twice.

    Parameters
    ----------
    own_entry : callable
        Returns the entry of this VM.
    view : MeshView
        Entries of all VMs.
    links : CallLinks
        Links to other VMs.
    gate : Gate
        Gate of this VM.
    rollouts : RolloutCoordinator
        Shares of new versions.
    clock, rng
        Time and randomness.
    allowance : RetryAllowance
        Repeats that all VMs together may make.
    """

    def __init__(
        self,
        own_entry: Callable[[], VmEntry],
        view: MeshView,
        links: CallLinks,
        gate: Gate,
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
        self._rng = rng
        self._budgets_by_service: dict[str, RetryBudget] = {}

    async def forward(self, call: ForwardCall) -> CallAnswer | NotServed:
        """Return the answer of a backend server, or why there is none."""
        budget = self._budget(call.service)
        if call.is_of_repeat:
            budget.count_external_retry()
        else:
            budget.count_call()
        progress = _Progress(
            _first_origin(call),
            wants_new=self._rollouts.choose_new(call.service),
        )
        while True:
            vm_id = self._choose(call, progress)
            if vm_id is None:
                return self._final(progress, budget)
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
            if progress.wants_new:
                # What the new version does not serve is served by the old one.
                progress.wants_new = False
            self._log(call, vm_id, outcome, progress)
            if not self._goes_on(call, outcome, progress, budget):
                return self._final(progress, budget)

    async def _hedge(
        self,
        call: ForwardCall,
        suspended_by_vm_id: dict[str, SuspendedCall],
        progress: _Progress,
        budget: RetryBudget,
    ) -> tuple[str, CallOutcome]:
        """Run a call whose VM is silent elsewhere too; the first answer counts.

        The VM may only be slow, so that ending the call there could lose its answer.
        """
        has_token = False

        def offer_on() -> None:
            nonlocal has_token
            left_ms = (call.end_at - self._clock.monotonic()) * 1000
            sent = progress.sent + len(hedge.vm_ids)
            if left_ms < LEAST_REPEAT_MS or sent >= call.route.max_attempts:
                return
            if progress.refusals >= MAX_REFUSALS:
                return
            other = self._choose(call, progress)
            if other is None or not (has_token or budget.try_acquire()):
                return
            has_token = True
            progress.tried.add(other)
            hedge.start(other, self._run_at(other, call, SendOrigin.SILENT_VM))

        def ended(outcome: CallOutcome | None) -> None:
            nonlocal has_token
            was_sent = True
            if isinstance(outcome, CallRefused):
                progress.refusals += 1
                was_sent = outcome.was_sent
            if outcome is not None:
                progress.sent += was_sent
            if isinstance(outcome, CallFailed):
                progress.may_have_run = True
            # A try that was not sent leaves its token to the next one.
            has_token = has_token and not was_sent
            offer_on()

        hedge = Hedge(suspended_by_vm_id, ended)
        progress.tried.update(hedge.vm_ids)
        offer_on()
        served = await hedge.first_served()
        progress.sent += hedge.given_up
        progress.may_have_run = progress.may_have_run or hedge.given_up > 0
        return served

    def _goes_on(
        self,
        call: ForwardCall,
        outcome: CallOutcome,
        progress: _Progress,
        budget: RetryBudget,
    ) -> bool:
        """Note an outcome; return whether the call is sent to another gate."""
        left_ms = (call.end_at - self._clock.monotonic()) * 1000
        match outcome:
            case CallRefused(reason=reason, was_sent=was_sent):
                progress.last_reason = f"refused: {reason.name.lower()}"
                progress.last_answer = None
                if was_sent:
                    progress.was_sent(SendOrigin.AFTER_REFUSAL)
                progress.was_refused = progress.was_refused or was_sent
                progress.refusals += 1
                progress.retry_after_ms = max(
                    progress.retry_after_ms, outcome.retry_after_ms
                )
                if progress.refusals >= MAX_REFUSALS or left_ms <= 0:
                    return False
                return not was_sent or self._may_send_again(call, progress, budget)
            case CallFailed():
                progress.was_sent(SendOrigin.AFTER_FAILURE)
                progress.may_have_run = True
                progress.is_timeout = outcome.is_timeout
                progress.last_reason = outcome.reason
                progress.last_answer = None
            case CallAnswer(status=status):
                progress.was_sent(SendOrigin.AFTER_ERROR)
                progress.may_have_run = True
                progress.last_answer = outcome
                if status < 500 or outcome.has_failed_call:
                    return False
        if not call.route.allows_repeat or left_ms < LEAST_REPEAT_MS:
            return False
        return self._may_send_again(call, progress, budget)

    def _may_send_again(
        self, call: ForwardCall, progress: _Progress, budget: RetryBudget
    ) -> bool:
        if progress.sent >= call.route.max_attempts:
            return False
        progress.has_token = progress.has_token or budget.try_acquire()
        return progress.has_token

    def _final(
        self, progress: _Progress, budget: RetryBudget
    ) -> CallAnswer | NotServed:
        if progress.has_token:
            budget.refund()
        if progress.last_answer is not None:
            return progress.last_answer
        return NotServed(
            is_not_run=not progress.may_have_run,
            is_timeout=progress.is_timeout,
            reason=progress.last_reason,
            retry_after_ms=progress.retry_after_ms,
            has_failed=progress.was_refused,
        )

    def _choose(self, call: ForwardCall, progress: _Progress) -> str | None:
        candidates = list(self._candidates(call.service, progress))
        if not candidates and progress.wants_new:
            progress.wants_new = False
            candidates = list(self._candidates(call.service, progress))
        now = self._clock.monotonic()
        chosen = place(
            candidates,
            (call.target_at - now) * 1000,
            (call.end_at - now) * 1000,
            call.route.has_large_answers,
            self._rng,
        )
        if chosen is not None:
            return chosen.vm_id
        return self._choose_unlinked(call.service, progress)

    def _choose_unlinked(self, service: str, progress: _Progress) -> str | None:
        """Return a VM without a link, which may have come back, or None."""
        own_vm_id = self._own_entry().vm_id
        now = self._clock.monotonic()
        found = []
        for entry in self._view.of_service(service):
            link = self._links.get(entry.vm_id)
            if entry.vm_id == own_vm_id or link is None:
                continue
            if not self._may_try(entry, progress):
                continue
            if not link.is_connected and link.is_usable(now):
                found.append(entry.vm_id)
        return self._rng.choice(found) if found else None

    def _may_try(self, entry: VmEntry, progress: _Progress) -> bool:
        if entry.vm_id in progress.tried or not entry.takes_calls:
            return False
        return self._rollouts.allows(
            entry.service, entry.vm_id, entry.version, progress.wants_new
        )

    def _candidates(self, service: str, progress: _Progress) -> Iterator[Candidate]:
        own = self._own_entry()
        now = self._clock.monotonic()
        for entry in self._view.of_service(service):
            if not self._may_try(entry, progress):
                continue
            if entry.vm_id == own.vm_id:
                if self._gate.is_open and not self._gate.is_stopping:
                    yield Candidate(own.vm_id, Distance.SAME_VM, self._gate.load())
                continue
            link = self._links.get(entry.vm_id)
            if link is None or not link.is_connected or not link.load.is_open:
                continue
            age = 0.0 if link.in_flight else now - link.load_at
            distance = _distance(own, entry)
            yield Candidate(entry.vm_id, distance, link.load, link.unreported, age)

    async def _run_at(
        self, vm_id: str, call: ForwardCall, origin: SendOrigin
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
            remaining_ms=(call.end_at - now) * 1000,
            target_ms=(call.target_at - now) * 1000,
            priority=call.route.priority,
            allows_repeat=call.route.allows_repeat,
            origin=origin,
        )
        if vm_id == self._own_entry().vm_id:
            return await self._gate.run(request)
        link = self._links.get(vm_id)
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
                REPEAT_PART * allowance.share,
                EXTRA_REPEATS_PART * allowance.extra / allowance.window_seconds,
                lambda: max(LEAST_SHARERS, len(self._view)),
            )
            self._budgets_by_service[service] = found
        return found

    def _log_abandoned(
        self, call: ForwardCall, vm_id: str, progress: _Progress
    ) -> None:
        """Log where a call was when its caller left or its time was over."""
        events.call_line(
            "call_abandoned",
            is_failure=True,
            call=call.request_id,
            route=call.route_name,
            service=call.service,
            vm=vm_id,
            attempt=len(progress.tried) + 1,
            left_ms=round((call.end_at - self._clock.monotonic()) * 1000),
        )

    def _log(
        self,
        call: ForwardCall,
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
            left_ms=round((call.end_at - self._clock.monotonic()) * 1000),
        )


def _first_origin(call: ForwardCall) -> SendOrigin:
    return SendOrigin.REPEATED_RUN if call.is_of_repeat else SendOrigin.FIRST


def _distance(own: VmEntry, other: VmEntry) -> Distance:
    if own.availability_zone == other.availability_zone:
        return Distance.SAME_ZONE
    if own.region == other.region:
        return Distance.SAME_REGION
    return Distance.OTHER_REGION


def _outcome_text(outcome: CallOutcome) -> str:
    match outcome:
        case CallAnswer(status=status):
            return f"status {status}"
        case CallRefused(reason=reason):
            return f"refused {reason.name.lower()}"
        case CallFailed(reason=reason):
            return f"failed {reason}"
