"""Command-line tool for operators."""

import json
import sys
from pathlib import Path

import aiohttp
import fire
import uvloop
from result import Err

from lacewingstair.demo import run_demo
from lacewingstair.platform.http_log import HttpLogClient
from lacewingstair.platform.log import TICKET_STREAM
from lacewingstair.tickets import parse_ticket


class Commands:
    """Publishes tickets and reads reports."""

    def check(self, ticket: str) -> None:
        """Check a ticket file offline."""
        parsed = parse_ticket(Path(ticket).read_bytes())
        if isinstance(parsed, Err):
            _fail(f"{ticket}: {parsed.err_value}")
        print(f"{ticket}: ticket {parsed.ok_value.number} is valid")

    def publish(self, ticket: str, log: str) -> None:
        """Publish a ticket file on the log at a URL."""
        text = Path(ticket).read_text("utf-8")
        parsed = parse_ticket(text)
        if isinstance(parsed, Err):
            _fail(f"{ticket}: {parsed.err_value}")
        offset = uvloop.run(_publish(text, log))
        print(f"{ticket}: ticket {parsed.ok_value.number} is at offset {offset}")

    def report(self, operator: str) -> None:
        """Print the report of the VM whose operator URL is given."""
        print(json.dumps(uvloop.run(_get(operator.rstrip("/") + "/report")), indent=2))

    def status(self, operator: str) -> None:
        """Print the status of the VM whose operator URL is given."""
        print(json.dumps(uvloop.run(_get(operator.rstrip("/") + "/status")), indent=2))

    def demo(self) -> None:
        """Run stand-ins and daemons on loopback addresses and show what happens."""
        sys.exit(uvloop.run(run_demo()))


async def _publish(text: str, url: str) -> int:
    client = HttpLogClient(url)
    try:
        appended = await client.append(TICKET_STREAM, text)
    finally:
        await client.close()
    if isinstance(appended, Err):
        _fail(str(appended.err_value))
    return appended.ok_value


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
