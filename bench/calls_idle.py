"""Calls that meet a kept-alive connection being closed, in virtual time."""

import asyncio
import random
from collections import Counter

from result import Err

from bench.registry import benchmarks
from bench.results import print_table, save_rows
from lacewingstair import events
from lacewingstair.backend_server.connection import UpstreamConnection
from lacewingstair.backend_server.pool import ConnectionPool
from lacewingstair.caller.calls import dispatch
from lacewingstair.caller.calls.attempts import Call
from lacewingstair.caller.calls.dispatch import Dispatcher
from lacewingstair.caller.calls.options import DEFAULT_OPTIONS, CallOptions
from lacewingstair.caller.messages.body import Body
from lacewingstair.routing.balancing import EndpointIndex
from lacewingstair.routing.outcomes import CallOutcome
from lacewingstair.standins.memory_server import MemoryServer, MemoryTransport
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.directory import Directory, Endpoint, VmRecord

SERVER_IDLE_SECONDS = 5.0
NETWORK_SECONDS = 0.02


class _Transport(MemoryTransport):
    """Connection with a network delay that its server closes when it is idle."""

    def __init__(self, server: MemoryServer, protocol: UpstreamConnection) -> None:
        super().__init__(server, protocol)
        self._is_closed_by_server = False
        self._idle = self._start_idle()

    def write(self, data: bytes) -> None:
        """Deliver bytes after the delay, unless the server has closed by then."""
        asyncio.get_running_loop().call_later(NETWORK_SECONDS, self._arrive, data)

    def answer(self, data: bytes) -> None:
        """Deliver the answer after the delay and wait for the next call."""
        loop = asyncio.get_running_loop()
        loop.call_later(NETWORK_SECONDS, self._deliver, data)
        self._idle = self._start_idle()

    def _start_idle(self) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(SERVER_IDLE_SECONDS, self._expire)

    def _arrive(self, data: bytes) -> None:
        if not self._is_closed_by_server:
            self._idle.cancel()
            super().write(data)

    def _expire(self) -> None:
        self._is_closed_by_server = True
        loop = asyncio.get_running_loop()
        loop.call_later(NETWORK_SECONDS, self.close_by_server)


class _Server(MemoryServer):
    async def connect(self, address: str) -> UpstreamConnection:
        """Open a connection."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(2 * NETWORK_SECONDS)
        connection = UpstreamConnection(loop, loop.time())
        connection.connection_made(_Transport(self, connection))
        return connection


class _OneVersion:
    def choose_version(self, route: str, service: str) -> str:
        return "v"

    def versions(self, route: str, service: str) -> tuple[str, ...]:
        return ("v",)


class _Counter:
    def __init__(self) -> None:
        self.results: Counter[str] = Counter()

    def record(self, outcome: CallOutcome) -> None:
        self.results[outcome.result.value] += 1


async def _run(
    method: str, servers_count: int, calls: int, seed: int, options: CallOptions
) -> dict[str, int]:
    rng = random.Random(seed)
    clock = VirtualClock()
    directory = Directory()
    servers = {f"10.0.0.{i}:80": _Server() for i in range(servers_count)}
    for address in servers:
        endpoints = (Endpoint("s", "v", address),)
        directory.merge(VmRecord(address, "r", "z", "-", 1, endpoints=endpoints))
    pool = ConnectionPool(clock, lambda address: servers[address].connect(address))
    index = EndpointIndex(directory, "r", "z", clock)
    sink = _Counter()
    dispatcher = Dispatcher(
        index, pool, _OneVersion(), sink, clock, rng, options=options
    )
    answered = ejections = 0
    for _ in range(calls):
        # The pause is close to the idle time of the servers, so that many calls cross
        # the closing of their connection.
        await asyncio.sleep(SERVER_IDLE_SECONDS + rng.uniform(-0.1, 0.1))
        before = sum(u.ejections for u in index.upstreams())
        deadline = clock.monotonic() + 2.0
        body = (Body(), False, "r", "s", "r", 1.0, "")
        allows = method == "GET"
        call = Call(method, "/", b"Host: s\r\n", *body, allows, True, deadline)
        result = await dispatcher.dispatch(call)
        if not isinstance(result, Err):
            await result.ok_value.payload.read()
            dispatcher.finish(result.ok_value)
            answered += 1
        ejections += sum(u.ejections for u in index.upstreams()) - before
    counted = {f"attempts {key}": sink.results[key] for key in ("failed", "cancelled")}
    return {"answered": answered, **counted, "ejections": ejections}


@benchmarks.register("calls-idle")
def calls_idle(calls: int = 3_000) -> None:
    """Compare the rules for connections that were idle."""
    events.configure("error")
    rows = []
    defaults = (dispatch.STALE_IDLE_SECONDS, DEFAULT_OPTIONS.idle_reuse_seconds)
    for method, label, stale, non_idempotent in (
        ("GET", "resend after 1 s idle", *defaults),
        ("GET", "no resend rule", 1e9, defaults[1]),
        ("POST", "used within 1 s, or new", *defaults),
        ("POST", "any kept connection", defaults[0], 15.0),
    ):
        dispatch.STALE_IDLE_SECONDS = stale
        options = CallOptions(idle_reuse_seconds=non_idempotent)
        for servers in (1, 3):
            counted = run_virtual(_run(method, servers, calls, 1, options))
            row = {"method": method, "rule": label, "upstreams": servers}
            rows.append({**row, "calls": calls, **counted})
    dispatch.STALE_IDLE_SECONDS = defaults[0]
    save_rows("calls-idle", rows)
    print_table(rows)
