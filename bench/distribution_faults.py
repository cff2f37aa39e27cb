"""Distribution when zones restart, regions are cut and zones are lost."""

import random
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

from bench.distribution import (
    LOG_REGION,
    SETTLE_SECONDS,
    Traffic,
    settled_cluster,
)
from bench.registry import benchmarks
from bench.results import print_table, save_rows
from lacewingstair.standins.memory_network import Place
from lacewingstair.standins.mesh_cluster import Cluster, ClusterVm
from lacewingstair.standins.virtual_time import run_virtual
from lacewingstair.vm.directory import Endpoint

STEP_SECONDS = 0.1
HOUR_SECONDS = 3600.0
CHURN_SECONDS = 10.0
RESTART_SECONDS = 40.0
TICKET_EVERY = 6
REPLACE_EVERY = 30


@benchmarks.register("distribution-zone-restart")
def distribution_zone_restart(vms_per_zone: tuple[int, ...] = (10, 30, 90)) -> None:
    """Replace all VMs of a zone at once; measure until they serve and agree."""
    rows: list[dict[str, Any]] = []

    async def measure(size: int) -> None:
        cluster = await settled_cluster(size)
        cluster.publish(1)
        await cluster.until(lambda: cluster.has_ticket(1), SETTLE_SECONDS)
        # The second zone, so that one of the three contacts restarts as well.
        place = cluster.places[1]
        before = Traffic.of(cluster)
        reads = cluster.log.reads
        connects = cluster.network.connects
        refused = sum(vm.node.snapshot_server.refused for vm in cluster)
        refused -= sum(
            vm.node.snapshot_server.refused
            for vm in cluster.in_zone(place.availability_zone)
        )
        records_read = cluster.log.records_read
        for vm in cluster.in_zone(place.availability_zone):
            await cluster.crash(vm.vm_id)
        new = [await cluster.add(place, size + i) for i in range(size)]
        serving = await cluster.until(
            lambda: all(vm.number == 1 for vm in new), SETTLE_SECONDS, STEP_SECONDS
        )
        joined = await cluster.until(
            lambda: all(vm.node.is_joined for vm in new), SETTLE_SECONDS, STEP_SECONDS
        )
        settled = await cluster.until(cluster.is_settled, 600.0, STEP_SECONDS)
        sent = Traffic.of(cluster).since(before)
        reads = cluster.log.reads - reads
        # The same time for every run, so that connections tried can be compared.
        taken = serving + joined + settled
        await cluster.clock.sleep(max(0.0, RESTART_SECONDS - taken))
        servers = [vm.node.snapshot_server for vm in cluster]
        rows.append(
            {
                "vms": len(cluster.vms_by_id),
                "restarted": size,
                "all serve s": serving,
                "all joined s": serving + joined,
                "directories equal s": serving + joined + settled,
                "snapshots": sum(s.served for s in servers),
                "busy": sum(s.refused for s in servers) - refused,
                "most at once": max(s.max_concurrent for s in servers),
                "snapshot kB": sent.everywhere["SnapshotChunk"] / 1e3,
                "kB between regions": sent.far.total() / 1e3,
                "connections tried": cluster.network.connects - connects,
                "log reads": reads,
                "log records": cluster.log.records_read - records_read,
            }
        )
        await cluster.stop()

    for size in vms_per_zone:
        run_virtual(measure(size))
    print_table(rows)
    save_rows("distribution-zone-restart", rows)


@benchmarks.register("distribution-region-cut")
def distribution_region_cut(vms_per_zone: int = 5, hours: float = 1.0) -> None:
    """Cut a region and the log from it for an hour with churn, then rejoin it."""
    rows: list[dict[str, Any]] = []

    async def measure() -> None:
        cluster = await settled_cluster(vms_per_zone)
        inside = cluster.zones_of("r3")
        outside = [
            place.availability_zone for place in cluster.places if place.region != "r3"
        ]
        backward = _watch(cluster)
        cluster.network.cut(inside, outside)
        cluster.log.cut_zones.update(inside)
        numbers = await _churn(cluster, int(hours * HOUR_SECONDS / CHURN_SECONDS))
        live_seen = [len(vm.directory.live()) for vm in cluster]
        lag = numbers - min(vm.number for vm in cluster)
        before = Traffic.of(cluster)
        cluster.network.heal()
        cluster.log.cut_zones.clear()
        ticket = await cluster.until(
            lambda: cluster.has_ticket(numbers), SETTLE_SECONDS, STEP_SECONDS
        )
        settled = await cluster.until(cluster.is_settled, 600.0, STEP_SECONDS)
        sent = Traffic.of(cluster).since(before)
        rows.append(
            {
                "vms": len(cluster.vms_by_id),
                "tickets missed": lag,
                "fewest live VMs seen": min(live_seen),
                "tickets s": ticket,
                "directories equal s": ticket + settled,
                "kB between regions": sent.far.total() / 1e3,
                "changes to older tickets": len(backward),
            }
        )
        await cluster.stop()

    run_virtual(measure())
    print_table(rows)
    save_rows("distribution-region-cut", rows)


@benchmarks.register("distribution-zone-loss")
def distribution_zone_loss(vms_per_zone: int = 30) -> None:
    """Lose a zone with log readers and the links of its region to the others.

    Rows give a ticket, and an endpoint change in that region, at times after the loss.
    """
    rows: list[dict[str, Any]] = []

    async def measure() -> None:
        cluster = await settled_cluster(vms_per_zone)
        lost = _gateway(cluster, "r3")
        for vm in cluster.in_zone(lost.availability_zone):
            await cluster.crash(vm.vm_id)
        start = cluster.clock.monotonic()
        for number, at in enumerate((0.0, 5.0, 20.0, 40.0), 1):
            await cluster.clock.sleep(start + at - cluster.clock.monotonic())
            cluster.publish(number)
            seconds = await cluster.until(
                lambda number=number: cluster.has_ticket(number), 60.0, 0.005
            )
            (vm, *_) = [v for v in cluster if v.place.region == "r3"]
            vm.node.set_endpoints([Endpoint("rota-board", f"v{number}", "e:1")])
            known = await cluster.until(lambda: _are_equal(cluster), 60.0, 0.005)
            rows.append(
                {
                    "vms left": len(cluster.vms_by_id),
                    "published s after the loss": at,
                    "ticket everywhere s": seconds,
                    "endpoint change everywhere s": known,
                }
            )
        await cluster.stop()

    run_virtual(measure())
    print_table(rows)
    save_rows("distribution-zone-loss", rows)


@benchmarks.register("distribution-gateway-loss")
def distribution_gateway_loss(vms_per_zone: int = 10, runs: int = 10) -> None:
    """Lose VMs that hold links between regions, or links, just before a ticket."""
    rows: list[dict[str, Any]] = []

    async def measure(log_region: str, fault: "_Fault", seed: int) -> float:
        cluster = await settled_cluster(vms_per_zone, seed, log_region=log_region)
        await cluster.clock.sleep(cluster.rng.uniform(0.0, 1.0))
        await fault(cluster)
        running = [vm for vm in cluster if vm.transport.running.is_set()]
        cluster.publish(1)
        seconds = await cluster.until(
            lambda: all(vm.is_converged(1) for vm in running), 60.0, 0.01
        )
        await cluster.stop()
        return seconds

    for name, fault in _FAULTS.items():
        for log_region in ("", LOG_REGION):
            taken = sorted(
                run_virtual(measure(log_region, fault, seed)) for seed in range(runs)
            )
            rows.append(
                {
                    "fault": name,
                    "log region": log_region or "not set",
                    "runs": runs,
                    "median s": taken[runs // 2],
                    "slowest s": taken[-1],
                }
            )
    print_table(rows)
    save_rows("distribution-gateway-loss", rows)


_Fault = Callable[[Cluster], Awaitable[None]]


def _loss(region: str, indexes: tuple[int, ...], is_frozen: bool) -> _Fault:
    async def lose(cluster: Cluster) -> None:
        vm = next(vm for vm in cluster if vm.place.region == region)
        gateways = vm.node.overlay.gateways()
        for index in indexes:
            if is_frozen:
                cluster.vms_by_id[gateways[index]].transport.running.clear()
            else:
                await cluster.crash(gateways[index])

    return lose


async def _cut_region(cluster: Cluster) -> None:
    others = [p.availability_zone for p in cluster.places if p.region != "r1"]
    cluster.network.cut(cluster.zones_of("r1"), others)


async def _lose_log_region(cluster: Cluster) -> None:
    for vm in list(cluster):
        if vm.place.region == LOG_REGION:
            await cluster.crash(vm.vm_id)


_FAULTS: dict[str, _Fault] = {
    "none": _loss(LOG_REGION, (), False),
    "sending hub dies": _loss(LOG_REGION, (0,), False),
    "sending hub freezes": _loss(LOG_REGION, (0,), True),
    "second reader dies": _loss(LOG_REGION, (1,), False),
    "second reader freezes": _loss(LOG_REGION, (1,), True),
    "both readers die": _loss(LOG_REGION, (0, 1), False),
    "both readers freeze": _loss(LOG_REGION, (0, 1), True),
    "receiving hub dies": _loss("r1", (0,), False),
    "receiving hub freezes": _loss("r1", (0,), True),
    "region cut off from the others": _cut_region,
    "VMs of the log's region lost": _lose_log_region,
}


def _gateway(cluster: Cluster, region: str) -> Place:
    (vm,) = [
        vm
        for vm in cluster
        if vm.place.region == region
        and vm.node.is_zone_root()
        and any(p.is_eager and p.region != region for p in vm.node.peers)
    ]
    return vm.place


def _are_equal(cluster: Cluster) -> bool:
    return len({vm.directory.digest for vm in cluster}) == 1


async def _churn(cluster: Cluster, steps: int) -> int:
    rng = random.Random(7)
    numbers = iter(range(1, steps + 2))
    fresh = _fresh_indexes(cluster)
    number = 0
    for step in range(steps):
        vm = rng.choice(list(cluster))
        endpoint = Endpoint("rota-board", f"v{step}", f"{vm.vm_id}:2")
        vm.node.set_endpoints([endpoint])
        if step % TICKET_EVERY == 0:
            number = next(numbers)
            cluster.publish(number)
        if step % REPLACE_EVERY == 0:
            await _replace(cluster, rng.choice(list(cluster)), next(fresh))
        await cluster.clock.sleep(CHURN_SECONDS)
    return number


async def _replace(cluster: Cluster, vm: ClusterVm, index: int) -> None:
    if vm.node.own.address in cluster.contacts:
        return
    await cluster.crash(vm.vm_id)
    await cluster.add(vm.place, index)


def _fresh_indexes(cluster: Cluster) -> Iterator[int]:
    return iter(range(cluster.vms_per_zone, 1_000_000))


def _watch(cluster: Cluster) -> list[tuple[int, int]]:
    backward: list[tuple[int, int]] = []

    def note(before: Any, after: Any) -> None:
        if (after.next_offset, after.number) < (before.next_offset, before.number):
            backward.append((before.number, after.number))

    for vm in cluster:
        vm.store.subscribe(note)
    return backward
