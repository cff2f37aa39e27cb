"""Loopback proxy that delays, resets, cuts one way or silences its connections."""

import asyncio
import contextlib
import enum
import socket
import struct

READ_BYTES = 64 << 10


class Fault(enum.Enum):
    """What the proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    ONE_WAY = "one way"
    SILENT = "silent"


class FaultProxy:
    """Forwards connections to one address.

    Connections that were silenced stay silent for good, as if something in between had
    lost track of them; new ones work once the fault has ended.

    Parameters
    ----------
    target : str
        ``ip:port`` behind the proxy.
    delay_seconds : float
        Delay of `Fault.DELAY`.
    """

    def __init__(self, target: str, delay_seconds: float = 0.3) -> None:
        self._target = target
        self._delay_seconds = delay_seconds
        self._fault = Fault.NONE
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def set_fault(self, fault: Fault) -> None:
        """Change what happens; a reset ends all connections at once."""
        self._fault = fault
        if fault is Fault.RESET:
            for task in self._tasks:
                task.cancel()

    async def stop(self) -> None:
        """End all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        other = None
        end = _reset
        try:
            host, _, port = self._target.rpartition(":")
            other_reader, other = await asyncio.open_connection(host, int(port))
            lost = asyncio.Event()
            await asyncio.gather(
                self._pass_on(reader, other, lost, is_request=True),
                self._pass_on(other_reader, writer, lost, is_request=False),
            )
            end = asyncio.StreamWriter.close
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            for stream in filter(None, (writer, other)):
                end(stream)

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        lost: asyncio.Event,
        *,
        is_request: bool,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            fault = self._fault
            if fault is Fault.SILENT:
                lost.set()
            if lost.is_set() or (fault is Fault.ONE_WAY and not is_request):
                continue
            if fault is Fault.DELAY:
                await asyncio.sleep(self._delay_seconds)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if not writer.transport.is_closing():
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
