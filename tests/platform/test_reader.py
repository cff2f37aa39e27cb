import json

import attrs
import pytest

from lacewingstair.marks import RolloutKey, TakeBack
from lacewingstair.platform import checkpointer
from lacewingstair.platform.log import SYSTEM_STREAM, TICKET_STREAM
from lacewingstair.platform.records import CheckpointChunk, Lease, TakeBackRecord
from lacewingstair.standins.memory_log import LogFaults
from lacewingstair.standins.virtual_time import run_virtual
from lacewingstair.tickets import MAX_TICKET_BYTES
from tests.platform.readers import Readers, captured_events
from tests.ticket_texts import first_ticket, ticket

MARK = TakeBack(RolloutKey("move", 1), "errors", "9 of 10 calls", 12.5, "vm-1")
RETENTION = 4 * 3600.0


def in_virtual_time(scenario, **options):
    """Run a scenario with readers and return its result and the events logged."""

    async def main():
        readers = Readers(**options)
        try:
            return await scenario(readers)
        finally:
            await readers.stop()

    with captured_events() as events:
        result = run_virtual(main())
    return result, [event["event"] for event in events]


def test_tickets_reach_every_reader_and_idle_polls_are_few():
    async def scenario(readers):
        vms = [readers.start_vm() for _ in range(8)]
        await readers.clock.sleep(60.0)
        readers.publish(first_ticket())
        readers.publish(ticket(2))
        await readers.clock.sleep(1.0)
        numbers = [vm.store.state.number for vm in vms]
        before = sum(vm.client.reads for vm in vms)
        await readers.clock.sleep(3600.0)
        return numbers, sum(vm.client.reads for vm in vms) - before

    (numbers, reads), _ = in_virtual_time(scenario)
    assert numbers == [2] * 8
    # 8 readers, one poll in at most 10 s and one look at the system stream a minute.
    assert 8 * 360 <= reads <= 8 * 600


def test_an_outage_of_hours_costs_little_and_ends_without_help():
    async def scenario(readers):
        vm = readers.start_vm()
        readers.publish(first_ticket())
        await readers.clock.sleep(60.0)
        vm.faults.is_down = True
        before = vm.client.reads + vm.client.appends
        await readers.clock.sleep(6 * 3600.0)
        requests = vm.client.reads + vm.client.appends - before
        status = attrs.evolve(vm.reader.status)
        readers.publish(ticket(2))
        vm.faults.is_down = False
        await readers.clock.sleep(10.0)
        return requests, status, vm

    (requests, status, vm), events = in_virtual_time(scenario)
    assert requests < 6 * 3600 / 4
    assert not status.is_log_up
    assert status.last_error
    assert vm.reader.status.is_log_up
    assert vm.store.state.number == 2
    assert events.count("log_unavailable") == 1


def test_a_slow_log_is_read_in_smaller_answers_and_never_lost():
    async def scenario(readers):
        vm = readers.start_vm(LogFaults(delay_seconds=4.0))
        readers.publish(first_ticket())
        await readers.clock.sleep(60.0)
        vm.faults.delay_seconds = 8.0
        await readers.clock.sleep(600.0)
        readers.publish(ticket(2))
        vm.faults.delay_seconds = 4.0
        await readers.clock.sleep(60.0)
        return vm

    vm, _ = in_virtual_time(scenario)
    assert vm.store.state.number == 2


def test_a_vm_that_is_no_reader_sends_nothing():
    async def scenario(readers):
        vm = readers.start_vm(is_reader=lambda: False)
        await readers.clock.sleep(600.0)
        return vm.client.reads + vm.client.appends

    assert in_virtual_time(scenario)[0] == 0


def test_a_new_reader_of_an_expired_log_starts_from_the_checkpoint():
    async def scenario(readers):
        old = readers.start_vm()
        readers.publish(first_ticket())
        readers.publish(ticket(2, note="x"))
        await readers.clock.sleep(60.0)
        readers.log.expire(TICKET_STREAM, 2)
        new = readers.start_vm()
        await readers.clock.sleep(60.0)
        return old.store.state, new.store.state, new.reader.status

    (old, new, status), events = in_virtual_time(scenario)
    assert new == old
    assert new.number == 2
    assert not status.has_gap
    assert status.checkpoint_offset == 2
    assert "log_gap" not in events


def test_an_outage_beyond_the_retention_is_covered_by_another_readers_checkpoint():
    async def scenario(readers):
        cut_off = readers.start_vm()
        reader = readers.start_vm()
        readers.publish(first_ticket())
        await readers.clock.sleep(60.0)
        cut_off.faults.is_down = True
        for number in range(2, 50):
            readers.publish(ticket(number))
            await readers.clock.sleep(RETENTION / 24)
        held = cut_off.store.state.number
        first_offset = readers.log.stream(TICKET_STREAM).first_offset
        cut_off.faults.is_down = False
        await readers.clock.sleep(60.0)
        return held, first_offset, cut_off, reader

    (held, first_offset, cut_off, reader), events = in_virtual_time(
        scenario, retention_seconds=RETENTION
    )
    assert held == 1
    assert first_offset > 10
    assert cut_off.store.state == reader.store.state
    assert cut_off.numbers == sorted(cut_off.numbers)
    assert "log_gap" not in events


def test_a_gap_that_nothing_covers_is_an_error_while_the_state_stays():
    async def scenario(readers):
        vm = readers.start_vm()
        readers.publish(first_ticket())
        await readers.clock.sleep(60.0)
        vm.faults.is_down = True
        for number in (2, 3):
            readers.publish(ticket(number))
        readers.log.expire(TICKET_STREAM, 2)
        vm.faults.is_down = False
        await readers.clock.sleep(600.0)
        in_gap = vm.reader.status.has_gap
        held = vm.store.state
        source = Readers()
        source.clock = readers.clock
        for text in (first_ticket(), ticket(2), ticket(3)):
            source.publish(text)
        helper = source.start_vm()
        await readers.clock.sleep(60.0)
        vm.store.adopt(helper.store.state)
        await readers.clock.sleep(60.0)
        await source.stop()
        return held, in_gap, vm

    (held, in_gap, vm), events = in_virtual_time(scenario)
    assert in_gap
    assert held.number == 1
    assert events.count("log_gap") == 1
    assert not vm.reader.status.has_gap
    assert vm.store.state.number == 3


def test_a_log_that_lost_data_is_an_error_and_the_state_never_goes_back():
    async def scenario(readers):
        vm = readers.start_vm()
        for text in (first_ticket(), ticket(2), ticket(3)):
            readers.publish(text)
        await readers.clock.sleep(60.0)
        readers.log.truncate(TICKET_STREAM, 1)
        readers.log.truncate(SYSTEM_STREAM, 1)
        before = vm.client.reads
        await readers.clock.sleep(600.0)
        has_lost_data = vm.reader.status.has_lost_data
        reads = vm.client.reads - before
        for text in (ticket(2), ticket(3), ticket(4)):
            readers.publish(text)
        await readers.clock.sleep(60.0)
        return vm, has_lost_data, reads

    (vm, has_lost_data, reads), events = in_virtual_time(scenario)
    assert has_lost_data
    assert reads < 300
    assert "log_lost_data" in events
    assert vm.numbers == sorted(vm.numbers)
    assert vm.store.state.number == 4


def test_a_checkpoint_is_renewed_well_before_its_records_expire():
    async def scenario(readers):
        vms = [readers.start_vm() for _ in range(4)]
        readers.publish(first_ticket())
        covered = []
        for _ in range(72):
            await readers.clock.sleep(RETENTION / 24)
            newest = vms[0].reader._system.view.checkpoints[-1]
            covered.append(readers.clock.wall() - newest.time_ms / 1000)
        return covered, sum(vm.client.appends for vm in vms)

    (ages, appends), events = in_virtual_time(scenario, retention_seconds=RETENTION)
    assert max(ages) < RETENTION / 3
    # 12 or 13 checkpoints in three times the retention, each a lease and a chunk.
    assert 24 <= appends <= 40
    assert "log_gap" not in events


def test_a_checkpoint_is_written_after_a_thousand_records():
    async def scenario(readers):
        vm = readers.start_vm()
        readers.publish(first_ticket())
        await readers.clock.sleep(120.0)
        first = vm.reader.status.checkpoint_offset
        for number in range(2, 1003):
            readers.publish(ticket(number))
        await readers.clock.sleep(120.0)
        return first, vm.reader.status.checkpoint_offset

    assert in_virtual_time(scenario)[0] == (1, 1002)


def test_a_holder_paused_beyond_its_lease_writes_chunks_that_no_reader_counts():
    async def scenario(readers):
        paused = readers.start_vm()
        readers.publish(first_ticket())
        append = paused.client.append
        woken = []

        async def pause_before_chunk(stream, value):
            if '"checkpoint-chunk"' in value:
                await readers.clock.sleep(checkpointer.LEASE_TTL_SECONDS + 60.0)
                woken.append(value)
            return await append(stream, value)

        paused.client.append = pause_before_chunk
        await readers.clock.sleep(30.0)
        other = readers.start_vm()
        await readers.clock.sleep(300.0)
        checkpoints = [list(v.reader._system.view.checkpoints) for v in readers.vms]
        return woken, checkpoints, other

    (woken, (by_paused, by_other), _), events = in_virtual_time(scenario)
    assert woken
    stale = json.loads(woken[0])["body"]["token"]
    assert by_paused == by_other
    assert by_other
    assert stale not in {checkpoint.token for checkpoint in by_other}
    assert "checkpoint_not_counted" in events


def test_a_take_back_is_written_once_by_many_readers_and_reaches_all():
    async def scenario(readers):
        vms = [readers.start_vm() for _ in range(8)]
        readers.publish(first_ticket())
        await readers.clock.sleep(60.0)
        for vm in vms[:-1]:
            vm.marks.merge_take_back(MARK)
        await readers.clock.sleep(120.0)
        written = len(readers.system_records(TakeBackRecord))
        return written, [vm.marks.take_backs_by_key for vm in vms]

    (written, marks), _ = in_virtual_time(scenario)
    assert written == 1
    assert marks == [{MARK.key: MARK}] * 8


@pytest.mark.parametrize("lost_answers", [0, 2])
def test_a_take_back_decided_during_an_outage_is_written_after_it(lost_answers):
    async def scenario(readers):
        vm = readers.start_vm()
        readers.publish(first_ticket())
        await readers.clock.sleep(120.0)
        vm.faults.is_down = True
        vm.marks.merge_take_back(MARK)
        await readers.clock.sleep(3600.0)
        before = readers.system_records(TakeBackRecord)
        vm.faults.is_down = False
        vm.faults.lost_answers = lost_answers
        await readers.clock.sleep(120.0)
        new = readers.start_vm()
        await readers.clock.sleep(60.0)
        return before, readers.system_records(TakeBackRecord), new

    (before, after, new), _ = in_virtual_time(scenario)
    assert before == []
    assert after == [TakeBackRecord(MARK)]
    assert new.marks.is_taken_back(MARK.key)


def test_a_take_back_outlives_its_record_in_the_checkpoint():
    async def scenario(readers):
        vm = readers.start_vm()
        readers.publish(first_ticket())
        await readers.clock.sleep(60.0)
        vm.marks.merge_take_back(MARK)
        await readers.clock.sleep(2 * RETENTION)
        new = readers.start_vm()
        await readers.clock.sleep(60.0)
        return readers.system_records(TakeBackRecord), new

    (on_log, new), _ = in_virtual_time(scenario, retention_seconds=RETENTION)
    assert on_log == []
    assert new.marks.take_backs_by_key == {MARK.key: MARK}


def test_a_damaged_checkpoint_is_passed_over_for_the_one_before():
    async def scenario(readers):
        vm = readers.start_vm()
        readers.publish(first_ticket())
        await readers.clock.sleep(60.0)
        readers.publish(ticket(2))
        system, writer = vm.reader._system, vm.reader._writer
        await readers.clock.sleep(60.0)
        end = system.view.next_offset
        token = (await writer.append(Lease(60_000), end, 1e9)).unwrap()
        (chunk,) = checkpointer.split_checkpoint(b"foreign", token, 2)
        await writer.append(chunk, end, 1e9)
        readers.log.expire(TICKET_STREAM, 1)
        new = readers.start_vm()
        await readers.clock.sleep(60.0)
        return len(readers.system_records(CheckpointChunk)), new

    (chunks, new), events = in_virtual_time(scenario)
    assert chunks >= 2
    assert "checkpoint_invalid" in events
    assert new.store.state.number == 2


def test_an_oversized_record_is_refused_without_being_passed_on():
    async def scenario(readers):
        vm = readers.start_vm()
        readers.publish("x" * (MAX_TICKET_BYTES + 1))
        readers.publish(first_ticket())
        await readers.clock.sleep(30.0)
        return vm.store

    store, _ = in_virtual_time(scenario)
    assert store.state.number == 1
    (refusal,) = store.state.refusals
    assert f"{MAX_TICKET_BYTES + 1} bytes" in str(refusal.faults[0])
    assert max(len(record.value) for record in store.records_since(0)) < 1000
