"""Client that sends one request on a connection of its own."""

import asyncio
import time

import attrs


@attrs.frozen
class Answer:
    """What a client got: status 0 stands for a connection that ended unanswered."""

    status: int
    fields: dict
    body: bytes
    seconds: float
    note: str = ""


async def send(vm, request_id, path, body=None, timeout_ms=2500, method=None):
    """Send a request to the daemon of a machine and return the answer."""
    began = time.monotonic()
    method = method or ("GET" if body is None else "POST")
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {request_id}\r\n"
    )
    head += f"Timeout-Ms: {timeout_ms}\r\n"
    if body is not None:
        head += f"Content-Length: {len(body)}\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(
                vm.host, vm.ports["outbound"]
            )
            writer.write(head.encode() + b"\r\n")
            if body:
                writer.write(body)
            return await read_answer(reader, began)
    except (OSError, EOFError, TimeoutError) as error:
        return Answer(0, {}, b"", time.monotonic() - began, repr(error))
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader, began):
    """Read one answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines if line)
    content = await reader.readexactly(int(fields.get("Content-Length", 0)))
    status = int(first.split(" ")[1])
    return Answer(status, fields, content, time.monotonic() - began)
