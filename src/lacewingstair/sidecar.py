"""Composition root of a VM on a platform with a metadata store.

Each VM runs one process beside one backend server. It takes the calls of the callers on
its VM (`caller.ingress`), places each at a VM of its service
(`caller.calls.forwarding`), and is the gate of its own backend server
(`backend_server.admission_proxy`). The store holds the configuration and the entries of
the VMs; both also pass between the VMs.
"""

import asyncio
import itertools
import random
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from aiohttp import web
from result import Err, Ok, Result

from lacewingstair import events
from lacewingstair.accounts.quota_exchange import QuotaExchange
from lacewingstair.backend_server.admission_proxy import (
    DEFAULT_CONNECTIONS,
    AdmissionProxy,
)
from lacewingstair.backend_server.confirmation import UpstreamConfirmation
from lacewingstair.backend_server.upstream_tracker import (
    ReportOutcome,
    UpstreamReport,
    UpstreamTracker,
)
from lacewingstair.background_tasks import Run, keep_running
from lacewingstair.caller.calls.account_calls import AccountCalls
from lacewingstair.caller.calls.forwarding import Forwarder
from lacewingstair.caller.connections.client_limits import fit_to_memory
from lacewingstair.caller.connections.connection_guard import ConnectionGuard
from lacewingstair.caller.ingress import Ingress
from lacewingstair.caller.selection.explanation import PlacementExplanation
from lacewingstair.early_listening import SocketsByAddress
from lacewingstair.errors import ListenError, SettingsError
from lacewingstair.http_server import listen_all
from lacewingstair.loop_monitor import LoopMonitor
from lacewingstair.machine import machine_memory_bytes
from lacewingstair.metadata.configuration import ConfigurationStore
from lacewingstair.metadata.freshness import STORE, Freshness
from lacewingstair.metadata.record_transfer import TransferEncoder
from lacewingstair.metadata.records import StoreRecords
from lacewingstair.metadata.store_era import StoreEra
from lacewingstair.metadata.store_follower import StoreFollower
from lacewingstair.metadata.tail import Record
from lacewingstair.metrics.sidecar import SidecarMetrics
from lacewingstair.metrics.sidecar_totals import SidecarTotals
from lacewingstair.operator.sidecar_api import SidecarApi
from lacewingstair.planned_stop import PlannedStop
from lacewingstair.platform import store as platform_store
from lacewingstair.platform.announcements import Announcements
from lacewingstair.platform.bounds import parse_bounds
from lacewingstair.platform.rollout_reports import RolloutReports
from lacewingstair.run_recorder import RunRecorder
from lacewingstair.runtime import Clock
from lacewingstair.settings.declarations import Settings
from lacewingstair.settings.reader import load_settings
from lacewingstair.sidecar_servers import sidecar_servers
from lacewingstair.staged_rollouts.coordinator import RolloutCoordinator
from lacewingstair.upstream_health import UpstreamHealth
from lacewingstair.vm.call_links import CallLinks
from lacewingstair.vm.call_messages import (
    EntryChanged,
    EvidenceChanged,
    MarkChanged,
)
from lacewingstair.vm.call_server import CallStreamServer
from lacewingstair.vm.entries import MeshView, VmEntry
from lacewingstair.vm.quota_peers import QuotaPeers
from lacewingstair.vm.receive_budget import ReceiveBudget
from lacewingstair.vm.record_fetcher import RecordFetcher
from lacewingstair.vm.record_sender import RecordSender
from lacewingstair.vm.records_announcer import RecordsAnnouncer
from lacewingstair.vm.registration import Registration
from lacewingstair.vm.stream_traffic import StreamTraffic

SWEEP_SECONDS = 1.0
SWEEPS_PER_TOTALS = 10


class Sidecar:
    """All parts of one VM's process on a platform with a metadata store.

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
        own = settings.backend_servers
        self.bounds = parse_bounds(settings.platform.bounds).unwrap()
        self.metrics = SidecarMetrics()
        self.traffic = StreamTraffic()
        self.loop_monitor = LoopMonitor(clock, self.metrics.loop_lag_seconds.observe)
        self.configurations = ConfigurationStore()
        self.view = MeshView(settings.vm_id)
        self.register = UpstreamTracker(
            own.own_service, own.own_address, own.announcement_ttl_seconds
        )
        self.confirmation = UpstreamConfirmation(
            self.register,
            lambda: self._upstream_health.ask(),
            lambda: self.registration.previous_entry,
            lambda: self.rollouts.get(self.gate.service) is not None,
            self._apply_register,
            clock,
        )
        self.store_era = StoreEra(clock)
        self.store = platform_store.MetadataStore(
            settings.log_url,
            settings.platform.log_timeout_seconds,
            lambda era: self.store_era.note(era, STORE),
        )
        self.gate = AdmissionProxy(
            own.own_service,
            own.own_address,
            clock,
            records_position=lambda: self.records.operator.position,
            reads_store=lambda: self.operator_reading.is_reading,
            max_connections=self._max_connections,
            on_outcome=lambda *run: self.run_recorder.record(*run),
            on_abandoned=lambda *run: self.run_recorder.record_abandoned(*run),
            on_unreachable=self._upstream_unreachable,
            configuration_number=lambda: self.records.operator.version,
            bandwidth_kbps=round(settings.link_mbps * 1000),
        )
        self.totals = SidecarTotals(self.gate, self.store, self.traffic)
        self.totals.show_in(self.metrics)
        self.registration = Registration(
            _own_entry(settings, clock), self.view, self._write_entry, clock, rng
        )
        self.freshness = Freshness(
            lambda: self.records.operator.position,
            clock,
            self.metrics.configuration_delay_seconds.observe,
            lambda: self.store_follower.log_fields(),
        )
        self.metrics.configuration_number = lambda: self.configurations.current.number
        self.metrics.configuration_age_seconds = self.freshness.age_seconds
        self.metrics.store_era = lambda: self.store_era.number
        self.metrics.store_era_seen_at = lambda: self.store_era.seen_at
        self.record_fetcher = RecordFetcher(
            lambda: self.records.operator.position,
            lambda: self.records.operator.remembered_offsets(),
            self._take_transfer,
            clock,
            rng,
            self.freshness.note_newer,
            lambda: self.records.operator.version,
        )
        self.links = CallLinks(
            self._entry,
            self.view,
            clock,
            rng,
            self.record_fetcher,
            self._take_rollout_news,
            self.traffic,
            lambda *news: self.store_follower.take_check(*news),
        )
        self.rollouts = RolloutCoordinator(
            settings.vm_id,
            self.registration.entry.incarnation,
            self._live_vm_ids,
            lambda mark: self.call_server.broadcast(MarkChanged(mark)),
            lambda evidence: self.call_server.broadcast(EvidenceChanged(evidence)),
            RolloutReports(self.store).write,
            clock,
            rng,
            self.bounds.trial,
        )
        self.run_recorder = RunRecorder(
            self.metrics,
            self.rollouts,
            lambda: self.gate.service,
            lambda: self.gate.identity.version,
            clock,
        )
        self.records = StoreRecords(
            self.configurations,
            self.rollouts,
            self.registration,
            self.view,
            self.freshness.age_seconds,
        )
        peers = QuotaPeers(
            self.configurations,
            self.view,
            lambda: self.links,
            self._live_vm_ids,
            lambda: self.store_follower.has_read_entries,
        )
        self.quotas = QuotaExchange(
            settings.vm_id,
            self.registration.entry.incarnation,
            self.bounds.quotas,
            peers.accounts,
            peers.reach,
            peers.send,
            clock,
            rng,
        )
        receive_budget = ReceiveBudget()
        self.call_server = CallStreamServer(
            settings.vm_address,
            self.gate,
            self._entry,
            self.view,
            RecordSender(
                TransferEncoder(self.records.operator),
                lambda: self._entry().bandwidth_kbps,
                clock,
            ),
            lambda: [MarkChanged(mark) for mark in self.rollouts.marks()],
            self.traffic,
            budget=receive_budget,
            clock=clock,
            on_quota_message=self.quotas.take,
        )
        self.gate.count_unsent(lambda: self.call_server.unsent_bytes)
        self._records_announcer = RecordsAnnouncer(
            lambda: self.call_server.announce_load(), clock
        )
        self.forwarder = Forwarder(
            self._entry,
            self.view,
            self.links,
            self.gate,
            self.rollouts,
            clock,
            rng,
            self.bounds.repeats,
        )
        self.ingress = Ingress(
            own.own_service,
            self.configurations,
            self.forwarder,
            self.gate,
            clock,
            rng,
            self.metrics.count_call,
            AccountCalls(self.quotas.admission, self.metrics.account_calls, clock, rng),
        )
        self.gate.on_lost = self.ingress.abort_nested
        self.announcements = Announcements(self._take_report, self._take_leave)
        explanation = PlacementExplanation(
            lambda: self.configurations.current, self.forwarder.selection, clock
        )
        self.operator = SidecarApi(self.status, self.metrics, explanation.explain)
        self.store_follower = StoreFollower(
            self.store,
            self._take_operator_records,
            self.records.take_entries,
            self.freshness,
            self.registration,
            self.links,
            self.record_fetcher,
            lambda message: self.call_server.broadcast(message),
            self._reading_changed,
            clock,
            rng,
            self.store_era,
        )
        self.operator_reading = self.store_follower.operator_reading
        self._upstream_health = UpstreamHealth(
            own.own_address,
            lambda: self.gate.service,
            self.configurations,
            lambda: self.store_follower.has_read_entries,
            clock,
            lambda answer: self.gate.note_work_percent(answer.work_percent),
        )
        self.registration.subscribe(self._announce_entry)
        self.store_era.subscribe(self._write_again)
        self.client_guard = ConnectionGuard(
            fit_to_memory(settings.calls.client_limits, machine_memory_bytes()),
            lambda: (
                self.links.unsent_bytes
                + receive_budget.held_bytes
                + self.gate.buffered_response_bytes
                + self.call_server.unsent_bytes
            ),
        )
        self.metrics.closed_clients = self.client_guard.closes_by_label
        self.metrics.client_held_bytes = lambda: self.client_guard.held_bytes
        self.planned_stop = PlannedStop(
            self.ingress, self.gate, self.call_server, self.registration, clock
        )
        self._is_leaving = False
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
        listening = await self.call_server.listen()
        if isinstance(listening, Err):
            return listening
        served = await listen_all(self._interfaces(), self._runners, sockets_by_address)
        if isinstance(served, Err):
            return served
        self._tasks.extend(
            asyncio.create_task(keep_running(name, run, self.clock))
            for name, run in self._runs_by_name().items()
        )
        settings = self.settings
        events.info(
            "daemon_started",
            vm=settings.vm_id,
            availability_zone=settings.availability_zone,
            caller=settings.caller_address,
            operator=settings.operator_address,
        )
        return Ok(None)

    def _runs_by_name(self) -> Mapping[str, Run]:
        """Return what has to run, each in a task of its own, until cancelled."""
        return {
            **self.store_follower.runs_by_name(),
            "registration": self.registration.run,
            "links": self.links.run,
            "sweep": self._sweep,
            "rollouts": self.rollouts.run,
            "confirmation": self.confirmation.run,
            "loop_monitor": self.loop_monitor.run,
            "quotas": self.quotas.run,
            "client_guard": lambda: self.client_guard.run(self.clock),
        }

    async def stop(self, signalled_at: float | None = None) -> None:
        """Let others know, finish all calls and stop.

        Parameters
        ----------
        signalled_at : float, optional
            When the signal came after which the platform kills the process, monotonic
            seconds; now by default.
        """
        started_at = self.clock.monotonic()
        signalled_at = started_at if signalled_at is None else signalled_at
        events.info(
            "daemon_leaving",
            vm=self.settings.vm_id,
            late_ms=round((started_at - signalled_at) * 1000),
        )
        self._is_leaving = True
        killed_at = signalled_at + self.bounds.stop_ms / 1000
        await self.planned_stop.run(started_at, killed_at)
        await self.close()
        events.info("daemon_stopped", vm=self.settings.vm_id)

    async def close(self) -> None:
        """Release everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))
        self.record_fetcher.close()
        self._records_announcer.close()
        self.links.close()
        self.call_server.close()
        self.gate.close()
        await self.store.close()

    def reload(self, path: str) -> Result[None, SettingsError]:
        """Read the settings again; what cannot change while running stays."""
        loaded = load_settings(path)
        if isinstance(loaded, Err):
            events.error("settings_refused", error=loaded.err_value)
            return loaded
        changed = loaded.ok_value != self.settings
        self.bounds = parse_bounds(loaded.ok_value.platform.bounds).unwrap()
        events.info("settings_reloaded", path=path, is_changed=changed)
        return Ok(None)

    def is_ready(self) -> bool:
        """Return whether callers may be sent to this VM."""
        return not self._is_leaving and not self.configurations.current.is_empty

    def status(self) -> Mapping[str, Any]:
        """Return the JSON object of ``/status``."""
        load = self.gate.load()
        entries = list(self.view)
        return {
            "vm": self.settings.vm_id,
            "configuration": self.configurations.current.number,
            "configuration_age_seconds": round(self.freshness.age_seconds(), 3),
            "is_ready": self.is_ready(),
            "upstream": self.gate.identity.upstream_id,
            "upstream_state": self.gate.identity.state.value,
            "running": load.running,
            "waiting": load.waiting,
            "vms": len(entries),
            "vms_taking_calls": sum(entry.accepts_calls for entry in entries),
            "links": sum(link.is_connected for link in self.links),
            "store_calls": self.store.calls_by_operation,
            "quotas": self.quotas.status(),
            "store_era": self.store_era.number,
        }

    def _interfaces(self) -> Iterator[tuple[str, web.AppRunner | web.ServerRunner]]:
        return sidecar_servers(
            self.settings,
            self.ingress,
            self.announcements.application(),
            self.operator.application(),
            self.is_ready,
            self.client_guard,
        )

    async def _sweep(self) -> None:
        for number in itertools.count(1):
            await self.clock.sleep(SWEEP_SECONDS)
            self.gate.sweep()
            self._apply_call_order()
            self._apply_register()
            if self.gate.states_speed:
                self.call_server.announce_load()
            if number % SWEEPS_PER_TOTALS == 0:
                self.totals.log()

    def _entry(self) -> VmEntry:
        return self.registration.entry

    def _take_operator_records(self, records: Iterable[Record], position: int) -> None:
        """Take records from the store; the other VMs get them from this one."""
        self.records.take_operator_records(records, position)
        self._apply_call_order()
        self.freshness.note_position(STORE)
        self._records_announcer.announce_store_records()

    def _apply_call_order(self) -> None:
        has_accounts = self.configurations.current.accounts is not None
        self.gate.prefer_nested_calls(has_accounts or self.gate.states_speed)

    def _reading_changed(self) -> None:
        """Tell the others whether this VM reads the store for them."""
        self.call_server.announce_load_to_all()

    def _take_transfer(self, data: bytes) -> bool:
        operator = self.records.operator
        before = operator.position, operator.version
        vm_id = self.record_fetcher.transferred_from
        is_taken = self.records.take_transfer(data, vm_id)
        self._apply_call_order()
        self.freshness.note_position(vm_id)
        self.store_follower.skip_to(operator.position + 1)
        if (operator.position, operator.version) != before:
            self._records_announcer.announce_transferred_records()
        return is_taken

    def _max_connections(self) -> int:
        services = self.configurations.current.services_by_name
        terms = services.get(self.gate.service)
        if terms is None or terms.max_connections is None:
            return DEFAULT_CONNECTIONS
        return terms.max_connections

    async def _write_entry(self, vm_id: str, value: bytes | None):
        return await self.store.append(platform_store.MESH_TOPIC, vm_id, value)

    def _live_vm_ids(self) -> list[str]:
        linked = (link.entry for link in self.links if link.is_connected)
        live = [entry.vm_id for entry in linked if not entry.is_leaving]
        return [*live, self.settings.vm_id]

    def _take_rollout_news(self, message: EvidenceChanged | MarkChanged) -> None:
        if isinstance(message, EvidenceChanged):
            self.rollouts.apply_evidence(message.evidence)
        else:
            self.rollouts.apply_mark(message.mark)

    def _take_report(self, report: UpstreamReport) -> ReportOutcome:
        now = self.clock.monotonic()
        verdict = self.register.apply_report(report, now)
        if verdict is ReportOutcome.ACCEPTED:
            self.run_recorder.note_warmup(report.warmup_remaining_ms / 1000)
        self._apply_register()
        self.confirmation.notify_report()
        return verdict

    def _take_leave(self, upstream_id: str) -> None:
        self.register.deregister(upstream_id)
        self._apply_register()

    def _upstream_unreachable(self) -> None:
        self.register.mark_unreachable()
        self._apply_register()

    def _apply_register(self) -> None:
        identity = self.register.identity(self.clock.monotonic())
        self.gate.set_identity(identity)
        self.registration.change(
            upstream_id=identity.upstream_id,
            version=identity.version,
            slots=identity.slots,
            state=identity.state,
        )

    def _write_again(self, era: int) -> None:
        """Write what this VM holds, as the store came back from an older copy."""
        self.registration.handle_restored_store()
        self.rollouts.handle_restored_store()

    def _announce_entry(self, entry: VmEntry) -> None:
        self.call_server.broadcast(EntryChanged(entry))


def _own_entry(settings: Settings, clock: Clock) -> VmEntry:
    return VmEntry(
        vm_id=settings.vm_id,
        region=settings.region,
        availability_zone=settings.availability_zone,
        address=settings.vm_address,
        service=settings.backend_servers.own_service,
        incarnation=int(clock.wall() * 1000),
        bandwidth_kbps=round(settings.link_mbps * 1000),
    )


def build(settings: Settings, clock: Clock, rng: random.Random) -> Sidecar:
    """Return the process of one VM, not started."""
    return Sidecar(settings, clock, rng)
