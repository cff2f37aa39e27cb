"""Calls that come late in a planned stop, on connections that callers keep open."""

import asyncio
import contextlib

import attrs
import pytest

from lacewingstair import planned_stop
from lacewingstair.stop_admission import MIN_CALLS
from lacewingstair.vm.call_messages import CallAnswer, CallRefused
from tests.test_sidecar import until, with_mesh
from tests.test_sidecar_stop import (
    all_runs,
    allow_long_calls,
    answers_of,
    call_of_vm,
    open_call,
    set_stop,
)

STOP_SECONDS = 2.4
PAUSE_SECONDS = 0.04


@pytest.fixture(autouse=True)
def early_cut(monkeypatch):
    """Leave time between the cut and the kill, as a busy machine needs it."""
    monkeypatch.setattr(planned_stop, "STOP_MARGIN_SECONDS", 1.0)
    monkeypatch.setattr(planned_stop, "CLOSE_SECONDS", 0.5)


def request_of(request_id, timeout_ms, path="/load/1"):
    return (
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {request_id}\r\n"
        f"Timeout-Ms: {timeout_ms}\r\nContent-Length: 0\r\n\r\n".encode()
    )


async def status_of(reader):
    """Return the status of the next answer, or None if there is no more."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    length = int(head.split("Content-Length: ")[1].split("\r\n")[0])
    await reader.readexactly(length)
    return int(head.split()[1])


@pytest.mark.parametrize("timeout_ms", [600, 20_000])
@pytest.mark.parametrize("seconds", [0.05, 0.5, 4.0])
def test_no_call_on_an_open_connection_is_passed_on_and_cut(seconds, timeout_ms):
    """Guards against calls that are taken in a stop and may have run, unanswered.

    The callers open connections before the stop and send calls that must not run
    twice, up to its last moment.
    """

    async def check(store, vms, session):
        await allow_long_calls(store, vms)
        for vm in vms[:2]:
            vm.upstream.seconds = seconds
        set_stop(vms[2], STOP_SECONDS)
        callers = [await asyncio.open_connection(vms[2].host, 7101) for _ in range(60)]
        statuses_by_id = {}

        async def call_at(number, reader, writer):
            await asyncio.sleep(number * PAUSE_SECONDS)
            request_id = f"late{number}"
            with contextlib.suppress(ConnectionError):
                writer.write(request_of(request_id, timeout_ms))
                statuses_by_id[request_id] = await status_of(reader)
            writer.close()

        calls = [call_at(number, *streams) for number, streams in enumerate(callers)]
        await asyncio.gather(vms[2].sidecar.stop(), *calls)
        runs = all_runs(vms)
        assert len(runs) == len(set(runs))
        unanswered = [name for name in runs if statuses_by_id.get(name) is None]
        assert unanswered == []
        assert not [name for name in runs if statuses_by_id[name] in (429, 503)]
        # The backend server works on none of them at the end.
        cut = [name for name in runs if statuses_by_id[name] == 502]
        assert cut == []

    with_mesh(check)


def test_a_call_that_is_usually_short_is_served_whatever_its_caller_waits():
    """Guards against a stop that refuses what it could answer in a moment."""

    async def check(store, vms, session):
        await allow_long_calls(store, vms)
        for number in range(MIN_CALLS):
            reader, writer = await open_call(vms[2], f"before{number}", 30_000)
            assert await status_of(reader) == 200
            writer.close()
        set_stop(vms[2], STOP_SECONDS)
        stopping = asyncio.create_task(vms[2].sidecar.stop())
        await asyncio.sleep(0.2)
        reader, writer = await open_call(vms[2], "long patience", 30_000)
        assert await answers_of(reader) == [(200, True)]
        writer.close()
        await stopping

    with_mesh(check)


def test_a_call_whose_body_is_not_whole_is_not_run_and_the_caller_is_told():
    """Guards against a body that holds up a stop and ends without a word."""

    async def check(store, vms, session):
        await allow_long_calls(store, vms)
        set_stop(vms[2], STOP_SECONDS)
        reader, writer = await asyncio.open_connection(vms[2].host, 7101)
        head = request_of("part", 20_000).replace(b"Length: 0", b"Length: 9")
        writer.write(head + b"some")
        await until(lambda: vms[2].sidecar.ingress.open_calls == 1)
        stopping = asyncio.create_task(vms[2].sidecar.stop())
        assert await answers_of(reader) == [(503, True)]
        writer.close()
        await stopping
        assert all_runs(vms) == []

    with_mesh(check)


def test_a_backend_server_gets_no_call_of_another_vm_that_its_stop_would_cut():
    """Guards against calls that other VMs send in a stop and that may have run."""

    async def check(store, vms, session):
        vms[0].upstream.seconds = 4.0
        set_stop(vms[0], STOP_SECONDS)
        link = vms[1].sidecar.links.get("vm0")
        stopping = asyncio.create_task(vms[0].sidecar.stop())
        await until(lambda: vms[0].sidecar.gate.stop_admission.ends_at is not None)
        late = attrs.evolve(call_of_vm(), remaining_ms=9000.0, target_ms=9000.0)
        assert isinstance(await link.run(late), CallRefused)
        assert vms[0].upstream.runs == []
        vms[0].upstream.seconds = 0.0
        short = attrs.evolve(call_of_vm(), remaining_ms=500.0, target_ms=500.0)
        assert isinstance(await link.run(short), CallAnswer)
        await stopping

    with_mesh(check)
