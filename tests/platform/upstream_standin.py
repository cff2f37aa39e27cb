"""Stand-in for a backend server of the platform, as its published protocol says."""

import asyncio
import socket
import struct


class UpstreamStandIn:
    """Answers calls on raw connections, so that it can also misbehave.

    Attributes
    ----------
    runs : list of str
        Ids of the calls that it has run.
    seconds : float
        Time that a call takes.
    is_healthy : bool
        Whether the health check succeeds.
    behaviour : str
        ``ok``, ``truncate``, ``reset``, ``extra`` (a second answer), ``late extra``
        (the second answer comes after a while), ``unframed``, ``unframed reset``,
        ``unsigned``, ``shed``, ``error`` or ``silent``.
    """

    def __init__(self, upstream_id="i-1"):
        self.upstream_id = upstream_id
        self.runs = []
        self.heads = []
        self.seconds = 0.0
        self.behaviour = "ok"
        self.is_healthy = True
        self.cancelled = []
        self.address = ""
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._answer_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:] if line)
        body = await reader.readexactly(int(fields.get("Content-Length", 0)))
        if lines[0].startswith("GET /health "):
            load = f"Instance-Id: {self.upstream_id}\r\nServer-Load: 0,0,4\r\n"
            writer.write(_head(200 if self.is_healthy else 503, load, 0))
            return True
        self.heads.append((lines[0], fields, body))
        if fields.get("Target-Instance", self.upstream_id) != self.upstream_id:
            writer.write(_head(421, f"Instance-Id: {self.upstream_id}\r\n", 0))
            return True
        request_id = fields["Request-Id"]
        if self.behaviour == "shed":
            writer.write(
                _head(503, f"Not-Executed: 1\r\nRequest-Id: {request_id}\r\n", 0)
            )
            return True
        self.runs.append(request_id)
        if not await self._work(reader, request_id):
            return False
        return self._write(writer, request_id)

    async def _work(self, reader, request_id):
        """Take the time of the call; return False when its connection was closed."""
        if not self.seconds:
            return True
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait((closed,), timeout=self.seconds)
        if done:
            self.cancelled.append(request_id)
            return False
        closed.cancel()
        await asyncio.gather(closed, return_exceptions=True)
        return True

    def _write(self, writer, request_id):
        body = f"answer of {request_id}".encode()
        signed = f"Response-Signature: s\r\nRequest-Id: {request_id}\r\n"
        match self.behaviour:
            case "ok":
                writer.write(_head(200, signed, len(body)) + body)
            case "truncate":
                writer.write(_head(200, signed, len(body)) + body[:4])
                return False
            case "reset":
                writer.transport.abort()
                return False
            case "extra":
                writer.write((_head(200, signed, len(body)) + body) * 2)
            case "late extra":
                answer = _head(200, signed, len(body)) + body
                writer.write(answer)
                asyncio.get_running_loop().call_later(0.05, writer.write, answer)
            case "unframed":
                writer.write(f"HTTP/1.1 200 OK\r\n{signed}\r\n".encode() + body)
                return False
            case "unframed reset":
                writer.write(f"HTTP/1.1 200 OK\r\n{signed}\r\n".encode() + body[:4])
                asyncio.get_running_loop().call_later(0.05, _reset, writer)
            case "unsigned":
                field = f"Request-Id: {request_id}\r\n"
                writer.write(_head(200, field, len(body)) + body)
            case "error":
                writer.write(_head(500, signed, len(body)) + body)
            case "silent":
                return True
        return True


def _reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _head(status, fields, length):
    return f"HTTP/1.1 {status} X\r\n{fields}Content-Length: {length}\r\n\r\n".encode()
