"""Shows where a VM would send a call, and why."""

import json
from collections.abc import Mapping
from typing import Any

from result import Err

from lacewingstair.cli.exit_codes import ExitCode
from lacewingstair.cli.operator_client import OperatorClient
from lacewingstair.cli.output import table
from lacewingstair.cli.pending import fail

_COLUMNS = (
    ("vm", "vm"),
    ("distance", "distance"),
    ("running", "running"),
    ("waiting", "waiting"),
    ("slots", "slots"),
    ("work_percent", "work %"),
    ("backlog_ms", "backlog ms"),
    ("report_age_ms", "age ms"),
    ("service_ms", "service ms"),
    ("wait_ms", "wait ms"),
    ("chosen_share", "chosen"),
)


async def show_explanation(
    client: OperatorClient, query: Mapping[str, str], as_json: bool
) -> ExitCode:
    """Print the explanation of a call; `ERROR` if the call would go nowhere."""
    found = await client.explain(query)
    if isinstance(found, Err):
        return fail(found.err_value)
    explanation = found.ok_value
    print(json.dumps(explanation) if as_json else explanation_text(explanation))
    services = explanation["services"]
    is_placed = any(service["choice"] is not None for service in services)
    return ExitCode.DONE if is_placed else ExitCode.ERROR


def explanation_text(explanation: Mapping[str, Any]) -> str:
    """Return an explanation for people."""
    asked = f"{explanation['method']} {explanation['host']}{explanation['path']}"
    if not explanation["services"]:
        return f"{asked} goes nowhere: {explanation['reason']}"
    account = explanation["account"] or "none"
    lines = [
        f"{asked}: route {explanation['route']}, account {account}, "
        f"configuration {explanation['configuration']}"
    ]
    for service in explanation["services"]:
        choice = service["choice"] or "no VM"
        lines.append(
            f"service {service['service']} ({service['share']:.0%} of the calls): "
            f"{choice}; {service['reason']}"
        )
        if service["candidates"]:
            lines.append(_candidates_text(service["candidates"]))
    return "\n".join(lines)


def _candidates_text(candidates: list[Mapping[str, Any]]) -> str:
    names = [title for _, title in _COLUMNS]
    rows = [[_cell(row, key) for key, _ in _COLUMNS] for row in candidates]
    return table(names, rows)


def _cell(row: Mapping[str, Any], key: str) -> str:
    value = row[key]
    if value is None:
        return "-"
    return f"{value:.0%}" if key == "chosen_share" else str(value)
