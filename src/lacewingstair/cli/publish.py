"""Publishes a ticket on the log and shows whether it was accepted."""

import random

from result import Err

from lacewingstair.cli.check import read_text
from lacewingstair.cli.exit_codes import ExitCode
from lacewingstair.cli.operator_client import OperatorClient
from lacewingstair.cli.output import refusal_text
from lacewingstair.cli.pending import fail
from lacewingstair.errors import TicketError
from lacewingstair.runtime import Clock
from lacewingstair.ticket_log.log import LogClient
from lacewingstair.ticket_log.publish import PublishedTicket, publish_ticket

LOOK_SECONDS = 0.5


async def publish_file(
    name: str,
    log: LogClient,
    operator: OperatorClient | None,
    timeout: float,
    clock: Clock,
    rng: random.Random,
) -> ExitCode:
    """Publish a ticket file; with an operator client, wait for the decision.

    `timeout` is in seconds and applies to publishing and to the decision.
    """
    read = read_text(name)
    if isinstance(read, Err):
        return fail(f"{name}: {read.err_value[0]}", ExitCode.INVALID)
    published = await publish_ticket(log, read.ok_value, clock, rng, timeout)
    if isinstance(published, Err):
        error = published.err_value
        if not isinstance(error, TicketError):
            return fail(f"{name}: {error}")
        for fault in error.faults:
            fail(f"{name}: {fault}")
        return ExitCode.INVALID
    ticket = published.ok_value
    print(f"ticket {ticket.number} is published at offset {ticket.offset}", flush=True)
    if operator is not None:
        return await _wait_for_decision(ticket, operator, timeout, clock)
    if ticket.conflict_offset is not None:
        message = (
            f"ticket {ticket.number} will be refused: a ticket with this or a higher"
            f" number is at offset {ticket.conflict_offset}"
        )
        return fail(message, ExitCode.TAKEN_BACK)
    print("`lacewingstair report` shows whether it is accepted")
    return ExitCode.DONE


async def _wait_for_decision(
    ticket: PublishedTicket, operator: OperatorClient, timeout: float, clock: Clock
) -> ExitCode:
    end = clock.monotonic() + timeout
    reason = "the VM has not read it yet"
    while clock.monotonic() < end:
        read = await operator.report()
        if isinstance(read, Err):
            reason = str(read.err_value)
        elif read.ok_value["next_offset"] > ticket.offset:
            return _decision(ticket, read.ok_value)
        await clock.sleep(LOOK_SECONDS)
    message = f"ticket {ticket.number} is published but not decided: {reason}"
    return fail(message, ExitCode.NOT_FINISHED)


def _decision(ticket: PublishedTicket, report: dict) -> ExitCode:
    for refusal in report.get("refused", ()):
        if refusal.get("offset") == ticket.offset:
            return fail(refusal_text(refusal), ExitCode.TAKEN_BACK)
    print(f"ticket {ticket.number} is accepted")
    return ExitCode.DONE
