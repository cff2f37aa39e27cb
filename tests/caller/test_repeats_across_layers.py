"""Retries in a mesh whose backend servers call each other, in virtual time.

Arrivals are counted as by the retry allowance of a service: all but the first of each
call, and each arrival of a call that a retried run makes.
"""

import asyncio
import itertools
import math
import random
from collections import Counter

import attrs
import pytest

from lacewingstair.caller.calls.forwarding import ForwardedCall, Forwarder
from lacewingstair.metadata.configuration import CallRoute, SplitPart
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.call_messages import (
    CallAnswer,
    CallRefused,
    LoadReport,
    RefusalReason,
    SendOrigin,
)
from lacewingstair.vm.entries import MeshView, UpstreamState, VmEntry
from tests.caller.calls.test_forwarding import ClosedGate, rollouts_at

# Topology of the grown Tapas site: search calls stock, each on its own VMs.
SEARCH_VMS, STOCK_VMS, OTHER_VMS = 34, 21, 9
# Sequential stock calls of a search: one up to this many.
MAX_CALLS_PER_SEARCH = 2
SEARCH_SECONDS, STOCK_SECONDS = 0.2, 0.05
TIMEOUT_SECONDS = 2.7
REJECTED_SHARE = 0.55
DURATION_SECONDS = 14
WINDOW_SECONDS = 10
ALLOWED_SHARE, ALLOWED_SLACK = 0.2, 166

SEARCH = CallRoute(("a",), "/s/", (SplitPart("search", 1.0),), max_attempts=3)
SEARCH = attrs.evolve(SEARCH, allows_repeat=True)
STOCK = attrs.evolve(SEARCH, path_prefix="/t/", parts=(SplitPart("stock", 1.0),))
LOAD = LoadReport(0, 0, 6, 100.0, 0.0, True, "v1")


@attrs.define
class ArrivalCounts:
    """Calls and arrivals at one service, by second."""

    calls: Counter = attrs.field(factory=Counter)
    beyond_first: Counter = attrs.field(factory=Counter)

    def excess(self):
        """Return by how many arrivals the worst window exceeds its allowance."""
        worst = -math.inf
        for start in range(DURATION_SECONDS - WINDOW_SECONDS + 1):
            window = range(start, start + WINDOW_SECONDS)
            allowed = ALLOWED_SHARE * sum(self.calls[s] for s in window) + ALLOWED_SLACK
            worst = max(worst, sum(self.beyond_first[s] for s in window) - allowed)
        return worst


def is_served(outcome):
    return isinstance(outcome, CallAnswer) and outcome.status == 200


def has_failed_at_backend_servers(outcome):
    """Return the flag that a gate records for a nested call of its backend server."""
    if isinstance(outcome, CallAnswer):
        return outcome.status >= 500
    return outcome.was_refused_upstream


class Link:
    """Link to a VM of the mesh from any other VM."""

    in_flight = calls_since_load_report = 0
    load_received_at = 0.0
    is_connected = True
    load = LOAD

    def __init__(self, mesh, vm_id):
        self.mesh = mesh
        self.vm_id = vm_id

    def is_usable(self, now):
        return True

    async def run(self, request):
        return await self.mesh.run(self.vm_id, request)


class Mesh:
    """All VMs with their forwarders, and backend servers that refuse calls."""

    def __init__(self, seed, rejected_share_by_service, faulty_search_vms=0):
        self.faulty_vm_ids = {f"vm{number}" for number in range(faulty_search_vms)}
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.rejected_share_by_service = rejected_share_by_service
        self.counts_by_service = {"search": ArrivalCounts(), "stock": ArrivalCounts()}
        self.arrived = Counter()
        self.retried_runs = set()
        self.served = Counter()
        self.numbers = itertools.count()
        services = ["search"] * SEARCH_VMS + ["stock"] * STOCK_VMS
        services += ["other"] * OTHER_VMS
        self.view = MeshView("none")
        for number, service in enumerate(services):
            entry = VmEntry(f"vm{number}", "r", f"z{number % 9}", "a:1", service, 1, 1)
            self.view.merge(attrs.evolve(entry, state=UpstreamState.READY))
        links = {entry.vm_id: Link(self, entry.vm_id) for entry in self.view}
        self.forwarders_by_vm_id = {
            entry.vm_id: self.forwarder(entry, links) for entry in self.view
        }

    def forwarder(self, entry, links):
        others = {vm_id: link for vm_id, link in links.items() if vm_id != entry.vm_id}
        return Forwarder(
            lambda: entry,
            self.view,
            others,
            ClosedGate(),
            rollouts_at(None),
            self.clock,
            self.rng,
        )

    def second(self):
        return int(self.clock.monotonic())

    async def call(self, vm_id, route, timeout_seconds, parent_id="", origin=None):
        """Make a call from a VM; return its outcome."""
        service = route.parts[0].service
        now = self.clock.monotonic()
        self.counts_by_service[service].calls[self.second()] += 1
        request_id = f"{parent_id}.{next(self.numbers)}"
        call = ForwardedCall(
            request_id=request_id,
            route_name=service,
            route=route,
            service=service,
            method="GET",
            target="/",
            header_lines=b"",
            body=b"",
            target_at=now + timeout_seconds / 2,
            deadline_at=now + timeout_seconds,
            parent_is_retry=origin not in (None, SendOrigin.FIRST),
        )
        return await self.forwarders_by_vm_id[vm_id].forward(call)

    async def run(self, vm_id, request):
        """Run a call at the backend server of a VM, or refuse it."""
        self.arrived[request.request_id] += 1
        parent_id = request.request_id.rpartition(".")[0]
        if self.arrived[request.request_id] > 1 or parent_id in self.retried_runs:
            self.retried_runs.add(request.request_id)
        if request.request_id in self.retried_runs:
            self.counts_by_service[request.service].beyond_first[self.second()] += 1
        if self.rng.random() < self.rejected_share_by_service.get(request.service, 0):
            reason = RefusalReason.UPSTREAM_REFUSED
            return CallRefused(request.call_id, reason, 0.0, True, LOAD)
        if request.service == "search":
            return await self.search(vm_id, request)
        await self.clock.sleep(STOCK_SECONDS)
        return CallAnswer(request.call_id, 200, "", b"", b"", LOAD)

    async def search(self, vm_id, request):
        await self.clock.sleep(SEARCH_SECONDS * self.rng.random())
        status, has_failed = 200, False
        for _ in range(self.rng.randint(1, MAX_CALLS_PER_SEARCH)):
            limit = request.remaining_ms / 1000 - SEARCH_SECONDS
            outcome = await self.call(
                vm_id, STOCK, limit, request.request_id, request.origin
            )
            if not is_served(outcome):
                status, has_failed = 500, has_failed_at_backend_servers(outcome)
                break
        if vm_id in self.faulty_vm_ids:
            status, has_failed = 500, False
        return CallAnswer(request.call_id, status, "", b"", b"", LOAD, has_failed)

    async def client(self, vm_id):
        """Search, and retry once after a failure, as clients do."""
        for _ in range(2):
            if is_served(await self.call(vm_id, SEARCH, TIMEOUT_SECONDS)):
                self.served["search"] += 1
                return
            await self.clock.sleep(0.1)

    async def run_load(self, searches_per_second):
        """Run searches of clients on all VMs at a constant rate."""
        vm_ids = list(self.forwarders_by_vm_id)
        async with asyncio.TaskGroup() as group:
            for _ in range(DURATION_SECONDS * searches_per_second):
                group.create_task(self.client(self.rng.choice(vm_ids)))
                await self.clock.sleep(1 / searches_per_second)


def simulated(
    seed, searches_per_second, rejected_share_by_service, faulty_search_vms=0
):
    async def main():
        mesh = Mesh(seed, rejected_share_by_service, faulty_search_vms)
        await mesh.run_load(searches_per_second)
        return mesh

    return run_virtual(main())


@pytest.mark.parametrize("searches_per_second", [150, 315])
def test_retries_of_failed_runs_do_not_multiply_at_inner_services(
    searches_per_second,
):
    """Guards against a service that gets more retries the more calls it refuses."""
    mesh = simulated(1, searches_per_second, {"stock": REJECTED_SHARE})
    excess_by_service = {
        service: counts.excess() for service, counts in mesh.counts_by_service.items()
    }
    assert max(excess_by_service.values()) <= 0, excess_by_service


def test_retries_run_by_few_vms_keep_inner_services_within_their_allowance():
    """Guards against calls of retried runs that concentrate on the healthy VMs."""
    mesh = simulated(1, 150, {"stock": REJECTED_SHARE}, faulty_search_vms=17)
    excess_by_service = {
        service: counts.excess() for service, counts in mesh.counts_by_service.items()
    }
    assert max(excess_by_service.values()) <= 0, excess_by_service
