"""Page of all kept results, ``docs/results.md``, written from ``bench/results``."""

import json
from pathlib import Path

from bench.registry import benchmarks
from bench.results import RESULTS_DIRECTORY, format_table

PAGE = Path(__file__).parent.parent / "docs" / "results.md"
# The policies under load have some hundred rows; docs/calls.md shows those that matter.
MAX_ROWS = 24
INTRODUCTION = """# Results of the measurements

Written by `python -m bench results-page` from `bench/results`. Each table names the
command that made its rows; the machine was shared with other work, so compare rows of
one table and not times of different ones.
"""


@benchmarks.register("results-page")
def write_results_page() -> None:
    """Write the page of all kept results."""
    parts = [INTRODUCTION]
    for path in sorted(RESULTS_DIRECTORY.glob("*.json")):
        document = json.loads(path.read_text("utf-8"))
        rows = document["rows"]
        parts.append(f"## {path.stem}\n\n`{document['command']}`\n")
        parts.append(format_table(rows[:MAX_ROWS]) + "\n")
        if len(rows) > MAX_ROWS:
            parts.append(f"{len(rows) - MAX_ROWS} more rows in the file.\n")
    PAGE.write_text("\n".join(parts), "utf-8")
