"""When a call link takes its peer for dead; the peer runs on a loop of its own."""

import asyncio
import random
import threading
import time

import pytest
from loguru import logger

from lacewingstair.events import parse_event
from lacewingstair.metadata.operator_records import OperatorRecord, OperatorRecords
from lacewingstair.metadata.record_transfer import TransferEncoder
from lacewingstair.runtime import SystemClock
from lacewingstair.vm.call_link import CallLink
from lacewingstair.vm.call_messages import CallAnswer, LoadReport, Ping, RecordsRequest
from lacewingstair.vm.call_server import CallStreamServer
from lacewingstair.vm.call_streams import CallStream
from lacewingstair.vm.entries import MeshView, VmEntry
from lacewingstair.vm.record_sender import RecordSender
from tests.backend_server.test_admission_proxy import request
from tests.link_standin import Link, LinkProxy

CALL_SECONDS = 2.0
# Does not compress; 2.4 s of the link.
DOCUMENT = random.Random(1).randbytes(1_500_000)
POSITION = 5


class SlowGate:
    """Answers each call after a fixed time."""

    def subscribe(self, listener):
        pass

    def load(self):
        return LoadReport(0, 0, 4, 100.0, 0.0, True, "v1", POSITION, True)

    async def run(self, call):
        await asyncio.sleep(CALL_SECONDS)
        return CallAnswer(call.call_id, 200, "", b"", b"answer", self.load())


class PeerThread(threading.Thread):
    """Runs a peer behind a link until `stop`."""

    def __init__(self, link):
        super().__init__(daemon=True)
        self.link = link
        self.address = ""
        self._is_up = threading.Event()

    def run(self):
        asyncio.run(self._serve())

    async def _serve(self):
        self._loop, self._ended = asyncio.get_running_loop(), asyncio.Event()
        records = OperatorRecords()
        records.take([OperatorRecord("config", DOCUMENT, POSITION)], POSITION)
        encoder = TransferEncoder(records)
        server = CallStreamServer(
            "127.0.0.1:0",
            SlowGate(),
            lambda: entry("peer", self.address),
            MeshView("peer"),
            # It does not know how narrow its link is.
            RecordSender(encoder, lambda: 0, SystemClock()),
        )
        (await server.listen()).unwrap()
        host, port = server._server.sockets[0].getsockname()
        proxy = LinkProxy(f"{host}:{port}", self.link, {})
        await proxy.start()
        self.address = proxy.address
        self._is_up.set()
        await self._ended.wait()
        server.close()
        await proxy.stop()

    def __enter__(self):
        self.start()
        assert self._is_up.wait(10)
        return self

    def __exit__(self, *_):
        self._loop.call_soon_threadsafe(self._ended.set)
        self.join(10)


def entry(vm_id, address):
    return VmEntry(vm_id, "r", "z", address, "board", 1)


def call_over(link, held_position):
    """Return the outcome of a call to a peer behind a link, and the log of its loss."""
    lost = []
    sink = logger.add(
        lambda message: lost.append(parse_event(str(message))),
        format="{message}",
        filter=lambda record: (
            "event=vm_lost" in record["message"]
            or "event=vm_silent" in record["message"]
        ),
    )

    asked = []

    def ask(source):
        if source.position > held_position and not asked:
            asked.append(source)
            source.send(RecordsRequest(1, held_position, []))

    async def main(peer):
        call_link = CallLink(
            entry("peer", peer.address),
            lambda: entry("own", "127.0.0.1:1"),
            SystemClock(),
            on_entry=lambda found: None,
            on_greeting=lambda vm_id, found: None,
            on_offer=ask,
            on_part=lambda vm_id, part: None,
            on_rollout=lambda message: None,
        )
        outcome = await call_link.run(request(remaining_ms=10_000.0))
        before_close = list(lost)
        call_link.close()
        return outcome, before_close

    try:
        with PeerThread(link) as peer:
            return asyncio.run(main(peer))
    finally:
        logger.remove(sink)


def test_a_document_under_way_does_not_make_a_live_peer_look_dead():
    """Guards against a peer that is given up while its bytes arrive (issue 15)."""
    link = Link(5e6, 0.005)
    outcome, lost = call_over(link, held_position=1)
    assert isinstance(outcome, CallAnswer), outcome
    assert lost == []


@pytest.fixture
def blocked(monkeypatch):
    """Block the loop after each ping, before the answer can have arrived."""
    send, pings = CallStream.send, []

    def send_and_block(stream, message):
        send(stream, message)
        if isinstance(message, Ping) and not pings:
            pings.append(message)
            asyncio.get_running_loop().call_soon(time.sleep, 1.5)

    monkeypatch.setattr(CallStream, "send", send_and_block)
    return pings


def test_an_answer_to_a_ping_that_waits_in_the_socket_counts(blocked):
    """Guards against a peer that is given up since this process was late."""
    link = Link(1e8, 0.2)
    outcome, lost = call_over(link, held_position=POSITION)
    assert blocked
    assert isinstance(outcome, CallAnswer), outcome
    assert lost == []
