"""Stand-in for a backend server on connections in memory, with faults by schedule.

It needs no sockets, so that it also runs in virtual time.
"""

import asyncio
import enum
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any

from lacewingstair.backend_server.connection import UpstreamConnection

LATE_SECONDS = 60.0
# By which a call is refused without the header.
REFUSAL_STATUS = 418


class Fault(enum.Enum):
    """What goes wrong with one call; the comment says whether the call runs."""

    NONE = "none"  # runs
    REFUSE_CONNECTION = "refuse connection"  # does not run
    CLOSE_ON_FIRST_BYTE = "close on first byte"  # does not run
    CLOSE_BEFORE_RUN = "close before run"  # does not run
    CLOSE_AFTER_RUN = "close after run"  # runs
    TRUNCATE = "truncate"  # runs
    REFUSE = "refuse"  # does not run
    REFUSE_BY_STATUS = "refuse by status"  # does not run
    ERROR = "error"  # runs
    UNAVAILABLE = "unavailable"  # runs
    SILENT_BEFORE_RUN = "silent before run"  # does not run
    LATE = "late"  # runs
    EXTRA_ANSWER = "extra answer"  # runs
    CLOSE_AFTER_ANSWER = "close after answer"  # runs


class MemoryTransport(asyncio.Transport):
    """Client side of a connection in memory."""

    def __init__(self, server: "MemoryServer", protocol: UpstreamConnection) -> None:
        super().__init__()
        self._server = server
        self._protocol = protocol
        self._received = b""
        self._is_closing = False
        self.fault: Fault | None = None

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the default, as there is no socket."""
        return default

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Accept any bound; bytes are taken at once."""

    def is_closing(self) -> bool:
        """Return whether the connection is closed or about to be."""
        return self._is_closing

    def pause_reading(self) -> None:
        """Ignore; answers are small."""

    def resume_reading(self) -> None:
        """Ignore; answers are small."""

    def write(self, data: bytes) -> None:
        """Pass bytes to the server."""
        if self._is_closing:
            return
        self._received += data
        if self.fault is None:
            self.fault = self._server.next_fault()
        if self.fault is Fault.CLOSE_ON_FIRST_BYTE:
            self.close_by_server()
            return
        request, self._received = split_request(self._received)
        if request is not None:
            fault, self.fault = self.fault, None
            self._server.handle(self, request, fault)

    def close(self) -> None:
        """Close the connection."""
        if not self._is_closing:
            self._is_closing = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self._protocol.connection_lost, None)

    def abort(self) -> None:
        """Close the connection."""
        self.close()

    def close_by_server(self) -> None:
        """Close as if the server did."""
        self.close()

    def answer(self, data: bytes) -> None:
        """Deliver bytes of the server."""
        loop = asyncio.get_running_loop()
        loop.call_soon(self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        if not self._is_closing:
            self._protocol.data_received(data)


class MemoryServer:
    """Backend server that runs calls and fails by schedule.

    Parameters
    ----------
    faults : iterable of Fault
        Fault of each call in turn; none after the last.

    Attributes
    ----------
    runs_by_target : Counter of str
        How often each target was run.
    heads_by_target : dict
        Last request head of each target.
    connections : int
        Connections opened.
    transports : list of MemoryTransport
        Client sides of all connections opened.
    seconds : float
        Time that a call takes.
    """

    def __init__(self, faults: Iterable[Fault] = ()) -> None:
        self._faults: Iterator[Fault] = iter(faults)
        self.runs_by_target: Counter[str] = Counter()
        self.heads_by_target: dict[str, bytes] = {}
        self.connections = 0
        self.transports: list[MemoryTransport] = []
        self.seconds = 0.01

    def next_fault(self) -> Fault:
        """Return the fault of the next call."""
        return next(self._faults, Fault.NONE)

    async def connect(self, address: str) -> UpstreamConnection:
        """Open a connection; takes the place of TCP in `ConnectionPool`."""
        fault = self.next_fault()
        if fault is Fault.REFUSE_CONNECTION:
            raise ConnectionRefusedError(address)
        self.connections += 1
        loop = asyncio.get_running_loop()
        connection = UpstreamConnection(loop, loop.time())
        transport = MemoryTransport(self, connection)
        transport.fault = fault
        connection.connection_made(transport)
        self.transports.append(transport)
        return connection

    def handle(
        self, transport: MemoryTransport, request: bytes, fault: Fault | None
    ) -> None:
        """Run a whole request, or not, by its fault."""
        target = request.split(b" ", 2)[1].decode()
        self.heads_by_target[target] = request.partition(b"\r\n\r\n")[0]
        if fault in (Fault.SILENT_BEFORE_RUN, Fault.REFUSE_CONNECTION):
            return
        if fault is Fault.CLOSE_BEFORE_RUN:
            transport.close_by_server()
            return
        if fault is Fault.REFUSE:
            refusal = _answer(503, b"", b"Lacewingstair-Outcome: not-run\r\n")
            transport.answer(refusal)
            return
        if fault is Fault.REFUSE_BY_STATUS:
            transport.answer(_answer(REFUSAL_STATUS, b"busy"))
            return
        self.runs_by_target[target] += 1
        seconds = LATE_SECONDS if fault is Fault.LATE else self.seconds
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self._finish, transport, target, fault)

    def _finish(self, transport: MemoryTransport, target: str, fault: Fault) -> None:
        whole = _answer(200, target.encode())
        if fault is Fault.ERROR:
            transport.answer(_answer(500, b"fault"))
        elif fault is Fault.UNAVAILABLE:
            transport.answer(_answer(503, b"fault"))
        elif fault is Fault.EXTRA_ANSWER:
            transport.answer(whole + _answer(200, b"of nobody"))
        elif fault is Fault.TRUNCATE:
            transport.answer(whole[:-1])
        elif fault is not Fault.CLOSE_AFTER_RUN:
            transport.answer(whole)
        if fault in (Fault.CLOSE_AFTER_RUN, Fault.TRUNCATE, Fault.CLOSE_AFTER_ANSWER):
            loop = asyncio.get_running_loop()
            loop.call_soon(transport.close_by_server)


def split_request(data: bytes) -> tuple[bytes | None, bytes]:
    """Return the first whole request in `data`, or None, and the rest."""
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return None, data
    size = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            size = int(line.partition(b":")[2])
        if line == b"transfer-encoding: chunked":
            end = rest.find(b"0\r\n\r\n")
            if end < 0:
                return None, data
            size = end + len(b"0\r\n\r\n")
    if len(rest) < size:
        return None, data
    return head + separator + rest[:size], rest[size:]


def _answer(status: int, body: bytes, fields: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (
        status,
        len(body),
        fields,
        body,
    )
