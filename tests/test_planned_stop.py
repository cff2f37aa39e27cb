import asyncio
import json
import random

import aiohttp
import attrs
from aiohttp import web

from lacewingstair.daemon import build
from lacewingstair.runtime import SystemClock
from lacewingstair.standins.local import free_ports, local_settings
from lacewingstair.tickets.acceptance import TicketRecord
from lacewingstair.vm.directory import Endpoint, VmRecord

HOLD_SECONDS = 0.3
TICKET = {
    "number": 1,
    "services": {"board": {"versions": ["v1"], "current": "v1"}},
    "routes": {"read": {"service": "board", "timeout_ms": 60_000}},
}


async def serve_held(port, started, release):
    """Run a backend server that holds each answer back."""

    async def answer(_):
        started.set()
        await release.wait()
        return web.Response(text="whole")

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner


async def is_refused(address):
    host, _, port = address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return True
    writer.close()
    return False


async def stopping_daemon(*, leaving_seconds, drain_seconds):
    """Return a daemon with one route, and the backend server that it calls."""
    *ports, backend_port, dead_port = free_ports(6)
    settings = local_settings("vm", "r", "z", f"http://127.0.0.1:{dead_port}", ports)
    stop = attrs.evolve(
        settings.stop, leaving_seconds=leaving_seconds, drain_seconds=drain_seconds
    )
    daemon = build(attrs.evolve(settings, stop=stop), SystemClock(), random.Random(1))
    (await daemon.start()).unwrap()
    daemon.store.apply([TicketRecord(0, json.dumps(TICKET))])
    # It belongs to another VM, so that the stop does not take it away.
    endpoint = Endpoint("board", "v1", f"127.0.0.1:{backend_port}")
    daemon.directory.merge(VmRecord("other", "r", "z", "-", 1, endpoints=(endpoint,)))
    return daemon, backend_port


def test_a_call_that_comes_late_in_a_stop_is_refused_and_not_cut():
    """Guards against calls that are passed on and cut unanswered at the end."""

    async def main():
        daemon, port = await stopping_daemon(leaving_seconds=0.5, drain_seconds=0.5)
        started, release = asyncio.Event(), asyncio.Event()
        backend = await serve_held(port, started, release)
        async with aiohttp.ClientSession() as session:
            url = f"http://{daemon.settings.caller_address}/"
            stopping = asyncio.ensure_future(daemon.stop())
            await asyncio.sleep(0.3)
            async with session.post(url) as answer:
                found = answer.status, answer.headers["Lacewingstair-Outcome"]
            await stopping
        release.set()
        await backend.cleanup()
        return found, started.is_set()

    assert asyncio.run(main()) == ((503, "not-run"), False)


def test_a_call_that_the_end_of_a_stop_cuts_gets_an_answer():
    """Guards against callers that wait on a closed connection without a word."""

    async def main():
        daemon, port = await stopping_daemon(leaving_seconds=0.2, drain_seconds=0.6)
        started, release = asyncio.Event(), asyncio.Event()
        backend = await serve_held(port, started, release)
        async with aiohttp.ClientSession() as session:
            url = f"http://{daemon.settings.caller_address}/"
            call = asyncio.ensure_future(session.post(url))
            await started.wait()
            await daemon.stop()
            answer = await call
            found = answer.status, answer.headers["Lacewingstair-Outcome"]
        release.set()
        await backend.cleanup()
        return found

    assert asyncio.run(main()) == (502, "unknown")


def test_a_planned_stop_finishes_a_call_that_outlasts_the_listening_socket():
    """Guards against a daemon that cuts open calls when it stops (R9)."""

    async def main():
        *ports, backend_port, dead_port = free_ports(6)
        settings = local_settings(
            "vm", "r", "z", f"http://127.0.0.1:{dead_port}", ports
        )
        stop = attrs.evolve(settings.stop, leaving_seconds=0.0)
        settings = attrs.evolve(settings, stop=stop)
        daemon = build(settings, SystemClock(), random.Random(1))
        (await daemon.start()).unwrap()
        daemon.store.apply([TicketRecord(0, json.dumps(TICKET))])
        daemon.announcements.announce(
            Endpoint("board", "v1", f"127.0.0.1:{backend_port}")
        )
        started, release = asyncio.Event(), asyncio.Event()
        backend = await serve_held(backend_port, started, release)
        async with aiohttp.ClientSession() as session:
            url = f"http://{settings.caller_address}/"
            call = asyncio.ensure_future(session.get(url))
            await started.wait()
            stopping = asyncio.ensure_future(daemon.stop())
            while not await is_refused(settings.caller_address):  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            # A stop that does not wait for open calls cuts them within this time.
            await asyncio.sleep(HOLD_SECONDS)
            release.set()
            response = await call
            body = await response.text()
        await stopping
        await backend.cleanup()
        return response.status, body

    assert asyncio.run(main()) == (200, "whole")
