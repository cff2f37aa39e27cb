"""Streams that a link has detached because their peer was silent."""

import asyncio

import pytest

from lacewingstair.vm import call_link, call_messages
from lacewingstair.vm.call_messages import CallAnswer
from tests.backend_server.test_admission_proxy import request
from tests.vm.test_call_link import LOAD, wait_for_messages, with_link


@pytest.fixture
def short_ping_timeouts(monkeypatch):
    monkeypatch.setattr(call_link, "PING_AFTER_SECONDS", 0.02)
    monkeypatch.setattr(call_link, "PONG_TIMEOUT_SECONDS", 0.1)


async def wait_until(condition):
    async with asyncio.timeout(3):
        while not condition():  # noqa: ASYNC110 - plain state
            await asyncio.sleep(0.005)


def test_a_detached_stream_without_calls_is_closed(short_ping_timeouts):
    """Guards against a leak of streams while a call waits at a frozen VM.

    The call on the old stream keeps the silence checks of the new stream going. If the
    new stream goes silent after its own calls have ended, it is detached without calls,
    and no later event closes it.
    """

    async def check(link, peer, _):
        call = request(remaining_ms=10_000.0, allows_repeat=False)
        running = asyncio.create_task(link.run(call))
        (sent,) = await wait_for_messages(peer, call_messages.CallRequest)
        await wait_until(lambda: not link.is_connected)
        other = asyncio.create_task(link.run(call))
        await wait_for_messages(peer, call_messages.CallRequest, 2)
        other.cancel()
        await wait_until(lambda: not link.is_connected)
        assert len(peer.streams) == 2
        peer.streams[0].send(CallAnswer(sent.call_id, 200, "", b"", b"late", LOAD))
        assert (await running).body == b"late"
        ends = [stream._reader.at_eof for stream in peer.streams]
        await wait_until(ends[0])
        async with asyncio.timeout(1):
            await wait_until(ends[1])

    with_link(check)
