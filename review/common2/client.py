"""A client that keeps to the users' pages, on a raw connection."""

import asyncio
import itertools
import os

import attrs

_numbers = itertools.count(1)
_PREFIX = os.urandom(4).hex()


def new_id() -> str:
    """Return an id for a client attempt."""
    return f"{_PREFIX}{next(_numbers):08x}"


@attrs.frozen
class Answer:
    """What a client got; status 0 if the connection ended without an answer."""

    request_id: str
    status: int
    fields: dict
    body: bytes
    error: str = ""


def request_bytes(
    path, request_id, method="GET", timeout_ms=2500, body=b"", extra=""
) -> bytes:
    """Return a request in wire format."""
    length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {request_id}\r\n"
        f"Timeout-Ms: {timeout_ms}\r\n{length}{extra}\r\n"
    )
    return head.encode() + body


async def read_answer(reader, request_id) -> Answer:
    """Read one answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines[1:] if line)
    fields = {name.lower(): value for name, value in fields.items()}
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return Answer(request_id, int(lines[0].split()[1]), fields, body)


async def call(address, path, seconds=3.5, **options) -> Answer:
    """Make one attempt on a new connection."""
    request_id = options.pop("request_id", None) or new_id()
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(request_bytes(path, request_id, **options))
                return await read_answer(reader, request_id)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(request_id, 0, {}, b"", repr(error))
