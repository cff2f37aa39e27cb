"""A site on loopback: store, backend servers, and a daemon process for each VM."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import aiohttp
from aiohttp.test_utils import TestServer

from soak.proxy import FaultProxy
from tests.platform.store_standin import StoreStandIn
from tests.platform.test_configuration import document
from tests.platform.upstream_standin import UpstreamStandIn

SOURCE = Path(__file__).parent.parent / "src"
REPORT_SECONDS = 1.0
GRACE_SECONDS = 4
SERVICES = ("board", "board", "board", "book", "book", "book")
ZONES = ("north", "south", "east")


def route(name, path, kind, service, attempts=3):
    """Return a row of the routes of a configuration."""
    return [name, "a.example", path, kind, "2s", "600ms", 1, service, attempts, None]


def configuration(number, moved=False):
    """Return a configuration; the calls of a moved one go to the other service."""
    view, load = ("book", "board") if moved else ("board", "book")
    routes = [
        route("view", "/view/", "idempotent", view),
        route("load", "/load/", "non_idempotent", load),
    ]
    return json.dumps(document(number, routes)).encode()


class Vm:
    """A daemon process and the backend server beside it."""

    def __init__(self, number, service, directory):
        self.name = f"vm{number}"
        self.service = service
        self.zone = ZONES[number % len(ZONES)]
        self.host = f"127.{os.getpid() % 200 + 20}.{directory.number}.{number + 1}"
        self.file = directory.path / f"{self.name}.ini"
        self.log = directory.path / f"{self.name}.log"
        self.upstream = UpstreamStandIn(f"i-{self.name}")
        self.proxy = None
        self.process = None
        self.is_paused = False
        self.is_ended = True
        self._sequence = 0

    async def prepare(self, store_url):
        """Start the backend server and write the settings."""
        await self.upstream.start()
        self.upstream.seconds = 0.02
        self.proxy = FaultProxy(self.upstream.address)
        await self.proxy.start()
        self.file.write_text(self._settings(store_url))

    def start(self):
        """Start the process, unless an overlapping fault has done so already."""
        if self.process is not None and self.process.poll() is None:
            return
        self.is_ended = False
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "lacewingstair.entry", str(self.file)],
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(SOURCE)},
            )

    def send(self, number):
        """Send a signal to the process if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def pause(self):
        """Stop the process for a while."""
        self.is_paused = True
        self.send(signal.SIGSTOP)

    def wake(self):
        """Let a paused process go on."""
        self.is_paused = False
        self.send(signal.SIGCONT)

    def kill(self):
        """End the process at once."""
        self.is_ended = True
        self.send(signal.SIGKILL)
        self.process.wait()

    def reload(self):
        """Tell the process that its settings have changed.

        No program can keep the signal from ending it while the interpreter loads.
        """
        if not self.is_ended and _minds_reload(self.process.pid):
            self.send(signal.SIGHUP)

    async def terminate(self):
        """Stop the process as planned, and kill it after the time for that."""
        self.is_ended = True
        self.send(signal.SIGTERM)
        # An overlapping fault may have started another process meanwhile.
        process = self.process
        end = time.monotonic() + GRACE_SECONDS
        while process.poll() is None and time.monotonic() < end:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        process.kill()
        process.wait()

    def own_end(self):
        """Return how the process has ended by itself, or an empty text."""
        text = self.log.read_text(errors="replace") if self.log.exists() else ""
        if "Traceback" in text:
            return f"{self.name}: {text[text.index('Traceback') :][:600]}"
        if not self.is_ended and self.process.poll() is not None:
            return f"{self.name} ended with {self.process.returncode}: {text[-300:]}"
        return ""

    async def report(self, session):
        """Report the backend server, as it does about every second."""
        self._sequence += 1
        body = {
            "address": self.proxy.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": 6,
            },
            "status": {
                "state": "ready",
                "seq": self._sequence,
                "cold_remaining": "0ms",
            },
        }
        url = f"http://{self.host}:7102/instances/{self.upstream.upstream_id}"
        try:
            async with session.put(url, json=body) as answer:
                await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return

    def _settings(self, store_url):
        return f"""
[vm]
id = {self.name}
region = {self.zone}
availability_zone = {self.zone}
address = {self.host}:7100
[caller]
address = {self.host}:7101
[backend_server]
address = {self.host}:7102
own_address = {self.proxy.address}
own_service = {self.service}
[operator]
address = {self.host}:7103
ready_address = {self.host}:7104
[platform]
interface = metadata_store
log_url = {store_url}
log_timeout_seconds = 1
bounds = grace={GRACE_SECONDS}s,retry_budget_ratio=0.2,budget_slack=60
"""


def _minds_reload(process_id):
    """Return whether a process blocks or handles the reload signal."""
    try:
        status = Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return False
    masks = (
        status.partition(f"{name}:")[2].split()[0] for name in ("SigBlk", "SigCgt")
    )
    return any(int(mask, 16) & 1 << (signal.SIGHUP - 1) for mask in masks)


class Site:
    """All VMs, the store and the proxy in front of it."""

    def __init__(self, directory):
        self.store = StoreStandIn()
        self.store_proxy = None
        self.vms = [Vm(n, s, directory) for n, s in enumerate(SERVICES)]
        self.number = 1
        self._server = TestServer(self.store.application())
        self._tasks = []

    async def start(self, session):
        """Start everything."""
        await self._server.start_server()
        self.store_proxy = FaultProxy(f"127.0.0.1:{self._server.port}")
        await self.store_proxy.start()
        await self.publish(moved=False)
        for vm in self.vms:
            await vm.prepare(f"http://{self.store_proxy.address}")
            vm.start()
        self._tasks = [
            asyncio.create_task(self._report(vm, session)) for vm in self.vms
        ]

    async def publish(self, moved):
        """Write the next configuration."""
        self.number += 1
        await self.store.put("keyed.op", "config", configuration(self.number, moved))

    async def stop(self):
        """End all processes that this site has started, and the stand-ins."""
        for task in self._tasks:
            task.cancel()
        # Processes first: nothing that is cancelled meanwhile may leave one behind.
        for vm in self.vms:
            if vm.process is not None:
                vm.wake()
                vm.kill()
        for vm in filter(lambda vm: vm.proxy, self.vms):
            await vm.proxy.stop()
            vm.upstream.stop()
        await self.store_proxy.stop()
        await self._server.close()

    async def _report(self, vm, session):
        while True:
            await vm.report(session)
            await asyncio.sleep(REPORT_SECONDS)
