"""Slopes behind ``docs/CAPACITY.md``: state and work of one VM against the mesh."""

import asyncio
import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from bench.node_cost import mesh_records
from bench.registry import benchmarks
from bench.results import print_table, save_rows
from lacewingstair.rollouts.evidence import EvidenceCounter, EvidenceReport
from lacewingstair.rollouts.marks import Marks, RolloutKey, StageMark
from lacewingstair.routing.balancing import EndpointIndex
from lacewingstair.runtime import SystemClock
from lacewingstair.vm import messages
from lacewingstair.vm.directory import Directory, VmRecord
from lacewingstair.vm.frames import decode_frame, encode_frame
from lacewingstair.vm.overlay import Overlay
from lacewingstair.vm.snapshots import decode_snapshot, encode_snapshot

VM_COUNTS = (2250, 4500, 9000, 18_000)
ROLLOUT_COUNTS = (1, 10, 50, 200)
ZONES = 9
ROUTES_PER_SERVICE = 3


@benchmarks.register("capacity-directory")
def capacity_directory(counts: tuple[int, ...] = VM_COUNTS) -> None:
    """Measure memory, snapshot and join of one VM against the number of VMs."""
    rows = [_directory_row(count) for count in counts]
    print_table(rows)
    save_rows("capacity-directory", rows)


@benchmarks.register("capacity-rollouts")
def capacity_rollouts(counts: tuple[int, ...] = ROLLOUT_COUNTS) -> None:
    """Measure evidence and marks against the number of rollouts at a time."""
    rows = [_rollout_row(count) for count in counts]
    print_table(rows)
    save_rows("capacity-rollouts", rows)


def _directory_row(count: int) -> dict[str, Any]:
    records = mesh_records()[:count]
    data = messages.array_header(count) + messages.encode_vm_records(records)
    gc.collect()
    tracemalloc.start()
    directory = _directory(messages.decode_vm_records(data).ok_value)
    overlay = Overlay(directory, directory.get("vm-0"))
    index = EndpointIndex(directory, "r0", "z0", SystemClock())
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    snapshot = asyncio.run(encode_snapshot(None, records))
    return {
        "VMs": len(directory),
        "zones": len(overlay.zones()),
        "endpoints": len(index.upstreams()),
        "memory MB": memory / 1e6,
        "snapshot kB": len(snapshot) / 1e3,
        "snapshot encoded ms": 1e3
        * _seconds(lambda: asyncio.run(encode_snapshot(None, records)), 3),
        "snapshot decoded ms": 1e3 * _seconds(lambda: decode_snapshot(snapshot), 3),
        "directory built ms": 1e3 * _seconds(lambda: _directory(records), 3),
    }


def _directory(records: tuple[VmRecord, ...] | list[VmRecord]) -> Directory:
    directory = Directory()
    for record in records:
        directory.merge(record)
    return directory


def _rollout_row(count: int) -> dict[str, Any]:
    rng = random.Random(count)
    report = EvidenceReport("vm-1", False, 1, tuple(_counters(count, rng)))
    frame = encode_frame(messages.Evidence(report))
    marks = Marks()
    for key in _keys(count):
        for zone in range(ZONES):
            for route in range(ROUTES_PER_SERVICE):
                marks.merge_stage(StageMark(key, f"z{zone}", f"route-{route}", 2, 1.0))
    marks.digest()
    return {
        "rollouts": count,
        "counters": len(report.counters),
        "report B": len(frame),
        "report encoded ms": 1e3
        * _seconds(lambda: encode_frame(messages.Evidence(report)), 20),
        "report decoded ms": 1e3 * _seconds(lambda: decode_frame(frame[4], frame[5:])),
        "marks": len(marks.stage_marks_by_scope),
        "marks digest ms, unchanged": 1e3 * _seconds(marks.digest),
    }


def _keys(count: int) -> list[RolloutKey]:
    return [RolloutKey(f"service-{index}-v2", index + 1) for index in range(count)]


def _counters(count: int, rng: random.Random) -> list[EvidenceCounter]:
    return [
        EvidenceCounter(
            key=key,
            route=f"service-{index}-route-{route}",
            version=version,
            stage=2,
            calls=rng.randrange(100_000),
            failures=rng.randrange(1000),
            timed=rng.randrange(100_000),
            slow=rng.randrange(30_000),
            refused=rng.randrange(1000),
        )
        for index, key in enumerate(_keys(count))
        for route in range(ROUTES_PER_SERVICE)
        for version in ("v1", "v2")
    ]


def _seconds(call: Callable[[], Any], times: int = 20) -> float:
    started = time.perf_counter()
    for _ in range(times):
        call()
    return (time.perf_counter() - started) / times
