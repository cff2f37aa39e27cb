"""Stand-in for a backend server that behaves as the users' pages say."""

import asyncio
import contextlib
import time

HEARTBEAT_SECONDS = 1.5


def response(status, lines, body=b""):
    """Return one response in wire format."""
    head = f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Upstream:
    """Backend server beside one daemon.

    Parameters
    ----------
    vm : Vm
        Its machine.
    record : Record
        Record of the run.
    upstream_id : str
        Its id.
    slots : int
        Requests that it runs at a time.
    work_seconds : float
        Time that a request takes.
    version : str
        Version of its software.

    Attributes
    ----------
    runs : list of tuple
        Time, id, method, target, caller's service and body size of what has run.
    bad_at : list of float
        Times of answers that were failures.
    """

    def __init__(self, vm, record, upstream_id, slots=18, work_seconds=0.05):
        self.vm = vm
        self.record = record
        self.upstream_id = upstream_id
        self.slots = slots
        self.work_seconds = work_seconds
        self.version = "v1"
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.bad_at = []
        self.running = 0
        self.answer_bytes = 400
        self.is_beating = True
        self._server = None
        self._writers = set()
        self._beats = None

    async def start(self):
        """Listen, and begin to report."""
        port = self.vm.ports["app"]
        self._server = await asyncio.start_server(
            self._serve, self.vm.host, port, limit=1 << 20
        )
        self._beats = asyncio.create_task(self._beat())

    async def stop(self):
        """End at once."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def report(self):
        """Send one status report; return its status or 0."""
        self.sequence += 1
        body = {
            "address": self.vm.address("app"),
            "born": self.born,
            "info": {
                "service": self.vm.service,
                "version": self.version,
                "zone": "akm-north",
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "seq": self.sequence,
                "cold_remaining": "0ms",
            },
        }
        url = f"http://{self.vm.address('control')}/instances/{self.upstream_id}"
        with contextlib.suppress(Exception):
            async with self.vm.deployment.session.put(url, json=body) as answer:
                await answer.read()
                return answer.status
        return 0

    async def leave(self):
        """Sign off; return the status of the answer or 0."""
        url = f"http://{self.vm.address('control')}/instances/{self.upstream_id}"
        with contextlib.suppress(Exception):
            async with self.vm.deployment.session.delete(url) as answer:
                await answer.read()
                return answer.status
        return 0

    async def _beat(self):
        while True:
            if self.is_beating:
                await self.report()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines if line)
        size = int(fields.get("Content-Length", 0))
        await self._skip(reader, size)
        method, target, _ = first.split(" ")
        if target == "/health":
            writer.write(self._health())
            await writer.drain()
            return True
        request_id = fields.get("Request-Id", "")
        lines = f"Request-Id: {request_id}\r\nServer-Load: {self._load()}\r\n"
        if fields.get("Target-Instance", self.upstream_id) != self.upstream_id:
            writer.write(response(421, lines))
        elif not request_id:
            writer.write(response(400, "Not-Executed: 1\r\n"))
        elif self.running >= self.slots:
            writer.write(response(503, lines + "Not-Executed: 1\r\n"))
        else:
            caller = fields.get("Caller-Service", "")
            run = (time.monotonic(), request_id, method, target, caller, size)
            self.runs.append(run)
            self.record("run", id=request_id, at=self.upstream_id, bytes=size)
            if not await self._work(reader):
                return False
            status = self.answer_status()
            if status >= 500:
                self.bad_at.append(time.monotonic())
            lines += "Response-Signature: s\r\n"
            writer.write(response(status, lines, b"a" * self.answer_bytes))
        await writer.drain()
        return True

    def answer_status(self):
        """Return the status of the next answer."""
        return 200

    async def _skip(self, reader, size):
        while size > 0:
            data = await reader.read(min(size, 1 << 18))
            if not data:
                raise ConnectionError("the request ends early")
            size -= len(data)

    async def _work(self, reader):
        """Take the time of a request; return False if its connection was closed."""
        self.running += 1
        try:
            closed = asyncio.ensure_future(reader.read(1))
            done, _ = await asyncio.wait((closed,), timeout=self.work_seconds)
            if done:
                closed.exception()
                return False
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
            return True
        finally:
            self.running -= 1

    def _load(self):
        return f"{self.running},0,{self.slots}"

    def _health(self):
        lines = f"Instance-Id: {self.upstream_id}\r\nServer-Load: {self._load()}\r\n"
        return response(200 if self.state == "ready" else 503, lines)
