"""Streams that a link has given up because their peer was silent."""

import asyncio

import pytest

from lacewingstair.vm import call_link, call_messages
from lacewingstair.vm.call_messages import CallAnswer
from tests.backend_server.test_admission_proxy import request
from tests.vm.test_call_link import LOAD, received, with_link


@pytest.fixture
def quick(monkeypatch):
    monkeypatch.setattr(call_link, "PING_AFTER_SECONDS", 0.02)
    monkeypatch.setattr(call_link, "PONG_SECONDS", 0.1)


async def reached(condition):
    async with asyncio.timeout(3):
        while not condition():  # noqa: ASYNC110 - plain state
            await asyncio.sleep(0.005)


def test_a_given_up_stream_without_calls_is_closed(quick):
    """Guards against streams that pile up while a call waits at a frozen VM.

    The new stream is watched on account of the call on the old one. When it is silent
    too after its own calls have ended, nothing closes it any more.
    """

    async def check(link, peer, _):
        call = request(remaining_ms=10_000.0, allows_repeat=False)
        running = asyncio.create_task(link.run(call))
        (sent,) = await received(peer, call_messages.CallRequest)
        await reached(lambda: not link.is_connected)
        other = asyncio.create_task(link.run(call))
        await received(peer, call_messages.CallRequest, 2)
        other.cancel()
        await reached(lambda: not link.is_connected)
        assert len(peer.streams) == 2
        peer.streams[0].send(CallAnswer(sent.call_id, 200, "", b"", b"late", LOAD))
        assert (await running).body == b"late"
        ends = [stream._reader.at_eof for stream in peer.streams]
        await reached(ends[0])
        async with asyncio.timeout(1):
            await reached(ends[1])

    with_link(check)
