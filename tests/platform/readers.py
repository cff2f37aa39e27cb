"""Log readers in virtual time that share one log."""

import asyncio
import contextlib
import random
import re

import attrs
from loguru import logger

from lacewingstair.events import parse_event
from lacewingstair.marks import Marks
from lacewingstair.platform.log import SYSTEM_STREAM, TICKET_STREAM
from lacewingstair.platform.reader import LogReader
from lacewingstair.platform.records import decode_record
from lacewingstair.standins.memory_log import LogFaults, LogStreams, MemoryLogClient
from lacewingstair.standins.virtual_time import VirtualClock
from lacewingstair.store import StateStore


@attrs.define
class Vm:
    """One reader with its own state and its own way to the log."""

    store: StateStore
    marks: Marks
    client: MemoryLogClient
    reader: LogReader
    numbers: list[int]
    task: asyncio.Task | None = None

    @property
    def faults(self) -> LogFaults:
        return self.client.faults


class Readers:
    """Readers of one log that do not talk to each other."""

    def __init__(self, seed=0, retention_seconds=86_400.0):
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.retention_seconds = retention_seconds
        self.log = LogStreams(self.clock, retention_seconds)
        self.vms = []
        self.started = 0

    def start_vm(self, faults=None, is_reader=lambda: True):
        self.started += 1
        store = StateStore()
        marks = Marks()
        client = MemoryLogClient(self.log, self.clock, faults)
        reader = LogReader(
            log=client,
            writer_id=f"vm-{self.started}",
            store=store,
            marks=marks,
            publish_records=store.apply,
            publish_take_back=marks.merge_take_back,
            is_reader=is_reader,
            clock=self.clock,
            rng=random.Random(self.rng.random()),
            retention_seconds=self.retention_seconds,
        )
        vm = Vm(store, marks, client, reader, [])
        store.subscribe(lambda _, after: vm.numbers.append(after.number))
        vm.task = asyncio.create_task(reader.run())
        self.vms.append(vm)
        return vm

    def publish(self, value):
        return self.log.append(TICKET_STREAM, value)

    def system_records(self, cls):
        records = self.log.stream(SYSTEM_STREAM).records
        bodies = [decode_record(record.value).unwrap().body for record in records]
        return [body for body in bodies if isinstance(body, cls)]

    async def stop(self):
        for vm in self.vms:
            vm.task.cancel()
        await asyncio.gather(*(vm.task for vm in self.vms), return_exceptions=True)


@contextlib.contextmanager
def captured_events():
    """Collect the log lines as parsed events."""
    lines = []
    sink = logger.add(
        lambda m: lines.append(re.sub(r"\s+$", "", m)), format="{message}"
    )
    found = []
    try:
        yield found
    finally:
        logger.remove(sink)
        found.extend(parse_event(line) for line in lines)
