"""Requests to the log of all readers, by what happens on it."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from bench.registry import benchmarks
from bench.results import print_table, save_rows
from lacewingstair import events
from lacewingstair.marks import Marks, RolloutKey, TakeBack
from lacewingstair.platform.log import TICKET_STREAM
from lacewingstair.platform.reader import LogReader
from lacewingstair.standins.memory_log import LogFaults, LogStreams, MemoryLogClient
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.store import StateStore

READERS = 8  # two in each of four regions
HOUR_SECONDS = 3600.0
TICKET_SECONDS = 86_400.0 / 15_000
ROLLOUTS = 20


@attrs.define
class Fleet:
    """The readers of a mesh, whose other VMs send nothing to the log."""

    clock: VirtualClock
    log: LogStreams
    faults: LogFaults
    clients: list[MemoryLogClient]
    marks: list[Marks]

    def requests(self) -> tuple[int, int]:
        """Return the reads and the appends sent so far."""
        reads = sum(client.reads for client in self.clients)
        return reads, sum(client.appends for client in self.clients)


scenarios: dict[str, Callable[[Fleet], Awaitable[None]]] = {}


def scenario(function: Callable[[Fleet], Awaitable[None]]):
    """Register an hour on the log."""
    scenarios[function.__name__] = function
    return function


@scenario
async def idle(fleet: Fleet) -> None:
    """Nothing is published."""
    await fleet.clock.sleep(HOUR_SECONDS)


@scenario
async def changes(fleet: Fleet) -> None:
    """Tickets arrive at the rate of 15,000 a day."""
    number = 1
    while number * TICKET_SECONDS < HOUR_SECONDS:
        number += 1
        fleet.log.append(TICKET_STREAM, json.dumps({"number": number}))
        await fleet.clock.sleep(TICKET_SECONDS)


@scenario
async def take_backs(fleet: Fleet) -> None:
    """Every rollout is taken back, one in three minutes."""
    for index in range(ROLLOUTS):
        key = RolloutKey(f"move-{index}", 1)
        mark = TakeBack(key, "errors", "", fleet.clock.wall(), "vm")
        for marks in fleet.marks:
            marks.merge_take_back(mark)
        await fleet.clock.sleep(HOUR_SECONDS / ROLLOUTS)


@scenario
async def outage(fleet: Fleet) -> None:
    """The log is down and refuses at once."""
    fleet.faults.is_down = True
    await fleet.clock.sleep(HOUR_SECONDS)


@benchmarks.register("log")
def measure_log(seed: int = 1) -> None:
    """Count requests of all readers in an hour of virtual time."""
    events.configure("error")
    rows = [run_virtual(_measure(name, seed)) for name in scenarios]
    save_rows("log", rows)
    print_table(rows)


async def _measure(name: str, seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    clock = VirtualClock()
    log = LogStreams(clock)
    faults = LogFaults(delay_seconds=0.02)
    fleet = Fleet(clock, log, faults, [], [])
    log.append(TICKET_STREAM, json.dumps(_first_ticket()))
    tasks = [asyncio.create_task(_add_reader(fleet, i, rng)) for i in range(READERS)]
    await clock.sleep(120.0)
    reads, appends = fleet.requests()
    await scenarios[name](fleet)
    reads_after, appends_after = fleet.requests()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return {
        "hour": name,
        "reads/s, all readers": (reads_after - reads) / HOUR_SECONDS,
        "appends, all readers": appends_after - appends,
        "appends/s": (appends_after - appends) / HOUR_SECONDS,
    }


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


async def _add_reader(fleet: Fleet, index: int, rng: random.Random) -> None:
    store, marks = StateStore(), Marks()
    client = MemoryLogClient(fleet.log, fleet.clock, fleet.faults)
    fleet.clients.append(client)
    fleet.marks.append(marks)
    reader = LogReader(
        log=client,
        writer_id=f"vm-{index}",
        store=store,
        marks=marks,
        publish_records=store.apply,
        publish_take_back=marks.merge_take_back,
        is_reader=lambda: True,
        clock=fleet.clock,
        rng=random.Random(rng.random()),
    )
    await reader.run()
