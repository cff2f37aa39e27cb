"""A site on loopback: store, backend servers, and a daemon process for each VM.

Every VM has a proxy of its own before the store, so that single VMs can lose it.
"""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

import aiohttp
from aiohttp.test_utils import TestServer

from soak.disturbance_log import DisturbanceLog
from soak.late_store import LateStore
from soak.proxy import Fault, FaultProxy
from soak.route_plan import RoutePlan
from soak.versions import STORE, Timeline, Version
from tests.platform.upstream_standin import UpstreamStandIn

ROOT = Path(__file__).parent.parent
ENTRY_MODULE = "lacewingstair.entry"
REPORT_SECONDS = 1.0
GRACE_SECONDS = 4
SERVICES = ("board", "book")
ZONES = ("north", "south", "east")
# Versions grow in uneven steps.
VERSION_STEPS = (1, 1, 2, 5)


class Vm:
    """A daemon process and the backend server beside it.

    Parameters
    ----------
    number : int
        Its number within the site.
    directory : Directory
        Where its files go.
    log : DisturbanceLog
        Where starts, pauses and ends of its process are noted.
    entry_module : str
        Module that runs the daemon.
    """

    def __init__(self, number, directory, log, entry_module):
        self.name = f"vm{number}"
        self.service = SERVICES[number // len(ZONES) % len(SERVICES)]
        self.entry_module = entry_module
        self.disturbances = log
        self.started_at = []
        self.zone = ZONES[number % len(ZONES)]
        self.host = f"127.{os.getpid() % 200 + 20}.{directory.number}.{number + 1}"
        self.file = directory.path / f"{self.name}.ini"
        self.log = directory.path / f"{self.name}.log"
        self.upstream = UpstreamStandIn(f"i-{self.name}")
        self.proxy = None
        self.store_proxy = None
        self.process = None
        self.is_paused = False
        self.is_ended = True
        self._sequence = 0

    async def prepare(self, store_address):
        """Start the backend server and the proxies, and write the settings."""
        await self.upstream.start()
        self.upstream.seconds = 0.02
        self.proxy = FaultProxy(self.upstream.address)
        await self.proxy.start()
        self.store_proxy = FaultProxy(store_address)
        await self.store_proxy.start()
        self.file.write_text(self._settings(f"http://{self.store_proxy.address}"))

    def start(self):
        """Start the process, unless an overlapping fault has done so already."""
        if self.process is not None and self.process.poll() is None:
            return
        self.is_ended = False
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.entry_module, str(self.file)],
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
            )
        self.started_at.append(self.disturbances.now())
        self.disturbances.moment(self.name)
        self.disturbances.end(self.name, "ended")

    def send(self, number):
        """Send a signal to the process if it runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def pause(self):
        """Stop the process for a while."""
        self.is_paused = True
        self.disturbances.begin(self.name, "paused")
        self.send(signal.SIGSTOP)

    def wake(self):
        """Let a paused process go on."""
        self.is_paused = False
        self.send(signal.SIGCONT)
        self.disturbances.end(self.name, "paused")

    def kill(self):
        """End the process at once."""
        self.is_ended = True
        self.disturbances.begin(self.name, "ended")
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
        self.disturbances.begin(self.name, "ended")
        self.send(signal.SIGTERM)
        # An overlapping fault may have started another process meanwhile.
        process = self.process
        end = time.monotonic() + GRACE_SECONDS
        while process.poll() is None and time.monotonic() < end:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        process.kill()
        process.wait()

    def cut_store(self, fault):
        """Change what happens to the connections of this VM to the store."""
        if fault is Fault.NONE:
            self.disturbances.end(self.name, "store connections")
        else:
            self.disturbances.begin(self.name, "store connections")
        self.store_proxy.set_fault(fault)

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
    """All VMs, the store and the proxies in front of it.

    Parameters
    ----------
    directory : Directory
        Where files go.
    rng : random.Random
        Draws the routes of the versions.
    vms : int
        Number of VMs.
    entry_module : str
        Module that runs the daemons.
    """

    def __init__(self, directory, rng=None, vms=6, entry_module=ENTRY_MODULE):
        self.store = LateStore()
        self.store.era = 1
        self.log = DisturbanceLog()
        self.vms = [Vm(n, directory, self.log, entry_module) for n in range(vms)]
        self.versions = []
        self._rng = rng or random.Random(0)
        self.plan = RoutePlan(self._rng)
        self._server = TestServer(self.store.application())
        self._tasks = []

    async def start(self, session):
        """Start everything."""
        await self._server.start_server()
        await self.publish()
        for vm in self.vms:
            await vm.prepare(f"127.0.0.1:{self._server.port}")
            vm.start()
        self._tasks = [
            asyncio.create_task(self._report(vm, session)) for vm in self.vms
        ]

    async def publish(self):
        """Write the next version as the operator, with a few changes of routes."""
        number = 1
        if self.versions:
            number = self.versions[-1].number + self._rng.choice(VERSION_STEPS)
            for _ in range(self._rng.choice((1, 1, 3))):
                self.plan.change()
        routes = dict(self.plan.services_by_route)
        version = Version(number, routes, self.log.now())
        self.versions.append(version)
        content = json.dumps(self.plan.document(number)).encode()
        await self.store.put("keyed.op", "config", content)
        version.acked_at = self.log.now()

    def cut_store(self, fault, vms=None):
        """Change what happens to the connections to the store, of some VMs or of all.

        Connections that stay silent for good count as disturbed only until the fault
        ends.
        """
        if vms is None:
            self._note_store("connections", fault is not Fault.NONE)
        for vm in self.vms if vms is None else vms:
            vm.cut_store(fault)

    def set_store(self, status=0, loses_answers=False, late_seconds=0.0):
        """Let the store refuse calls, lose its answers or write late, or none of it."""
        self.store.status = status
        self.store.loses_answers = loses_answers
        self.store.late_seconds = late_seconds
        self._note_store("answers", status or loses_answers)
        self._note_store("late writes", late_seconds, is_mild=True)

    def drop_history(self, topic):
        """Drop what the store holds of a topic beside the newest records."""
        self.log.moment(STORE, is_mild=True)
        self.store.drop_history(topic)

    @property
    def timeline(self):
        """Versions and disturbances so far."""
        starts_by_vm = {vm.name: vm.started_at for vm in self.vms}
        return Timeline(self.versions, self.log.disturbances, starts_by_vm)

    async def stop(self):
        """End all processes that this site has started, and the stand-ins."""
        for task in self._tasks:
            task.cancel()
        # Processes first: nothing that is cancelled meanwhile may leave one behind.
        for vm in self.vms:
            if vm.process is not None:
                vm.wake()
                vm.kill()
        for vm in filter(lambda vm: vm.store_proxy, self.vms):
            await vm.proxy.stop()
            await vm.store_proxy.stop()
            vm.upstream.stop()
        await self._server.close()

    def _note_store(self, kind, acts, is_mild=False):
        if acts:
            self.log.begin(STORE, kind, is_mild)
        else:
            self.log.end(STORE, kind)

    async def _report(self, vm, session):
        while True:
            await vm.report(session)
            await asyncio.sleep(REPORT_SECONDS)
