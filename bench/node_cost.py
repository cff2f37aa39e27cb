"""Cost of one node: CPU over real links, memory, overlay, heartbeats and digests."""

import asyncio
import gc
import multiprocessing
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import attrs
import uvloop
from loguru import logger

from bench.registry import benchmarks
from bench.results import print_table, save_rows
from lacewingstair.rollouts.marks import Marks
from lacewingstair.runtime import SystemClock
from lacewingstair.tickets.state_store import StateStore
from lacewingstair.vm import messages
from lacewingstair.vm.directory import Directory, Endpoint, VmRecord, VmStatus
from lacewingstair.vm.frames import decode_frame, encode_frame
from lacewingstair.vm.node import VmNode
from lacewingstair.vm.overlay import Overlay
from lacewingstair.vm.snapshots import (
    decode_snapshot,
    encode_snapshot,
    split_into_chunks,
)
from lacewingstair.vm.transport import TcpTransport

MESH_SIZE = 18_000
ZONES = 9
LINKS = 18
HOST = "127.0.0.1"
PORT = 27_800
WARM_UP_SECONDS = 3.0


def mesh_records(status: VmStatus = VmStatus.ALIVE) -> list[VmRecord]:
    """Return the records of a whole mesh with one endpoint each."""
    return [
        VmRecord(
            vm_id=f"vm-{index}",
            region=f"r{index % ZONES % 4}",
            availability_zone=f"z{index % ZONES}",
            address=f"10.0.{index // 256}.{index % 256}:7100",
            incarnation=1_700_000_000_000 + index,
            status=status,
            endpoints=(Endpoint(f"service-{index % 710}", "v1", f"10.0.{index}:8000"),),
        )
        for index in range(MESH_SIZE)
    ]


@benchmarks.register("node-cpu")
def node_cpu(
    seconds: float = 20.0, changes_per_second: tuple[int, ...] = (0, 5)
) -> None:
    """Measure the CPU of one node with 18 links over TCP and 18,000 known VMs."""
    rows: list[dict[str, Any]] = []
    logger.remove()
    for index, changes in enumerate(changes_per_second):
        port = PORT + index
        context = multiprocessing.get_context("spawn")
        peers = context.Process(target=_run_peers, args=(port, changes))
        peers.start()
        try:
            share = uvloop.run(_measure_node(port, seconds))
        finally:
            peers.terminate()
            peers.join()
        rows.append(
            {
                "links": LINKS,
                "known VMs": MESH_SIZE,
                "directory changes/s": changes,
                "CPU % of a core": 100 * share,
            }
        )
    print_table(rows)
    save_rows("node-cpu", rows)


@benchmarks.register("node-operations")
def node_operations() -> None:
    """Measure the memory and the single operations at 18,000 VMs."""
    rows = [
        {"what": name, "value": value, "unit": unit}
        for name, value, unit in (*_memory(), *_overlay(), *_digests(), *_frames())
    ]
    print_table(rows)
    save_rows("node-operations", rows)


async def _measure_node(port: int, seconds: float) -> float:
    node = _node(port)
    (await node.listen()).unwrap()
    running = asyncio.create_task(node.run())
    while len(node.peers) < LINKS:  # noqa: ASYNC110
        await asyncio.sleep(0.1)
    await asyncio.sleep(WARM_UP_SECONDS)
    started, used = time.monotonic(), time.process_time()
    await asyncio.sleep(seconds)
    share = (time.process_time() - used) / (time.monotonic() - started)
    assert len(node.peers) == LINKS
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return share


def _node(port: int) -> VmNode:
    directory = Directory()
    # Records that are not live keep the node from connecting to them.
    for record in mesh_records(VmStatus.LEAVING):
        directory.merge(record)
    return VmNode(
        mesh="bench",
        own=VmRecord("own", "r", "z", f"{HOST}:{port}", 1),
        contacts=(),
        store=StateStore(),
        directory=directory,
        marks=Marks(),
        transport=TcpTransport(),
        clock=SystemClock(),
        rng=random.Random(1),
    )


def _run_peers(port: int, changes: int) -> None:
    logger.remove()
    asyncio.run(_peers(port, changes))


async def _peers(port: int, changes: int) -> None:
    directory = Directory()
    for record in mesh_records(VmStatus.LEAVING):
        directory.merge(record)
    directory.merge(VmRecord("own", "r", "z", f"{HOST}:{port}", 1))
    marks_digest = Marks().digest()
    streams = [await _join(port, index) for index in range(LINKS)]
    rng = random.Random(2)
    before: Any = None
    while True:
        changed = [_change(directory, rng) for _ in range(changes)]
        if changed:
            streams[0].send(messages.DirectoryDelta(tuple(changed)))
        heartbeat = messages.Heartbeat(0, 0, 0, directory.digest, marks_digest)
        body = messages.Unchanged() if heartbeat == before else heartbeat
        for stream in streams:
            stream.send(body)
        before = heartbeat
        await asyncio.sleep(1.0)


async def _join(port: int, index: int) -> Any:
    while True:
        connected = await TcpTransport().connect(f"{HOST}:{port}")
        if connected.is_ok():
            break
        await asyncio.sleep(0.1)
    stream = connected.ok_value
    stream.send(messages.Hello("bench", f"peer-{index}", "r", "z", 1))
    task = asyncio.create_task(_drop_all(stream))
    task.add_done_callback(lambda _: None)
    stream.reading = task
    return stream


async def _drop_all(stream: Any) -> None:
    while (await stream.receive()).is_ok():
        pass


def _change(directory: Directory, rng: random.Random) -> VmRecord:
    record = directory.get(f"vm-{rng.randrange(MESH_SIZE)}")
    changed = attrs.evolve(record, sequence=record.sequence + 1)
    directory.merge(changed)
    return changed


def _memory() -> list[tuple[str, float, str]]:
    header = messages.array_header(MESH_SIZE)
    data = header + messages.encode_vm_records(mesh_records())
    gc.collect()
    tracemalloc.start()
    # Decoded from bytes, as they are when received.
    records = messages.decode_vm_records(data).ok_value
    directory = Directory()
    for record in records:
        directory.merge(record)
    del records
    gc.collect()
    for_directory = tracemalloc.get_traced_memory()[0]
    overlay = Overlay(directory, directory.get("vm-0"))
    gc.collect()
    for_both = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert overlay.zones()
    return [
        ("memory of the directory", for_directory / 1e6, "MB"),
        ("memory of the overlay", (for_both - for_directory) / 1e6, "MB"),
    ]


def _overlay() -> list[tuple[str, float, str]]:
    directory = Directory()
    for record in mesh_records():
        directory.merge(record)
    started = time.perf_counter()
    overlay = Overlay(directory, directory.get("vm-0"))
    built = time.perf_counter() - started
    (root,) = overlay.relays("z0")[:1]
    as_root = Overlay(directory, directory.get(root))
    dead = [
        attrs.evolve(directory.get(f"vm-{i}"), status=VmStatus.DEAD)
        for i in range(2000)
    ]
    alone = Directory()
    for record in mesh_records():
        alone.merge(record)
    with_overlays = _seconds_each(directory.merge, dead)
    without = _seconds_each(alone.merge, dead)
    return [
        ("overlay built anew", 1e3 * built, "ms"),
        ("overlay after a death", 1e6 * (with_overlays - without) / 2, "us"),
        ("links of a leaf", 1e6 * _seconds(overlay.links), "us"),
        ("links of a first relay", 1e6 * _seconds(as_root.links), "us"),
    ]


def _digests() -> list[tuple[str, float, str]]:
    directory = Directory()
    for record in mesh_records():
        directory.merge(record)
    changed = [attrs.evolve(record, sequence=1) for record in directory]
    merged = _seconds_each(directory.merge, changed)
    records = list(directory)
    started = time.perf_counter()
    data, longest = asyncio.run(_encode_watched(records))
    encoded = time.perf_counter() - started
    started = time.perf_counter()
    decode_snapshot(data).unwrap()
    decoded = time.perf_counter() - started
    return [
        ("merge of a changed record", 1e6 * merged, "us"),
        ("snapshot of the directory", len(data) / 1e3, "kB"),
        ("snapshot chunks", float(len(split_into_chunks(1, data))), ""),
        ("snapshot encoded", 1e3 * encoded, "ms"),
        ("snapshot encoded, longest hold of the loop", 1e3 * longest, "ms"),
        ("snapshot decoded", 1e3 * decoded, "ms"),
    ]


async def _encode_watched(records: list[VmRecord]) -> tuple[bytes, float]:
    longest = 0.0

    async def watch() -> None:
        nonlocal longest
        while True:
            started = time.perf_counter()
            await asyncio.sleep(0)
            longest = max(longest, time.perf_counter() - started)

    watching = asyncio.create_task(watch())
    data = await encode_snapshot(None, records)
    watching.cancel()
    return data, longest


def _frames() -> list[tuple[str, float, str]]:
    heartbeat = messages.Heartbeat(15_000, 9_000, 2**63, 2**63 + 5, 2**63 + 7)
    delta = messages.DirectoryDelta((mesh_records()[0],))
    rows: list[tuple[str, float, str]] = []
    for name, body in (("heartbeat", heartbeat), ("record of a VM", delta)):
        frame = encode_frame(body)
        encoded = _seconds(lambda body=body: encode_frame(body))
        decoded = _seconds(lambda frame=frame: decode_frame(frame[4], frame[5:]))
        rows.append((f"{name}, frame", float(len(frame)), "B"))
        rows.append((f"{name} encoded", 1e6 * encoded, "us"))
        rows.append((f"{name} decoded", 1e6 * decoded, "us"))
    unchanged = encode_frame(messages.Unchanged())
    rows.append(("unchanged heartbeat, frame", float(len(unchanged)), "B"))
    return rows


def _seconds(call: Callable[[], Any], times: int = 2000) -> float:
    started = time.perf_counter()
    for _ in range(times):
        call()
    return (time.perf_counter() - started) / times


def _seconds_each(call: Callable[[Any], Any], items: list[Any]) -> float:
    started = time.perf_counter()
    for item in items:
        call(item)
    return (time.perf_counter() - started) / len(items)
