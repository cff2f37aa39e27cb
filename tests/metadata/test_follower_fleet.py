"""VMs that follow one store, with real followers and fetchers, in virtual time."""

import asyncio
import random
from types import SimpleNamespace

import attrs
import pytest
from result import Err, Ok

from lacewingstair.errors import StoreUnavailable
from lacewingstair.metadata.freshness import STORE, Freshness
from lacewingstair.metadata.store_follower import StoreFollower
from lacewingstair.platform.store import OPERATOR_TOPIC, KeyedPage, KeyedRecord
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.call_messages import (
    LoadReport,
    RecordsPart,
    StoreChecked,
    StoreTopic,
)
from lacewingstair.vm.call_streams import CONNECT_TIMEOUT_SECONDS
from lacewingstair.vm.entries import VmEntry
from lacewingstair.vm.link_delay import LinkDelay
from lacewingstair.vm.record_fetcher import RecordFetcher, RecordSource

ANSWER_SECONDS = 0.02
LINK_SECONDS = 0.02
# deploy/lacewingstaird.ini
TIMEOUT_SECONDS = 2.0
CONFIG_APPLY_SECONDS = 2.5
REGIONS = 3


class Store:
    """Topics of which only the operators' one gets records.

    Attributes
    ----------
    late_seconds_by_vm : dict
        How much later than usual reads that do not wait are answered; they are
        executed at once.
    """

    def __init__(self):
        self.end = 1
        self.late_seconds_by_vm = {}
        self.reads = []
        self._changed = asyncio.Event()
        self._lost_waits = 0

    def write(self, *, loses_waiting_answers):
        """Write a record; the answers to reads that wait for it can be lost."""
        self.end += 1
        if loses_waiting_answers:
            self._lost_waits += 1
            self._changed = asyncio.Event()
            return
        self._changed.set()
        self._changed = asyncio.Event()

    def page(self, topic, offset):
        end = self.end if topic == OPERATOR_TOPIC else 0
        records = [KeyedRecord("config", b"x", n) for n in range(offset, end)]
        return Ok(KeyedPage(tuple(records[-1:]), end, end))


@attrs.frozen
class StoreClient:
    """Client of one VM."""

    store: Store
    vm: int

    async def newest(self, topic):
        return await self.read(topic, 0, 0.0)

    async def read(self, topic, offset, wait_seconds):
        store = self.store
        if wait_seconds and topic == OPERATOR_TOPIC and store.end <= offset:
            lost = store._lost_waits
            changed = store._changed
            try:
                async with asyncio.timeout(wait_seconds):
                    await changed.wait()
            except TimeoutError:
                if lost != store._lost_waits:
                    await asyncio.sleep(TIMEOUT_SECONDS)
                    return Err(StoreUnavailable("log-read", "TimeoutError"))
        elif wait_seconds and topic != OPERATOR_TOPIC:
            await asyncio.sleep(wait_seconds)
        page = store.page(topic, offset)
        late_seconds = store.late_seconds_by_vm.get(self.vm, 0.0)
        if not wait_seconds:
            store.reads.append((asyncio.get_running_loop().time(), self.vm))
            await asyncio.sleep(min(ANSWER_SECONDS + late_seconds, TIMEOUT_SECONDS))
            if ANSWER_SECONDS + late_seconds > TIMEOUT_SECONDS:
                return Err(StoreUnavailable("log-read", "TimeoutError"))
        return page


class Vm:
    """Follower, freshness and fetcher of one VM."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.position = -1
        self.taken_at = {}
        clock = fleet.clock
        rng = random.Random(f"{fleet.seed} {number}")
        self.entry = VmEntry(
            f"vm{number}",
            f"r{number % REGIONS}",
            f"z{number % REGIONS}",
            "127.0.0.1:1",
            "board",
            1,
            bandwidth_kbps=1000 - number,
        )
        self.freshness = Freshness(lambda: self.position, clock, lambda _: None)
        self.fetcher = RecordFetcher(
            lambda: self.position,
            list,
            self._take_transfer,
            clock,
            rng,
            self.freshness.note_newer,
        )
        self.sources = {}
        self.delays_by_number = {}
        self.follower = StoreFollower(
            StoreClient(fleet.store, number),
            self._take_records,
            lambda records, position: None,
            self.freshness,
            SimpleNamespace(entry=self.entry, first_written_at=0.0),
            Links(self),
            self.fetcher,
            lambda message: fleet.broadcast(self, message),
            lambda: None,
            clock,
            rng,
        )

    def link_to(self, other):
        source = RecordSource(
            other.entry.vm_id,
            "zone" if other.entry.region == self.entry.region else "other region",
            lambda request: self.fleet.send(self, other, request),
            lambda: True,
        )
        self.sources[other.number] = source

    def hear(self, sender, message):
        source = self.sources[sender.number]
        if isinstance(message, StoreChecked):
            if message.topic is StoreTopic.OPERATORS and message.is_held:
                source.position = message.end_offset - 1
                self.fetcher.add_source(source)
            delay = self.delays_by_number.setdefault(sender.number, LinkDelay())
            now = self.fleet.clock.monotonic()
            late_seconds = delay.late_seconds(message.sent_at_ms / 1000, now)
            self.follower.take_check(sender.entry.vm_id, message, late_seconds)
        elif isinstance(message, RecordsPart):
            self.fetcher.receive_part(sender.entry.vm_id, message)
        elif isinstance(message, int):
            source.position = message
            self.fetcher.add_source(source)
        else:
            data = str(self.position).encode()
            self.fleet.send(self, sender, RecordsPart(message.transfer_id, True, data))

    def _take_records(self, records, position):
        if position > self.position:
            self._move_to(position)
            self.freshness.note_position(STORE)
            self.fleet.broadcast(self, self.position)

    def _take_transfer(self, data):
        position = int(data)
        if position > self.position:
            self._move_to(position)
            self.freshness.note_position("vm")
            self.follower.skip_to(position + 1)
            self.fleet.broadcast(self, self.position)
        return True

    def _move_to(self, position):
        self.position = position
        self.taken_at[position] = self.fleet.clock.monotonic()


class Links:
    """Links of one VM to all others, which are connected."""

    def __init__(self, vm):
        self._vm = vm

    def __iter__(self):
        for other in self._vm.fleet.vms:
            if other is not self._vm:
                reads = other.follower.operator_reading.is_reading
                load = LoadReport(reads_store=reads)
                yield SimpleNamespace(is_connected=True, entry=other.entry, load=load)


class Fleet:
    """VMs and the messages between them.

    Attributes
    ----------
    slow_sender : int or None
        VM whose messages arrive `sender_late_seconds` later than usual.
    """

    def __init__(self, vms, seed):
        self.clock = VirtualClock()
        self.seed = seed
        self.store = Store()
        self.slow_sender = None
        self.sender_late_seconds = 0.0
        self.vms = []
        self.vms.extend(Vm(self, number) for number in range(vms))
        for vm in self.vms:
            for other in self.vms:
                if other is not vm:
                    vm.link_to(other)

    def broadcast(self, sender, message):
        for vm in self.vms:
            if vm is not sender:
                self.send(sender, vm, message)

    def send(self, sender, receiver, message):
        seconds = LINK_SECONDS
        if sender.number == self.slow_sender:
            seconds += self.sender_late_seconds
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, receiver.hear, sender, message)

    async def __aenter__(self):
        self._tasks = [
            asyncio.create_task(run())
            for vm in self.vms
            for run in vm.follower.runs_by_name().values()
        ]
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            vm.fetcher.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def longest_seconds(fleet, vms, versions=6):
    """Write versions whose answers to waiting reads are lost; return the longest time
    that one took to reach the VMs.
    """
    longest = 0.0
    for number in range(versions):
        await asyncio.sleep(8 + 0.17 * number)
        fleet.store.write(loses_waiting_answers=True)
        written_at = fleet.clock.monotonic()
        position = fleet.store.end - 1
        await asyncio.sleep(5)
        taken = [min(a for p, a in vm.taken_at.items() if p >= position) for vm in vms]
        longest = max(longest, max(taken) - written_at)
    return longest


@pytest.mark.parametrize("vms", [6, 18])
def test_versions_are_in_force_in_time_while_all_is_well_but_the_waiting_reads(vms):
    """Shows that the model itself keeps the bound."""

    async def main():
        async with Fleet(vms, 1) as fleet:
            assert await longest_seconds(fleet, fleet.vms) < CONFIG_APPLY_SECONDS

    run_virtual(main())


@pytest.mark.parametrize("vms", [6, 18])
@pytest.mark.parametrize("late_seconds", [1.0, 1.9])
def test_late_answers_to_the_first_vm_do_not_delay_versions_elsewhere(
    vms, late_seconds
):
    """Guards against proofs that count from when the news of them arrives.

    The store answers all other VMs at once.
    """

    async def main():
        async with Fleet(vms, 1) as fleet:
            fleet.store.late_seconds_by_vm = {0: late_seconds}
            longest = await longest_seconds(fleet, fleet.vms[1:])
            assert longest < CONFIG_APPLY_SECONDS

    run_virtual(main())


@pytest.mark.parametrize("vms", [6, 18])
@pytest.mark.parametrize(
    "late_seconds, late_from_seconds",
    [(0.5, 0.0), (CONNECT_TIMEOUT_SECONDS, 0.0), (1.9, 4.0)],
)
def test_late_messages_of_the_first_vm_do_not_delay_versions_elsewhere(
    vms, late_seconds, late_from_seconds
):
    """Guards against proofs that count from when the news of them arrives.

    Packets wait at the link of one VM, in one direction. A link on which they wait
    longer than the time to connect is not opened in the first place.
    """

    async def main():
        async with Fleet(vms, 1) as fleet:
            await asyncio.sleep(late_from_seconds)
            fleet.slow_sender, fleet.sender_late_seconds = 0, late_seconds
            longest = await longest_seconds(fleet, fleet.vms[1:])
            assert longest < CONFIG_APPLY_SECONDS

    run_virtual(main())
