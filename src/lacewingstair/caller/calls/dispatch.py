"""Sends calls to backend servers, and retries them where that is safe."""

import asyncio
import contextlib
import functools
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable

from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError
from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.backend_server.connection import UpstreamConnection
from lacewingstair.backend_server.pool import IDLE_TIMEOUT_SECONDS, ConnectionPool
from lacewingstair.caller.calls.attempts import (
    Attempt,
    AttemptFailure,
    Call,
    UpstreamResponse,
    find_response_fault,
)
from lacewingstair.caller.calls.options import DEFAULT_OPTIONS, CallOptions
from lacewingstair.caller.messages import headers
from lacewingstair.caller.messages.body import Body, BodyTooLarge
from lacewingstair.caller.messages.body_refusal import BodyRefusedError
from lacewingstair.caller.messages.refusals import Refusal
from lacewingstair.errors import ConnectionsBusy
from lacewingstair.events import DecisionLog
from lacewingstair.final_responses import FaultKind, ResponseFault
from lacewingstair.routing.balancing import (
    Balancer,
    EndpointIndex,
    Upstream,
    UpstreamGroup,
)
from lacewingstair.routing.limits import Admission, RetryBudget
from lacewingstair.routing.outcomes import (
    CallOutcome,
    CallResult,
    OutcomeSink,
    VersionChooser,
)
from lacewingstair.runtime import Clock

MAX_ATTEMPTS = 3
# Share of the remaining time after which a silent attempt may be replaced by a retry.
SILENT_ATTEMPT_SHARE = 0.5
STALE_IDLE_SECONDS = 1.0
RETRYABLE_STATUSES = (502, 503, 504)
_RETRY_NO_LINE = f"{headers.RETRY}: {headers.RETRY_NO}\r\n".encode()

ReserveRetry = Callable[[], bool]


class Dispatcher:
    """Selects an upstream for each call and sends the call.

    Parameters
    ----------
    index : EndpointIndex
        Upstreams by service and version.
    pool : ConnectionPool
        Connections to the upstreams.
    chooser : VersionChooser
        Selects the version of the service for each call.
    sink : OutcomeSink
        Receives the outcome of each attempt.
    clock, rng
        Sources of time and randomness.
    on_unreachable : callable, optional
        Called with the address of an endpoint that cannot be connected to.
    decisions : DecisionLog, optional
        Samples the routing decisions that are logged; none by default.
    options : CallOptions, optional
        Limits of retries, and tunables of load balancing.
    vm_count : callable, optional
        Returns the number of VMs that share the guaranteed minimum of retries.

    Attributes
    ----------
    responses_by_fault : Counter
        Responses outside the protocol since the start, by what is wrong with them.
    """

    def __init__(
        self,
        index: EndpointIndex,
        pool: ConnectionPool,
        chooser: VersionChooser,
        sink: OutcomeSink,
        clock: Clock,
        rng: random.Random,
        on_unreachable: Callable[[str], None] = lambda address: None,
        decisions: DecisionLog | None = None,
        options: CallOptions = DEFAULT_OPTIONS,
        vm_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self._vm_count = vm_count
        self._decisions = decisions
        self._options = options
        self._index = index
        self._pool = pool
        self._chooser = chooser
        self._sink = sink
        self._clock = clock
        self._rng = rng
        self._on_unreachable = on_unreachable
        self.responses_by_fault: Counter[FaultKind] = Counter()
        self._balancer = Balancer(clock, rng, options.slow_start_seconds)
        self._admissions_by_service: dict[str, Admission] = {}
        self._budgets_by_service: dict[str, RetryBudget] = {}
        index.on_removed = pool.close_idle

    def admit(self, service: str, worth: float, customer: str) -> Refusal | None:
        """Return a refusal if the service lacks the capacity for such a call."""
        if self._admission(service).admit(worth, customer):
            return None
        return Refusal(503, f"{service} is short of capacity", True, 1)

    async def dispatch(self, call: Call) -> Result[UpstreamResponse, Refusal]:
        """Return the response of an upstream, or a refusal.

        The caller of this method must end the response with `finish`, `abandon`,
        `fail_truncated` or `settle_cancelled`.
        """
        result = await self._dispatch(call)
        admission = self._admission(call.service)
        # Admission counts the outcome of the call and not of each attempt, so that a
        # single upstream that refuses all calls does not look like a lack of capacity.
        if isinstance(result, Ok) and not result.ok_value.is_refusal:
            admission.record_success()
        elif isinstance(result, Ok) or result.err_value.lacks_capacity:
            admission.record_rejection()
        return result

    async def _dispatch(self, call: Call) -> Result[UpstreamResponse, Refusal]:
        budget = self._budget(call.service)
        if call.allows_retry:
            budget.count_call()
        else:
            budget.count_external_retry()
        tried: list[Upstream] = []
        may_have_run = False
        last: Refusal | None = None
        version = self._chooser.choose_version(call.route, call.service)
        while True:
            if self._clock.monotonic() >= call.deadline:
                return Err(last or Refusal(504, "the deadline has passed"))
            chosen = self._choose_upstream(call, version, tried)
            if chosen is None:
                return Err(last or self._refuse_without_upstream(call, version))
            group, upstream = chosen
            tried.append(upstream)
            is_last = len(tried) >= MAX_ATTEMPTS
            attempt = Attempt(call, group, upstream, self._clock.monotonic())
            attempt.is_retry = len(tried) > 1
            reserve_retry = functools.partial(self._reserve_retry, call, tried)
            outcome = await self._run_attempt(
                attempt, None if is_last else reserve_retry
            )
            if isinstance(outcome, AttemptFailure):
                may_have_run = may_have_run or outcome.is_sent
                last = Refusal(outcome.status, outcome.reason, not may_have_run, 1)
                if is_last or not self._may_retry(call, outcome, budget):
                    return Err(last)
                if outcome.is_stale:
                    tried.pop()
                else:
                    version = self._retry_version(call, upstream.endpoint.version)
                continue
            retry_version = self._retry_version(call, upstream.endpoint.version)
            is_trial = retry_version != upstream.endpoint.version
            should_retry = self._should_retry(call, outcome, is_trial) and not is_last
            if (
                should_retry
                and self._choose_upstream(call, retry_version, tried)
                and budget.try_acquire()
            ):
                version = retry_version
                may_have_run = may_have_run or not outcome.is_refusal
                last = Refusal(502, "no other upstream", not may_have_run, 1)
                self.abandon(outcome)
                continue
            if outcome.is_refusal and may_have_run:
                # An earlier attempt may have run, so the outcome must not be "not-run".
                self.abandon(outcome)
                return Err(Refusal(502, "the call may have run", False))
            return Ok(outcome)

    def finish(self, response: UpstreamResponse) -> None:
        """End a response whose body was received completely."""
        if response.is_refusal:
            # A faulty backend server may send a refusal twice. Responses carry no id,
            # so the duplicate would be taken for the response to the next call.
            self.abandon(response)
            return
        attempt = response.attempt
        self._stop_writer(attempt)
        self._settle_response(response)
        connection = attempt.require_connection()
        self._pool.release(attempt.upstream.address, connection)

    def abandon(self, response: UpstreamResponse) -> None:
        """End a response whose body is not needed, and close its connection."""
        self._stop_writer(response.attempt)
        self._settle_response(response)
        self._discard(response.attempt)

    def fail_truncated(self, response: UpstreamResponse) -> None:
        """End a response whose body was truncated or arrived too late."""
        self._settle(response.attempt, CallResult.FAILED)
        self._discard(response.attempt)

    def settle_cancelled(self, response: UpstreamResponse) -> None:
        """End a response whose caller has disconnected."""
        self._settle(response.attempt, CallResult.CANCELLED)
        self._discard(response.attempt)

    def _choose_upstream(
        self, call: Call, version: str, tried: list[Upstream]
    ) -> tuple[UpstreamGroup, Upstream] | None:
        group = self._index.group(call.service, version)
        upstream = self._balancer.choose(group, tried)
        if upstream is not None:
            return group, upstream
        for other in self._chooser.versions(call.route, call.service):
            group = self._index.group(call.service, other)
            upstream = self._balancer.choose(group, tried)
            if upstream is not None:
                return group, upstream
        return None

    def _retry_version(self, call: Call, failed: str) -> str:
        """Return the version for a retry: one other than `failed`, if there is one.

        This hides faults of a new version from callers whose calls can be retried.
        """
        for version in self._chooser.versions(call.route, call.service):
            if version != failed and len(self._index.group(call.service, version)):
                return version
        return failed

    def _refuse_without_upstream(self, call: Call, version: str) -> Refusal:
        if not len(self._index.group(call.service, version)):
            return Refusal(503, f"no endpoint of {call.service} is ready", True, 1)
        reason = f"all endpoints of {call.service} are busy"
        return Refusal(503, reason, True, 1, lacks_capacity=True)

    def _reserve_retry(self, call: Call, tried: list[Upstream]) -> bool:
        """Return whether a silent attempt may be retried, and take the retry token.

        Without another upstream or a token the attempt keeps its full time, as its
        upstream may still be processing the call.
        """
        if not call.allows_repeat or not call.allows_retry:
            return False
        if not call.body.is_replayable:
            return False
        version = self._retry_version(call, tried[-1].endpoint.version)
        if self._choose_upstream(call, version, tried) is None:
            return False
        return self._budget(call.service).try_acquire()

    async def _run_attempt(
        self, attempt: Attempt, reserve_retry: ReserveRetry | None
    ) -> UpstreamResponse | AttemptFailure:
        self._balancer.record_start(attempt.upstream)
        self._log_routing(attempt.call, attempt.upstream)
        try:
            return await self._connect_and_send(attempt, reserve_retry)
        except asyncio.CancelledError:
            self._settle(attempt, CallResult.CANCELLED)
            self._discard(attempt)
            raise

    async def _connect_and_send(
        self, attempt: Attempt, reserve_retry: ReserveRetry | None
    ) -> UpstreamResponse | AttemptFailure:
        call, endpoint = attempt.call, attempt.upstream.endpoint
        max_idle = self._options.idle_reuse_seconds
        if call.allows_repeat:
            max_idle = IDLE_TIMEOUT_SECONDS
        acquired = await self._pool.acquire(
            endpoint.address, endpoint.connections, max_idle
        )
        if isinstance(acquired, Err):
            return self._fail_connect(attempt, acquired.err_value)
        connection = acquired.ok_value
        attempt.connection = connection
        attempt.was_reused = connection.calls > 0
        attempt.idle_seconds = self._clock.monotonic() - connection.last_used_at
        connection.begin_call(is_head=call.method == "HEAD")
        remaining = call.deadline - self._clock.monotonic()
        if remaining <= 0:
            self._settle(attempt, CallResult.CANCELLED)
            self._discard(attempt)
            return AttemptFailure("the deadline has passed", False, status=504)
        return await self._send(attempt, connection, remaining, reserve_retry)

    async def _send(
        self,
        attempt: Attempt,
        connection: UpstreamConnection,
        remaining: float,
        reserve_retry: ReserveRetry | None,
    ) -> UpstreamResponse | AttemptFailure:
        call = attempt.call
        # Layers behind a retry must not retry in turn.
        forbids_inner_retries = attempt.is_retry and call.allows_retry
        head = b"%b %b HTTP/1.1\r\n%b%b%b%b: %d\r\n\r\n" % (
            call.method.encode(),
            call.target.encode(),
            call.header_lines,
            _RETRY_NO_LINE if forbids_inner_retries else b"",
            call.body.framing(call.has_body),
            headers.DEADLINE_MS.encode(),
            max(1, int(remaining * 1000)),
        )
        try:
            async with _attempt_timeout(attempt, remaining, reserve_retry):
                if call.body.remainder is None:
                    connection.write(head + call.body.prefix)
                else:
                    connection.write(head)
                    attempt.writer = asyncio.create_task(
                        _write_body(call.body, connection)
                    )
                message, payload = await connection.read_response_head()
        except TimeoutError:
            return self._fail_attempt(
                attempt, "the upstream did not answer in time", True
            )
        except (ClientError, HttpProcessingError, OSError) as error:
            if isinstance(error, HttpProcessingError):
                fault = ResponseFault(FaultKind.MALFORMED, _describe(error))
                self._record_fault(attempt, fault)
            return self._fail_attempt(attempt, _describe(error), False)
        attempt.latency_seconds = self._clock.monotonic() - attempt.started_at
        fault = find_response_fault(message, call.method)
        if fault is not None:
            self._record_fault(attempt, fault)
            return self._fail_attempt(attempt, fault.reason, False)
        return UpstreamResponse(attempt, message, payload)

    def _record_fault(self, attempt: Attempt, fault: ResponseFault) -> None:
        """Count and log a response outside the protocol."""
        self.responses_by_fault[fault.kind] += 1
        events.call_line(
            "response_unusable",
            is_failure=True,
            route=attempt.call.route,
            address=attempt.upstream.address,
            fault=fault.kind.value,
            reason=fault.reason,
        )

    def _fail_connect(self, attempt: Attempt, error: object) -> AttemptFailure:
        if isinstance(error, ConnectionsBusy):
            self._settle(attempt, CallResult.CANCELLED)
            return AttemptFailure(str(error), False, is_busy=True, status=503)
        self._settle(attempt, CallResult.FAILED, is_unreachable=True)
        self._on_unreachable(attempt.upstream.address)
        return AttemptFailure(str(error), False, status=503)

    def _fail_attempt(
        self, attempt: Attempt, reason: str, is_timeout: bool
    ) -> AttemptFailure:
        connection = attempt.require_connection()
        is_sent = connection.has_written
        is_silent = not connection.has_received
        is_stale = (
            is_silent
            and not is_timeout
            and attempt.was_reused
            and attempt.idle_seconds >= STALE_IDLE_SECONDS
            and attempt.call.allows_repeat
            and not attempt.call.has_body
        )
        failure = _body_failure(attempt)
        if is_stale or (is_timeout and is_silent and attempt.was_reused):
            # Connections that were idle for longer are closed or silent as well.
            self._pool.close_idle_before(
                attempt.upstream.address, connection.last_used_at
            )
        if is_timeout:
            attempt.upstream.limit.record_rejection()
        if failure is not None or is_stale:
            self._settle(attempt, CallResult.CANCELLED)
        else:
            self._settle(attempt, CallResult.FAILED)
        self._discard(attempt)
        if failure is not None:
            return failure
        status = 504 if is_timeout else 502
        return AttemptFailure(
            reason,
            is_sent,
            is_timeout,
            is_stale,
            status=status,
            has_retry_token=attempt.is_superseded,
        )

    def _may_retry(
        self, call: Call, failure: AttemptFailure, budget: RetryBudget
    ) -> bool:
        if not call.body.is_replayable or failure.status < 500:
            return False
        if not failure.is_sent or failure.is_stale:
            return True
        if not call.allows_repeat or not call.allows_retry:
            return False
        return failure.has_retry_token or budget.try_acquire()

    def _should_retry(
        self, call: Call, response: UpstreamResponse, is_trial: bool
    ) -> bool:
        if response.forbids_retry or not call.allows_retry:
            return False
        if not call.body.is_replayable:
            return False
        if response.is_refusal:
            return True
        is_failure = response.status >= 500 and is_trial
        is_retryable = is_failure or response.status in RETRYABLE_STATUSES
        return call.allows_repeat and is_retryable

    def _settle_response(self, response: UpstreamResponse) -> None:
        if response.is_refusal:
            self._settle(response.attempt, CallResult.NOT_RUN)
        elif response.status >= 500:
            self._settle(response.attempt, CallResult.FAILED)
        else:
            self._settle(response.attempt, CallResult.OK)

    def _settle(
        self, attempt: Attempt, result: CallResult, is_unreachable: bool = False
    ) -> None:
        """Release the slot of an attempt and record its outcome, at most once."""
        if attempt.is_settled:
            return
        attempt.is_settled = True
        now = self._clock.monotonic()
        seconds = attempt.latency_seconds or now - attempt.started_at
        group, upstream = attempt.group, attempt.upstream
        if is_unreachable:
            self._balancer.record_unreachable(group, upstream)
        elif result is CallResult.OK:
            self._balancer.record_success(group, upstream, seconds)
        elif result is CallResult.FAILED:
            self._balancer.record_failure(group, upstream, seconds)
        elif result is CallResult.NOT_RUN:
            self._balancer.record_rejection(upstream)
        else:
            self._balancer.record_cancellation(upstream)
        endpoint = upstream.endpoint
        age = now - upstream.ready_since
        self._sink.record(
            CallOutcome(
                attempt.call.route,
                endpoint.service,
                endpoint.version,
                endpoint.address,
                result,
                seconds,
                age,
            )
        )

    def _discard(self, attempt: Attempt) -> None:
        self._stop_writer(attempt)
        if attempt.connection is not None:
            connection, attempt.connection = attempt.connection, None
            self._pool.discard(attempt.upstream.address, connection)

    def _stop_writer(self, attempt: Attempt) -> None:
        writer = attempt.writer
        if writer is None:
            return
        attempt.writer = None
        if not writer.done():
            # The response arrived before the whole body was sent; skip the rest.
            writer.cancel()
            if attempt.connection is not None:
                attempt.connection.force_close()
        elif not writer.cancelled():
            writer.exception()

    def _admission(self, service: str) -> Admission:
        found = self._admissions_by_service.get(service)
        if found is None:
            found = Admission(self._clock, self._rng)
            self._admissions_by_service[service] = found
        return found

    def _budget(self, service: str) -> RetryBudget:
        found = self._budgets_by_service.get(service)
        if found is None:
            options = self._options
            found = RetryBudget(
                self._clock,
                options.retry_share,
                options.retry_minimum_per_second,
                self._vm_count,
            )
            self._budgets_by_service[service] = found
        return found

    def _log_routing(self, call: Call, upstream: Upstream) -> None:
        if self._decisions is None or not self._decisions.is_sampled():
            return
        events.info(
            "call_routed",
            route=call.route,
            service=call.service,
            version=upstream.endpoint.version,
            address=upstream.address,
            in_flight=upstream.in_flight,
            limit=upstream.limit.value,
            latency_seconds=upstream.latency_seconds,
        )


@contextlib.asynccontextmanager
async def _attempt_timeout(
    attempt: Attempt, remaining: float, reserve_retry: ReserveRetry | None
) -> AsyncIterator[None]:
    """Raise TimeoutError at the deadline, or earlier if a retry was reserved."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(remaining) as timeout:
        if reserve_retry is None:
            yield
            return

        def supersede() -> None:
            if not timeout.expired() and reserve_retry():
                attempt.is_superseded = True
                timeout.reschedule(loop.time())

        handle = loop.call_later(remaining * SILENT_ATTEMPT_SHARE, supersede)
        try:
            yield
        finally:
            handle.cancel()


async def _write_body(body: Body, connection: UpstreamConnection) -> None:
    try:
        async for frame in body.frames():
            if not connection.write(frame):
                return
            await connection.drain()
    except BaseException:
        # The backend server must not take the truncated request for a complete one.
        connection.abort()
        raise


def _body_failure(attempt: Attempt) -> AttemptFailure | None:
    """Return the failure of the caller's body that ended the attempt, if any."""
    writer = attempt.writer
    if writer is None or not writer.done() or writer.cancelled():
        return None
    error = writer.exception()
    if isinstance(error, BodyTooLarge):
        limit = attempt.call.body.limit
        reason = f"the body is larger than the {limit} bytes that the route allows"
        return AttemptFailure(reason, True, status=413)
    if isinstance(error, BodyRefusedError):
        # A part of the body was passed on.
        return AttemptFailure(str(error), True, status=502)
    if error is None or isinstance(error, OSError):
        return None
    return AttemptFailure(
        f"the body is malformed: {_describe(error)}", True, status=400
    )


def _describe(error: BaseException) -> str:
    return str(error) or type(error).__name__
