"""HTTP server for the callers on this VM, of which its backend server is one."""

import asyncio
import random
from collections.abc import Callable

import attrs
from aiohttp import ClientError, web
from aiohttp.http import HttpVersion11
from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.backend_server.admission_proxy import AdmissionProxy
from lacewingstair.caller import guards
from lacewingstair.caller.forwarding import ForwardCall, Forwarder, NotServed
from lacewingstair.caller.patience import Patience
from lacewingstair.caller.raw_answer import WholeAnswer
from lacewingstair.http_server import CallServer, call_server
from lacewingstair.metadata.configuration import ConfigurationStore, SplitChooser
from lacewingstair.platform import headers
from lacewingstair.routing.routes import NamedRoute
from lacewingstair.runtime import Clock
from lacewingstair.vm.call_messages import CallAnswer

# Time beyond the end of a call in which its answer may still arrive from the gate.
GRACE_SECONDS = 0.2
LEAST_RETRY_AFTER_SECONDS = 0.1
NO_CONFIGURATION_RETRY_SECONDS = 0.3
LEAVING_RETRY_SECONDS = 0.3
# Calls that were refused together come back spread over this part of their delay.
RETRY_AFTER_SPREAD = 0.5
_BODILESS_STATUSES = (204, 304)


@attrs.define(eq=False)
class _OpenCall:
    """A call that is not answered yet.

    Parameters
    ----------
    request : web.BaseRequest
        The request.
    started_at : float
        When its head was read, monotonic seconds.
    task : asyncio.Task
        Answers it.
    route : str
        Name of its route; empty until it is known.
    end_at : float or None
        When its time is over, monotonic seconds; None until its route is known.
    is_cut : bool
        Whether this process has ended it without an answer.
    has_failed : bool
        Whether backend servers refused or failed it.
    """

    request: web.BaseRequest
    started_at: float
    task: asyncio.Task
    route: str = ""
    end_at: float | None = None
    is_cut: bool = False
    has_failed: bool = False

    @property
    def request_id(self) -> str:
        """Id that the caller gave."""
        return self.request.headers.get(headers.REQUEST_ID, "")


class Ingress:
    """Takes calls, forwards them and answers them.

    Parameters
    ----------
    own_service : str
        Service beside which this process runs; all its callers are of that VM.
    configurations : ConfigurationStore
        Configuration in force.
    forwarder : Forwarder
        Sends calls to gates.
    gate : AdmissionProxy
        Proxy of this VM, whose backend server makes calls for those that it runs.
    clock, rng
        Time and randomness.
    on_answer : callable
        Takes the route, the status (0 when the caller left) and the seconds of a call.

    Attributes
    ----------
    newest_call_at : float
        When the newest call arrived, monotonic seconds.
    is_draining : bool
        Whether callers are asked to go elsewhere with their next call.
    closes_at : float or None
        When the process ends, monotonic seconds. Calls that could take longer are
        refused, so that none is cut.
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
    ) -> None:
        self._own_service = own_service
        self._configurations = configurations
        self._forwarder = forwarder
        self._gate = gate
        self._clock = clock
        self._rng = rng
        self._on_answer = on_answer
        self._splits = SplitChooser(rng)
        self._patience = Patience()
        self._open_calls: set[_OpenCall] = set()
        self._server: CallServer | None = None
        self.newest_call_at = clock.monotonic()
        self.is_draining = False
        self.closes_at: float | None = None

    def http_server(
        self, max_header_bytes: int, max_connections: int, buffer_bytes: int
    ) -> web.Server:
        """Return the HTTP server; needs a running event loop."""
        self._server = call_server(
            self.handle,
            lambda: self.is_draining,
            max_header_bytes,
            max_connections=max_connections,
            buffer_bytes=buffer_bytes,
        )
        return self._server

    @property
    def open_calls(self) -> int:
        """Calls that are not answered yet."""
        return len(self._open_calls)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that callers have not taken yet."""
        return 0 if self._server is None else self._server.unsent_bytes

    def cut_calls(self) -> None:
        """End all calls that are not answered yet, without an answer."""
        for call in self._open_calls:
            call.is_cut = True
            call.task.cancel()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        started_at = self._clock.monotonic()
        self.newest_call_at = started_at
        open_call = _OpenCall(request, started_at, asyncio.current_task())
        self._open_calls.add(open_call)
        status = 0
        try:
            prepared = await self._prepare(request, started_at)
            if isinstance(prepared, Err):
                status = prepared.err_value.status
                return prepared.err_value
            call = prepared.ok_value
            open_call.route, open_call.end_at = call.route_name, call.end_at
            response = await self._forward(request, call, open_call)
            status = response.status
            return response
        except asyncio.CancelledError:
            self._log_unanswered(open_call)
            raise
        finally:
            self._open_calls.discard(open_call)
            if not 200 <= status < 300:
                parent_id = headers.parent_id(open_call.request_id)
                self._gate.note_unserved_call(
                    parent_id, has_failed=open_call.has_failed
                )
            seconds = self._clock.monotonic() - started_at
            self._on_answer(open_call.route, status, seconds)

    def _log_unanswered(self, call: _OpenCall) -> None:
        """Log which end closed the connection of a call before its answer."""
        now = self._clock.monotonic()
        waited_ms = round((now - call.started_at) * 1000)
        if not call.is_cut:
            events.call_line(
                "call_left",
                is_failure=True,
                call=call.request_id,
                route=call.route,
                waited_ms=waited_ms,
                asked_ms=headers.deadline_ms(call.request.headers),
            )
            return
        left_ms = None if call.end_at is None else round((call.end_at - now) * 1000)
        events.call_line(
            "call_cut",
            is_failure=True,
            call=call.request_id,
            route=call.route,
            waited_ms=waited_ms,
            left_ms=left_ms,
        )

    async def _prepare(
        self, request: web.BaseRequest, started_at: float
    ) -> Result[ForwardCall, WholeAnswer]:
        request_id = request.headers.get(headers.REQUEST_ID, "")
        refusal = guards.check(request)
        if refusal is not None:
            return Err(self._refuse(request, refusal.status, refusal.reason))
        target = guards.target(request)
        if isinstance(target, Err):
            found = target.err_value
            return Err(self._refuse(request, found.status, found.reason))
        configuration = self._configurations.current
        if configuration.is_empty:
            delay = NO_CONFIGURATION_RETRY_SECONDS
            return Err(self._refuse(request, 503, "no configuration yet", delay))
        path = target.ok_value.partition("?")[0]
        named = configuration.table.find(request.host, path, request.method)
        if named is None:
            reason = f"no route in configuration {configuration.number}"
            return Err(self._refuse(request, 404, reason))
        body = await self._read_body(request, configuration.limits.max_body_bytes)
        if isinstance(body, Err):
            return body
        call = self._call(
            request, named, target.ok_value, body.ok_value, request_id, started_at
        )
        if self.closes_at is not None and call.end_at > self.closes_at:
            delay = LEAVING_RETRY_SECONDS
            return Err(self._refuse(request, 503, "the VM is leaving", delay))
        return Ok(call)

    def _call(
        self,
        request: web.BaseRequest,
        named: NamedRoute,
        target: str,
        body: bytes,
        request_id: str,
        started_at: float,
    ) -> ForwardCall:
        route = named.route
        timeout_ms = route.timeout_ms
        target_ms = route.target_latency_ms
        asked_ms = headers.deadline_ms(request.headers)
        if asked_ms is not None:
            timeout_ms = min(timeout_ms, asked_ms)
        parent_id = headers.parent_id(request_id)
        if self._gate.is_running(parent_id):
            # The call that needs this one is lost without it, and served with an
            # answer at the deadline as well as with an early one.
            target_ms = timeout_ms
        elif asked_ms is not None:
            target_ms -= self._patience.spent_ms(named.name, asked_ms, started_at)
        return ForwardCall(
            request_id=request_id,
            route_name=named.name,
            route=route,
            service=self._splits.choose(named),
            method=request.method,
            target=target,
            header_lines=headers.request_lines(request.raw_headers, self._own_service),
            body=body,
            target_at=started_at + target_ms / 1000,
            end_at=started_at + timeout_ms / 1000,
            is_of_repeat=self._gate.is_retry(parent_id),
        )

    async def _read_body(
        self, request: web.BaseRequest, limit: int
    ) -> Result[bytes, WholeAnswer]:
        if not request.can_read_body:
            return Ok(b"")
        parts: list[bytes] = []
        size = 0
        try:
            while chunk := await request.content.readany():
                parts.append(chunk)
                size += len(chunk)
                if size > limit:
                    reason = f"the body has over the allowed {limit} bytes"
                    return Err(self._refuse(request, 413, reason))
        except (ClientError, ValueError, OSError) as error:
            return Err(self._refuse(request, 400, f"the body is malformed: {error}"))
        return Ok(b"".join(parts))

    async def _forward(
        self, request: web.BaseRequest, call: ForwardCall, open_call: _OpenCall
    ) -> web.StreamResponse:
        left = call.end_at - self._clock.monotonic() + GRACE_SECONDS
        try:
            async with asyncio.timeout(max(0.0, left)):
                outcome = await self._forwarder.forward(call)
        except TimeoutError:
            return self._refuse(request, 504, "no answer in time")
        if isinstance(outcome, CallAnswer):
            open_call.has_failed = outcome.status >= 500
            return self._pass_back(request, outcome)
        open_call.has_failed = outcome.has_failed
        return self._not_served(request, outcome)

    def _not_served(
        self, request: web.BaseRequest, outcome: NotServed
    ) -> web.StreamResponse:
        if not outcome.is_not_run:
            status = 504 if outcome.is_timeout else 502
            return self._refuse(request, status, outcome.reason)
        seconds = max(LEAST_RETRY_AFTER_SECONDS, outcome.retry_after_ms / 1000)
        seconds *= 1.0 + RETRY_AFTER_SPREAD * self._rng.random()
        return self._refuse(request, 503, outcome.reason, seconds)

    def _pass_back(
        self, request: web.BaseRequest, answer: CallAnswer
    ) -> web.StreamResponse:
        lines = answer.header_lines
        if answer.status not in _BODILESS_STATUSES:
            lines += b"Content-Length: %d\r\n" % len(answer.body)
        body = b"" if request.method == "HEAD" else answer.body
        return self._whole(request, answer.status, answer.reason, lines, body)

    def _refuse(
        self,
        request: web.BaseRequest,
        status: int,
        reason: str,
        retry_after_seconds: float | None = None,
    ) -> WholeAnswer:
        """Return an answer of this process itself."""
        request_id = request.headers.get(headers.REQUEST_ID, "")
        events.call_line(
            "call_refused",
            is_failure=True,
            call=request_id,
            status=status,
            reason=reason,
            retry_after_seconds=retry_after_seconds,
            configuration=self._configurations.current.number,
        )
        body = reason.encode()[:500]
        lines = b"Content-Type: text/plain\r\nContent-Length: %d\r\n" % len(body)
        if request_id:
            lines += f"{headers.REQUEST_ID}: {request_id}\r\n".encode("latin-1")
        if retry_after_seconds is not None:
            lines += f"Retry-After: {retry_after_seconds:.3f}\r\n".encode()
        is_read = request.content.at_eof()
        return self._whole(request, status, "", lines, body, is_read)

    def _whole(
        self,
        request: web.BaseRequest,
        status: int,
        reason: str,
        lines: bytes,
        body: bytes,
        is_read: bool = True,
    ) -> WholeAnswer:
        is_kept = is_read and request.keep_alive and request.version == HttpVersion11
        if not is_kept:
            lines += b"Connection: close\r\n"
        head = f"HTTP/1.1 {status} {reason}\r\n".encode("latin-1", "replace")
        return WholeAnswer(status, head + lines + b"\r\n" + body, is_kept)
