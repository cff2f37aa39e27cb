"""Composition root: creates the parts of one VM and wires them together."""

import asyncio
import random
from collections.abc import Iterator, Mapping
from typing import Any

import attrs
from aiohttp import web
from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.backend_server.announce import AnnouncementServer
from lacewingstair.caller.calls.options import CallOptions
from lacewingstair.caller.connections.client_limits import fit_to_memory
from lacewingstair.caller.connections.connection_guard import ConnectionGuard
from lacewingstair.caller.server import CallServer
from lacewingstair.early_listening import SocketsByAddress
from lacewingstair.errors import ListenError
from lacewingstair.http_server import application_runner, listen_all
from lacewingstair.machine import machine_memory_bytes
from lacewingstair.metrics.daemon import Metrics
from lacewingstair.operator.api import OperatorApi
from lacewingstair.operator.health import Health, build_health
from lacewingstair.operator.observe import observe
from lacewingstair.operator.report import build_report
from lacewingstair.rollouts.controller import RolloutController
from lacewingstair.rollouts.marks import Marks
from lacewingstair.routing.outcomes import CompositeOutcomeSink
from lacewingstair.runtime import Clock
from lacewingstair.settings.declarations import Settings
from lacewingstair.ticket_log.http_log import HttpLogClient
from lacewingstair.ticket_log.options import LogOptions
from lacewingstair.ticket_log.reader import LogReader
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.vm.directory import Directory, VmRecord, VmStatus
from lacewingstair.vm.node import VmNode
from lacewingstair.vm.options import NodeOptions
from lacewingstair.vm.transport import TcpTransport

# Time before the end of a planned stop at which the remaining calls are answered.
ABORT_SECONDS = 0.2


class Daemon:
    """All parts of one VM's process.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    clock, rng
        Time and randomness of all parts.
    """

    def __init__(self, settings: Settings, clock: Clock, rng: random.Random) -> None:
        self.settings = settings
        self.clock = clock
        self.is_leaving = False
        links, backend_servers = settings.links, settings.backend_servers
        self.store = StateStore(links.recent_records)
        self.directory = Directory()
        self.marks = Marks()
        self.metrics = Metrics()
        self.node = VmNode(
            mesh=settings.mesh,
            own=_own_record(settings, clock),
            contacts=settings.contacts,
            store=self.store,
            directory=self.directory,
            marks=self.marks,
            transport=TcpTransport(links.replacement_seconds, links.send_queue_bytes),
            clock=clock,
            rng=rng,
            log_region=settings.platform.log_region,
            options=_node_options(settings),
        )
        self.log = HttpLogClient(
            settings.log_url, settings.platform.log_timeout_seconds
        )
        self.log_reader = LogReader(
            log=self.log,
            writer_id=f"{settings.mesh}/{settings.vm_id}/{self.node.own.incarnation}",
            store=self.store,
            marks=self.marks,
            publish_records=self.node.publish_records,
            publish_take_back=self.node.publish_take_back,
            is_reader=self.is_reader,
            clock=clock,
            rng=rng,
            options=_log_options(settings),
        )
        self.announcements = AnnouncementServer(
            self.node.set_endpoints,
            clock,
            ttl_seconds=backend_servers.announcement_ttl_seconds,
            max_body_bytes=backend_servers.max_body_bytes,
        )
        self.rollouts = RolloutController(
            vm_id=settings.vm_id,
            availability_zone=settings.availability_zone,
            store=self.store,
            marks=self.marks,
            clock=clock,
            rng=rng,
            transport=self.node,
            publish_stage=self.node.publish_stage,
            publish_rollback=self.node.publish_take_back,
            slots=lambda service, version: self.calls.index.slots(service, version),
            vm_count=lambda: len(self.directory),
        )
        self.calls = CallServer(
            self.store,
            self.directory,
            rng,
            region=settings.region,
            availability_zone=settings.availability_zone,
            clock=clock,
            chooser=self.rollouts,
            sink=CompositeOutcomeSink(self.metrics, self.rollouts),
            on_unreachable=self.announcements.check_listening,
            on_answer=self.metrics.count_call,
            decisions=events.DecisionLog(settings.logging.routing_sample, rng),
            options=_call_options(settings),
        )
        faults = self.calls.dispatcher.responses_by_fault
        self.metrics.unusable_responses.follow(
            lambda: {(kind.value,): count for kind, count in faults.items()}
        )
        self.operator = OperatorApi(
            self.report, self.status, self.health, self.metrics.registry
        )
        observe(
            self.metrics,
            store=self.store,
            directory=self.directory,
            marks=self.marks,
            links=self.node.peers_by_vm_id,
            report=self.report,
            health=self.health,
            is_reader=self.is_reader,
            log=self.log,
            log_status=self.log_reader.status,
            traffic=self.node.traffic,
        )
        limits = fit_to_memory(settings.calls.client_limits, machine_memory_bytes())
        self.client_guard = ConnectionGuard(limits)
        self.metrics.closed_clients.follow(self.client_guard.closes_by_label)
        self._runners: list[web.AppRunner | web.ServerRunner] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(
        self, sockets_by_address: SocketsByAddress | None = None
    ) -> Result[None, ListenError]:
        """Listen on all interfaces and start the tasks.

        Parameters
        ----------
        sockets_by_address : mapping, optional
            Sockets that listen already.
        """
        listening = await self.node.listen()
        if isinstance(listening, Err):
            return listening
        served = await listen_all(self._interfaces(), self._runners, sockets_by_address)
        if isinstance(served, Err):
            return served
        runs = (
            self.node.run(),
            self.log_reader.run(),
            self.announcements.run(),
            self.calls.run(),
            self.rollouts.run(),
            self.client_guard.run(self.clock),
        )
        self._tasks.extend(asyncio.create_task(run) for run in runs)
        settings = self.settings
        events.info(
            "daemon_started",
            vm=settings.vm_id,
            availability_zone=settings.availability_zone,
            caller=settings.caller_address,
            operator=settings.operator_address,
        )
        return Ok(None)

    async def stop(self) -> None:
        """Leave the mesh, finish the calls and stop."""
        self.is_leaving = True
        events.info("daemon_leaving", vm=self.settings.vm_id)
        self.node.set_status(VmStatus.LEAVING)
        stop = self.settings.stop
        ends_in_seconds = stop.leaving_seconds + stop.drain_seconds - ABORT_SECONDS
        self.calls.start_draining(self.clock.monotonic() + ends_in_seconds)
        await self.clock.sleep(stop.leaving_seconds)
        aborting = asyncio.create_task(self._abort_calls_late())
        await self.close()
        aborting.cancel()
        events.info("daemon_stopped", vm=self.settings.vm_id)

    async def _abort_calls_late(self) -> None:
        """Answer the calls that are still open shortly before the stop ends."""
        drain_seconds = self.settings.stop.drain_seconds
        await self.clock.sleep(max(0.0, drain_seconds - ABORT_SECONDS))
        self.calls.abort_calls()

    async def close(self) -> None:
        """Finish the calls and release everything, without leaving the mesh first."""
        for runner in self._runners:
            await runner.cleanup()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.calls.close()
        await self.log.close()

    def is_reader(self) -> bool:
        """Return whether this VM reads the log now."""
        return self.node.is_log_reader()

    def report(self) -> Mapping[str, Any]:
        """Return the JSON object of ``/report``."""
        return build_report(self.store.state, self.marks, self.clock.wall())

    def status(self) -> Mapping[str, Any]:
        """Return the JSON object of ``/status``."""
        state = self.store.state
        live = self.directory.live()
        return {
            "vm": self.settings.vm_id,
            "region": self.settings.region,
            "availability_zone": self.settings.availability_zone,
            "ticket": state.number,
            "next_offset": state.next_offset,
            "digest": state.digest,
            "directory_digest": f"{self.directory.digest:016x}",
            "vms": len(live),
            "endpoints": sum(len(record.endpoints) for record in live),
            "links": sorted(self.node.peers_by_vm_id),
            "is_reader": self.is_reader(),
            "log": attrs.asdict(self.log_reader.status),
            "health": self.health().document(),
        }

    def health(self) -> Health:
        """Return the health for ``/health``."""
        return build_health(
            is_configured=not self.store.state.is_empty,
            is_leaving=self.is_leaving,
            is_reader=self.is_reader(),
            log_status=self.log_reader.status,
            links=len(self.node.peers_by_vm_id),
            live_vms=len(self.directory.live()),
            diverged_peers=self.node.repair.diverged_peers(),
        )

    def _interfaces(self) -> Iterator[tuple[str, web.AppRunner | web.ServerRunner]]:
        settings = self.settings
        header_bytes = settings.calls.max_header_bytes
        drain_seconds = settings.stop.drain_seconds
        yield (
            settings.caller_address,
            web.ServerRunner(
                self.calls.http_server(header_bytes, self.client_guard),
                shutdown_timeout=drain_seconds,
            ),
        )
        for address, application in (
            (settings.backend_server_address, self.announcements.application()),
            (settings.operator_address, self.operator.application()),
        ):
            yield (
                address,
                application_runner(
                    application,
                    header_bytes,
                    self.client_guard,
                    settings.calls.max_other_connections,
                ),
            )


def _own_record(settings: Settings, clock: Clock) -> VmRecord:
    return VmRecord(
        vm_id=settings.vm_id,
        region=settings.region,
        availability_zone=settings.availability_zone,
        address=settings.vm_address,
        incarnation=int(clock.wall() * 1000),
    )


def _node_options(settings: Settings) -> NodeOptions:
    links = settings.links
    return NodeOptions(
        heartbeat_seconds=links.heartbeat_seconds,
        silence_seconds=links.silence_seconds,
        replacement_seconds=links.replacement_seconds,
        suspicion_seconds=links.suspicion_seconds,
        reconnect_base_seconds=links.reconnect_base_seconds,
        reconnect_cap_seconds=links.reconnect_cap_seconds,
        coalesce_seconds=links.coalesce_seconds,
        snapshot_slots=links.snapshot_slots,
    )


def _log_options(settings: Settings) -> LogOptions:
    platform = settings.platform
    return LogOptions(
        poll_seconds=platform.log_poll_seconds,
        retry_cap_seconds=platform.retry_cap_seconds,
        retention_seconds=platform.log_retention_seconds,
        lease_ttl_seconds=platform.lease_ttl_seconds,
        checkpoint_records=platform.checkpoint_records,
    )


def _call_options(settings: Settings) -> CallOptions:
    calls, backend_servers = settings.calls, settings.backend_servers
    return CallOptions(
        retry_share=calls.retry_share,
        retry_minimum_per_second=calls.retry_minimum_per_second,
        slow_start_seconds=backend_servers.slow_start_seconds,
        idle_reuse_seconds=backend_servers.idle_reuse_seconds,
        buffer_bytes=calls.buffer_bytes,
        max_connections=calls.max_connections,
    )


def build(settings: Settings, clock: Clock, rng: random.Random) -> Daemon:
    """Return the daemon of one VM, not started."""
    return Daemon(settings, clock, rng)
