import asyncio
import contextlib

import pytest

from lacewingstair.backend_server.admission_proxy import AdmissionProxy
from lacewingstair.runtime import SystemClock
from lacewingstair.vm.call_messages import CallAnswer, CallFailed, CallRefused
from tests.backend_server.harness import identity, request

PAUSE_SECONDS = 0.05


def refusal(request_id, status=503):
    field = f"Request-Id: {request_id}\r\n" if request_id else ""
    head = f"HTTP/1.1 {status} X\r\n{field}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    return head.encode()


def response(request_id):
    return (
        f"HTTP/1.1 200 X\r\nRequest-Id: {request_id}\r\nResponse-Signature: s\r\n"
        "Content-Length: 2\r\n\r\nok"
    ).encode()


class FaultyUpstream:
    """Responds to call a, and writes a refusal on its connection while call b runs."""

    def __init__(self, first, repeated):
        self.first = first
        self.repeated = repeated
        self.runs = []
        self._writers = []

    async def serve(self, reader, writer):
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            is_kept = False
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if "Request-Id: a\r\n" in head:
                    writer.write(self.first)
                    is_kept = True
                    continue
                self.runs.append("b")
                if is_kept:
                    writer.write(self.repeated)
                await asyncio.sleep(PAUSE_SECONDS)
                writer.write(response("b"))

    def stop(self):
        for writer in self._writers:
            writer.transport.abort()


def outcomes(first, repeated):
    """Return the outcomes of calls a and b, and whether b has run."""

    async def main():
        upstream = FaultyUpstream(first, repeated)
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        proxy = AdmissionProxy("board", f"{host}:{port}", SystemClock())
        proxy.set_identity(identity())
        found = [await proxy.run(request(request_id)) for request_id in "ab"]
        proxy.close()
        upstream.stop()
        server.close()
        return *found, upstream.runs

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("first", "repeated"),
    [
        (refusal("a"), refusal("a")),
        (refusal("a"), refusal("")),
        (response("a"), refusal("")),
        (response("a"), refusal("other")),
        (response("a"), refusal("", status=421)),
        (refusal("a") * 2, refusal("")),
        (refusal(""), refusal("")),
    ],
)
def test_duplicated_refusal_does_not_refuse_a_later_call(first, repeated):
    """Guards against reporting a call as not run while it runs."""
    _, outcome, runs = outcomes(first, repeated)
    assert runs == ["b"]
    assert isinstance(outcome, CallAnswer | CallFailed), outcome


def test_refusal_without_id_is_accepted_on_a_new_connection():
    """Guards against taking a refusal for a run, so that no other server is tried."""
    outcome, _, _ = outcomes(refusal(""), b"")
    assert isinstance(outcome, CallRefused) and outcome.was_sent
