"""HTTP server that dispatches calls of callers and returns upstream responses."""

import asyncio
import random
from collections.abc import Callable

from aiohttp import ClientError, web
from aiohttp.http import RawResponseMessage
from aiohttp.web_exceptions import HTTPException
from multidict import CIMultiDict
from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.backend_server.pool import ConnectionPool
from lacewingstair.caller.calls.attempts import Call, UpstreamResponse
from lacewingstair.caller.calls.dispatch import Dispatcher
from lacewingstair.caller.calls.options import DEFAULT_OPTIONS, CallOptions
from lacewingstair.caller.calls.relay import as_raw_response
from lacewingstair.caller.connections.connection_guard import ConnectionGuard
from lacewingstair.caller.connections.pipelining import waited_seconds
from lacewingstair.caller.messages import headers, request_checks
from lacewingstair.caller.messages.body import REPLAY_BYTES, Body, read_prefix
from lacewingstair.caller.messages.body_refusal import BodyRefusedError
from lacewingstair.caller.messages.refusals import Refusal
from lacewingstair.events import DecisionLog
from lacewingstair.http_server import call_server
from lacewingstair.routing.balancing import EndpointIndex
from lacewingstair.routing.outcomes import CallOutcome, OutcomeSink, VersionChooser
from lacewingstair.routing.routes import NamedRoute
from lacewingstair.runtime import Clock, SystemClock
from lacewingstair.stop_admission import StopAdmission
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.tickets.types import Service
from lacewingstair.vm.directory import Directory

MAX_LINE_BYTES = 8190
POOL_SWEEP_SECONDS = 5.0
MAX_CUSTOMER_CHARACTERS = 100
_LEAVING = Refusal(503, "the VM is shutting down", retry_after_seconds=1)
_STOPPED = Refusal(502, "the VM stopped before the answer came", is_not_run=False)


class CurrentVersionChooser:
    """Selects the current version of each service, for a VM without rollouts."""

    def __init__(self, store: StateStore) -> None:
        self._store = store

    def choose_version(self, route: str, service: str) -> str:
        """Return the current version of a service, or an empty string if removed."""
        # A ticket can remove the service after the route was selected.
        found = self._store.state.services.get(service)
        return "" if found is None else found.current

    def versions(self, route: str, service: str) -> tuple[str, ...]:
        """Return only the current version of the service."""
        return (self.choose_version(route, service),)


class DiscardingSink:
    """Outcome sink that discards all outcomes."""

    def record(self, outcome: CallOutcome) -> None:
        """Discard an outcome."""


class CallServer:
    """Handles calls of callers.

    Parameters
    ----------
    store : StateStore
        Configuration in force.
    directory : Directory
        Endpoints of backend servers.
    rng : random.Random
        Source of randomness.
    region, availability_zone : str
        Location of this VM.
    clock : Clock
        Source of time.
    chooser : VersionChooser, optional
        Selects the version of a service; the current one by default.
    sink : OutcomeSink, optional
        Receives the outcome of each attempt.
    pool : ConnectionPool, optional
        Connections to backend servers.
    on_unreachable : callable, optional
        Called with the address of an endpoint that cannot be connected to.
    on_answer : callable, optional
        Called with the status of each response, 0 if the caller disconnected, and the
        duration of the call in seconds.
    decisions : DecisionLog, optional
        Samples the routing decisions that are logged; none by default.
    options : CallOptions, optional
        Limits of calls.
    """

    def __init__(
        self,
        store: StateStore,
        directory: Directory,
        rng: random.Random,
        *,
        region: str = "",
        availability_zone: str = "",
        clock: Clock | None = None,
        chooser: VersionChooser | None = None,
        sink: OutcomeSink | None = None,
        pool: ConnectionPool | None = None,
        on_unreachable: Callable[[str], None] = lambda address: None,
        on_answer: Callable[[int, float], None] = lambda status, seconds: None,
        decisions: DecisionLog | None = None,
        options: CallOptions = DEFAULT_OPTIONS,
    ) -> None:
        self._store = store
        self._clock = clock or SystemClock()
        self._options = options
        self._pool = pool or ConnectionPool(
            self._clock, buffer_bytes=options.buffer_bytes
        )
        self.index = EndpointIndex(directory, region, availability_zone, self._clock)
        self.dispatcher = Dispatcher(
            self.index,
            self._pool,
            chooser or CurrentVersionChooser(store),
            sink or DiscardingSink(),
            self._clock,
            rng,
            on_unreachable,
            decisions,
            options,
            lambda: len(directory),
        )
        self._on_answer = on_answer
        self._unanswered: set[asyncio.Task] = set()
        self._aborted: set[asyncio.Task] = set()
        self._stop_admission = StopAdmission(self._clock)
        self.is_draining = False

    def http_server(
        self,
        max_header_bytes: int = MAX_LINE_BYTES,
        guard: ConnectionGuard | None = None,
    ) -> web.Server:
        """Return the HTTP server for callers; needs a running event loop.

        Parameters
        ----------
        max_header_bytes : int
            Largest size of the request line and of a header field.
        guard : ConnectionGuard, optional
            Watches the connections of the process.
        """
        return call_server(
            self.handle,
            lambda: self.is_draining,
            max_header_bytes,
            max_connections=self._options.max_connections,
            buffer_bytes=self._options.buffer_bytes,
            guard=guard,
        )

    async def run(self) -> None:
        """Close idle connections to backend servers periodically, until cancelled."""
        while True:
            await self._clock.sleep(POOL_SWEEP_SECONDS)
            self._pool.sweep()

    def start_draining(self, ends_at: float) -> None:
        """Ask callers to go elsewhere, and refuse calls that would not end in time.

        Parameters
        ----------
        ends_at : float
            Latest time at which an answer can still be sent, monotonic seconds.
        """
        self.is_draining = True
        self._stop_admission.ends_at = ends_at

    def abort_calls(self) -> None:
        """Answer all calls that have no response yet with 502: they may have run."""
        for task in self._unanswered:
            self._aborted.add(task)
            task.cancel()

    async def close(self) -> None:
        """Close the connections to backend servers."""
        self._pool.close()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one call."""
        started_at = self._clock.monotonic()
        task = asyncio.current_task()
        self._unanswered.add(task)
        status = 0
        try:
            response = await self._respond(request)
            status = response.status
            return response
        except asyncio.CancelledError:
            if task not in self._aborted:
                raise
            task.uncancel()
            status = _STOPPED.status
            return self._refuse(request, _STOPPED)
        finally:
            self._unanswered.discard(task)
            self._aborted.discard(task)
            self._on_answer(status, self._clock.monotonic() - started_at)

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        prepared = await self._prepare(request)
        if isinstance(prepared, Err):
            return self._refuse(request, prepared.err_value)
        call = prepared.ok_value
        began_at = self._clock.monotonic()
        dispatched = await self.dispatcher.dispatch(call)
        if isinstance(dispatched, Err):
            if not dispatched.err_value.is_not_run:
                self._record_duration(call, began_at)
            return self._refuse(request, dispatched.err_value)
        # From here on the head of the response may have been sent.
        self._unanswered.discard(asyncio.current_task())
        response = await self._send_response(request, dispatched.ok_value, call)
        self._record_duration(call, began_at)
        return response

    def _record_duration(self, call: Call, began_at: float) -> None:
        seconds = self._clock.monotonic() - began_at
        self._stop_admission.durations.record(call.route, seconds)

    async def _prepare(self, request: web.BaseRequest) -> Result[Call, Refusal]:
        refusal = request_checks.check_request(request)
        if refusal is not None:
            return Err(refusal)
        target = request_checks.parse_target(request)
        if isinstance(target, Err):
            return target
        state = self._store.state
        if state.is_empty:
            return Err(Refusal(503, "no configuration yet", True, 1))
        path = target.ok_value.partition("?")[0]
        named = state.route_table.find(
            request_checks.host_of(request), path, request.method
        )
        if named is None:
            return Err(
                Refusal(
                    404, f"no route for {request_checks.host_of(request)}{path[:200]}"
                )
            )
        service = state.services[named.route.service]
        return await self._prepare_routed(request, named, service, target.ok_value)

    async def _prepare_routed(
        self,
        request: web.BaseRequest,
        named: NamedRoute,
        service: Service,
        target: str,
    ) -> Result[Call, Refusal]:
        route = named.route
        timeout = request_checks.parse_timeout_ms(request, route.timeout_ms)
        if isinstance(timeout, Err):
            return timeout
        if timeout.ok_value == 0:
            return Err(Refusal(504, "the deadline has passed"))
        deadline = (
            self._clock.monotonic() - waited_seconds(request) + timeout.ok_value / 1000
        )
        if not self._stop_admission.admits(named.name, deadline):
            return Err(_LEAVING)
        customer = request.headers.get(headers.CUSTOMER, "")[:MAX_CUSTOMER_CHARACTERS]
        refusal = self.dispatcher.admit(route.service, route.worth, customer)
        if refusal is not None:
            return Err(refusal)
        body = await self._read_body(request, route.max_body_bytes, deadline)
        if isinstance(body, Err):
            return body
        fields = request.headers
        return Ok(
            Call(
                method=request.method,
                target=target,
                header_lines=headers.request_lines(request.raw_headers),
                body=body.ok_value,
                has_body="Content-Length" in fields or "Transfer-Encoding" in fields,
                route=named.name,
                service=route.service,
                kind=named.kind,
                worth=route.worth,
                customer=customer,
                allows_repeat=route.allows_repeat(request.method),
                allows_retry=fields.get(headers.RETRY, "").lower() != headers.RETRY_NO,
                deadline=deadline,
                not_run_statuses=service.not_run_statuses,
            )
        )

    async def _read_body(
        self, request: web.BaseRequest, limit: int, deadline: float
    ) -> Result[Body, Refusal]:
        if not request.can_read_body:
            return Ok(Body())
        length = request.content_length
        too_large = Refusal(413, f"the body is larger than the allowed {limit} bytes")
        if length is not None and length > limit:
            return Err(too_large)
        if "Expect" in request.headers:
            await _send_continue(request)
        if length is not None and length > REPLAY_BYTES:
            return Ok(Body(b"", request.content, length, limit))
        try:
            async with asyncio.timeout(deadline - self._clock.monotonic()):
                prefix, is_whole = await read_prefix(request.content)
        except TimeoutError:
            return Err(Refusal(408, "the body did not arrive before the deadline"))
        except BodyRefusedError as error:
            return Err(Refusal(503, str(error), retry_after_seconds=1))
        except (ClientError, HTTPException, ValueError, OSError) as error:
            return Err(Refusal(400, f"the body is malformed: {error}"))
        if len(prefix) > limit:
            return Err(too_large)
        if is_whole:
            return Ok(Body(prefix))
        return Ok(Body(prefix, request.content, length, limit))

    def _refuse(self, request: web.BaseRequest, refusal: Refusal) -> web.Response:
        response = refusal.response()
        # The unread rest of the body would be parsed as the next request.
        if self.is_draining or not request.content.at_eof():
            response.force_close()
        return response

    async def _send_response(
        self, request: web.BaseRequest, upstream_response: UpstreamResponse, call: Call
    ) -> web.StreamResponse:
        can_relay_raw = request.keep_alive and not self.is_draining
        # A refusal needs the "not-run" header, also if only its status states it.
        if can_relay_raw and not upstream_response.is_refusal:
            raw = as_raw_response(upstream_response, request)
            if raw is not None:
                self.dispatcher.finish(upstream_response)
                return raw
        response = _response_head(upstream_response)
        if self.is_draining:
            response.force_close()
        payload = upstream_response.payload
        is_writing = False
        try:
            remaining = call.deadline - self._clock.monotonic()
            async with asyncio.timeout(max(0.0, remaining)):
                if not payload.is_eof() and not request.content.at_eof():
                    response.force_close()
                await response.prepare(request)
                while chunk := await payload.readany():
                    is_writing = True
                    await response.write(chunk)
                    is_writing = False
            is_writing = True
            await response.write_eof()
        except asyncio.CancelledError:
            self.dispatcher.settle_cancelled(upstream_response)
            raise
        except (TimeoutError, ClientError, ValueError, OSError) as error:
            # A caller that reads slowly or disconnects is no fault of the upstream.
            if is_writing:
                self.dispatcher.settle_cancelled(upstream_response)
            return self._abort(request, response, upstream_response, error)
        self.dispatcher.finish(upstream_response)
        if not request.content.at_eof():
            response.force_close()
        return response

    def _abort(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        upstream_response: UpstreamResponse,
        error: Exception,
    ) -> web.StreamResponse:
        """Abort the caller's connection, as the response cannot be completed."""
        self.dispatcher.fail_truncated(upstream_response)
        address = upstream_response.attempt.upstream.address
        events.warning("answer_truncated", address=address, error=error)
        if not response.prepared:
            return Refusal(502, f"the answer is not usable: {error}", False).response()
        if request.transport is not None:
            request.transport.abort()
        return response


def _response_head(upstream_response: UpstreamResponse) -> web.StreamResponse:
    message = upstream_response.message
    response = web.StreamResponse(status=message.code, reason=_utf8_reason(message))
    response._headers = CIMultiDict(headers.end_to_end(message.headers.items()))
    if upstream_response.status >= 500 or upstream_response.is_refusal:
        response.headers[headers.RETRY] = headers.RETRY_NO
    if upstream_response.is_refusal:
        response.headers[headers.OUTCOME] = headers.OUTCOME_NOT_RUN
    return response


def _utf8_reason(message: RawResponseMessage) -> str:
    """Return the reason phrase; nothing if aiohttp could not write it unchanged."""
    has_other_bytes = any("\udc80" <= char <= "\udcff" for char in message.reason)
    return "" if has_other_bytes else message.reason


async def _send_continue(request: web.BaseRequest) -> None:
    transport = request.transport
    if transport is not None:
        transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
