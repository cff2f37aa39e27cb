"""Time and bytes until a ticket or an endpoint change is known to every VM.

The nodes are those of the daemon, in virtual time and on an in-memory network whose
bytes are those of real frames. Virtual time contains network latency, intervals and
timers, but no CPU time.
"""

import json
import logging
from collections import Counter
from typing import Any

import attrs
from loguru import logger

from bench.http_poll_model import POLL_SECONDS, poll_bytes
from bench.registry import benchmarks
from bench.results import print_table, save_rows
from lacewingstair.standins.mesh_cluster import Cluster, ClusterVm, zones
from lacewingstair.standins.virtual_time import run_virtual
from lacewingstair.vm.directory import Endpoint, VmRecord

ZONES = 9
REGIONS = 4
IDLE_SECONDS = 30.0
IDLE_FAR_SECONDS = 600.0
HOUR_SECONDS = 3600.0
SETTLE_SECONDS = 300.0
LIMIT_SECONDS = 60.0
STEP_SECONDS = 0.005
TICKETS = 20
# The log stands in the first zone.
LOG_REGION = "r0"
ROUTES_PER_TICKET = 15
TICKET_TYPES = ("TicketDelta", "StateRequest", "RecordsExpired", "SnapshotChunk")
DIRECTORY_TYPES = (
    "DirectoryDelta",
    "DirectoryDigests",
    "BucketSummaries",
    "DirectoryRequest",
)


@attrs.frozen
class Traffic:
    """Bytes sent so far, by message type: by all VMs, and between regions."""

    everywhere: Counter[str]
    far: Counter[str]
    polled_far: int

    @classmethod
    def of(cls, cluster: Cluster) -> "Traffic":
        """Return the traffic of a mesh so far."""
        network = cluster.network
        return cls(
            Counter(network.bytes_by_type),
            Counter(network.far_bytes_by_type),
            cluster.log.far_poll_bytes,
        )

    def since(self, earlier: "Traffic") -> "Traffic":
        """Return the traffic after an earlier moment."""
        return Traffic(
            self.everywhere - earlier.everywhere,
            self.far - earlier.far,
            self.polled_far - earlier.polled_far,
        )


def total(counter: Counter[str], types: tuple[str, ...]) -> int:
    """Return the sum over some message types."""
    return sum(counter[name] for name in types)


async def settled_cluster(vms_per_zone: int, seed: int = 1, **options: Any) -> Cluster:
    """Return a mesh that has settled and been idle for a while."""
    logger.remove()
    logging.disable()
    cluster = Cluster(zones(ZONES, REGIONS), vms_per_zone, seed, False, **options)
    cluster.log.count_poll = poll_bytes
    await cluster.start(SETTLE_SECONDS)
    await cluster.clock.sleep(IDLE_SECONDS)
    return cluster


def some_vm(cluster: Cluster) -> ClusterVm:
    """Return a VM that is not a relay."""
    return next(v for v in cluster if v.node.overlay.relay_rank() is None)


async def idle_rate(cluster: Cluster) -> float:
    """Return the bytes per second that a VM sends while nothing changes."""
    before = Traffic.of(cluster)
    await cluster.clock.sleep(IDLE_SECONDS)
    sent = Traffic.of(cluster).since(before).everywhere.total()
    return sent / IDLE_SECONDS / len(cluster.vms_by_id)


async def idle_far_hour(cluster: Cluster) -> float:
    """Return the bytes between regions, polls included, of an hour without changes."""
    before = Traffic.of(cluster)
    await cluster.clock.sleep(IDLE_FAR_SECONDS)
    sent = Traffic.of(cluster).since(before)
    return (sent.far.total() + sent.polled_far) * HOUR_SECONDS / IDLE_FAR_SECONDS


async def measure_ticket(cluster: Cluster, number: int) -> dict[str, Any]:
    """Publish a ticket; return how long and how many bytes it takes."""
    before = Traffic.of(cluster)
    cluster.publish(number, routes=ROUTES_PER_TICKET)
    seconds = await cluster.until(
        lambda: cluster.has_ticket(number), LIMIT_SECONDS, STEP_SECONDS
    )
    await cluster.clock.sleep(3.0)
    sent = Traffic.of(cluster).since(before)
    return {
        "ticket s": seconds,
        "ticket B/VM": total(sent.everywhere, TICKET_TYPES) / len(cluster.vms_by_id),
        "ticket B between regions": total(sent.far, TICKET_TYPES) + sent.polled_far,
    }


async def measure_endpoint(cluster: Cluster, version: str) -> dict[str, Any]:
    """Change an endpoint; return how long and how many bytes it takes."""
    vm = some_vm(cluster)
    before = Traffic.of(cluster)
    vm.node.set_endpoints([Endpoint("rota-board", version, "10.0.0.1:8000")])
    seconds = await cluster.until(cluster.is_settled, LIMIT_SECONDS, STEP_SECONDS)
    await cluster.clock.sleep(3.0)
    sent = Traffic.of(cluster).since(before)
    return {
        "endpoint s": seconds,
        "endpoint B/VM": total(sent.everywhere, DIRECTORY_TYPES)
        / len(cluster.vms_by_id),
        "endpoint B between regions": total(sent.far, DIRECTORY_TYPES),
    }


def tailing_row(cluster: Cluster) -> dict[str, Any]:
    """Return the baseline's figures for the same mesh, from the byte model."""
    vms = list(cluster)
    far = sum(vm.place.region != cluster.places[0].region for vm in vms)
    endpoint = Endpoint("rota-board", "v2", "10.0.0.1:8000")
    record = VmRecord("r0z0-0", "r0", "r0z0", "r0z0-0:1", 1, endpoints=(endpoint,))
    ticket_bytes = poll_bytes([cluster.log.values[-1]])
    endpoint_bytes = poll_bytes([json.dumps(attrs.asdict(record))])
    latency = cluster.network.latency.far
    return {
        "vms": len(vms),
        "way": "each VM tails the log (byte model)",
        "idle B/s/VM": poll_bytes([]) / POLL_SECONDS,
        "ticket s": latency,
        "ticket B/VM": float(ticket_bytes),
        "ticket B between regions": ticket_bytes * far,
        "endpoint s": 2 * latency,
        "endpoint B/VM": float(endpoint_bytes),
        "endpoint B between regions": endpoint_bytes * far,
    }


@benchmarks.register("distribution")
def distribution(vms_per_zone: tuple[int, ...] = (3, 10, 30, 90)) -> None:
    """Measure one ticket and one endpoint change against the number of VMs."""
    rows: list[dict[str, Any]] = []

    async def measure(size: int) -> None:
        cluster = await settled_cluster(size)
        row = {"vms": len(cluster.vms_by_id), "way": "mesh"}
        row["idle B/s/VM"] = await idle_rate(cluster)
        row |= await measure_ticket(cluster, 1)
        row |= await measure_endpoint(cluster, "v2")
        rows.extend((row, tailing_row(cluster)))
        await cluster.stop()

    for size in vms_per_zone:
        run_virtual(measure(size))
    print_table(rows)
    save_rows("distribution", rows)


@benchmarks.register("distribution-log-region")
def distribution_log_region(vms_per_zone: tuple[int, ...] = (3, 10, 30)) -> None:
    """Compare a log read by one region with one read by every region."""
    rows: list[dict[str, Any]] = []

    async def measure(size: int, log_region: str) -> None:
        cluster = await settled_cluster(size, log_region=log_region)
        row = {"vms": len(cluster.vms_by_id), "log region": log_region or "not set"}
        row["idle kB/h between regions"] = await idle_far_hour(cluster) / 1e3
        # Tickets at different moments between two heartbeats.
        tickets = []
        for number in range(1, TICKETS + 1):
            await cluster.clock.sleep(cluster.rng.uniform(0.0, 2.0))
            tickets.append(await measure_ticket(cluster, number))
        for key in tickets[0]:
            row[key] = sum(ticket[key] for ticket in tickets) / TICKETS
        row["slowest ticket s"] = max(ticket["ticket s"] for ticket in tickets)
        row |= await measure_endpoint(cluster, "v2")
        rows.append(row)
        await cluster.stop()

    for size in vms_per_zone:
        for log_region in ("", LOG_REGION):
            run_virtual(measure(size, log_region))
    print_table(rows)
    save_rows("distribution-log-region", rows)


@benchmarks.register("distribution-trees")
def distribution_trees(vms_per_zone: int = 90) -> None:
    """Compare one eager tree with two, with and without the loss of inner VMs."""
    rows: list[dict[str, Any]] = []

    async def measure(eager_trees: int, losses: int) -> None:
        cluster = await settled_cluster(vms_per_zone, eager_trees=eager_trees)
        for place in cluster.places:
            in_zone = cluster.in_zone(place.availability_zone)
            inner = [
                vm
                for vm in in_zone
                if vm.node.overlay.children(0) and vm.node.overlay.relay_rank() is None
            ]
            for vm in inner[:losses]:
                await cluster.crash(vm.vm_id)
        row = {"eager trees": eager_trees, "inner VMs lost per zone": losses}
        row |= await measure_ticket(cluster, 1)
        if not losses:
            row |= await measure_endpoint(cluster, "v2")
        rows.append(row)
        await cluster.stop()

    for eager_trees in (1, 2):
        for losses in (0, 1, 3):
            run_virtual(measure(eager_trees, losses))
    rows.sort(key=lambda row: row["inner VMs lost per zone"])
    print_table(rows)
    save_rows("distribution-trees", rows)
