"""HTTP server for callers on this VM, which include its own backend server."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from aiohttp import web
from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.backend_server.admission_proxy import AdmissionProxy
from lacewingstair.caller.calls.account_calls import AccountCalls
from lacewingstair.caller.calls.authorization import (
    Authorization,
    ParentNotRunning,
    authorize,
)
from lacewingstair.caller.calls.elapsed_wait import ElapsedWaitEstimator
from lacewingstair.caller.calls.forwarding import (
    LARGE_BODY_BYTES,
    ForwardedCall,
    Forwarder,
    ForwardingFailure,
)
from lacewingstair.caller.calls.open_call import STOPPED_REASON, NestedCalls, OpenCall
from lacewingstair.caller.connections.connection_guard import ConnectionGuard
from lacewingstair.caller.connections.pipelining import waited_seconds
from lacewingstair.caller.messages import request_checks
from lacewingstair.caller.messages.body_budget import (
    LARGE_BODY_FACTOR,
    BodyBudget,
    BodyReservation,
)
from lacewingstair.caller.messages.body_reader import read_body
from lacewingstair.caller.messages.own_responses import answer_response, error_response
from lacewingstair.caller.messages.raw_response import RawResponse
from lacewingstair.http_server import CallServer, call_server
from lacewingstair.metadata.configuration import (
    CallRoute,
    Configuration,
    ConfigurationStore,
    SplitChooser,
)
from lacewingstair.platform import headers
from lacewingstair.routing.routes import NamedRoute
from lacewingstair.runtime import Clock
from lacewingstair.stop_admission import StopAdmission
from lacewingstair.vm.call_messages import CallAnswer

# Time after the deadline of a call in which a response of the gate is still accepted.
RESPONSE_GRACE_SECONDS = 0.2
MIN_RETRY_AFTER_SECONDS = 0.1
NO_CONFIGURATION_RETRY_AFTER_SECONDS = 0.3
UNREADABLE_ROUTE_RETRY_AFTER_SECONDS = 1.0
STOPPING_RETRY_AFTER_SECONDS = 0.3
PARENT_NOT_RUNNING_RETRY_AFTER_SECONDS = 0.3
MEMORY_FULL_RETRY_AFTER_SECONDS = 0.5
MAX_LOGGED_ID_CHARACTERS = 200
# Jitter, as a share of the delay, that spreads retries of calls refused at the same
# time.
RETRY_AFTER_JITTER = 0.5


class Ingress:
    """Accepts calls, forwards them and responds to the callers.

    Parameters
    ----------
    own_service : str
        Service of the backend server on this VM, where all callers run as well.
    configurations : ConfigurationStore
        Configuration in force.
    forwarder : Forwarder
        Forwards calls to gates.
    gate : AdmissionProxy
        Proxy of this VM. Its backend server makes calls of its own while it runs calls.
    clock, rng
        Sources of time and randomness.
    on_answer : callable
        Called with the route, the status (0 if the caller disconnected) and the
        duration in seconds of each call.
    account_calls : AccountCalls, optional
        Keeps client accounts within their quotas.

    Attributes
    ----------
    newest_call_at : float
        When the latest call arrived, monotonic seconds.
    is_draining : bool
        Whether responses carry ``Connection: close``, so that callers go elsewhere.
    stop_admission : StopAdmission
        Decides which calls are taken over while the process stops.
    """

    def __init__(
        self,
        own_service: str,
        configurations: ConfigurationStore,
        forwarder: Forwarder,
        gate: AdmissionProxy,
        clock: Clock,
        rng: random.Random,
        on_answer: Callable[[str, int, float], None] = lambda route, status, s: None,
        account_calls: AccountCalls | None = None,
    ) -> None:
        self._account_calls = account_calls
        self._own_service = own_service
        self._configurations = configurations
        self._forwarder = forwarder
        self._gate = gate
        self._clock = clock
        self._rng = rng
        self._on_answer = on_answer
        self._splits = SplitChooser(rng)
        self._elapsed_wait = ElapsedWaitEstimator()
        self._body_budget = BodyBudget()
        self._has_room: Callable[[], bool] = lambda: True
        self._has_room_for_large: Callable[[], bool] = lambda: True
        self._open_calls: set[OpenCall] = set()
        self._nested_calls = NestedCalls()
        self._server: CallServer | None = None
        self.newest_call_at = clock.monotonic()
        self.is_draining = False
        self.stop_admission = StopAdmission(clock)

    def http_server(
        self,
        max_header_bytes: int,
        max_connections: int,
        buffer_bytes: int,
        guard: ConnectionGuard | None = None,
    ) -> web.Server:
        """Return the HTTP server; needs a running event loop."""
        if guard is not None:
            most = int(guard.limits.max_held_bytes * LARGE_BODY_FACTOR)
            self._body_budget = BodyBudget(most)
            self._has_room = lambda: guard.has_room
            self._has_room_for_large = lambda: guard.has_room_for_large
        self._server = call_server(
            self.handle,
            lambda: self.is_draining,
            max_header_bytes,
            may_run_ahead=self._may_run_ahead,
            max_connections=max_connections,
            buffer_bytes=buffer_bytes,
            guard=guard,
        )
        return self._server

    @property
    def open_calls(self) -> int:
        """Number of calls without a response."""
        return len(self._open_calls)

    @property
    def queued_calls(self) -> int:
        """Number of calls that wait for earlier ones of their connections."""
        return 0 if self._server is None else self._server.queued_calls

    @property
    def body_bytes(self) -> int:
        """Bytes of the bodies of open calls."""
        return self._body_budget.held_bytes

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that are buffered and not yet sent to callers."""
        return 0 if self._server is None else self._server.unsent_bytes

    def abort_calls(self) -> None:
        """End all open calls; each gets an answer that says whether it may have run."""
        for call in self._open_calls:
            call.abort(STOPPED_REASON)

    def abort_nested(self, parent_id: str) -> None:
        """End the open calls that were made for a call which is lost."""
        self._nested_calls.abort(parent_id)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one call."""
        now = self._clock.monotonic()
        self.newest_call_at = now
        # The caller's time runs while a call waits for earlier ones of its connection.
        started_at = now - waited_seconds(request)
        open_call = OpenCall(request, started_at, asyncio.current_task())
        self._open_calls.add(open_call)
        reservation = self._body_budget.reserve()
        status = 0
        try:
            prepared = await self._prepare(request, open_call, reservation)
            if isinstance(prepared, Err):
                status = prepared.err_value.status
                open_call.is_not_run = True
                return prepared.err_value
            call = prepared.ok_value
            open_call.route, open_call.deadline_at = call.route_name, call.deadline_at
            if call.is_nested:
                self._nested_calls.add(open_call)
            response = await self._forward(request, call, open_call)
            status = response.status
            return response
        except asyncio.CancelledError:
            open_call.log_unanswered(self._clock.monotonic())
            if not open_call.is_aborted:
                raise
            open_call.task.uncancel()
            response = self._abort_response(open_call)
            status = response.status
            return response
        finally:
            self._open_calls.discard(open_call)
            self._nested_calls.discard(open_call)
            reservation.release()
            if open_call.is_not_run and open_call.account is not None:
                self._account_calls.note_not_run(open_call.account)
            if not 200 <= status < 300:
                parent_id = headers.parent_id(open_call.request_id)
                self._gate.note_unserved_call(
                    parent_id, has_failed=open_call.has_failed
                )
            seconds = self._clock.monotonic() - started_at
            self._on_answer(open_call.route, status, seconds)

    def _may_run_ahead(self, request: web.BaseRequest) -> bool:
        """Return whether a call may run while earlier ones of its connection are open.

        Large responses are not buffered behind others.
        """
        if request_checks.check_request(request) is not None:
            return False
        path = request.raw_path.partition("?")[0]
        table = self._configurations.current.table
        named = table.find(request_checks.host_of(request), path, request.method)
        if named is None:
            return False
        return named.route.allows_repeat and not named.route.has_large_answers

    async def _prepare(
        self,
        request: web.BaseRequest,
        open_call: OpenCall,
        reservation: BodyReservation,
    ) -> Result[ForwardedCall, RawResponse]:
        started_at = open_call.started_at
        request_id = request.headers.get(headers.REQUEST_ID, "")
        refusal = request_checks.check_request(request)
        if refusal is not None:
            return Err(self._refuse(request, refusal.status, refusal.reason))
        if not self._has_room():
            return Err(self._refuse_full(request))
        if not headers.is_valid_request_id(request_id):
            reason = f"{headers.REQUEST_ID} {request_id[:40]!r} is not printable ASCII"
            return Err(self._refuse(request, 400, reason))
        target = request_checks.parse_target(request)
        if isinstance(target, Err):
            found = target.err_value
            return Err(self._refuse(request, found.status, found.reason))
        configuration = self._configurations.current
        if configuration.is_empty:
            delay = NO_CONFIGURATION_RETRY_AFTER_SECONDS
            return Err(self._refuse(request, 503, "no configuration yet", delay))
        path = target.ok_value.partition("?")[0]
        named = configuration.table.find(
            request_checks.host_of(request), path, request.method
        )
        if named is None:
            reason = f"no route in configuration {configuration.number}"
            return Err(self._refuse(request, 404, reason))
        if named.route.fault:
            # A later version may have the route in a form that can be read.
            reason = f"route {named.name!r} is unreadable"
            delay = UNREADABLE_ROUTE_RETRY_AFTER_SECONDS
            return Err(self._refuse(request, 503, reason, delay))
        authorized = self._authorize(request, configuration, named, request_id)
        if isinstance(authorized, Err):
            return authorized
        timeout_ms = self._timeout_ms(request, named.route)
        deadline_at = started_at + timeout_ms / 1000
        if not self.stop_admission.admits(named.name, deadline_at):
            return Err(self._refuse_stopping(request))
        over_quota = self._refuse_over_quota(request, authorized.ok_value, open_call)
        if over_quota is not None:
            return Err(over_quota)
        limit = configuration.limits.max_body_bytes
        left = deadline_at - self._clock.monotonic()
        body = await read_body(request, limit, max(0.0, left), reservation)
        if isinstance(body, Err):
            fault = body.err_value
            delay = fault.retry_after_seconds
            return Err(self._refuse(request, fault.status, fault.reason, delay))
        # Others may have come first while the body arrived.
        is_large = len(body.ok_value) >= LARGE_BODY_BYTES
        if is_large and not self._has_room_for_large():
            return Err(self._refuse_full(request))
        # The process may have begun to stop meanwhile.
        if not self.stop_admission.admits(named.name, deadline_at):
            return Err(self._refuse_stopping(request))
        return Ok(
            self._make_call(
                request,
                named,
                authorized.ok_value,
                target.ok_value,
                body.ok_value,
                request_id,
                started_at,
            )
        )

    def _authorize(
        self,
        request: web.BaseRequest,
        configuration: Configuration,
        named: NamedRoute,
        request_id: str,
    ) -> Result[Authorization, RawResponse]:
        authorized = authorize(
            configuration.accounts,
            headers.credentials(request.headers),
            named.route.is_public,
            headers.parent_id(request_id),
            self._gate.is_running,
        )
        if isinstance(authorized, Ok):
            return authorized
        error = authorized.err_value
        if isinstance(error, ParentNotRunning):
            delay = PARENT_NOT_RUNNING_RETRY_AFTER_SECONDS
            return Err(self._refuse(request, 503, str(error), delay))
        return Err(self._refuse(request, 401, str(error)))

    def _refuse_over_quota(
        self,
        request: web.BaseRequest,
        authorization: Authorization,
        open_call: OpenCall,
    ) -> RawResponse | None:
        if self._account_calls is None or authorization.account is None:
            return None
        refusal = self._account_calls.admit(authorization)
        if refusal is None:
            if not authorization.is_nested:
                open_call.account = authorization.account
            return None
        return self._refuse(
            request,
            429,
            str(refusal),
            refusal.retry_after_seconds,
            **refusal.log_fields(),
        )

    def _timeout_ms(self, request: web.BaseRequest, route: CallRoute) -> float:
        asked_ms = headers.deadline_ms(request.headers)
        return route.timeout_ms if asked_ms is None else min(route.timeout_ms, asked_ms)

    def _refuse_full(self, request: web.BaseRequest) -> RawResponse:
        delay = MEMORY_FULL_RETRY_AFTER_SECONDS
        return self._refuse(request, 503, "memory for calls is full", delay)

    def _refuse_stopping(self, request: web.BaseRequest) -> RawResponse:
        delay = STOPPING_RETRY_AFTER_SECONDS
        return self._refuse(request, 503, "the VM is shutting down", delay)

    def _abort_response(self, call: OpenCall) -> RawResponse:
        """Return the answer to a call that this process ended."""
        if not call.is_forwarded:
            call.is_not_run = True
            return self._refuse_stopping(call.request)
        return self._refuse(call.request, 502, call.abort_reason)

    def _make_call(
        self,
        request: web.BaseRequest,
        named: NamedRoute,
        authorization: Authorization,
        target: str,
        body: bytes,
        request_id: str,
        started_at: float,
    ) -> ForwardedCall:
        route = named.route
        timeout_ms = self._timeout_ms(request, route)
        target_ms = route.target_latency_ms
        asked_ms = headers.deadline_ms(request.headers)
        parent_id = headers.parent_id(request_id)
        if authorization.is_nested:
            # The parent call fails without this one, and a response at the deadline
            # serves it as well as an earlier one.
            target_ms = timeout_ms
        elif asked_ms is not None:
            target_ms -= self._elapsed_wait.elapsed_ms(named.name, asked_ms, started_at)
        return ForwardedCall(
            request_id=request_id,
            route_name=named.name,
            route=route,
            service=self._splits.choose(named),
            method=request.method,
            target=target,
            header_lines=headers.request_lines(
                request.raw_headers, self._own_service, authorization.stated_account
            ),
            body=body,
            target_at=started_at + target_ms / 1000,
            deadline_at=started_at + timeout_ms / 1000,
            parent_is_retry=self._gate.is_retry(parent_id),
            account_priority=authorization.priority,
            account=authorization.account_name,
            is_nested=authorization.is_nested,
        )

    async def _forward(
        self, request: web.BaseRequest, call: ForwardedCall, open_call: OpenCall
    ) -> web.StreamResponse:
        began_at = self._clock.monotonic()
        left = call.deadline_at - began_at + RESPONSE_GRACE_SECONDS
        open_call.is_forwarded = True
        try:
            async with asyncio.timeout(max(0.0, left)):
                outcome = await self._forwarder.forward(call)
        except TimeoutError:
            self._record_duration(call, began_at)
            return self._refuse(request, 504, "no answer in time")
        if isinstance(outcome, CallAnswer) or not outcome.is_not_run:
            self._record_duration(call, began_at)
        if isinstance(outcome, CallAnswer):
            open_call.has_failed = outcome.status >= 500
            return answer_response(request, outcome)
        open_call.has_failed = outcome.was_refused_upstream
        open_call.is_not_run = outcome.is_not_run
        return self._refuse_unserved(request, outcome)

    def _record_duration(self, call: ForwardedCall, began_at: float) -> None:
        seconds = self._clock.monotonic() - began_at
        self.stop_admission.durations.record(call.route_name, seconds)

    def _refuse_unserved(
        self, request: web.BaseRequest, outcome: ForwardingFailure
    ) -> web.StreamResponse:
        if not outcome.is_not_run:
            status = 504 if outcome.is_timeout else 502
            return self._refuse(request, status, outcome.reason)
        seconds = max(MIN_RETRY_AFTER_SECONDS, outcome.retry_after_ms / 1000)
        seconds *= 1.0 + RETRY_AFTER_JITTER * self._rng.random()
        return self._refuse(request, 503, outcome.reason, seconds)

    def _refuse(
        self,
        request: web.BaseRequest,
        status: int,
        reason: str,
        retry_after_seconds: float | None = None,
        **inputs: Any,
    ) -> RawResponse:
        """Return an error response that this process generates itself.

        Parameters
        ----------
        request : web.BaseRequest
            The request.
        status, reason
            Status, and a message for the caller.
        retry_after_seconds : float, optional
            When the caller should try again.
        **inputs
            Inputs of the decision for the log.
        """
        request_id = request.headers.get(headers.REQUEST_ID, "")
        events.call_line(
            "call_refused",
            is_failure=True,
            call=request_id[:MAX_LOGGED_ID_CHARACTERS],
            status=status,
            reason=reason,
            retry_after_seconds=retry_after_seconds,
            configuration=self._configurations.current.number,
            **inputs,
        )
        return error_response(request, status, reason, retry_after_seconds)
