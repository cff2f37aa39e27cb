"""Requests of clients that keep to no limit, each form sent by a small crowd.

A client sends, waits until it is answered or closed, and connects again.
"""

import asyncio
import contextlib
from collections.abc import Callable

import attrs

_FIELDS = "Host: a.example\r\n"
SHORT_LINES = "".join(f"A{number}: b\r\n" for number in range(100))
_LONG_LINE = "A: " + "a" * 7900 + "\r\n"
# A client that is not answered connects again.
MAX_WAIT_SECONDS = 10.0
# A connection that is refused at once is not tried in a busy loop.
PAUSE_SECONDS = 0.02
# Clients that go on slowly pause for as long.
TRICKLE_SECONDS = 0.1


@attrs.frozen
class Form:
    """What each client of a crowd sends.

    Parameters
    ----------
    clients : int
        Size of the crowd.
    data : bytes
        Sent on each connection.
    leaves : bool
        Whether the client closes its connection once it has sent.
    holds : bool
        Whether the client keeps its connection although it is answered.
    reads : bool
        Whether answers are read.
    read_bytes : int
        Read at a time, with a pause after each; 0 reads as much as there is.
    trickle : bytes
        Sent again and again, with a pause after each.
    """

    clients: int
    data: bytes
    leaves: bool = False
    holds: bool = False
    reads: bool = True
    read_bytes: int = 0
    trickle: bytes = b""


def _request(
    line: str, *fields: str, request_id: bytes = b"crowd", body: bytes = b""
) -> bytes:
    lines = "".join(f"{field}\r\n" for field in fields)
    head = f"{line} HTTP/1.1\r\n{_FIELDS}{lines}Request-Id: ".encode()
    return head + request_id + b"\r\n\r\n" + body


def _post(length: int, *fields: str, path: str = "/load/1", **options) -> bytes:
    return _request(f"POST {path}", f"Content-Length: {length}", *fields, **options)


def _chunked(body: bytes) -> bytes:
    return _request("POST /load/1", "Transfer-Encoding: chunked", body=body)


_LONG_HEAD = (_LONG_LINE * 120).removesuffix("\r\n")
_SHORT_HEAD = SHORT_LINES.removesuffix("\r\n")
_MEBIBYTE = b"x" * (1 << 20)

FORMS_BY_NAME = {
    "an id that is not UTF-8": Form(
        12, _post(1 << 20, request_id=b"q\xff", body=_MEBIBYTE)
    ),
    "heads without their bodies": Form(48, _post(1000, _LONG_HEAD)),
    "heads that are answered": Form(96, _request("GET /none", _LONG_HEAD), holds=True),
    "heads without their ends": Form(
        100, _request("GET /view/1", _LONG_HEAD)[: 38 << 10], holds=True
    ),
    "bodies that are announced": Form(24, _post(32 << 20)),
    "bodies that are begun": Form(24, _post(8 << 20, body=_MEBIBYTE * 4)),
    "bodies without a length that are begun": Form(
        24, _chunked((b"100000\r\n" + _MEBIBYTE + b"\r\n") * 4)
    ),
    "short lines behind one another": Form(
        200, _request("GET /view/1", _SHORT_HEAD) * 200
    ),
    "chunks of one byte": Form(64, _chunked(b"1\r\na\r\n" * (1 << 18))),
    "uploads that are abandoned": Form(24, _post(1 << 20, body=_MEBIBYTE), leaves=True),
    "uploads behind one another": Form(
        24, _post(64 << 10, body=_MEBIBYTE[: 64 << 10]) * 64
    ),
    "downloads that are not read": Form(
        48, _request("GET /view/large") * 8, reads=False, holds=True
    ),
    "bodies that trickle": Form(
        24, _post(8 << 20, body=_MEBIBYTE * 2), trickle=b"x" * 100
    ),
    "answers that are read slowly": Form(
        48, _request("GET /view/large") * 8, read_bytes=2000, holds=True
    ),
    "ids without end": Form(48, _post(4, request_id=b"q" * 4000, body=b"body") * 64),
}


# Beyond the limit on connections of the tests that use them.
SILENT = Form(300, b"", holds=True)


async def _send_once(host: str, port: int, form: Form) -> None:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        if not form.reads:
            # Stops the stream from reading; what arrives stays in the kernel.
            reader._transport.pause_reading()
        writer.write(form.data)
        if form.leaves:
            await writer.drain()
            return
        if not form.reads:
            await asyncio.Event().wait()
        while form.trickle and not reader.at_eof():
            writer.write(form.trickle)
            await asyncio.sleep(TRICKLE_SECONDS)
        while form.read_bytes and await reader.read(form.read_bytes):  # noqa: ASYNC110
            await asyncio.sleep(TRICKLE_SECONDS)
        while await reader.read(1 << 16) and form.holds:
            pass
        while form.holds and not reader.at_eof():
            await reader.read(1 << 16)
    finally:
        writer.transport.abort()


async def _send_again(host: str, port: int, form: Form, count: Callable) -> None:
    while True:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(MAX_WAIT_SECONDS):
                count()
                await _send_once(host, port, form)
        await asyncio.sleep(PAUSE_SECONDS)


@contextlib.asynccontextmanager
async def crowd(host: str, port: int, form: Form):
    """Run the clients of a form; yields a list with the number of connections."""
    sent = [0]

    def count():
        sent[0] += 1

    tasks = [
        asyncio.create_task(_send_again(host, port, form, count))
        for _ in range(form.clients)
    ]
    try:
        yield sent
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
