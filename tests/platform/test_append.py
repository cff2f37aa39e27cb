import asyncio
import random

import pytest

from lacewingstair.errors import LogRefused, PublishError, TicketError
from lacewingstair.platform.append import Appender
from lacewingstair.platform.log import TICKET_STREAM
from lacewingstair.platform.publish import publish_ticket
from lacewingstair.standins.memory_log import (
    MAX_VALUE_BYTES,
    LogFaults,
    LogStreams,
    MemoryLogClient,
)
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from tests.ticket_texts import ticket


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
        return published.unwrap(), values(log)

    published, on_log = run_virtual(main())
    assert published.offset == 1
    assert published.conflict_offset is None
    assert on_log == [ticket(1), ticket(2)]


def test_a_ticket_published_during_an_outage_waits_for_its_end():
    async def main():
        log = LogStreams(VirtualClock())
        operator = Operator(log)
        operator.client.faults.is_down = True
        task = asyncio.create_task(operator.publish(ticket(1), timeout=600.0))
        await operator.clock.sleep(300.0)
        sent = operator.client.appends + operator.client.reads
        operator.client.faults.is_down = False
        published = await task
        return published.unwrap().offset, values(log), sent

    offset, on_log, sent = run_virtual(main())
    assert (offset, on_log) == (0, [ticket(1)])
    assert sent < 120


@pytest.mark.parametrize("is_sent", [False, True])
def test_an_outage_longer_than_the_timeout_is_a_clear_error(is_sent):
    async def main():
        log = LogStreams(VirtualClock())
        operator = Operator(log)
        if is_sent:
            # Reads are answered and the answers to appends are lost, until the end.
            operator.client.faults.lost_answers = 1

            async def down(*_):
                operator.client.faults.is_down = True
                return await append(*_)

            append = operator.client.append
            operator.client.append = down
        else:
            operator.client.faults.is_down = True
        return (await operator.publish(ticket(1), timeout=30.0)).unwrap_err()

    error = run_virtual(main())
    assert isinstance(error, PublishError)
    assert error.may_be_written is is_sent
    assert "down" in str(error)


def test_an_invalid_ticket_is_not_sent():
    async def main():
        operator = Operator(LogStreams(VirtualClock()))
        answer = await operator.publish(ticket(0))
        return answer.unwrap_err(), operator.client.appends

    error, appends = run_virtual(main())
    assert isinstance(error, TicketError)
    assert appends == 0


def test_the_second_of_two_racing_operators_is_told_of_the_conflict():
    async def main():
        log = LogStreams(VirtualClock())
        operators = [Operator(log, seed) for seed in range(2)]
        for operator in operators:
            operator.client.faults.delay_seconds = 0.1
        texts = [ticket(7, author="ana"), ticket(7, author="luis")]
        pairs = zip(operators, texts, strict=True)
        answers = await asyncio.gather(*(o.publish(text) for o, text in pairs))
        return sorted((a.ok_value for a in answers), key=lambda p: p.offset)

    first, second = run_virtual(main())
    assert (first.offset, first.conflict_offset) == (0, None)
    assert (second.offset, second.conflict_offset) == (1, 0)


def test_a_record_that_the_log_refuses_is_not_sent_again():
    async def main():
        operator = Operator(LogStreams(VirtualClock()))
        appender = Appender(
            operator.client, TICKET_STREAM, operator.clock, operator.rng
        )
        value = "x" * (MAX_VALUE_BYTES + 1)
        answer = await appender.append(value, lambda v: v == value, 0, 1e9)
        return answer.unwrap_err(), operator.client.appends

    failed, appends = run_virtual(main())
    assert isinstance(failed.error, LogRefused)
    assert not failed.may_be_written
    assert appends == 1


def test_read_back_finds_a_record_behind_many_others():
    async def main():
        log = LogStreams(VirtualClock())
        operator = Operator(log)
        appender = Appender(
            operator.client, TICKET_STREAM, operator.clock, operator.rng
        )
        for number in range(200):
            log.append(TICKET_STREAM, str(number))
        operator.client.faults.lost_answers = 1
        answer = await appender.append("mine", lambda v: v == "mine", 0, 1e9)
        return answer.unwrap(), values(log).count("mine")

    assert run_virtual(main()) == (200, 1)
