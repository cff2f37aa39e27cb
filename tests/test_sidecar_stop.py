"""Planned stops of a VM on a platform with a metadata store."""

import asyncio
import contextlib
import os
import signal
import time

import aiohttp
import attrs
import pytest
import uvloop
from aiohttp.test_utils import TestServer
from loguru import logger
from result import Ok

from lacewingstair import planned_stop, process
from lacewingstair.events import parse_event
from lacewingstair.settings.reader import parse_settings
from lacewingstair.vm.call_messages import (
    CallAnswer,
    CallRefused,
    CallRequest,
    Hello,
    decode,
    encode,
    unpacker,
)
from lacewingstair.vm.entries import VmEntry
from tests.platform.store_standin import StoreStandIn
from tests.platform.upstream_standin import UpstreamStandIn
from tests.processes import LIMIT_SECONDS, Processes
from tests.test_sidecar import ROUTES, Vm, configuration, until, with_mesh

LONG_ROUTES = [[*route[:4], "60s", *route[5:]] for route in ROUTES]


@contextlib.contextmanager
def logged_events():
    """Collect the events that are logged."""
    found = []
    number = logger.add(
        lambda message: found.append(parse_event(str(message))), format="{message}"
    )
    yield found
    logger.remove(number)


def set_stop(vm, seconds):
    """Set the time from the signal until the platform kills the process."""
    bounds = attrs.evolve(vm.sidecar.bounds, stop_ms=seconds * 1000)
    vm.sidecar.bounds = bounds


async def allow_long_calls(store, vms):
    await store.put("keyed.op", "config", configuration(2, LONG_ROUTES))
    await until(
        lambda: all(vm.sidecar.configurations.current.number == 2 for vm in vms)
    )


async def open_call(vm, request_id, timeout_ms, count=1):
    """Send calls on a connection of their own; return its streams."""
    reader, writer = await asyncio.open_connection(vm.host, 7101)
    for number in range(count):
        writer.write(
            f"GET /view/{number} HTTP/1.1\r\nHost: a.example\r\n"
            f"Request-Id: {request_id}{number or ''}\r\n"
            f"Timeout-Ms: {timeout_ms}\r\n\r\n".encode()
        )
    return reader, writer


async def answers_of(reader):
    """Return the status and whether it closes, of each answer until the end."""
    found = []
    while True:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            return found
        lines = head.split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:] if line)
        await reader.readexactly(int(fields["Content-Length"]))
        closes = fields.get("Connection") == "close"
        found.append((int(lines[0].split()[1]), closes))


def all_runs(vms):
    return [run for vm in vms for run in vm.upstream.runs]


@pytest.fixture
def early_end(monkeypatch):
    """Let a stop without calls end soon."""
    monkeypatch.setattr(planned_stop, "LEAVING_SECONDS", 0.2)
    monkeypatch.setattr(planned_stop, "CALLERS_GONE_SECONDS", 0.1)


@pytest.fixture
def early_cut(monkeypatch):
    """Leave time between the cut and the kill, as a busy machine needs it."""
    monkeypatch.setattr(planned_stop, "STOP_MARGIN_SECONDS", 1.4)
    monkeypatch.setattr(planned_stop, "CLOSE_SECONDS", 0.9)


@pytest.mark.usefixtures("early_cut")
def test_calls_that_the_stop_cuts_are_logged_as_cut_before_the_kill():
    """Guards against a stop that outlasts its time, or that blames callers.

    A call that began before the signal can have more time than the stop.
    """

    async def check(store, vms, session):
        await allow_long_calls(store, vms)
        for vm in vms[:2]:
            vm.upstream.seconds = 30.0
        reader, writer = await open_call(vms[2], "long", 30_000)
        await until(lambda: all_runs(vms) == ["long"])
        set_stop(vms[2], 1.6)
        loop = asyncio.get_running_loop()
        started = loop.time()
        with logged_events() as found:
            await vms[2].sidecar.stop()
            took = loop.time() - started
            assert await answers_of(reader) == [(502, True)]
        writer.close()
        by_name = {fields["event"]: fields for fields in found}
        assert "call_left" not in by_name
        cut = by_name["call_cut"]
        assert (cut["call"], cut["route"]) == ("long", "view")
        assert cut["waited_ms"] < 10_000 < cut["left_ms"]
        waited = by_name["stop_wait_ended"]
        assert (waited["callers_calls"], waited["vms_calls"]) == (1, 0)
        assert took < 1.6

    with_mesh(check)


def test_calls_of_other_vms_that_are_open_at_the_end_of_a_stop_are_counted():
    """Guards against a stop that ends calls of other VMs without a line of it."""

    async def check(store, vms, session):
        await allow_long_calls(store, vms)
        await vms[1].report(session, "draining")
        vms[0].upstream.seconds = 30.0
        _, writer = await open_call(vms[2], "long", 30_000)
        await until(lambda: vms[0].upstream.runs == ["long"])
        set_stop(vms[0], 1.0)
        with logged_events() as found:
            await vms[0].sidecar.stop()
        writer.close()
        (waited,) = [f for f in found if f["event"] == "stop_wait_ended"]
        assert (waited["callers_calls"], waited["vms_calls"]) == (0, 1)

    with_mesh(check)


@pytest.mark.usefixtures("early_end")
def test_a_caller_that_leaves_during_a_stop_is_not_logged_as_cut():
    """Guards against a stop that is blamed for what a caller did."""

    async def check(store, vms, session):
        await allow_long_calls(store, vms)
        vms[0].upstream.seconds = vms[1].upstream.seconds = 30.0
        _, writer = await open_call(vms[2], "left", 30_000)
        await until(lambda: all_runs(vms) == ["left"])
        set_stop(vms[2], 3.0)
        with logged_events() as found:
            stopping = asyncio.create_task(vms[2].sidecar.stop())
            await asyncio.sleep(0.1)
            writer.close()
            await stopping
        names = [fields["event"] for fields in found]
        assert "call_left" in names
        assert "call_cut" not in names

    with_mesh(check)


@pytest.mark.usefixtures("early_end")
def test_a_call_that_arrives_as_a_stop_ends_early_is_refused_and_not_cut():
    """Guards against calls that are taken after the wait for calls, and then cut.

    The tasks of the process take a moment to end, and callers are still served then.
    """

    async def check(store, vms, session):
        await allow_long_calls(store, vms)
        vms[0].upstream.seconds = vms[1].upstream.seconds = 1.5
        vm = vms[2]
        set_stop(vm, 6.0)
        ending, has_arrived = asyncio.Event(), asyncio.Event()

        async def slow_to_end():
            try:
                await asyncio.Event().wait()
            finally:
                ending.set()
                await has_arrived.wait()

        vm.sidecar._tasks.append(asyncio.create_task(slow_to_end()))
        stopping = asyncio.create_task(vm.sidecar.stop())
        await ending.wait()
        before = vm.sidecar.ingress.newest_call_at
        reader, writer = await open_call(vm, "late", 3000)
        await until(lambda: vm.sidecar.ingress.newest_call_at > before)
        has_arrived.set()
        answers = await answers_of(reader)
        writer.close()
        await stopping
        assert answers == [(503, True)]
        assert all_runs(vms) == []

    with_mesh(check)


@pytest.mark.usefixtures("early_end")
def test_a_call_of_another_vm_that_arrives_as_a_stop_ends_is_not_run():
    """Guards against calls that a backend server begins and the stop cuts.

    The tasks of the process take a moment to end, and links are still open then.
    """

    async def check(store, vms, session):
        vms[0].upstream.seconds = 1.5
        set_stop(vms[0], 6.0)
        ending, has_outcome = asyncio.Event(), asyncio.Event()

        async def slow_to_end():
            try:
                await asyncio.Event().wait()
            finally:
                ending.set()
                await has_outcome.wait()

        vms[0].sidecar._tasks.append(asyncio.create_task(slow_to_end()))
        stopping = asyncio.create_task(vms[0].sidecar.stop())
        await ending.wait()
        late = asyncio.create_task(vms[1].sidecar.links.get("vm0").run(call_of_vm()))
        await asyncio.wait((late,), timeout=0.5)
        has_outcome.set()
        assert isinstance(await late, CallRefused)
        assert vms[0].upstream.runs == []
        await stopping

    with_mesh(check)


@pytest.mark.usefixtures("early_cut")
def test_the_gate_takes_no_calls_once_the_wait_for_calls_has_ended():
    """Guards against calls that a backend server begins and the stop cuts."""

    async def check(store, vms, session):
        await allow_long_calls(store, vms)
        await vms[1].report(session, "draining")
        vms[0].upstream.seconds = 30.0
        _, writer = await open_call(vms[2], "long", 30_000)
        await until(lambda: vms[0].upstream.runs == ["long"])
        set_stop(vms[0], 2.0)
        stopping = asyncio.create_task(vms[0].sidecar.stop())
        await until(lambda: not vms[0].sidecar.gate.is_open)
        outcome = await vms[1].sidecar.links.get("vm0").run(call_of_vm())
        assert isinstance(outcome, CallRefused)
        assert vms[0].upstream.runs == ["long"]
        writer.close()
        await stopping

    with_mesh(check)


def call_of_vm():
    """Return a call as another VM sends it."""
    return CallRequest(
        call_id=0,
        request_id="late",
        service="board",
        version="",
        route="view",
        method="GET",
        target="/view/0",
        header_lines=b"Host: a.example\r\nRequest-Id: late\r\n",
        body=b"",
        remaining_ms=3000.0,
        target_ms=3000.0,
        priority=1,
        allows_repeat=True,
    )


@pytest.mark.usefixtures("early_end")
def test_vms_that_stop_together_finish_the_calls_between_them():
    """Guards against a gate or a link that closes as both of its ends stop."""

    async def check(_, vms, session):
        vms[0].upstream.seconds = vms[1].upstream.seconds = 0.8
        call = asyncio.create_task(vms[2].call(session))
        await until(lambda: all_runs(vms) == ["q1"])
        stops = [asyncio.create_task(vm.sidecar.stop()) for vm in vms]
        assert (await call)[0] == 200
        await asyncio.gather(*stops)

    with_mesh(check)


@pytest.mark.usefixtures("early_end")
def test_the_other_vms_know_of_a_stop_before_it_ends():
    """Guards against calls that other VMs send to a process that has ended.

    With a long time to stop, the process can end before its gate would have closed.
    """

    async def check(_, vms, session):
        set_stop(vms[0], 30.0)
        link = vms[1].sidecar.links.get("vm0")
        stopping = asyncio.create_task(vms[0].sidecar.stop())
        await until(lambda: link.entry.is_leaving or not link.is_connected)
        assert link.is_connected
        await stopping

    with_mesh(check)


@pytest.mark.usefixtures("early_end")
def test_calls_that_were_sent_together_are_all_answered_during_a_stop():
    """Guards against a connection that is closed with calls of it unanswered."""

    async def check(_, vms, session):
        vms[0].upstream.seconds = vms[1].upstream.seconds = 0.3
        reader, writer = await open_call(vms[2], "q", 900, count=2)
        await until(lambda: len(all_runs(vms)) == 2)
        stopping = asyncio.create_task(vms[2].sidecar.stop())
        assert await answers_of(reader) == [(200, False), (200, True)]
        writer.close()
        await stopping

    with_mesh(check)


@pytest.mark.usefixtures("early_end")
def test_a_call_that_a_running_call_needs_is_served_during_a_stop():
    """Guards against calls that fail as one of their own is refused or cut."""

    async def check(store, vms, session):
        await vms[1].report(session, "draining")
        vms[0].upstream.seconds = 0.5
        outer = asyncio.create_task(vms[2].call(session, request_id="outer"))
        await until(lambda: vms[0].upstream.runs == ["outer"])
        stopping = asyncio.create_task(vms[0].sidecar.stop())
        await asyncio.sleep(0.1)
        await vms[1].report(session)
        await until(lambda: vms[0].sidecar.links.get("vm1").load.is_open)
        status, _, _ = await vms[0].call(session, request_id="outer.inner")
        assert status == 200
        assert "outer.inner" in all_runs(vms)
        assert (await outer)[0] == 200
        await stopping

    with_mesh(check)


@pytest.mark.usefixtures("early_end")
@pytest.mark.parametrize("is_silent", [False, True])
def test_a_stop_is_in_time_and_cuts_nothing_while_the_store_is_down(is_silent):
    """Guards against a stop that waits for the store."""

    async def check(store, vms, session):
        vms[0].upstream.seconds = vms[1].upstream.seconds = 0.5
        store.status = 0 if is_silent else 503
        # Holding the condition keeps the store from answering.
        silence = store._changed if is_silent else contextlib.AsyncExitStack()
        async with silence:
            call = asyncio.create_task(vms[2].call(session))
            await until(lambda: all_runs(vms) == ["q1"])
            loop = asyncio.get_running_loop()
            started = loop.time()
            await vms[2].sidecar.stop()
            assert loop.time() - started < 3.0
            assert (await call)[0] == 200
        store.status = 0

    with_mesh(check)


# The loop handles no signal in this time.
BUSY_SECONDS = 0.3
# More than the kernel buffers on both ends of a connection.
LARGE_ANSWER_BYTES = 32 << 20


class LargeUpstream(UpstreamStandIn):
    """Gives large answers."""

    def _write(self, writer, request_id):
        writer.write(
            f"HTTP/1.1 200 X\r\nResponse-Signature: s\r\nRequest-Id: {request_id}\r\n"
            f"Content-Length: {LARGE_ANSWER_BYTES}\r\n\r\n".encode()
        )
        writer.write(bytes(LARGE_ANSWER_BYTES))
        return True


@pytest.fixture
def processes(tmp_path):
    started = Processes(tmp_path)
    yield started
    started.end()


def with_process(processes, tmp_path, upstream, check):
    """Run a check with the process of one VM that the platform kills after 6 s."""

    async def main():
        store = StoreStandIn()
        server = TestServer(store.application())
        await server.start_server()
        await store.put("keyed.op", "config", configuration(1, LONG_ROUTES))
        vm = Vm("vm", "board", str(server.make_url("")).rstrip("/"))
        vm.upstream = upstream
        await upstream.start()
        file = tmp_path / "vm.ini"
        file.write_text(vm.settings_text().replace("grace=3s", "grace=6s"))
        daemon = processes.start("lacewingstair.process", file)
        try:
            async with aiohttp.ClientSession() as session:
                await until_ready(vm, session)
            await check(vm, daemon)
            code = await asyncio.to_thread(daemon.wait, LIMIT_SECONDS)
        finally:
            upstream.stop()
            await server.close()
        log = processes.log_of(daemon)
        assert code == 0, log
        assert "Traceback" not in log
        return [parse_event(line) for line in log.splitlines()]

    return asyncio.run(main())


async def until_ready(vm, session):
    """Wait until the process takes calls for its backend server."""
    async with asyncio.timeout(LIMIT_SECONDS):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                await vm.report(session)
                url = f"http://{vm.host}:7103/status"
                async with session.get(url) as answer:
                    status = await answer.json()
                    if status["upstream_state"] == "ready":
                        return
            await asyncio.sleep(0.05)


def test_a_caller_that_reads_slowly_gets_its_whole_answer(processes, tmp_path):
    """Guards against a process that ends before its answers are sent."""

    async def check(vm, daemon):
        reader, writer = await open_call(vm, "large", 30_000)
        await reader.readuntil(b"\r\n\r\n")
        daemon.send_signal(signal.SIGTERM)
        # A process without calls ends in this time.
        await asyncio.sleep(2.7)
        body = await reader.readexactly(LARGE_ANSWER_BYTES)
        assert not any(body)
        writer.close()

    found = with_process(processes, tmp_path, LargeUpstream(), check)
    (waited,) = [line for line in found if line["event"] == "stop_wait_ended"]
    assert waited["unsent_bytes"] == 0


def test_a_repeated_signal_does_not_cut_calls(processes, tmp_path):
    """Guards against a platform whose second SIGTERM ends the planned stop at once."""
    upstream = UpstreamStandIn()
    upstream.seconds = 1.0

    async def check(vm, daemon):
        reader, writer = await open_call(vm, "q", 30_000)
        await until(lambda: upstream.runs == ["q"], LIMIT_SECONDS)
        daemon.send_signal(signal.SIGTERM)
        await until(lambda: "event=daemon_leaving" in processes.log_of(daemon))
        daemon.send_signal(signal.SIGTERM)
        assert await answers_of(reader) == [(200, True)]
        writer.close()

    with_process(processes, tmp_path, upstream, check)


def test_the_time_to_stop_counts_from_a_signal_that_a_busy_loop_handles_late(
    monkeypatch,
):
    """Guards against a stop that takes calls which the kill of the platform cuts."""

    class Daemon:
        async def start(self, sockets_by_address):
            return Ok(None)

        async def stop(self, signalled_at):
            self.late_seconds = time.monotonic() - signalled_at

    daemon = Daemon()
    monkeypatch.setattr(process, "builder_of", lambda settings: lambda *_: daemon)
    text = Vm("vm", "board", "http://127.0.0.1:1").settings_text()
    settings = parse_settings(
        "test", text.replace("own_address = ", "own_address = 127.0.0.1:2")
    ).unwrap()

    async def main():
        service = process.DaemonService(settings=settings)
        await service.start()
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(BUSY_SECONDS)  # noqa: ASYNC251 - this is the busy loop
        await service.run_until_signal()
        await service.stop()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())
    assert daemon.late_seconds >= BUSY_SECONDS


@pytest.mark.usefixtures("early_cut")
def test_a_stop_that_begins_late_ends_before_the_kill():
    """Guards against a stop that takes calls which the kill of the platform cuts."""

    async def check(store, vms, session):
        await allow_long_calls(store, vms)
        vms[0].upstream.seconds = vms[1].upstream.seconds = 30.0
        _, writer = await open_call(vms[2], "long", 30_000)
        await until(lambda: all_runs(vms) == ["long"])
        set_stop(vms[2], 2.6)
        signalled_at = time.monotonic() - 1.0
        await vms[2].sidecar.stop(signalled_at)
        assert time.monotonic() - signalled_at < 2.6
        writer.close()

    with_mesh(check)


def test_another_vm_that_reads_slowly_gets_its_whole_answer(processes, tmp_path):
    """Guards against answers to other VMs that are dropped as the process ends.

    The link between the VMs can be full of other messages.
    """

    async def check(vm, daemon):
        reader, writer = await asyncio.open_connection(vm.host, 7100)
        entry = VmEntry("peer", "r", "z", "127.0.0.1:1", "book", incarnation=1)
        writer.write(encode(Hello(entry)) + encode(call_of_vm()))
        await until(lambda: vm.upstream.runs == ["late"], LIMIT_SECONDS)
        daemon.send_signal(signal.SIGTERM)
        unpacked = unpacker()
        loop = asyncio.get_running_loop()
        # A process without calls ends in this time.
        slow_until = loop.time() + 2.7
        while data := await reader.read(64 << 10):
            unpacked.feed(data)
            await asyncio.sleep(0.05 if loop.time() < slow_until else 0.0)
        writer.close()
        messages = [decode(array).unwrap() for array in unpacked]
        answers = [found for found in messages if isinstance(found, CallAnswer)]
        assert [len(answer.body) for answer in answers] == [LARGE_ANSWER_BYTES]

    with_process(processes, tmp_path, LargeUpstream(), check)
