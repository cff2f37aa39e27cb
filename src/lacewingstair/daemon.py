"""Composition root of the daemon."""

import asyncio
import random
import signal
import sys
from typing import Any

import attrs
import uvloop
from aiohttp import web
from prometheus_client import CollectorRegistry
from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.backend_server.announce import AnnouncementServer
from lacewingstair.caller.server import CallServer
from lacewingstair.directory import Directory, VmRecord, VmStatus
from lacewingstair.errors import ListenError
from lacewingstair.marks import Marks
from lacewingstair.operator.api import OperatorApi
from lacewingstair.operator.report import build_report
from lacewingstair.overlay import region_readers
from lacewingstair.platform.http_log import HttpLogClient
from lacewingstair.platform.reader import LogReader
from lacewingstair.runtime import Clock, SystemClock
from lacewingstair.settings import Settings, load_settings
from lacewingstair.store import StateStore
from lacewingstair.vm.node import VmNode
from lacewingstair.vm.transport import TcpTransport

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)
LEAVING_SECONDS = 2.0
DRAIN_SECONDS = 30.0


@attrs.define
class Daemon:
    """All parts of one VM's process, wired together."""

    settings: Settings
    clock: Clock
    store: StateStore
    directory: Directory
    marks: Marks
    node: VmNode
    log_reader: LogReader
    log: HttpLogClient
    announcements: AnnouncementServer
    calls: CallServer
    operator: OperatorApi
    _runners: list[Any] = attrs.field(factory=list)
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    async def start(self) -> Result[None, ListenError]:
        """Listen on all interfaces and start the tasks."""
        listening = await self.node.listen()
        if isinstance(listening, Err):
            return listening
        settings = self.settings
        interfaces = (
            (settings.caller_address, web.ServerRunner(web.Server(self.calls.handle))),
            (
                settings.backend_server_address,
                web.AppRunner(self.announcements.application()),
            ),
            (
                settings.operator_address,
                web.AppRunner(self.operator.application(), access_log=None),
            ),
        )
        for address, runner in interfaces:
            served = await self._serve(address, runner)
            if isinstance(served, Err):
                return served
        runs = (self.node.run(), self.log_reader.run(), self.announcements.run())
        self._tasks.extend(asyncio.create_task(run) for run in runs)
        events.info("daemon_started", vm=settings.vm_id)
        return Ok(None)

    async def stop(self) -> None:
        """Leave the mesh, finish the calls and stop."""
        self.node.set_status(VmStatus.LEAVING)
        await self.clock.sleep(LEAVING_SECONDS)
        for runner in self._runners:
            await runner.cleanup()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.calls.close()
        await self.log.close()
        events.info("daemon_stopped", vm=self.settings.vm_id)

    async def _serve(self, address: str, runner: Any) -> Result[None, ListenError]:
        await runner.setup()
        self._runners.append(runner)
        host, _, port = address.rpartition(":")
        site = web.TCPSite(runner, host, int(port), shutdown_timeout=DRAIN_SECONDS)
        try:
            await site.start()
        except OSError as error:
            return Err(ListenError(address, str(error)))
        return Ok(None)


def build(settings: Settings, clock: Clock, rng: random.Random) -> Daemon:
    """Wire the parts of one VM."""
    store = StateStore()
    directory = Directory()
    marks = Marks()
    own = VmRecord(
        vm_id=settings.vm_id,
        region=settings.region,
        availability_zone=settings.availability_zone,
        address=settings.vm_address,
        incarnation=int(clock.wall() * 1000),
    )
    node = VmNode(
        mesh=settings.mesh,
        own=own,
        contacts=settings.contacts,
        store=store,
        directory=directory,
        marks=marks,
        transport=TcpTransport(),
        clock=clock,
        rng=rng,
    )

    def is_reader() -> bool:
        readers = region_readers(directory.live(), settings.region)
        return any(reader.vm_id == settings.vm_id for reader in readers)

    def status() -> dict[str, Any]:
        return {
            "vm": settings.vm_id,
            "ticket": store.state.number,
            "next_offset": store.state.next_offset,
            "vms": len(directory.live()),
            "links": sorted(node.peers_by_vm_id),
            "log": attrs.asdict(log_reader.status),
        }

    log = HttpLogClient(settings.log_url)
    log_reader = LogReader(
        log=log,
        writer_id=f"{settings.mesh}/{settings.vm_id}/{own.incarnation}",
        store=store,
        marks=marks,
        publish_records=node.publish_records,
        publish_take_back=node.publish_take_back,
        is_reader=is_reader,
        clock=clock,
        rng=rng,
        retention_seconds=settings.log_retention_seconds,
    )
    announcements = AnnouncementServer(node.set_endpoints, clock)
    calls = CallServer(store, directory, rng)
    operator = OperatorApi(
        lambda: build_report(store.state, marks, clock.wall()),
        status,
        CollectorRegistry(),
    )
    return Daemon(
        settings=settings,
        clock=clock,
        store=store,
        directory=directory,
        marks=marks,
        node=node,
        log_reader=log_reader,
        log=log,
        announcements=announcements,
        calls=calls,
        operator=operator,
    )


async def serve(settings: Settings) -> int:
    """Run one daemon until a stop signal; return the exit code."""
    daemon = build(settings, SystemClock(), random.Random())
    started = await daemon.start()
    if isinstance(started, Err):
        print(f"lacewingstaird: {started.err_value}", file=sys.stderr)
        return 1
    stopping = asyncio.Event()
    for number in STOP_SIGNALS:
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    await stopping.wait()
    await daemon.stop()
    return 0


def main() -> None:
    """Entry point of ``lacewingstaird SETTINGS_FILE``."""
    if len(sys.argv) != 2:
        print("usage: lacewingstaird SETTINGS_FILE", file=sys.stderr)
        sys.exit(2)
    loaded = load_settings(sys.argv[1])
    if isinstance(loaded, Err):
        print(f"lacewingstaird: {loaded.err_value}", file=sys.stderr)
        sys.exit(2)
    events.configure(loaded.ok_value.log_level)
    sys.exit(uvloop.run(serve(loaded.ok_value)))
