"""Command-line tool for operators."""

import json
import random
import sys
from pathlib import Path

import aiohttp
import fire
import uvloop
from result import Err, Result

from lacewingstair.demo import run_demo
from lacewingstair.errors import PublishError, TicketError
from lacewingstair.platform.http_log import HttpLogClient
from lacewingstair.platform.publish import PublishedTicket, publish_ticket
from lacewingstair.runtime import SystemClock
from lacewingstair.tickets import parse_ticket


class Commands:
    """Publishes tickets and reads reports."""

    def check(self, ticket: str) -> None:
        """Check a ticket file offline."""
        try:
            data = Path(ticket).read_bytes()
        except OSError as error:
            _fail(f"{ticket}: {error}")
        parsed = parse_ticket(data)
        if isinstance(parsed, Err):
            _fail(f"{ticket}: {parsed.err_value}")
        print(f"{ticket}: ticket {parsed.ok_value.number} is valid")

    def publish(self, ticket: str, log: str, timeout: float = 60.0) -> None:
        """Publish a ticket file on the log at a URL, waiting through an outage."""
        try:
            text = Path(ticket).read_text("utf-8")
        except (OSError, ValueError) as error:
            _fail(f"{ticket}: {error}")
        published = uvloop.run(_publish(text, log, float(timeout)))
        if isinstance(published, Err):
            _fail(f"{ticket}: {published.err_value}")
        done = published.ok_value
        print(f"{ticket}: ticket {done.number} is at offset {done.offset}")
        if done.conflict_offset is not None:
            _fail(
                f"{ticket}: will be refused unless the ticket with the same or a "
                f"higher number at offset {done.conflict_offset} is"
            )

    def report(self, operator: str) -> None:
        """Print the report of the VM whose operator URL is given."""
        print(json.dumps(uvloop.run(_get(operator.rstrip("/") + "/report")), indent=2))

    def status(self, operator: str) -> None:
        """Print the status of the VM whose operator URL is given."""
        print(json.dumps(uvloop.run(_get(operator.rstrip("/") + "/status")), indent=2))

    def demo(self) -> None:
        """Run stand-ins and daemons on loopback addresses and show what happens."""
        sys.exit(uvloop.run(run_demo()))


async def _publish(
    text: str, url: str, timeout: float
) -> Result[PublishedTicket, TicketError | PublishError]:
    client = HttpLogClient(url)
    clock = SystemClock()
    try:
        return await publish_ticket(client, text, clock, random.Random(), timeout)
    finally:
        await client.close()


async def _get(url: str) -> dict[str, object]:
    try:
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return await response.json()
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        _fail(f"{url}: {error}")


def _fail(message: str):
    print(f"lacewingstair: {message}", file=sys.stderr)
    sys.exit(1)


def main() -> None:
    """Entry point of ``lacewingstair``."""
    fire.Fire(Commands, name="lacewingstair")
