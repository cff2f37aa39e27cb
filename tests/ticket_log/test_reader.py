import json

import attrs
import pytest
from loguru import logger

from lacewingstair.events import parse_event
from lacewingstair.rollouts.marks import RollbackMark, RolloutKey
from lacewingstair.standins.log_readers import LogReaders
from lacewingstair.standins.memory_log import LogFaults
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.ticket_log import checkpointer
from lacewingstair.ticket_log.log import SYSTEM_STREAM, TICKET_STREAM
from lacewingstair.ticket_log.options import LogOptions
from lacewingstair.ticket_log.records import CheckpointChunk, Lease, TakeBackRecord
from lacewingstair.tickets.parsing import MAX_TICKET_BYTES
from tests.ticket_texts import first_ticket, ticket

MARK = RollbackMark(RolloutKey("move", 1), "errors", "9 of 10 calls", 12.5, "vm-1")
RETENTION = 4 * 3600.0


def run_scenario(scenario, **options):
    """Run a scenario with readers in virtual time and pass it the events logged."""

    async def main():
        readers = LogReaders(VirtualClock(), **options)
        await scenario(readers, events)
        await readers.stop()

    events = []
    sink = logger.add(
        lambda line: events.append(parse_event(line)["event"]), format="{message}"
    )
    try:
        run_virtual(main())
    finally:
        logger.remove(sink)


def with_readers(**options):
    def decorate(scenario):
        def test():
            run_scenario(scenario, **options)

        return test

    return decorate


@with_readers()
async def test_lag_is_measured_only_for_records_that_arrive_while_waiting(readers, _):
    """Guards against an alarm for records that were read long after they appeared."""
    readers.publish(first_ticket())
    await readers.clock.sleep(1000.0)
    vm = readers.start_vm()
    await readers.clock.sleep(60.0)
    assert (vm.store.state.number, vm.reader.status.lag_seconds) == (1, None)
    readers.publish(ticket(2))
    await readers.clock.sleep(10.0)
    assert vm.store.state.number == 2
    assert vm.reader.status.lag_seconds == 0.0
    vm.faults.is_down = True
    readers.publish(ticket(3))
    await readers.clock.sleep(30.0)
    vm.faults.is_down = False
    await readers.clock.sleep(30.0)
    assert vm.store.state.number == 3
    assert 30.0 <= vm.reader.status.lag_seconds < 45.0


@with_readers()
async def test_tickets_reach_every_reader_and_idle_polls_are_few(readers, events):
    vms = [readers.start_vm() for _ in range(8)]
    await readers.clock.sleep(60.0)
    readers.publish(first_ticket())
    readers.publish(ticket(2))
    await readers.clock.sleep(1.0)
    assert [vm.store.state.number for vm in vms] == [2] * 8
    before, _ = readers.requests()
    await readers.clock.sleep(3600.0)
    reads = readers.requests()[0] - before
    # 8 readers, one poll in at most 10 s and one look at the system stream a minute.
    assert 8 * 360 <= reads <= 8 * 600


@with_readers()
async def test_an_outage_of_hours_costs_little_and_ends_without_help(readers, events):
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
    assert requests < 6 * 3600 / 4
    assert not status.is_log_up
    assert status.last_error
    assert vm.reader.status.is_log_up
    assert vm.store.state.number == 2
    assert events.count("log_unavailable") == 1


@with_readers()
async def test_a_slow_log_is_read_in_smaller_answers_and_never_lost(readers, events):
    vm = readers.start_vm(LogFaults(delay_seconds=4.0))
    readers.publish(first_ticket())
    await readers.clock.sleep(60.0)
    vm.faults.delay_seconds = 8.0
    await readers.clock.sleep(600.0)
    readers.publish(ticket(2))
    vm.faults.delay_seconds = 4.0
    await readers.clock.sleep(60.0)
    assert vm.store.state.number == 2


@with_readers()
async def test_a_vm_that_is_no_reader_sends_nothing(readers, events):
    vm = readers.start_vm(is_reader=lambda: False)
    await readers.clock.sleep(600.0)
    assert vm.client.reads + vm.client.appends == 0


@with_readers()
async def test_a_vm_that_gains_and_loses_the_role_reads_only_meanwhile(readers, events):
    role = [False]
    vm = readers.start_vm(is_reader=lambda: role[0])
    readers.publish(first_ticket())
    await readers.clock.sleep(60.0)
    counts = [vm.client.reads]
    role[0] = True
    await readers.clock.sleep(60.0)
    counts.append(vm.client.reads)
    role[0] = False
    await readers.clock.sleep(20.0)
    counts.append(vm.client.reads)
    await readers.clock.sleep(600.0)
    assert counts[0] == 0 < counts[1]
    assert vm.client.reads == counts[2]
    assert not vm.reader.status.is_reader
    assert vm.store.state.number == 1


@with_readers()
async def test_a_fault_of_the_program_ends_the_reader_with_the_error(readers, events):
    vm = readers.start_vm()
    vm.marks.rollbacks_by_key = None
    readers.publish(first_ticket())
    await readers.clock.sleep(60.0)
    assert isinstance(vm.task.exception(), ExceptionGroup)


@with_readers()
async def test_a_new_reader_of_an_expired_log_starts_from_a_checkpoint(readers, events):
    old = readers.start_vm()
    readers.publish(first_ticket())
    readers.publish(ticket(2, note="x"))
    await readers.clock.sleep(60.0)
    readers.log.expire(TICKET_STREAM, 2)
    new = readers.start_vm()
    await readers.clock.sleep(60.0)
    assert new.store.state == old.store.state
    assert new.store.state.number == 2
    assert new.reader.status.checkpoint_offset == 2
    assert "log_gap" not in events


@with_readers(retention_seconds=RETENTION)
async def test_an_outage_beyond_the_retention_is_covered_by_a_checkpoint(
    readers, events
):
    cut_off = readers.start_vm()
    reader = readers.start_vm()
    readers.publish(first_ticket())
    await readers.clock.sleep(60.0)
    cut_off.faults.is_down = True
    for number in range(2, 50):
        readers.publish(ticket(number))
        await readers.clock.sleep(RETENTION / 24)
    assert cut_off.store.state.number == 1
    assert readers.log.stream(TICKET_STREAM).first_offset > 10
    cut_off.faults.is_down = False
    await readers.clock.sleep(60.0)
    assert cut_off.store.state == reader.store.state
    assert cut_off.numbers == sorted(cut_off.numbers)
    assert "log_gap" not in events


@with_readers()
async def test_a_gap_that_nothing_covers_is_an_error_and_the_state_stays(
    readers, events
):
    vm = readers.start_vm()
    readers.publish(first_ticket())
    await readers.clock.sleep(60.0)
    vm.faults.is_down = True
    for number in (2, 3):
        readers.publish(ticket(number))
    readers.log.expire(TICKET_STREAM, 2)
    vm.faults.is_down = False
    await readers.clock.sleep(600.0)
    assert vm.reader.status.has_gap
    assert vm.store.state.number == 1
    source = LogReaders(readers.clock)
    for text in (first_ticket(), ticket(2), ticket(3)):
        source.publish(text)
    helper = source.start_vm()
    await readers.clock.sleep(60.0)
    vm.store.adopt(helper.store.state)
    await readers.clock.sleep(60.0)
    await source.stop()
    assert events.count("log_gap") == 1
    assert not vm.reader.status.has_gap
    assert vm.store.state.number == 3


@with_readers()
async def test_a_vm_that_no_longer_reads_reports_no_gap(readers, events):
    """Guards against a health warning that nothing takes back."""
    roles = [True]
    vm = readers.start_vm(is_reader=lambda: roles[-1])
    readers.publish(first_ticket())
    await readers.clock.sleep(60.0)
    vm.faults.is_down = True
    readers.publish(ticket(2))
    readers.log.expire(TICKET_STREAM, 2)
    vm.faults.is_down = False
    await readers.clock.sleep(600.0)
    assert vm.reader.status.has_gap
    roles.append(False)
    await readers.clock.sleep(60.0)
    assert not vm.reader.status.has_gap
    assert events.count("log_gap") == 1


@with_readers()
async def test_a_log_that_lost_data_is_an_error_and_nothing_goes_back(readers, events):
    vm = readers.start_vm()
    for text in (first_ticket(), ticket(2), ticket(3)):
        readers.publish(text)
    await readers.clock.sleep(60.0)
    readers.log.truncate(TICKET_STREAM, 1)
    readers.log.truncate(SYSTEM_STREAM, 1)
    before = vm.client.reads
    await readers.clock.sleep(600.0)
    assert vm.reader.status.has_lost_data
    assert vm.client.reads - before < 300
    for text in (ticket(2), ticket(3), ticket(4)):
        readers.publish(text)
    await readers.clock.sleep(60.0)
    assert "log_lost_data" in events
    assert vm.numbers == sorted(vm.numbers)
    assert vm.store.state.number == 4


@with_readers(retention_seconds=RETENTION)
async def test_a_checkpoint_is_renewed_well_before_its_records_expire(readers, events):
    vms = [readers.start_vm() for _ in range(4)]
    readers.publish(first_ticket())
    ages = []
    for _ in range(72):
        await readers.clock.sleep(RETENTION / 24)
        newest = vms[0].reader._system.view.checkpoints[-1]
        ages.append(readers.clock.wall() - newest.time_ms / 1000)
    _, appends = readers.requests()
    assert max(ages) < RETENTION / 3
    # 12 or 13 checkpoints in three times the retention, each a lease and a chunk.
    assert 24 <= appends <= 40
    assert "log_gap" not in events


@with_readers()
async def test_a_checkpoint_is_written_after_a_thousand_records(readers, events):
    vm = readers.start_vm()
    readers.publish(first_ticket())
    await readers.clock.sleep(120.0)
    first = vm.reader.status.checkpoint_offset
    for number in range(2, 1003):
        readers.publish(ticket(number))
    await readers.clock.sleep(120.0)
    assert (first, vm.reader.status.checkpoint_offset) == (1, 1002)


@with_readers()
async def test_chunks_of_a_holder_paused_beyond_its_lease_do_not_count(readers, events):
    paused = readers.start_vm()
    readers.publish(first_ticket())
    append = paused.client.append
    woken = []

    async def pause_before_chunk(stream, value):
        if '"checkpoint-chunk"' in value:
            await readers.clock.sleep(LogOptions().lease_ttl_seconds + 60.0)
            woken.append(value)
        return await append(stream, value)

    paused.client.append = pause_before_chunk
    await readers.clock.sleep(30.0)
    readers.start_vm()
    await readers.clock.sleep(300.0)
    views = [vm.reader._system.view for vm in readers.vms]
    by_paused, by_other = (list(view.checkpoints) for view in views)
    assert woken
    stale = json.loads(woken[0])["body"]["token"]
    assert by_paused == by_other
    assert by_other
    assert stale not in {checkpoint.token for checkpoint in by_other}
    assert "checkpoint_not_counted" in events


@with_readers()
async def test_a_take_back_is_written_once_and_reaches_all_readers(readers, events):
    vms = [readers.start_vm() for _ in range(8)]
    readers.publish(first_ticket())
    await readers.clock.sleep(60.0)
    for vm in vms[:-1]:
        vm.marks.merge_rollback(MARK)
    await readers.clock.sleep(120.0)
    assert readers.system_records(TakeBackRecord) == [TakeBackRecord(MARK)]
    assert [vm.marks.rollbacks_by_key for vm in vms] == [{MARK.key: MARK}] * 8


@pytest.mark.parametrize("lost_answers", [0, 2])
def test_a_take_back_decided_during_an_outage_is_written_after_it(lost_answers):
    async def scenario(readers, _):
        vm = readers.start_vm()
        readers.publish(first_ticket())
        await readers.clock.sleep(120.0)
        vm.faults.is_down = True
        vm.marks.merge_rollback(MARK)
        await readers.clock.sleep(3600.0)
        assert readers.system_records(TakeBackRecord) == []
        vm.faults.is_down = False
        vm.faults.lost_answers = lost_answers
        await readers.clock.sleep(120.0)
        new = readers.start_vm()
        await readers.clock.sleep(60.0)
        assert readers.system_records(TakeBackRecord) == [TakeBackRecord(MARK)]
        assert new.marks.is_rolled_back(MARK.key)

    run_scenario(scenario)


@with_readers(retention_seconds=RETENTION)
async def test_a_take_back_outlives_its_record_in_the_checkpoint(readers, events):
    vm = readers.start_vm()
    readers.publish(first_ticket())
    await readers.clock.sleep(60.0)
    vm.marks.merge_rollback(MARK)
    await readers.clock.sleep(2 * RETENTION)
    new = readers.start_vm()
    await readers.clock.sleep(60.0)
    assert readers.system_records(TakeBackRecord) == []
    assert new.marks.rollbacks_by_key == {MARK.key: MARK}


@with_readers()
async def test_a_damaged_checkpoint_is_passed_over_for_the_one_before(readers, events):
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
    chunks, new = len(readers.system_records(CheckpointChunk)), new
    assert chunks >= 2
    assert "checkpoint_invalid" in events
    assert new.store.state.number == 2


@with_readers()
async def test_an_oversized_record_is_refused_without_being_passed_on(readers, events):
    vm = readers.start_vm()
    readers.publish("x" * (MAX_TICKET_BYTES + 1))
    readers.publish(first_ticket())
    await readers.clock.sleep(30.0)
    store = vm.store
    assert store.state.number == 1
    (refusal,) = store.state.refusals
    assert f"{MAX_TICKET_BYTES + 1} bytes" in str(refusal.faults[0])
    assert max(len(record.value) for record in store.records_since(0)) < 1000
