import asyncio
import random
from collections import Counter

import attrs
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lacewingstair.rollouts.marks import RollbackMark, RolloutKey
from lacewingstair.standins.log_readers import LogReaders
from lacewingstair.standins.memory_log import LogFaults, MemoryLogClient
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.ticket_log.log import SYSTEM_STREAM, TICKET_STREAM
from lacewingstair.ticket_log.publish import publish_ticket
from lacewingstair.ticket_log.records import decode_record
from lacewingstair.tickets.acceptance import MeshState, TicketRecord, fold
from tests.ticket_texts import ROLLOUT, SERVICES, ticket

VMS = 3
RETENTION = 2000.0

clean_faults = st.builds(
    LogFaults,
    is_down=st.booleans(),
    delay_seconds=st.sampled_from((0.0, 0.05, 3.0)),
    lost_answers=st.integers(0, 3),
    repeated_reads=st.integers(0, 3),
)
# A request that takes effect after its timeout, or twice, doubles the record on the
# log whatever the writer does.
any_faults = st.builds(
    LogFaults,
    is_down=st.booleans(),
    delay_seconds=st.sampled_from((0.0, 3.0, 6.0, 70.0)),
    lost_answers=st.integers(0, 2),
    doubled_appends=st.integers(0, 2),
    repeated_reads=st.integers(0, 3),
)


@attrs.frozen
class Step:
    """One change of the surroundings, and the time until the next."""

    action: str
    vm: int
    faults: LogFaults
    seconds: float


def schedules(faults):
    step = st.builds(
        Step,
        action=st.sampled_from(("faults", "publish", "publish", "mark", "vm", "lose")),
        vm=st.integers(0, VMS - 1),
        faults=faults,
        seconds=st.sampled_from((0.0, 1.0, 30.0, 400.0)),
    )
    return st.lists(step, max_size=25)


class World:
    """Readers and operators of one log, and every ticket record ever on it."""

    def __init__(self, seed):
        self.readers = LogReaders(VirtualClock(), seed, RETENTION)
        self.rng = random.Random(seed)
        self.tickets = []
        self.system = []
        self.operators = []
        self.number = 0
        append = self.readers.log.append

        def recorded(name, value):
            offset = append(name, value)
            kept = self.tickets if name == TICKET_STREAM else self.system
            kept.append((offset, value))
            return offset

        self.readers.log.append = recorded

    def publish(self, faults):
        self.number += 1
        sections = {"services": SERVICES, "rollouts": {"move": ROLLOUT}}
        if self.number > 1:
            sections = {"routes": {f"r{self.number % 5}": {"service": "board"}}}
        text = ticket(self.number, **sections)
        client = MemoryLogClient(
            self.readers.log, self.readers.clock, attrs.evolve(faults)
        )
        published = publish_ticket(client, text, self.readers.clock, self.rng, 1e6)
        self.operators.append((client, asyncio.create_task(published)))

    def mark(self, vm):
        key = RolloutKey("move", 1)
        mark = RollbackMark(key, "errors", "", self.readers.clock.wall(), f"vm-{vm}")
        self.readers.vms[vm].marks.merge_rollback(mark)

    def replace_vm(self, index):
        self.readers.vms[index].task.cancel()
        self.readers.start_vm()
        self.readers.vms[index] = self.readers.vms.pop()

    async def run(self, schedule):
        for _ in range(VMS):
            self.readers.start_vm()
        for step in schedule:
            if step.action == "faults":
                self.readers.vms[step.vm].client.faults = attrs.evolve(step.faults)
            elif step.action == "publish":
                self.publish(step.faults)
            elif step.action == "mark":
                self.mark(step.vm)
            elif step.action == "vm":
                self.replace_vm(step.vm)
            else:
                stream = self.readers.log.stream(TICKET_STREAM)
                self.readers.log.expire(TICKET_STREAM, stream.first_offset + 1)
            await self.readers.clock.sleep(step.seconds)
        clients = [vm.client for vm in self.readers.vms]
        for client in clients + [client for client, _ in self.operators]:
            client.faults = LogFaults()
        await self.readers.clock.sleep(200.0)
        published = [await task for _, task in self.operators]
        await self.readers.clock.sleep(200.0)
        await self.readers.stop()
        return published

    def reference(self):
        state = MeshState()
        for offset, value in self.tickets:
            state, _ = fold(state, TicketRecord(offset, value))
        return state


def check(world, published):
    assert all(answer.is_ok() for answer in published)
    expected = world.reference()
    for vm in world.readers.vms:
        assert vm.numbers == sorted(vm.numbers)
        if vm.reader.status.has_gap:
            assert vm.store.state.next_offset < expected.next_offset
        else:
            assert vm.store.state == expected


def run(schedule, seed):
    async def main():
        world = World(seed)
        return world, await world.run(schedule)

    return run_virtual(main())


@settings(max_examples=100, suppress_health_check=[HealthCheck.too_slow])
@given(schedules(clean_faults), st.integers(0, 1 << 32))
def test_readers_agree_and_no_append_is_doubled_when_answers_are_lost(schedule, seed):
    world, published = run(schedule, seed)
    check(world, published)
    assert max(Counter(v for _, v in world.tickets).values(), default=1) == 1
    identities = Counter(decode_record(v).unwrap().identity for _, v in world.system)
    assert max(identities.values(), default=1) == 1


@settings(max_examples=100, suppress_health_check=[HealthCheck.too_slow])
@given(schedules(any_faults), st.integers(0, 1 << 32))
def test_readers_agree_when_requests_take_effect_late_or_twice(schedule, seed):
    world, published = run(schedule, seed)
    check(world, published)
    views = [vm.reader._system.view for vm in world.readers.vms]
    held = [view.marks.rollbacks_by_key for view in views]
    assert all(marks == held[0] for marks in held)


def test_the_schedules_reach_checkpoints_and_marks():
    schedule = [
        Step("publish", 0, LogFaults(), 30.0),
        Step("mark", 0, LogFaults(), 400.0),
        Step("lose", 0, LogFaults(), 0.0),
        Step("vm", 1, LogFaults(), 30.0),
    ]
    world, published = run(schedule, 0)
    check(world, published)
    records = [decode_record(v).unwrap().body for _, v in world.system]
    kinds = {type(record).__name__ for record in records}
    assert kinds == {"Lease", "CheckpointChunk", "TakeBackRecord"}
    assert not any(vm.reader.status.has_gap for vm in world.readers.vms)
    assert world.readers.log.stream(SYSTEM_STREAM).next_offset == len(records)
