import asyncio
import random

import pytest

from lacewingstair.errors import LogRefused, PublishError, TicketError
from lacewingstair.standins.memory_log import (
    MAX_VALUE_BYTES,
    LogFaults,
    LogStreams,
    MemoryLogClient,
)
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.ticket_log.append import Appender
from lacewingstair.ticket_log.log import TICKET_STREAM
from lacewingstair.ticket_log.publish import PublishedTicket, publish_ticket
from tests.ticket_texts import ticket


def in_virtual_time(test):
    return lambda: run_virtual(test())


class Operator:
    """An operator's tool with its own way to a shared log."""

    def __init__(self, log, seed=0):
        self.clock = VirtualClock()
        self.client = MemoryLogClient(log, self.clock, LogFaults())
        self.rng = random.Random(seed)

    async def publish(self, text, timeout=60.0):
        return await publish_ticket(self.client, text, self.clock, self.rng, timeout)


def values(log):
    return [record.value for record in log.stream(TICKET_STREAM).records]


@pytest.mark.parametrize("lost", [1, 2, 5])
def test_a_ticket_whose_answer_is_lost_is_on_the_log_once(lost):
    async def main():
        log = LogStreams(VirtualClock())
        log.append(TICKET_STREAM, ticket(1))
        operator = Operator(log)
        operator.client.faults.lost_answers = lost
        published = await operator.publish(ticket(2))
        assert published.unwrap() == PublishedTicket(number=2, offset=1)
        assert values(log) == [ticket(1), ticket(2)]

    run_virtual(main())


@in_virtual_time
async def test_a_ticket_published_during_an_outage_waits_for_its_end():
    log = LogStreams(VirtualClock())
    operator = Operator(log)
    operator.client.faults.is_down = True
    task = asyncio.create_task(operator.publish(ticket(1), timeout=600.0))
    await operator.clock.sleep(300.0)
    sent = operator.client.appends + operator.client.reads
    operator.client.faults.is_down = False
    assert (await task).unwrap().offset == 0
    assert values(log) == [ticket(1)]
    assert sent < 120


@pytest.mark.parametrize("is_sent", [False, True])
def test_an_outage_longer_than_the_timeout_is_a_clear_error(is_sent):
    async def main():
        log = LogStreams(VirtualClock())
        operator = Operator(log)
        append = operator.client.append

        async def append_and_go_down(*arguments):
            answer = await append(*arguments)
            operator.client.faults.is_down = True
            return answer

        operator.client.append = append_and_go_down
        operator.client.faults.lost_answers = 1
        operator.client.faults.is_down = not is_sent
        error = (await operator.publish(ticket(1), timeout=30.0)).unwrap_err()
        assert isinstance(error, PublishError)
        assert error.may_be_written is is_sent
        assert values(log) == [ticket(1)] * is_sent
        assert "down" in str(error)

    run_virtual(main())


@in_virtual_time
async def test_an_invalid_ticket_is_not_sent():
    operator = Operator(LogStreams(VirtualClock()))
    answer = await operator.publish(ticket(0))
    assert isinstance(answer.unwrap_err(), TicketError)
    assert operator.client.appends == 0


@in_virtual_time
async def test_the_second_of_two_racing_operators_is_told_of_the_conflict():
    log = LogStreams(VirtualClock())
    operators = [Operator(log, seed) for seed in range(2)]
    for operator in operators:
        operator.client.faults.delay_seconds = 0.1
    texts = [ticket(7, author="ana"), ticket(7, author="luis")]
    pairs = zip(operators, texts, strict=True)
    answers = await asyncio.gather(*(o.publish(text) for o, text in pairs))
    first, second = sorted((a.ok_value for a in answers), key=lambda p: p.offset)
    assert (first.offset, first.conflict_offset) == (0, None)
    assert (second.offset, second.conflict_offset) == (1, 0)


@in_virtual_time
async def test_a_number_below_one_published_before_is_reported_after_an_outage():
    log = LogStreams(VirtualClock())
    operator = Operator(log)
    for text in (ticket(7), "junk", ticket(3)):
        log.append(TICKET_STREAM, text)
    operator.client.faults.is_down = True
    task = asyncio.create_task(operator.publish(ticket(3), timeout=600.0))
    await operator.clock.sleep(60.0)
    operator.client.faults.is_down = False
    published = (await task).unwrap()
    assert (published.offset, published.conflict_offset) == (3, 0)


@in_virtual_time
async def test_a_record_that_the_log_refuses_is_not_sent_again():
    operator = Operator(LogStreams(VirtualClock()))
    appender = Appender(operator.client, TICKET_STREAM, operator.clock, operator.rng)
    value = "x" * (MAX_VALUE_BYTES + 1)
    answer = await appender.append(value, lambda v: v == value, 0, 1e9)
    assert isinstance(answer.unwrap_err().error, LogRefused)
    assert not answer.unwrap_err().may_be_written
    assert operator.client.appends == 1


@in_virtual_time
async def test_read_back_finds_a_record_behind_many_others():
    log = LogStreams(VirtualClock())
    operator = Operator(log)
    appender = Appender(operator.client, TICKET_STREAM, operator.clock, operator.rng)
    for number in range(200):
        log.append(TICKET_STREAM, str(number))
    operator.client.faults.lost_answers = 1
    answer = await appender.append("mine", lambda v: v == "mine", 0, 1e9)
    assert (answer.unwrap(), values(log).count("mine")) == (200, 1)
