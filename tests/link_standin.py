"""Stand-in for the narrow links of VMs: loopback proxies with a limited rate.

Each VM has one link. All connections that it opens or accepts share the link's rate in
each direction, and a connection passes the links of both of its ends.
"""

import asyncio
import contextlib
import contextvars
import socket
import struct
from collections import deque

CHUNK_BYTES = 8 << 10
# Data of one connection that is under way in one direction; then its writer is blocked.
WINDOW_BYTES = 32 << 10
SOCKET_BUFFER_BYTES = 32 << 10
SEGMENT_BYTES = 1400
TIMER_GAP_SECONDS = 1e-6


class Direction:
    """One direction of a link: sends what it is given one after the other.

    Attributes
    ----------
    sent_bytes : int
        Bytes that have passed it.
    is_silenced : bool
        Whether what it is given stays in it.
    """

    def __init__(self, bits_per_second):
        self._bits_per_second = bits_per_second
        self._free_at = 0.0
        self._held = deque()
        self.sent_bytes = 0
        self.is_silenced = False

    def transmit(self, size, done):
        """Call `done` once `size` bytes have passed."""
        loop = asyncio.get_running_loop()
        # The loop may be late; the link has not been idle meanwhile.
        self._free_at = max(self._free_at, loop.time())
        self._free_at += size * 8 / self._bits_per_second
        loop.call_at(self._free_at, self._passed, size, done)

    def silence(self):
        self.is_silenced = True

    def heal(self):
        self.is_silenced = False
        while self._held and not self.is_silenced:
            self._passed(*self._held.popleft())

    def _passed(self, size, done):
        if self.is_silenced:
            self._held.append((size, done))
            return
        self.sent_bytes += size
        done()


class Link:
    """The link of one VM.

    Parameters
    ----------
    bits_per_second : float
        Rate of each direction.
    delay_seconds : float
        One-way delay, in addition to that of the link at the other end.
    """

    def __init__(self, bits_per_second, delay_seconds=0.0):
        self.outward = Direction(bits_per_second)
        self.inward = Direction(bits_per_second)
        self.delay_seconds = delay_seconds
        self.is_cut = False
        self.connections = set()

    def silence(self):
        """Forward nothing any more, and close nothing."""
        self.outward.silence()
        self.inward.silence()

    def cut(self):
        """Reset all connections, and new ones as well."""
        self.is_cut = True
        for connection in list(self.connections):
            connection.abort()

    def heal(self):
        """End `silence` and `cut`."""
        self.is_cut = False
        self.outward.heal()
        self.inward.heal()


class LinkProxy:
    """Accepts connections for a target and forwards them over links.

    Parameters
    ----------
    target : str
        ``ip:port`` to which connections are forwarded.
    target_link : Link or None
        Link of the target; None if it has a wide one.
    links_by_host : dict
        Links of those that open connections, by the address from which they do.
    """

    def __init__(self, target, target_link, links_by_host):
        self._target = target
        self._target_link = target_link
        self._links_by_host = links_by_host
        self._server = None
        self._tasks = set()
        self.address = ""

    async def start(self, host="127.0.0.1", port=0):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _limit_buffers(sock)
        sock.bind((host, port))
        self._server = await asyncio.start_server(
            self._accept, sock=sock, limit=CHUNK_BYTES
        )
        self.address = "{}:{}".format(*sock.getsockname())

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._forward(reader, writer)
        except asyncio.CancelledError:
            return
        finally:
            self._tasks.discard(task)

    async def _forward(self, reader, writer):
        host = writer.get_extra_info("peername")[0]
        links = [self._links_by_host.get(host), self._target_link]
        links = [link for link in links if link is not None]
        if any(link.is_cut for link in links):
            reset(writer)
            return
        opened = await _connect(self._target)
        if opened is None:
            reset(writer)
            return
        connection = _Connection((reader, writer), opened, *self._paths(host))
        for link in links:
            link.connections.add(connection)
        try:
            await connection.run()
        finally:
            for link in links:
                link.connections.discard(connection)
            connection.abort()

    def _paths(self, host):
        """Return what the request and the answer pass, and the delay of each."""
        caller, target = self._links_by_host.get(host), self._target_link
        there, back, delay = [], [], 0.0
        if caller is not None:
            there.append(caller.outward)
            back.append(caller.inward)
            delay += caller.delay_seconds
        if target is not None:
            there.append(target.inward)
            back.insert(0, target.outward)
            delay += target.delay_seconds
        return there, back, delay


class _Connection:
    """A forwarded connection."""

    def __init__(self, accepted, opened, there, back, delay_seconds):
        self._writers = (accepted[1], opened[1])
        self._pipes = (
            _Pipe(accepted[0], opened[1], there, delay_seconds),
            _Pipe(opened[0], accepted[1], back, delay_seconds),
        )

    async def run(self):
        await asyncio.gather(*(pipe.run() for pipe in self._pipes))

    def abort(self):
        for writer in self._writers:
            reset(writer)


class _Pipe:
    """One direction of a connection."""

    def __init__(self, reader, writer, path, delay_seconds):
        self._reader = reader
        self._writer = writer
        self._path = path
        self._delay_seconds = delay_seconds
        self._window = asyncio.Semaphore(WINDOW_BYTES // CHUNK_BYTES)
        self._arrived = asyncio.Queue()
        self._arrives_at = 0.0
        writer.transport.set_write_buffer_limits(high=CHUNK_BYTES)

    async def run(self):
        """Forward until the end of the stream has been forwarded."""
        sending = asyncio.create_task(self._send())
        try:
            await self._deliver()
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    async def _send(self):
        data = True
        while data:
            await self._window.acquire()
            try:
                data = await self._reader.read(CHUNK_BYTES)
            except OSError:
                data = None
            self._pass_on(data, 0)

    def _pass_on(self, data, step):
        """Send data over the next part of the path; its end goes the same way."""
        if step < len(self._path):
            size = len(data) if data else 1
            self._path[step].transmit(size, lambda: self._pass_on(data, step + 1))
            return
        loop = asyncio.get_running_loop()
        # Timers of the same instant may run in any order.
        earliest = self._arrives_at + TIMER_GAP_SECONDS
        self._arrives_at = max(earliest, loop.time() + self._delay_seconds)
        loop.call_at(self._arrives_at, self._arrived.put_nowait, data)

    async def _deliver(self):
        with contextlib.suppress(OSError):
            while data := await self._arrived.get():
                self._writer.write(data)
                await self._writer.drain()
                self._window.release()
            if data is None:
                reset(self._writer)
            elif self._writer.can_write_eof():
                self._writer.write_eof()


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if not writer.transport.is_closing():
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _connect(address):
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    _limit_buffers(sock)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        return await _direct_open(sock=sock, limit=CHUNK_BYTES)
    except OSError:
        sock.close()
        return None


def _limit_buffers(sock):
    # The segments of the loopback interface are larger than the buffers.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    for name in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, name, SOCKET_BUFFER_BYTES)


_direct_open = asyncio.open_connection
_own_host = contextvars.ContextVar("own_host", default="")


def connect_from(host):
    """Open the connections of this context, and of its tasks, from an address."""
    _own_host.set(host)


async def open_connection(host, port, **options):
    """Open a connection from the address that `connect_from` has set."""
    if _own_host.get():
        options["local_addr"] = (_own_host.get(), 0)
    return await _direct_open(host, port, **options)
