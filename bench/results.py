"""Results of measurements: rows written as JSON and printed as tables."""

import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

RESULTS_DIRECTORY = Path(__file__).parent / "results"
PLOTS_DIRECTORY = Path(__file__).parent.parent / "docs" / "plots"


def save_rows(name: str, rows: Sequence[dict[str, Any]]) -> Path:
    """Write rows, with the command that made them, to ``bench/results/NAME.json``."""
    RESULTS_DIRECTORY.mkdir(parents=True, exist_ok=True)
    path = RESULTS_DIRECTORY / f"{name}.json"
    command = "python -m bench " + " ".join(sys.argv[1:])
    document = {"command": command, "rows": list(rows)}
    path.write_text(json.dumps(document, indent=1) + "\n", "utf-8")
    return path


def load_rows(name: str) -> list[dict[str, Any]]:
    """Return the rows written by `save_rows`."""
    path = RESULTS_DIRECTORY / f"{name}.json"
    return json.loads(path.read_text("utf-8"))["rows"]


def print_table(rows: Sequence[dict[str, Any]]) -> None:
    """Print rows as a Markdown table with one column per key of the first row."""
    if rows:
        print(format_table(rows))


def format_table(rows: Sequence[dict[str, Any]]) -> str:
    """Return rows, at least one, as a Markdown table."""
    keys = list(rows[0])
    lines = [
        "| " + " | ".join(keys) + " |",
        "| " + " | ".join("---" for _ in keys) + " |",
    ]
    for row in rows:
        lines.append("| " + " | ".join(_cell(row.get(key)) for key in keys) + " |")
    return "\n".join(lines)


def add_ratios(
    rows: Sequence[dict[str, Any]], label: str, baseline: str, columns: Sequence[str]
) -> None:
    """Add to each row the ratio of each column to the row labelled `baseline`."""
    reference = next(row for row in rows if row[label] == baseline)
    for row in rows:
        for column in columns:
            divisor = reference[column]
            ratio = row[column] / divisor if divisor else float("nan")
            row[f"{column} / {baseline}"] = ratio


def _cell(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
