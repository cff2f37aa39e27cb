import asyncio
import random
import time

import attrs
from loguru import logger
from result import Ok

from lacewingstair.events import parse_event
from lacewingstair.runtime import SystemClock
from lacewingstair.vm import call_messages, call_streams
from lacewingstair.vm.call_link import (
    PING_AFTER_SECONDS,
    PONG_TIMEOUT_SECONDS,
    CallLink,
    SuspendedCall,
)
from lacewingstair.vm.call_links import CallLinks
from lacewingstair.vm.call_messages import (
    CallAnswer,
    CallCancel,
    CallFailed,
    CallRefused,
    Hello,
    LoadReport,
    RefusalReason,
)
from lacewingstair.vm.entries import MeshView, VmEntry
from lacewingstair.vm.record_fetcher import RecordFetcher
from tests.backend_server.test_admission_proxy import request

LOAD = LoadReport(1, 0, 18, 100.0, 0.0, True, "v1", 3, False)


def entry(vm_id="vm1", address="127.0.0.1:1"):
    return VmEntry(vm_id, "r", "z", address, "board", 1)


class Peer:
    """Accepts streams and records the messages; a test sends the answers itself."""

    def __init__(self):
        self.received = []
        self.streams = []

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return "{}:{}".format(*self._server.sockets[0].getsockname())

    async def _accept(self, reader, writer):
        stream = call_streams.CallStream(reader, writer)
        self.streams.append(stream)
        try:
            async for message in stream.messages():
                self.received.append(message)
        finally:
            stream.abort()

    def stop(self):
        self._server.close()
        for stream in self.streams:
            stream.abort()


def with_link(check):
    async def main():
        peer = Peer()
        address = await peer.start()
        entries = []
        link = CallLink(
            entry(address=address),
            lambda: entry("own"),
            SystemClock(),
            on_entry=entries.append,
            on_hello=lambda vm_id, found: entries.append(found),
            on_record_source=lambda source: None,
            on_records_part=lambda vm_id, part: None,
            on_rollout_message=lambda message: None,
        )
        try:
            await check(link, peer, entries)
        finally:
            link.close()
            peer.stop()

    asyncio.run(main())


async def wait_for_messages(peer, kind, count=1):
    async with asyncio.timeout(2):
        while True:
            found = [m for m in peer.received if isinstance(m, kind)]
            if len(found) >= count:
                return found
            await asyncio.sleep(0.01)


def test_answers_reach_their_calls_in_any_order():
    async def check(link, peer, _):
        tasks = [asyncio.create_task(link.run(request(f"c{n}"))) for n in range(3)]
        calls = await wait_for_messages(peer, call_messages.CallRequest, 3)
        for call in reversed(calls):
            body = call.request_id.encode()
            answer = CallAnswer(call.call_id, 200, "", b"", body, LOAD)
            peer.streams[0].send(answer)
        outcomes = await asyncio.gather(*tasks)
        assert [outcome.body for outcome in outcomes] == [b"c0", b"c1", b"c2"]
        assert link.load == LOAD and link.calls_since_load_report == 0

    with_link(check)


def test_a_call_on_a_broken_stream_fails_as_possibly_run():
    """Guards against reporting a call as not run although it may have run."""

    async def check(link, peer, _):
        task = asyncio.create_task(link.run(request()))
        await wait_for_messages(peer, call_messages.CallRequest)
        peer.streams[0].abort()
        assert isinstance(await task, CallFailed)
        assert not link.is_connected and link.failed_at is not None

    with_link(check)


def test_a_call_to_an_unreachable_vm_is_refused():
    async def check(link, peer, _):
        peer.stop()
        outcome = await link.run(request())
        assert isinstance(outcome, CallRefused)
        assert outcome.reason is RefusalReason.UNREACHABLE

    with_link(check)


def test_a_call_that_cannot_be_encoded_leaves_nothing_behind():
    """Guards against calls that stay in the memory of a link for good."""

    async def check(link, peer, _):
        outcome = await link.run(attrs.evolve(request(), request_id="\udcff"))
        assert isinstance(outcome, CallRefused) and not outcome.was_sent
        assert link.in_flight == 0 and link.calls_since_load_report == 0
        task = asyncio.create_task(link.run(request("c")))
        calls = await wait_for_messages(peer, call_messages.CallRequest)
        assert [call.request_id for call in calls] == ["c"]
        task.cancel()

    with_link(check)


SILENCE_SECONDS = PING_AFTER_SECONDS * 3 + PONG_TIMEOUT_SECONDS + 0.5


def test_a_call_to_a_silent_peer_is_suspended():
    """Guards against calls stuck on a frozen VM or a connection that sends no reset."""

    async def check(link, peer, _):
        call = request(remaining_ms=10_000.0, allows_repeat=True)
        async with asyncio.timeout(SILENCE_SECONDS):
            outcome = await link.run(call)
        assert isinstance(outcome, SuspendedCall)
        assert not link.is_connected and link.failed_at is not None
        outcome.cancel()
        (sent,) = await wait_for_messages(peer, call_messages.CallRequest)
        assert await wait_for_messages(peer, CallCancel) == [CallCancel(sent.call_id)]

    with_link(check)


def test_a_call_that_may_not_run_twice_outlasts_the_silence_of_its_peer():
    """Guards against a 502 for a call that is still running at its backend server."""

    async def check(link, peer, _):
        call = request(remaining_ms=10_000.0, allows_repeat=False)
        running = asyncio.create_task(link.run(call))
        (sent,) = await wait_for_messages(peer, call_messages.CallRequest)
        async with asyncio.timeout(SILENCE_SECONDS):
            while link.is_connected:  # noqa: ASYNC110 - plain state
                await asyncio.sleep(0.01)
        assert not running.done()
        # Further calls use a new stream; the answer still arrives on the old one.
        link.open()
        peer.streams[0].send(CallAnswer(sent.call_id, 200, "", b"", b"late", LOAD))
        assert (await running).body == b"late"

    with_link(check)


def test_a_late_answer_resolves_a_suspended_call():
    """Guards against the loss of an answer that a slow VM sends late."""

    async def check(link, peer, _):
        call = request(remaining_ms=10_000.0, allows_repeat=True)
        async with asyncio.timeout(SILENCE_SECONDS):
            suspended = await link.run(call)
        (sent,) = await wait_for_messages(peer, call_messages.CallRequest)
        peer.streams[0].send(CallAnswer(sent.call_id, 200, "", b"", b"late", LOAD))
        assert (await suspended.late_outcome).body == b"late"

    with_link(check)


def test_a_peer_from_which_a_large_message_arrives_is_not_silent():
    """Guards against suspending a live VM whose link is congested."""

    async def check(link, peer, _):
        running = asyncio.create_task(link.run(request(remaining_ms=10_000.0)))
        (sent,) = await wait_for_messages(peer, call_messages.CallRequest)
        answer = CallAnswer(sent.call_id, 200, "", b"", b"x" * 40_000, LOAD)
        data = call_messages.encode(answer)
        transport = peer.streams[0]._writer.transport
        # The message takes twice as long as the timeout of a silent peer.
        parts = 20
        size = len(data) // parts + 1
        for start in range(0, len(data), size):
            transport.write(data[start : start + size])
            await asyncio.sleep(2 * (PING_AFTER_SECONDS + PONG_TIMEOUT_SECONDS) / parts)
            assert link.is_connected
        assert isinstance(await running, CallAnswer)

    with_link(check)


def test_a_peer_that_answered_while_the_event_loop_was_blocked_is_not_silent():
    """Guards against suspending a live VM because this event loop was blocked."""

    async def check(link, peer, _):
        running = asyncio.create_task(link.run(request(remaining_ms=10_000.0)))
        (sent,) = await wait_for_messages(peer, call_messages.CallRequest)
        await wait_for_messages(peer, call_messages.Ping)
        peer.streams[0].send(call_messages.Pong(0, LOAD))
        await asyncio.sleep(0)
        time.sleep(2 * PONG_TIMEOUT_SECONDS)  # noqa: ASYNC251 - blocks the loop on purpose
        await asyncio.sleep(0.1)
        assert link.is_connected
        peer.streams[0].send(CallAnswer(sent.call_id, 200, "", b"", b"", LOAD))
        assert isinstance(await running, CallAnswer)

    with_link(check)


def test_cancelling_a_call_sends_a_cancel_message():
    async def check(link, peer, _):
        task = asyncio.create_task(link.run(request()))
        (call,) = await wait_for_messages(peer, call_messages.CallRequest)
        task.cancel()
        assert await wait_for_messages(peer, CallCancel) == [CallCancel(call.call_id)]
        assert link.in_flight == 0

    with_link(check)


def test_both_sides_exchange_hello_messages():
    async def check(link, peer, entries):
        link.open()
        assert (await wait_for_messages(peer, Hello))[0].entry == entry("own")
        peer.streams[0].send(Hello(entry("vm1", "10.0.0.1:1")))
        await asyncio.sleep(0.05)
        assert entries == [entry("vm1", "10.0.0.1:1")]

    with_link(check)


def test_each_message_is_decoded_as_it_was_encoded():
    import msgpack

    for message in (
        Hello(entry()),
        request(),
        CallRefused(1, RefusalReason.FULL, 5.0, False, LOAD),
        CallAnswer(1, 200, "OK", b"A: b\r\n", b"\x00", LOAD),
    ):
        array = msgpack.unpackb(call_messages.encode(message))
        assert call_messages.decode(array) == Ok(message)
    for array in (None, [], [99], [1], [4, 1, 77, 0, 0, []], [2, 1]):
        assert call_messages.decode(array).is_err()


def test_a_vm_is_removed_when_another_vm_answers_at_its_address():
    """Guards against calls to a removed VM whose address was reassigned to another."""

    async def main():
        peer = Peer()
        address = await peer.start()
        view = MeshView("own")
        links = CallLinks(
            lambda: entry("own"),
            view,
            SystemClock(),
            random.Random(1),
            RecordFetcher(
                lambda: 99, list, lambda data: True, SystemClock(), random.Random(1)
            ),
            lambda message: None,
        )
        view.merge(entry("old", address))
        await wait_for_messages(peer, Hello)
        peer.streams[0].send(Hello(entry("new", address)))
        async with asyncio.timeout(2):
            while view.get("new") is None:  # noqa: ASYNC110 - plain state
                await asyncio.sleep(0.01)
        assert view.get("old") is None
        links.close()
        peer.stop()

    asyncio.run(main())


def test_closing_a_link_does_not_log_a_lost_vm():
    """Guards against a planned stop that is logged as the loss of all other VMs."""

    async def check(link, peer, _):
        running = asyncio.create_task(link.run(request("c1")))
        await wait_for_messages(peer, call_messages.CallRequest)
        link.close()
        assert isinstance(await running, CallFailed)
        assert not link.is_connected

    lines = []
    sink = logger.add(lambda line: lines.append(parse_event(line)), format="{message}")
    try:
        with_link(check)
    finally:
        logger.remove(sink)
    assert "vm_lost" not in {line["event"] for line in lines}
