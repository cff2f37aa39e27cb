"""Admission proxy in front of the local backend server.

Only processes on its VM can reach a backend server, so every call to it passes through
this proxy. The proxy limits the running and queued calls and refuses others
(`admission`), sends no calls once the backend server shuts down, and matches each
response to its call.
"""

import asyncio
from collections import Counter
from collections.abc import Callable

import attrs
from result import Err

from lacewingstair import events
from lacewingstair.backend_server.admission import (
    AdmissionController,
    AdmissionRequest,
    Refusal,
    ScheduledCall,
)
from lacewingstair.backend_server.admission_wait import admit
from lacewingstair.backend_server.capacity_counts import CapacityCounts
from lacewingstair.backend_server.pool import ConnectionPool
from lacewingstair.backend_server.response_memory import ResponseMemory
from lacewingstair.backend_server.response_reader import (
    FailedExchange,
    ResponseReader,
)
from lacewingstair.backend_server.running_calls import RunningCall, RunningCalls
from lacewingstair.backend_server.upstream_connections import UpstreamConnections
from lacewingstair.backend_server.upstream_exchange import UpstreamExchange
from lacewingstair.final_responses import FaultKind
from lacewingstair.platform import headers
from lacewingstair.runtime import Clock
from lacewingstair.stop_admission import StopAdmission
from lacewingstair.vm.call_messages import (
    CallAnswer,
    CallFailed,
    CallOutcome,
    CallRefused,
    CallRequest,
    LoadReport,
    RefusalReason,
    SendOrigin,
)
from lacewingstair.vm.entries import UpstreamState
from lacewingstair.vm.link_queue import LinkQueue
from lacewingstair.work.estimates import CallClass

# Limit for all responses that are being received; the smallest VMs have 200 MB.
MAX_BUFFERED_RESPONSE_BYTES = 64 << 20
DEFAULT_CONNECTIONS = 64

OnOutcome = Callable[[str, int, float, bool], None]
OnAbandoned = Callable[[str, float], None]


@attrs.frozen
class UpstreamIdentity:
    """The local backend server, as it announced itself."""

    upstream_id: str = ""
    version: str = ""
    slots: int = 0
    state: UpstreamState = UpstreamState.ABSENT


class AdmissionProxy:
    """Proxy for all calls to one backend server, with admission control.

    Parameters
    ----------
    service : str
        Service of the backend server.
    address : str
        ``ip:port`` of the backend server.
    clock : Clock
        Source of time.
    records_position, reads_store, configuration_number : callable
        Return the fields of load reports about the operators' records.
    max_connections : callable
        Returns the connection limit of the backend server.
    on_outcome : callable
        Called for each call that may have run, with its route, its status (0 without a
        response), its time at the backend server in milliseconds, and whether a call
        that the backend server made while running it was not served.
    on_abandoned : callable
        Called for each call whose caller gives up while the backend server runs it,
        with its route and the time that it has run in milliseconds.
    on_unreachable : callable
        Called when failed connects show that the backend server is down.
    pool : ConnectionPool, optional
        Connections to the backend server.
    max_buffered_bytes : int
        Limit on the bytes of all responses that are being received.
    bandwidth_kbps : int
        Bandwidth of the VM's link in kilobits per second; 0 if it is unknown.

    Attributes
    ----------
    capacity_counts : CapacityCounts
        How the calls of each account fared at their admission.
    on_lost : callable
        Called with the id of each call that ends at the backend server without a
        response for its caller, while nested calls go ahead of others.
    link_queue : LinkQueue
        Wait of messages before the VM's own link.
    responses_by_fault : Counter
        Responses outside the protocol since the start, by what is wrong with them.
    stop_admission : StopAdmission
        Decides which calls are taken over while the process stops.
    """

    def __init__(
        self,
        service: str,
        address: str,
        clock: Clock,
        *,
        records_position: Callable[[], int] = lambda: -1,
        reads_store: Callable[[], bool] = lambda: False,
        max_connections: Callable[[], int] = lambda: DEFAULT_CONNECTIONS,
        on_outcome: OnOutcome = lambda route, status, ms, has_unserved_call: None,
        on_abandoned: OnAbandoned = lambda route, ms: None,
        on_unreachable: Callable[[], None] = lambda: None,
        configuration_number: Callable[[], int] = lambda: 0,
        pool: ConnectionPool | None = None,
        max_buffered_bytes: int = MAX_BUFFERED_RESPONSE_BYTES,
        bandwidth_kbps: int = 0,
    ) -> None:
        self.service = service
        self._address = address
        self._clock = clock
        self._records_position = records_position
        self._reads_store = reads_store
        self._configuration_number = configuration_number
        self._on_outcome = on_outcome
        self._on_abandoned = on_abandoned
        self._on_unreachable = on_unreachable
        # No packets are lost between processes on one VM, and the kernel acknowledges
        # data while the backend server lives. TCP_USER_TIMEOUT would detect nothing,
        # and would drop connections to a backend server that pauses reading.
        self._pool = pool or ConnectionPool(clock, sharing_vms=1, tcp_user_timeout_ms=0)
        self._response_memory = ResponseMemory(max_buffered_bytes)
        self._reader = ResponseReader(self._response_memory)
        self._listeners: list[Callable[[LoadReport], None]] = []
        self.identity = UpstreamIdentity()
        self.admission = AdmissionController()
        self._running = RunningCalls(self.admission, clock)
        self._connections = UpstreamConnections(
            address,
            clock,
            self._pool,
            self._reader,
            max_connections,
            self.admission.limit_running,
            lambda: self._on_unreachable(),
        )
        self._exchange = UpstreamExchange(self._connections, self._reader, clock)
        self.capacity_counts = CapacityCounts()
        self.on_lost: Callable[[str], None] = lambda request_id: None
        self.link_queue = LinkQueue(bandwidth_kbps)
        self.responses_by_fault: Counter[FaultKind] = Counter()
        self.is_stopping = False
        self.stop_admission = StopAdmission(clock)

    def count_unsent(self, unsent_bytes: Callable[[], int]) -> None:
        """Read large responses on only while other VMs take those before them."""
        self._response_memory.unsent_bytes = unsent_bytes

    @property
    def buffered_response_bytes(self) -> int:
        """Bytes of response bodies that are being received."""
        return self._response_memory.buffered_bytes

    @property
    def is_open(self) -> bool:
        """Whether calls are accepted."""
        return self.identity.state is UpstreamState.READY

    @property
    def states_speed(self) -> bool:
        """Whether the backend server states the speed of its machine."""
        return self.admission.work.is_known(self._clock.monotonic())

    def subscribe(self, listener: Callable[[LoadReport], None]) -> None:
        """Call `listener` with the load whenever the identity changes."""
        self._listeners.append(listener)

    def set_identity(self, identity: UpstreamIdentity) -> None:
        """Set the identity and state of the backend server."""
        before, self.identity = self.identity, identity
        if identity == before:
            return
        if identity.upstream_id != before.upstream_id:
            self._pool.close_idle(self._address)
            self.admission.reset_service_times()
        self.admission.slots = max(1, identity.slots)
        if not self.is_open:
            self.admission.refuse_queued(RefusalReason.CLOSED)
        events.info(
            "gate_changed",
            upstream=identity.upstream_id,
            version=identity.version,
            slots=identity.slots,
            state=identity.state.value,
            state_before=before.state.value,
            running=self.admission.running,
        )
        for listener in self._listeners:
            listener(self.load())

    def load(self) -> LoadReport:
        """Return the current load."""
        admission = self.admission
        now = self._clock.monotonic()
        return LoadReport(
            running=admission.running,
            waiting=admission.waiting,
            slots=admission.slots,
            service_ms=round(admission.mean_service_ms(now), 1),
            wait_ms=round(admission.expected_wait_ms(now), 1),
            is_open=self.is_open and not self.is_stopping,
            version=self.identity.version,
            records_position=self._records_position(),
            reads_store=self._reads_store(),
            configuration_number=self._configuration_number(),
            link_wait_ms=round(self.link_queue.wait_ms(now), 1),
            work_percent=admission.work.percent(now),
            backlog_ms=self._backlog_ms(now),
        )

    def prefer_nested_calls(self, is_preferred: bool) -> None:
        """Set whether nested calls go ahead of others, and end with their parent.

        Silent calls are looked for as well then (`running_calls`).
        """
        self.admission.prefers_nested = is_preferred

    @property
    def prefers_nested_calls(self) -> bool:
        """Whether nested calls go ahead of others."""
        return self.admission.prefers_nested

    @property
    def arrivals_by_origin(self) -> Counter[SendOrigin]:
        """Calls sent to the backend server since the start, by why they were sent."""
        return self._exchange.arrivals_by_origin

    @property
    def silent_calls(self) -> int:
        """Calls since the start that were not answered although later ones were."""
        return self._running.silent

    def note_work_percent(self, work_percent: int) -> None:
        """Take the work time that the backend server has just stated, if any."""
        if work_percent:
            self.admission.work.state_percent(work_percent, self._clock.monotonic())

    def is_running(self, request_id: str) -> bool:
        """Return whether the call with this id is running at the backend server."""
        return self._running.get(request_id) is not None

    def is_retry(self, request_id: str) -> bool:
        """Return whether the running call with this id is not a first attempt."""
        run = self._running.get(request_id)
        return run is not None and run.call.origin is not SendOrigin.FIRST

    def note_unserved_call(self, request_id: str, *, has_failed: bool) -> None:
        """Record that a nested call of a running call was not served.

        Parameters
        ----------
        request_id : str
            Id of the running call.
        has_failed : bool
            Whether backend servers refused or failed the nested call, so that a retry
            of the running call would meet them again.
        """
        run = self._running.get(request_id)
        if run is not None:
            run.has_unserved_call = True
            run.has_failed_call = run.has_failed_call or has_failed

    def relative_cost(self, service: str, call_class: CallClass) -> float:
        """Return the expected cost of a call as a multiple of the mean of its service.

        Costs are known for the service of the local backend server, if it states its
        speed; other calls count as the mean.
        """
        now = self._clock.monotonic()
        work = self.admission.work
        if service != self.service or not work.is_known(now):
            return 1.0
        return work.relative_cost(call_class, now)

    def _backlog_ms(self, now: float) -> float:
        if not self.admission.work.is_known(now):
            return 0.0
        return round(self.admission.backlog_ms(now), 1)

    def sweep(self) -> None:
        """Close expired idle connections; start calls after a limit has ended."""
        self._pool.sweep()
        self.admission.start_waiting(self._clock.monotonic())

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    async def run(self, call: CallRequest) -> CallOutcome:
        """Run or refuse a call; cancellation also cancels it at the backend server."""
        arrived_at = self._clock.monotonic()
        deadline = arrived_at + call.remaining_ms / 1000
        admitted = self._refusal_of(call, deadline) or await self._admit(call, deadline)
        is_counted = bool(call.account) or self._prefers_nested(call)
        if isinstance(admitted, Refusal):
            refused = self._refuse(call, admitted)
            if is_counted:
                self.capacity_counts.record_refused(call, admitted, refused.load)
            return refused
        if is_counted:
            self.capacity_counts.record_admitted(call)
        return await self._run_in_slot(call, admitted, arrived_at, deadline)

    async def _run_in_slot(
        self,
        call: CallRequest,
        admitted: ScheduledCall,
        arrived_at: float,
        deadline: float,
    ) -> CallOutcome:
        has_run = has_response = False
        run = self._running.start(call, admitted, deadline)
        try:
            outcome = await self._run_admitted(run, deadline)
            if run.has_failed_call and isinstance(outcome, CallAnswer):
                outcome = attrs.evolve(outcome, has_failed_nested_call=True)
            if isinstance(outcome, CallFailed):
                self._report_lost(call)
            has_run = not isinstance(outcome, CallRefused)
            has_response = isinstance(outcome, CallAnswer)
            if has_run:
                ended_at = self._clock.monotonic()
                service_ms = (ended_at - admitted.started_at) * 1000
                durations = self.stop_admission.durations
                durations.record(call.route, ended_at - arrived_at)
                status = outcome.status if isinstance(outcome, CallAnswer) else 0
                self._on_outcome(call.route, status, service_ms, run.has_unserved_call)
            return outcome
        except asyncio.CancelledError:
            run_ms = (self._clock.monotonic() - admitted.started_at) * 1000
            self._on_abandoned(call.route, run_ms)
            self._report_lost(call)
            raise
        finally:
            self._running.end(run, has_response=has_response, has_run=has_run)

    def _prefers_nested(self, call: CallRequest) -> bool:
        return call.is_nested and self.admission.prefers_nested

    def _report_lost(self, call: CallRequest) -> None:
        """Report a call whose response reaches nobody, if nested calls depend on it."""
        if self.admission.prefers_nested:
            self.on_lost(call.request_id)

    def _refusal_of(self, call: CallRequest, deadline: float) -> Refusal | None:
        if call.service != self.service:
            return Refusal(RefusalReason.WRONG_SERVICE, 0.0)
        if not self.is_open:
            return Refusal(RefusalReason.CLOSED, 0.0)
        if call.version and call.version != self.identity.version:
            return Refusal(RefusalReason.VERSION, 0.0)
        if not self.stop_admission.admits(call.route, deadline):
            return Refusal(RefusalReason.CLOSED, 0.0)
        return None

    async def _admit(
        self, call: CallRequest, deadline: float
    ) -> ScheduledCall | Refusal:
        target_at = self._clock.monotonic() + call.target_ms / 1000
        call_class = CallClass(call.route, call.method, len(call.body), call.account)
        request = AdmissionRequest(
            call.route,
            call.priority,
            target_at,
            deadline,
            call.account,
            call.is_nested,
            call_class,
        )
        return await admit(self.admission, request, self._clock)

    def _refuse(self, call: CallRequest, refusal: Refusal) -> CallRefused:
        load = self.load()
        return CallRefused(
            call.call_id, refusal.reason, refusal.retry_after_ms, False, load
        )

    async def _run_admitted(self, run: RunningCall, deadline: float) -> CallOutcome:
        call = run.call
        acquired = await self._connections.acquire(deadline)
        if isinstance(acquired, Err):
            self._connections.handle_failure(call.request_id, acquired.err_value)
            return CallRefused(
                call.call_id, RefusalReason.UNREACHABLE, 0.0, False, self.load()
            )
        connection = acquired.ok_value
        run.connection = connection
        received = await self._exchange.send(
            run, connection, deadline, self.identity.upstream_id
        )
        if isinstance(received, FailedExchange):
            return self._failure_outcome(call, received)
        load = headers.upstream_load(received.fields)
        if load is not None:
            self.note_work_percent(load.work_percent)
        if headers.is_not_run(received.status, received.fields):
            return CallRefused(
                call.call_id, RefusalReason.UPSTREAM_REFUSED, 0.0, True, self.load()
            )
        self._running.answer(run, load)
        return CallAnswer(
            call.call_id,
            received.status,
            received.reason,
            headers.answer_lines(received.raw_headers),
            received.body,
            self.load(),
        )

    def _failure_outcome(
        self, call: CallRequest, failure: FailedExchange
    ) -> CallOutcome:
        kind = failure.fault_kind
        if kind is not None:
            self.responses_by_fault[kind] += 1
        events.warning(
            "upstream_failed",
            call=call.request_id,
            upstream=self.identity.upstream_id,
            reason=failure.reason,
            is_sent=failure.is_sent,
            fault=None if kind is None else kind.value,
        )
        if not failure.is_sent:
            return CallRefused(
                call.call_id, RefusalReason.UNREACHABLE, 0.0, False, self.load()
            )
        return CallFailed(call.call_id, failure.reason, failure.is_timeout, self.load())
