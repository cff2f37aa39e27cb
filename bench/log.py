"""Requests to the log of all readers, by what happens on it."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

from bench.registry import benchmarks
from bench.results import print_table, save_rows
from lacewingstair import events
from lacewingstair.rollouts.marks import RollbackMark, RolloutKey
from lacewingstair.standins.log_readers import LogReaders
from lacewingstair.standins.memory_log import LogFaults
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.tickets.acceptance import MeshState

READERS = 8  # two in each of four regions
HOUR_SECONDS = 3600.0
TICKET_SECONDS = 86_400.0 / 15_000
ROLLOUTS = 20


scenarios: dict[str, Callable[[LogReaders], Awaitable[None]]] = {}


def scenario(function: Callable[[LogReaders], Awaitable[None]]):
    """Register an hour on the log."""
    scenarios[function.__name__] = function
    return function


@scenario
async def idle(readers: LogReaders) -> None:
    """Nothing is published."""
    await readers.clock.sleep(HOUR_SECONDS)


@scenario
async def changes(readers: LogReaders) -> None:
    """Tickets arrive at the rate of 15,000 a day."""
    number = 1
    while number * TICKET_SECONDS < HOUR_SECONDS:
        number += 1
        readers.publish(json.dumps({"number": number}))
        await readers.clock.sleep(TICKET_SECONDS)


@scenario
async def take_backs(readers: LogReaders) -> None:
    """Every rollout is taken back, one in three minutes."""
    for index in range(ROLLOUTS):
        key = RolloutKey(f"move-{index}", 1)
        mark = RollbackMark(key, "errors", "", readers.clock.wall(), "vm")
        for vm in readers.vms:
            vm.marks.merge_rollback(mark)
        await readers.clock.sleep(HOUR_SECONDS / ROLLOUTS)


@scenario
async def outage(readers: LogReaders) -> None:
    """The log is down and refuses at once."""
    for vm in readers.vms:
        vm.faults.is_down = True
    await readers.clock.sleep(HOUR_SECONDS)


@benchmarks.register("log")
def measure_log(seed: int = 1) -> None:
    """Count requests of all readers in an hour of virtual time."""
    events.configure("error")
    rows = [run_virtual(_measure(name, seed)) for name in scenarios]
    save_rows("log", rows)
    print_table(rows)


async def _measure(name: str, seed: int) -> dict[str, Any]:
    clock = VirtualClock()
    readers = LogReaders(clock, seed)
    readers.publish(json.dumps(_first_ticket()))
    for _ in range(READERS):
        readers.start_vm(LogFaults(delay_seconds=0.02))
    await clock.sleep(120.0)
    reads, appends = readers.requests()
    await scenarios[name](readers)
    reads_after, appends_after = readers.requests()
    arrivals = await _converge(readers)
    await readers.stop()
    return {
        "hour": name,
        "reads/s, all readers": (reads_after - reads) / HOUR_SECONDS,
        "appends, all readers": appends_after - appends,
        "appends/s": (appends_after - appends) / HOUR_SECONDS,
        "ticket at the first reader, s": arrivals[0],
        "ticket at all readers, s": arrivals[READERS - 1],
    }


async def _converge(readers: LogReaders) -> list[float]:
    """Publish a ticket on a log that answers; return when each reader has it."""
    for vm in readers.vms:
        vm.faults.is_down = False
    start = readers.clock.monotonic()
    number = max(vm.store.state.number for vm in readers.vms) + 1
    arrivals: list[float] = []

    def note(_: MeshState, after: MeshState) -> None:
        if after.number == number:
            arrivals.append(readers.clock.monotonic() - start)

    for vm in readers.vms:
        vm.store.subscribe(note)
    readers.publish(json.dumps({"number": number}))
    await readers.clock.sleep(60.0)
    return arrivals


def _first_ticket() -> dict[str, Any]:
    names = [f"move-{index}" for index in range(ROLLOUTS)]
    versions = {"versions": ["v1", "v2"], "current": "v1"}
    rollout = {
        "from_version": "v1",
        "to_version": "v2",
        "start": "2026-01-31T10:00:00Z",
        "end_by": "2026-01-31T11:00:00Z",
    }
    return {
        "number": 1,
        "services": dict.fromkeys(names, versions),
        "rollouts": {name: {**rollout, "service": name} for name in names},
    }
