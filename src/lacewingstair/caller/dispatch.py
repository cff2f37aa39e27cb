"""Sends a call to backend servers, again only where it cannot run twice."""

import asyncio
import contextlib
import functools
import random
from collections.abc import AsyncIterator, Callable

from aiohttp import ClientError
from aiohttp.http_exceptions import HttpProcessingError
from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.backend_server.connection import UpstreamConnection
from lacewingstair.backend_server.pool import IDLE_SECONDS, ConnectionPool
from lacewingstair.caller import headers
from lacewingstair.caller.attempts import Answer, Attempt, Call, Failure, fault_of
from lacewingstair.caller.body import Body, BodyTooLarge
from lacewingstair.caller.options import DEFAULT_OPTIONS, CallOptions
from lacewingstair.caller.refusals import Refusal
from lacewingstair.errors import ConnectionsBusy
from lacewingstair.events import DecisionLog
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
# Part of the time left after which a silent attempt is given up for a repeat.
GIVE_UP_SHARE = 0.5
STALE_IDLE_SECONDS = 1.0
REPEATABLE_STATUSES = (502, 503, 504)
_RETRY_NO_LINE = f"{headers.RETRY}: {headers.RETRY_NO}\r\n".encode()

TakesRepeat = Callable[[], bool]


class Dispatcher:
    """Chooses upstreams for calls and sends the calls.

    Parameters
    ----------
    index : EndpointIndex
        Upstreams by service and version.
    pool : ConnectionPool
        Connections to them.
    chooser : VersionChooser
        Chooses the version.
    sink : OutcomeSink
        Takes the outcome of each attempt.
    clock, rng
        Time and randomness.
    on_unreachable : callable, optional
        Takes the address of an endpoint that refused a connection.
    decisions : DecisionLog, optional
        Logs a share of the routing decisions; none is logged by default.
    options : CallOptions, optional
        Bounds of repeats and of the choice of upstreams.
    sharers : callable, optional
        Returns how many VMs share the minimum of repeats.
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
        sharers: Callable[[], int] = lambda: 1,
    ) -> None:
        self._sharers = sharers
        self._decisions = decisions
        self._options = options
        self._index = index
        self._pool = pool
        self._chooser = chooser
        self._sink = sink
        self._clock = clock
        self._rng = rng
        self._on_unreachable = on_unreachable
        self._balancer = Balancer(clock, rng, options.slow_start_seconds)
        self._admissions_by_service: dict[str, Admission] = {}
        self._budgets_by_service: dict[str, RetryBudget] = {}
        index.on_removed = pool.forget

    def admit(self, service: str, worth: float, customer: str) -> Refusal | None:
        """Return a refusal when the service is short of capacity for such a call."""
        if self._admission(service).admit(worth, customer):
            return None
        return Refusal(503, f"{service} is short of capacity", True, 1)

    async def dispatch(self, call: Call) -> Result[Answer, Refusal]:
        """Return the answer of an upstream, or why there is none.

        The caller of this method ends the answer with `finish`, `abandon`, `truncated`
        or `cancelled`.
        """
        result = await self._dispatch(call)
        admission = self._admission(call.service)
        # The outcome of the call counts, not that of each attempt, so that one upstream
        # that refuses all calls does not make the service look short of capacity.
        if isinstance(result, Ok) and not result.ok_value.is_refusal:
            admission.record_success()
        elif isinstance(result, Ok) or result.err_value.is_short:
            admission.record_rejection()
        return result

    async def _dispatch(self, call: Call) -> Result[Answer, Refusal]:
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
            chosen = self._choose(call, version, tried)
            if chosen is None:
                return Err(last or self._short(call, version))
            group, upstream = chosen
            tried.append(upstream)
            is_last = len(tried) >= MAX_ATTEMPTS
            attempt = Attempt(call, group, upstream, self._clock.monotonic())
            attempt.is_repeat = len(tried) > 1
            takes_repeat = functools.partial(self._takes_repeat, call, tried)
            outcome = await self._attempt(attempt, None if is_last else takes_repeat)
            if isinstance(outcome, Failure):
                may_have_run = may_have_run or outcome.is_sent
                last = Refusal(outcome.status, outcome.reason, not may_have_run, 1)
                if is_last or not self._may_repeat(call, outcome, budget):
                    return Err(last)
                if outcome.is_stale:
                    tried.pop()
                else:
                    version = self._fallback(call, upstream.endpoint.version)
                continue
            fallback = self._fallback(call, upstream.endpoint.version)
            is_trial = fallback != upstream.endpoint.version
            wants_more = self._wants_repeat(call, outcome, is_trial) and not is_last
            if (
                wants_more
                and self._choose(call, fallback, tried)
                and budget.try_acquire()
            ):
                version = fallback
                may_have_run = may_have_run or not outcome.is_refusal
                last = Refusal(502, "no other upstream", not may_have_run, 1)
                self.abandon(outcome)
                continue
            if outcome.is_refusal and may_have_run:
                # An earlier attempt of this call may have run, so it is not "not run".
                self.abandon(outcome)
                return Err(Refusal(502, "the call may have run", False))
            return Ok(outcome)

    def finish(self, answer: Answer) -> None:
        """End an answer whose body was received whole."""
        if answer.is_refusal:
            # A faulty backend server may write it once more, and answers have no id
            # that would tell it from the answer to the next call.
            self.abandon(answer)
            return
        attempt = answer.attempt
        self._stop_writer(attempt)
        self._settle_answer(answer)
        connection = attempt.open_connection()
        self._pool.release(attempt.upstream.address, connection)

    def abandon(self, answer: Answer) -> None:
        """End an answer whose body is not needed; its connection is closed."""
        self._stop_writer(answer.attempt)
        self._settle_answer(answer)
        self._discard(answer.attempt)

    def truncated(self, answer: Answer) -> None:
        """End an answer whose body broke off or came too late."""
        self._settle(answer.attempt, CallResult.FAILED)
        self._discard(answer.attempt)

    def cancelled(self, answer: Answer) -> None:
        """End an answer whose caller has left."""
        self._settle(answer.attempt, CallResult.CANCELLED)
        self._discard(answer.attempt)

    def _choose(
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

    def _fallback(self, call: Call, failed: str) -> str:
        """Return the version for a repeat; another one than failed, if there is one.

        The faults of a new version then do not reach callers whose calls may repeat.
        """
        for version in self._chooser.versions(call.route, call.service):
            if version != failed and len(self._index.group(call.service, version)):
                return version
        return failed

    def _short(self, call: Call, version: str) -> Refusal:
        if not len(self._index.group(call.service, version)):
            return Refusal(503, f"no endpoint of {call.service} is ready", True, 1)
        reason = f"all endpoints of {call.service} are busy"
        return Refusal(503, reason, True, 1, is_short=True)

    def _takes_repeat(self, call: Call, tried: list[Upstream]) -> bool:
        """Return whether a silent attempt may be repeated, and take the budget for it.

        Without another upstream or budget the attempt keeps its time: its upstream may
        be at work on it.
        """
        if not call.allows_repeat or not call.allows_retry:
            return False
        if not call.body.is_replayable:
            return False
        version = self._fallback(call, tried[-1].endpoint.version)
        if self._choose(call, version, tried) is None:
            return False
        return self._budget(call.service).try_acquire()

    async def _attempt(
        self, attempt: Attempt, takes_repeat: TakesRepeat | None
    ) -> Answer | Failure:
        self._balancer.record_start(attempt.upstream)
        self._log(attempt.call, attempt.upstream)
        try:
            return await self._connect_and_send(attempt, takes_repeat)
        except asyncio.CancelledError:
            self._settle(attempt, CallResult.CANCELLED)
            self._discard(attempt)
            raise

    async def _connect_and_send(
        self, attempt: Attempt, takes_repeat: TakesRepeat | None
    ) -> Answer | Failure:
        call, endpoint = attempt.call, attempt.upstream.endpoint
        max_idle = self._options.idle_reuse_seconds
        if call.allows_repeat:
            max_idle = IDLE_SECONDS
        acquired = await self._pool.acquire(
            endpoint.address, endpoint.connections, max_idle
        )
        if isinstance(acquired, Err):
            return self._not_connected(attempt, acquired.err_value)
        connection = acquired.ok_value
        attempt.connection = connection
        attempt.was_reused = connection.calls > 0
        attempt.idle_seconds = self._clock.monotonic() - connection.used_at
        connection.begin(is_head=call.method == "HEAD")
        remaining = call.deadline - self._clock.monotonic()
        if remaining <= 0:
            self._settle(attempt, CallResult.CANCELLED)
            self._discard(attempt)
            return Failure("the deadline has passed", False, status=504)
        return await self._send(attempt, connection, remaining, takes_repeat)

    async def _send(
        self,
        attempt: Attempt,
        connection: UpstreamConnection,
        remaining: float,
        takes_repeat: TakesRepeat | None,
    ) -> Answer | Failure:
        call = attempt.call
        # Layers behind a repeat do not repeat in turn.
        is_marked = attempt.is_repeat and call.allows_retry
        head = b"%b %b HTTP/1.1\r\n%b%b%b%b: %d\r\n\r\n" % (
            call.method.encode(),
            call.target.encode(),
            call.header_lines,
            _RETRY_NO_LINE if is_marked else b"",
            call.body.framing(call.has_body),
            headers.DEADLINE_MS.encode(),
            max(1, int(remaining * 1000)),
        )
        try:
            async with _timeout(attempt, remaining, takes_repeat):
                if call.body.rest is None:
                    connection.write(head + call.body.start)
                else:
                    connection.write(head)
                    attempt.writer = asyncio.create_task(_write(call.body, connection))
                message, payload = await connection.head()
        except TimeoutError:
            return self._broken(attempt, "the upstream did not answer in time", True)
        except (ClientError, HttpProcessingError, OSError) as error:
            return self._broken(attempt, _describe(error), False)
        attempt.latency_seconds = self._clock.monotonic() - attempt.started_at
        fault = fault_of(message, call.method)
        if fault:
            return self._broken(attempt, fault, False)
        return Answer(attempt, message, payload)

    def _not_connected(self, attempt: Attempt, error: object) -> Failure:
        if isinstance(error, ConnectionsBusy):
            self._settle(attempt, CallResult.CANCELLED)
            return Failure(str(error), False, is_busy=True, status=503)
        self._settle(attempt, CallResult.FAILED, is_unreachable=True)
        self._on_unreachable(attempt.upstream.address)
        return Failure(str(error), False, status=503)

    def _broken(self, attempt: Attempt, reason: str, is_timeout: bool) -> Failure:
        connection = attempt.open_connection()
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
        fault = _writer_fault(attempt)
        if is_stale or (is_timeout and is_silent and attempt.was_reused):
            # Those that were idle for longer are closed or silent as well.
            self._pool.discard_older(attempt.upstream.address, connection.used_at)
        if is_timeout:
            attempt.upstream.limit.record_rejection()
        if fault is not None or is_stale:
            self._settle(attempt, CallResult.CANCELLED)
        else:
            self._settle(attempt, CallResult.FAILED)
        self._discard(attempt)
        if fault is not None:
            return fault
        status = 504 if is_timeout else 502
        return Failure(
            reason,
            is_sent,
            is_timeout,
            is_stale,
            status=status,
            has_budget=attempt.is_given_up,
        )

    def _may_repeat(self, call: Call, failure: Failure, budget: RetryBudget) -> bool:
        if not call.body.is_replayable or failure.status < 500:
            return False
        if not failure.is_sent or failure.is_stale:
            return True
        if not call.allows_repeat or not call.allows_retry:
            return False
        return failure.has_budget or budget.try_acquire()

    def _wants_repeat(self, call: Call, answer: Answer, is_trial: bool) -> bool:
        if answer.forbids_retry or not call.allows_retry:
            return False
        if not call.body.is_replayable:
            return False
        if answer.is_refusal:
            return True
        is_failure = answer.status >= 500 and is_trial
        is_repeatable = is_failure or answer.status in REPEATABLE_STATUSES
        return call.allows_repeat and is_repeatable

    def _settle_answer(self, answer: Answer) -> None:
        if answer.is_refusal:
            self._settle(answer.attempt, CallResult.NOT_RUN)
        elif answer.status >= 500:
            self._settle(answer.attempt, CallResult.FAILED)
        else:
            self._settle(answer.attempt, CallResult.OK)

    def _settle(
        self, attempt: Attempt, result: CallResult, is_unreachable: bool = False
    ) -> None:
        """Release the slot of an attempt once, and record its outcome."""
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
            # The answer came before the end of the body; the rest is not sent.
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
                self._sharers,
            )
            self._budgets_by_service[service] = found
        return found

    def _log(self, call: Call, upstream: Upstream) -> None:
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
async def _timeout(
    attempt: Attempt, remaining: float, takes_repeat: TakesRepeat | None
) -> AsyncIterator[None]:
    """Raise TimeoutError at the deadline, or earlier if a repeat follows."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(remaining) as timeout:
        if takes_repeat is None:
            yield
            return

        def give_up() -> None:
            if not timeout.expired() and takes_repeat():
                attempt.is_given_up = True
                timeout.reschedule(loop.time())

        handle = loop.call_later(remaining * GIVE_UP_SHARE, give_up)
        try:
            yield
        finally:
            handle.cancel()


async def _write(body: Body, connection: UpstreamConnection) -> None:
    try:
        async for frame in body.frames():
            if not connection.write(frame):
                return
            await connection.drain()
    except BaseException:
        # Without its end the request must not look whole to the backend server.
        connection.abort()
        raise


def _writer_fault(attempt: Attempt) -> Failure | None:
    """Return the fault of the caller's body that broke the attempt, if any."""
    writer = attempt.writer
    if writer is None or not writer.done() or writer.cancelled():
        return None
    error = writer.exception()
    if isinstance(error, BodyTooLarge):
        limit = attempt.call.body.limit
        reason = f"the body is larger than the {limit} bytes that the route allows"
        return Failure(reason, True, status=413)
    if error is None or isinstance(error, OSError):
        return None
    return Failure(f"the body is malformed: {_describe(error)}", True, status=400)


def _describe(error: BaseException) -> str:
    return str(error) or type(error).__name__
