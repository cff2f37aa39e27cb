"""Log readers that share one log in memory and do not talk to each other."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import attrs

from lacewingstair.rollouts.marks import Marks
from lacewingstair.runtime import Clock
from lacewingstair.standins.memory_log import LogFaults, LogStreams, MemoryLogClient
from lacewingstair.ticket_log.log import SYSTEM_STREAM, TICKET_STREAM
from lacewingstair.ticket_log.options import LogOptions
from lacewingstair.ticket_log.reader import DEFAULT_OPTIONS, LogReader
from lacewingstair.ticket_log.records import decode_record
from lacewingstair.tickets.state_store import StateStore


def _always() -> bool:
    return True


@attrs.define
class ReaderVm:
    """One reader with its own state and its own way to the log.

    Attributes
    ----------
    numbers : list of int
        Ticket number after each change of the state.
    task : asyncio.Task
        Runs the reader.
    """

    store: StateStore
    marks: Marks
    client: MemoryLogClient
    reader: LogReader
    task: asyncio.Task[None]
    numbers: list[int] = attrs.field(factory=list)

    @property
    def faults(self) -> LogFaults:
        """Faults of the way to the log."""
        return self.client.faults


class LogReaders:
    """A log and its readers.

    Parameters
    ----------
    clock : Clock
        Time of the log and the readers.
    seed : int
        Of the readers' randomness.
    retention_seconds : float
        How long the log keeps records.

    Attributes
    ----------
    log : LogStreams
        The log.
    vms : list of ReaderVm
        The readers, in the order in which they were started.
    """

    def __init__(
        self,
        clock: Clock,
        seed: int = 0,
        retention_seconds: float = DEFAULT_OPTIONS.retention_seconds,
    ) -> None:
        self.clock = clock
        self.rng = random.Random(seed)
        self.log = LogStreams(clock, retention_seconds)
        self.vms: list[ReaderVm] = []
        self._retention_seconds = retention_seconds
        self._started = 0

    def start_vm(
        self,
        faults: LogFaults | None = None,
        is_reader: Callable[[], bool] = _always,
    ) -> ReaderVm:
        """Start a VM without any state."""
        store, marks = StateStore(), Marks()
        client = MemoryLogClient(self.log, self.clock, faults)
        reader = LogReader(
            log=client,
            writer_id=f"vm-{self._started}",
            store=store,
            marks=marks,
            publish_records=store.apply,
            publish_take_back=marks.merge_rollback,
            is_reader=is_reader,
            clock=self.clock,
            rng=random.Random(self.rng.random()),
            options=LogOptions(retention_seconds=self._retention_seconds),
        )
        self._started += 1
        task = asyncio.create_task(reader.run())
        vm = ReaderVm(store, marks, client, reader, task)
        store.subscribe(lambda _, after: vm.numbers.append(after.number))
        self.vms.append(vm)
        return vm

    def publish(self, value: str) -> int:
        """Append a record to the ticket stream and return its offset."""
        return self.log.append(TICKET_STREAM, value)

    def system_records(self, cls: type) -> list[Any]:
        """Return the records of one type that the system stream keeps."""
        records = self.log.stream(SYSTEM_STREAM).records
        bodies = [decode_record(record.value).unwrap().body for record in records]
        return [body for body in bodies if isinstance(body, cls)]

    def requests(self) -> tuple[int, int]:
        """Return the reads and the appends that the VMs have sent."""
        reads = sum(vm.client.reads for vm in self.vms)
        return reads, sum(vm.client.appends for vm in self.vms)

    async def stop(self) -> None:
        """Stop all readers."""
        for vm in self.vms:
            vm.task.cancel()
        await asyncio.gather(*(vm.task for vm in self.vms), return_exceptions=True)
