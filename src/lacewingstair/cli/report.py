"""Shows the report of a VM, waits for moves and watches changes."""

import json
import sys
from collections.abc import Mapping
from datetime import datetime
from typing import Any

import attrs
from result import Err, Ok, Result

from lacewingstair.cli.exit_codes import ExitCode
from lacewingstair.cli.operator_client import OperatorClient
from lacewingstair.cli.output import changes, report_text
from lacewingstair.cli.pending import fail
from lacewingstair.errors import OperatorUnavailable
from lacewingstair.runtime import Clock

_FINAL_STATES = ("done", "taken back")


@attrs.frozen
class ReportQuery:
    """What is waited for.

    Parameters
    ----------
    moves : tuple of str
        Names of the moves; all moves when empty.
    ticket : int
        Lowest ticket number that has to be in force; 0 for none.
    """

    moves: tuple[str, ...] = ()
    ticket: int = 0

    def selected(self, report: Mapping[str, Any]) -> dict[str, Any]:
        """Return the part of a report that is asked for."""
        moves = report["rollouts"]
        if self.moves:
            moves = {name: moves[name] for name in self.moves if name in moves}
        return {**report, "rollouts": moves}

    def missing(self, report: Mapping[str, Any]) -> list[str]:
        """Return the moves that are asked for and not in a report."""
        return [name for name in self.moves if name not in report["rollouts"]]

    def outcome(self, report: Mapping[str, Any]) -> ExitCode:
        """Return what the moves came to; `NOT_FINISHED` while one is open."""
        if self.ticket and report["ticket"] < self.ticket:
            refused = [entry.get("number") for entry in report.get("refused", ())]
            is_refused = self.ticket in refused
            return ExitCode.TAKEN_BACK if is_refused else ExitCode.NOT_FINISHED
        states = [move["state"] for move in self.selected(report)["rollouts"].values()]
        if self.missing(report) or any(state not in _FINAL_STATES for state in states):
            return ExitCode.NOT_FINISHED
        return ExitCode.TAKEN_BACK if "taken back" in states else ExitCode.DONE


async def show_report(
    client: OperatorClient, query: ReportQuery, as_json: bool
) -> ExitCode:
    """Print the report once."""
    read = await client.report()
    if isinstance(read, Err):
        return fail(read.err_value)
    report = read.ok_value
    missing = query.missing(report)
    if missing:
        known = ", ".join(sorted(report["rollouts"])) or "none"
        return fail(f"no move {missing[0]!r} in the report; known: {known}")
    _print_report(query.selected(report), as_json)
    return ExitCode.DONE


async def wait_for_report(
    client: OperatorClient,
    query: ReportQuery,
    as_json: bool,
    timeout: float | None,
    interval: float,
    clock: Clock,
) -> ExitCode:
    """Print progress on standard error until all moves have ended, then the report.

    A VM that does not answer is asked again until the time is over.
    """
    end = None if timeout is None else clock.monotonic() + timeout
    report: dict[str, Any] | None = None
    fault: OperatorUnavailable | None = None
    while True:
        read = await _read(client, fault)
        fault = read.err_value if isinstance(read, Err) else None
        if isinstance(read, Ok):
            selected = query.selected(read.ok_value)
            _print_lines(changes(report, selected), sys.stderr)
            report = selected
            code = query.outcome(read.ok_value)
            if code is not ExitCode.NOT_FINISHED:
                _print_report(report, as_json)
                return code
        if end is not None and clock.monotonic() + interval > end:
            if report is not None:
                _print_report(report, as_json)
            return fail(f"not finished after {timeout:g} s", ExitCode.NOT_FINISHED)
        await clock.sleep(interval)


async def watch(client: OperatorClient, interval: float, clock: Clock) -> ExitCode:
    """Print changes of the report until interrupted."""
    report: dict[str, Any] | None = None
    fault: OperatorUnavailable | None = None
    while True:
        read = await _read(client, fault)
        fault = read.err_value if isinstance(read, Err) else None
        if isinstance(read, Ok):
            _print_lines(changes(report, read.ok_value), sys.stdout)
            report = read.ok_value
        await clock.sleep(interval)


async def show_status(client: OperatorClient, as_json: bool) -> ExitCode:
    """Print the status of a VM."""
    read = await client.status()
    if isinstance(read, Err):
        return fail(read.err_value)
    status = read.ok_value
    if as_json:
        print(json.dumps(status, indent=2))
        return ExitCode.DONE
    width = max(map(len, status))
    for key, value in status.items():
        print(f"{key.ljust(width)}  {_shown(value)}")
    return ExitCode.DONE


async def _read(
    client: OperatorClient, fault: OperatorUnavailable | None
) -> Result[dict[str, Any], OperatorUnavailable]:
    read = await client.report()
    # An outage is one line, not one for each attempt.
    if isinstance(read, Err) and fault is None:
        _print_lines([f"{read.err_value}; trying again"], sys.stderr)
    return read


def _print_report(report: Mapping[str, Any], as_json: bool) -> None:
    print(json.dumps(report, indent=2) if as_json else report_text(report))


def _print_lines(lines: list[str], stream: Any) -> None:
    now = datetime.now().astimezone().strftime("%H:%M:%S")
    for line in lines:
        print(f"{now} {line}", file=stream, flush=True)


def _shown(value: Any) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{key}: {_shown(entry)}" for key, entry in value.items())
    if isinstance(value, list):
        return " ".join(map(str, value)) or "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
