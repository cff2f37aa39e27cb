"""Any bytes as the response of a backend server, through its gate and a caller's VM."""

import asyncio
from http.client import HTTPResponse
from io import BytesIO
from types import SimpleNamespace

import msgpack
from hypothesis import example, given, settings
from hypothesis import strategies as st

from lacewingstair.caller.messages.own_responses import answer_response
from lacewingstair.vm.call_messages import (
    CallAnswer,
    CallFailed,
    CallRefused,
    decode,
    encode,
)
from tests.backend_server.harness import request, with_proxy

ODD_EOLS = st.sampled_from([b"\n", b"\r", b"\r\n "])
STATUSES = st.sampled_from(
    [b"200", b"204", b"304", b"404", b"421", b"500", b"503"] * 4
    + [b"000", b"042", b"099", b"100", b"101", b"103", b"600", b"999", b"20", b"2000"]
)
REASONS = st.sampled_from([b"", b"OK"] * 8) | st.binary(max_size=4)
VERSIONS = st.sampled_from([b"HTTP/1.1"] * 12 + [b"HTTP/1.0", b"HTTP/2.0", b"ICY"])
FIELDS = st.sampled_from(
    [
        b"Response-Signature: s",
        b"Request-Id: a",
        b"Request-Id: b",
        b"Not-Executed: 1",
        b"Content-Length: 4",
        b"Content-Length: 2",
        b"Content-Length: 04",
        b"Content-Length: -4",
        b"Transfer-Encoding: chunked",
        b"Transfer-Encoding: gzip",
        b"Connection: close",
        b"Connection: A",
        b"Upgrade: x",
        b"A: b",
        b"A: \xff",
        b"A : b",
    ]
)
BODIES = st.sampled_from(
    [
        *[b"body"] * 6,
        *[b"4\r\nbody\r\n0\r\n\r\n"] * 6,
        b"",
        b"bo",
        b"body, and more",
        b"4\r\nbody\r\n0\r\nNot-Executed: 1\r\n\r\n",
        b"4;a=b\r\nbody\r\n0\r\n",
        b"4\r\nbo",
        b"3\r\nbody\r\n0\r\n\r\n",
    ]
)
SIGNED = [b"Response-Signature: s", b"Request-Id: a"]


FRAMED = [
    ([], b"body"),
    ([b"Content-Length: 4"], b"body"),
    ([b"Transfer-Encoding: chunked"], b"4\r\nbody\r\n0\r\n\r\n"),
]


@st.composite
def responses(draw):
    framing, body = draw(st.sampled_from(FRAMED))
    odd = draw(st.sampled_from([[]] * 2 + [None]))
    fields = draw(st.lists(FIELDS, max_size=3)) if odd is None else odd
    fields = draw(st.permutations([*SIGNED, *framing, *fields]))
    status_line = b" ".join([draw(VERSIONS), draw(STATUSES), draw(REASONS)])
    # Both parsers differ on a folded line behind the status line, where no field can be
    # continued: llhttp takes it for a field, and the other one passes it over.
    lines = [status_line + b"\r\n"] + [line + b"\r\n" for line in fields]
    if not draw(st.integers(0, 4)):
        index = draw(st.integers(1, len(lines) - 1))
        lines[index] = lines[index][:-2] + draw(ODD_EOLS)
    interim = draw(st.sampled_from([b""] * 4 + [b"HTTP/1.1 103 X\r\nA: b\r\n\r\n"]))
    body = draw(st.just(body) | st.just(body) | BODIES)
    whole = interim + b"".join(lines) + b"\r\n" + body
    if draw(st.integers(0, 5)):
        return whole
    return whole[: draw(st.integers(0, len(whole)))]


def run(raw):
    """Return what the gate makes of a response to a call that has run."""
    found = []

    async def check(proxy, upstream):
        upstream.raw_answer = raw or b"\r\n"
        async with asyncio.timeout(5.0):
            found.append(await proxy.run(request()))

    with_proxy(check)
    return decode(msgpack.unpackb(encode(found[0]))).ok_value


class Unclosed(BytesIO):
    def close(self):
        pass


def parsed(raw):
    """Return the final response and its body as another parser reads them."""
    file = Unclosed(raw)
    socket = SimpleNamespace(makefile=lambda mode: file)
    while True:
        response = HTTPResponse(socket, method="GET")
        response.begin()
        if response.status in (204, 304):
            return response, b""
        if response.status >= 200:
            return response, response.read()


@settings(max_examples=400)
@example(b"HTTP/1.1 000 X\r\nResponse-Signature: s\r\nRequest-Id: a\r\n\r\n")
@example(
    b"HTTP/1.1 200 \xe9\r\nResponse-Signature: s\r\nRequest-Id: a\r\n"
    b"Content-Length: 4\r\n\r\nbody"
)
@given(responses() | st.binary(max_size=60))
def test_the_caller_gets_the_whole_response_or_no_false_promise(raw):
    """Guards against a promise or a status that no upstream gave, and cut responses."""
    outcome = run(raw)
    if isinstance(outcome, CallFailed):
        return
    expected, body = parsed(raw)
    assert expected.getheader("Request-Id", "a") == "a"
    if isinstance(outcome, CallRefused):
        has_not_run = expected.status == 421 or expected.getheader("Not-Executed")
        assert has_not_run and expected.status >= 300
        return
    assert isinstance(outcome, CallAnswer)
    assert 200 <= outcome.status <= 599
    assert (outcome.status, outcome.body) == (expected.status, body)
    assert outcome.reason.strip() == expected.reason
    answer = answer_response(SimpleNamespace(method="GET"), outcome)
    received, received_body = parsed(answer._head + b"\r\n" + answer._raw_body)
    assert (received.status, received_body) == (expected.status, body)
    kept = [name for name in received.headers if name.lower() == "a"]
    named = "a" in expected.getheader("Connection", "").lower().split(", ")
    assert len(kept) == (0 if named else len(expected.headers.get_all("A", ())))
    signature = expected.getheader("Response-Signature", "").replace("\r\n", "")
    assert received.getheader("Response-Signature", "") == signature
