"""Publishes a ticket on the log and shows whether it was accepted."""

from result import Err, Ok, Result

from lacewingstair.cli.check import read_text
from lacewingstair.cli.exit_codes import ExitCode
from lacewingstair.cli.operator_client import OperatorClient
from lacewingstair.cli.output import refusal_text
from lacewingstair.cli.pending import fail
from lacewingstair.errors import LogUnavailable, OffsetExpired
from lacewingstair.platform.log import TICKET_STREAM, LogClient
from lacewingstair.runtime import Clock
from lacewingstair.tickets import Ticket, parse_ticket

ATTEMPTS = 5
RETRY_SECONDS = 1.0
READ_LIMIT = 1000


async def publish_file(
    name: str,
    log: LogClient,
    operator: OperatorClient | None,
    timeout: float,
    clock: Clock,
) -> ExitCode:
    """Publish a ticket file; with an operator client, wait for the decision."""
    read = read_text(name)
    if isinstance(read, Err):
        return fail(f"{name}: {read.err_value[0]}", ExitCode.INVALID)
    parsed = parse_ticket(read.ok_value)
    if isinstance(parsed, Err):
        for fault in parsed.err_value.faults:
            fail(f"{name}: {fault}")
        return ExitCode.INVALID
    ticket = parsed.ok_value
    published = await append_once(log, read.ok_value, clock)
    if isinstance(published, Err):
        return fail(f"ticket {ticket.number} is not published: {published.err_value}")
    offset = published.ok_value
    print(f"ticket {ticket.number} is published at offset {offset}", flush=True)
    if operator is None:
        print("`lacewingstair report` shows whether it is accepted")
        return ExitCode.DONE
    return await _wait_for_decision(ticket, offset, operator, timeout, clock)


async def append_once(
    log: LogClient, value: str, clock: Clock
) -> Result[int, LogUnavailable | OffsetExpired]:
    """Append a ticket and return its offset.

    When the answer is lost, the stream is read from where it ended before the append,
    and the ticket is appended again only when it is not there.
    """
    end = await _end_of_stream(log)
    if isinstance(end, Err):
        return end
    outcome: Result[int, LogUnavailable | OffsetExpired] = Ok(0)
    for attempt in range(ATTEMPTS):
        if attempt > 0:
            await clock.sleep(RETRY_SECONDS)
            found = await _find(log, end.ok_value, value)
            if isinstance(found, Err):
                outcome = found
                continue
            if found.ok_value is not None:
                return Ok(found.ok_value)
        outcome = await log.append(TICKET_STREAM, value)
        if isinstance(outcome, Ok):
            return outcome
    return outcome


async def _end_of_stream(
    log: LogClient,
) -> Result[int, LogUnavailable | OffsetExpired]:
    read = await log.read(TICKET_STREAM, 0, 1, 0.0)
    if isinstance(read, Err) and isinstance(read.err_value, OffsetExpired):
        first = read.err_value.first_offset
        read = await log.read(TICKET_STREAM, first, 1, 0.0)
    if isinstance(read, Err):
        return read
    return Ok(read.ok_value.next_offset)


async def _find(
    log: LogClient, start: int, value: str
) -> Result[int | None, LogUnavailable | OffsetExpired]:
    while True:
        read = await log.read(TICKET_STREAM, start, READ_LIMIT, 0.0)
        if isinstance(read, Err):
            return read
        for record in read.ok_value.records:
            if record.value == value:
                return Ok(record.offset)
        start += len(read.ok_value.records)
        if not read.ok_value.records:
            return Ok(None)


async def _wait_for_decision(
    ticket: Ticket, offset: int, operator: OperatorClient, timeout: float, clock: Clock
) -> ExitCode:
    end = clock.monotonic() + timeout
    reason = "the VM has not read it yet"
    while clock.monotonic() < end:
        read = await operator.report()
        if isinstance(read, Err):
            reason = str(read.err_value)
        elif read.ok_value["next_offset"] > offset:
            return _decision(ticket, offset, read.ok_value)
        await clock.sleep(min(RETRY_SECONDS, timeout / 2))
    message = f"ticket {ticket.number} is published but not decided: {reason}"
    return fail(message, ExitCode.NOT_FINISHED)


def _decision(ticket: Ticket, offset: int, report: dict) -> ExitCode:
    for refusal in report.get("refused", ()):
        if refusal.get("offset") == offset:
            return fail(refusal_text(refusal), ExitCode.TAKEN_BACK)
    print(f"ticket {ticket.number} is accepted")
    return ExitCode.DONE
