"""Text output: tables, moves and changes of a report."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

_MOVE_COLUMNS = ("move", "service", "from", "to", "state", "share", "since", "reason")


def table(columns: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return rows under their column names, aligned."""
    lines = [columns, *rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def report_text(report: Mapping[str, Any]) -> str:
    """Return a report for people."""
    parts = [f"ticket {report['ticket']} is in force"]
    moves = report["rollouts"]
    if moves:
        rows = [_move_row(name, move) for name, move in sorted(moves.items())]
        parts.append(table(_MOVE_COLUMNS, rows))
    else:
        parts.append("no moves")
    parts.extend(refusal_text(refusal) for refusal in report.get("refused", ()))
    return "\n".join(parts)


def refusal_text(refusal: Mapping[str, Any]) -> str:
    """Return one sentence about a refused record."""
    number = refusal.get("number")
    shown = "record" if number is None else f"ticket {number}"
    faults = "; ".join(map(str, refusal.get("faults", ())))
    return f"refused: {shown} at offset {refusal.get('offset')}: {faults}"


def changes(before: Mapping[str, Any] | None, after: Mapping[str, Any]) -> list[str]:
    """Return one sentence for each difference between two reports."""
    held = before or {"ticket": None, "rollouts": {}, "refused": []}
    lines = []
    if after["ticket"] != held["ticket"]:
        lines.append(f"ticket {after['ticket']} is in force")
    for name, move in sorted(after["rollouts"].items()):
        if _visible(move) != _visible(held["rollouts"].get(name, {})):
            lines.append(move_text(name, move))
    for name in sorted(set(held["rollouts"]) - set(after["rollouts"])):
        lines.append(f"move {name} was removed")
    known = {refusal.get("offset") for refusal in held.get("refused", ())}
    lines.extend(
        refusal_text(refusal)
        for refusal in after.get("refused", ())
        if refusal.get("offset") not in known
    )
    return lines


def move_text(name: str, move: Mapping[str, Any]) -> str:
    """Return one sentence about a move."""
    text = (
        f"move {name} of {move.get('service')} from {move.get('from_version')}"
        f" to {move.get('to_version')} is {move.get('state')}"
    )
    share = share_text(move)
    if share:
        text += f", share {share}"
    details = [str(move[key]) for key in ("reason", "evidence") if move.get(key)]
    return f"{text}: {'; '.join(details)}" if details else text


def share_text(move: Mapping[str, Any]) -> str:
    """Return the new version's share, from the lowest to the highest of all zones."""
    if move.get("state") == "taken back":
        return ""
    shares = [stage["share"] for stage in move.get("stages", ())]
    if not shares:
        return ""
    low, high = min(shares), max(shares)
    return f"{low:.0%}" if low == high else f"{low:.0%} to {high:.0%}"


def _visible(move: Mapping[str, Any]) -> tuple[Any, ...]:
    fields = tuple(move.get(key) for key in ("state", "reason", "number"))
    return (*fields, share_text(move))


def _move_row(name: str, move: Mapping[str, Any]) -> tuple[str, ...]:
    reason = "; ".join(str(move[k]) for k in ("reason", "evidence") if move.get(k))
    keys = ("service", "from_version", "to_version", "state")
    cells = [str(move.get(key) or "-") for key in keys]
    since = str(move.get("since") or "-")
    return (name, *cells, share_text(move) or "-", since, reason or "-")
