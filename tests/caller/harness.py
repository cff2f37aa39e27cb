import random
from collections import Counter

from result import Err, Ok

from lacewingstair.backend_server.pool import ConnectionPool
from lacewingstair.caller.calls.attempts import Call
from lacewingstair.caller.calls.dispatch import Dispatcher
from lacewingstair.caller.messages.body import Body
from lacewingstair.routing.balancing import EndpointIndex
from lacewingstair.standins.memory_server import MemoryServer
from lacewingstair.standins.virtual_time import VirtualClock
from lacewingstair.vm.directory import Directory, Endpoint, VmRecord


class SingleVersionChooser:
    def choose_version(self, route, service):
        return "v1"

    def versions(self, route, service):
        return ("v1",)


class RecordingSink:
    def __init__(self):
        self.outcomes = []

    def record(self, outcome):
        self.outcomes.append(outcome)


class Mesh:
    """Dispatcher with in-memory backend servers; create it inside `run_virtual`."""

    def __init__(self, *schedules):
        self.clock = VirtualClock()
        self.servers = {
            f"10.0.0.{i}:80": MemoryServer(s) for i, s in enumerate(schedules)
        }
        directory = Directory()
        for address in self.servers:
            endpoint = Endpoint("board", "v1", address)
            directory.merge(VmRecord(address, "r", "z", "-", 1, endpoints=(endpoint,)))
        self.directory = directory
        self.sink = RecordingSink()
        self.index = EndpointIndex(directory, "r", "z", self.clock)
        self.pool = ConnectionPool(self.clock, self.connect)
        self.unreachable = []
        self.dispatcher = Dispatcher(
            self.index,
            self.pool,
            SingleVersionChooser(),
            self.sink,
            self.clock,
            random.Random(1),
            self.unreachable.append,
        )

    async def connect(self, address):
        return await self.servers[address].connect(address)

    def call(self, target="/1", method="GET", body=b"", **changes):
        fields = {
            "method": method,
            "target": target,
            "header_lines": b"Host: board\r\n",
            "body": Body(body),
            "has_body": bool(body),
            "route": "read",
            "service": "board",
            "kind": "read",
            "worth": 1.0,
            "customer": "",
            "allows_repeat": method != "POST",
            "allows_retry": True,
            "deadline": self.clock.monotonic() + 2.0,
        }
        return Call(**{**fields, **changes})

    async def send(self, call):
        """Return status, body (None if truncated) and whether the call did not run."""
        result = await self.dispatcher.dispatch(call)
        if isinstance(result, Err):
            return result.err_value.status, None, result.err_value.is_not_run
        answer = result.ok_value
        assert isinstance(result, Ok)
        try:
            body = await answer.payload.read()
        except Exception:
            self.dispatcher.fail_truncated(answer)
            return answer.status, None, False
        self.dispatcher.finish(answer)
        return answer.status, body, answer.is_refusal

    @property
    def runs(self):
        return sum((s.runs_by_target for s in self.servers.values()), Counter())

    def in_flight(self):
        return [u.in_flight for u in self.index.upstreams()]
