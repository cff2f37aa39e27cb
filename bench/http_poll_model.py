"""Byte model of the baseline: each VM tails the log by HTTP long poll.

It counts the bytes of the request and the answer as aiohttp writes them, without TCP
and IP headers, which the frames of the mesh are counted without as well.
"""

import json

POLL_SECONDS = 20.0
_REQUEST = (
    "GET /streams/{stream}/records?from={offset}&limit=100&wait_ms=20000 HTTP/1.1\r\n"
    "Host: 10.0.0.1:7000\r\nAccept: */*\r\nAccept-Encoding: gzip, deflate\r\n"
    "User-Agent: Python/3.11 aiohttp/3.9.5\r\n\r\n"
)
_ANSWER = (
    "HTTP/1.1 200 OK\r\nContent-Type: application/json; charset=utf-8\r\n"
    "Content-Length: {length}\r\nDate: Thu, 01 Jan 2026 00:00:00 GMT\r\n"
    "Server: Python/3.11 aiohttp/3.9.5\r\n\r\n"
)


def poll_bytes(values: list[str], offset: int = 1000) -> int:
    """Return the bytes of one request and its answer with the given records."""
    records = [
        {"offset": offset + i, "time_ms": 1_700_000_000_000, "value": value}
        for i, value in enumerate(values)
    ]
    body = json.dumps(
        {
            "first_offset": 0,
            "next_offset": offset + len(values),
            "records": records,
        }
    )
    request = _REQUEST.format(stream="tickets", offset=offset)
    return len(request) + len(_ANSWER.format(length=len(body))) + len(body)
