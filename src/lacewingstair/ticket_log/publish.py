"""Publishes tickets, for the command-line tool."""

import random

import attrs
from result import Err, Ok, Result

from lacewingstair.errors import PublishError, TicketError
from lacewingstair.runtime import Clock
from lacewingstair.ticket_log.append import READ_LIMIT, Appender
from lacewingstair.ticket_log.log import TICKET_STREAM, LogClient
from lacewingstair.tickets.parsing import Ticket, parse_ticket

PUBLISH_TIMEOUT_SECONDS = 60.0


@attrs.frozen
class PublishedTicket:
    """A ticket on the log.

    Parameters
    ----------
    number : int
        Its number.
    offset : int
        Its place in the stream.
    conflict_offset : int or None
        Place of another ticket with the same or a higher number shortly before this
        one, which will be refused unless that one is.
    """

    number: int
    offset: int
    conflict_offset: int | None = None


async def publish_ticket(
    log: LogClient,
    text: str,
    clock: Clock,
    rng: random.Random,
    timeout_seconds: float = PUBLISH_TIMEOUT_SECONDS,
) -> Result[PublishedTicket, TicketError | PublishError]:
    """Append a valid ticket once, waiting through an outage of the log.

    A ticket whose answer is lost is recognised by its number and canonical digest.
    Whether the ticket is accepted is in the report; it depends on the tickets before.
    """
    parsed = parse_ticket(text)
    if isinstance(parsed, Err):
        return parsed
    ticket = parsed.ok_value

    def is_same(value: str) -> bool:
        return value == text or _is_equal(value, ticket)

    appender = Appender(log, TICKET_STREAM, clock, rng)
    give_up_at = clock.monotonic() + timeout_seconds
    appended = await appender.append(text, is_same, None, give_up_at)
    if isinstance(appended, Err):
        failed = appended.err_value
        return Err(PublishError(str(failed.error), failed.may_be_written))
    offset = appended.ok_value
    conflict = await _conflict(appender, offset, ticket) if offset else None
    return Ok(PublishedTicket(ticket.number, offset, conflict))


def _is_equal(value: str, ticket: Ticket) -> bool:
    other = parse_ticket(value)
    return isinstance(other, Ok) and (
        (other.ok_value.number, other.ok_value.digest) == (ticket.number, ticket.digest)
    )


async def _conflict(appender: Appender, offset: int, ticket: Ticket) -> int | None:
    read = await appender.read(max(0, offset - READ_LIMIT))
    if isinstance(read, Err):
        return None
    for record in read.ok_value[0]:
        if record.offset >= offset:
            return None
        other = parse_ticket(record.value)
        if isinstance(other, Err) or other.ok_value.number < ticket.number:
            continue
        if other.ok_value.digest != ticket.digest:
            return record.offset
    return None
