"""Checks ticket and settings files offline."""

import re
from collections.abc import Iterable
from pathlib import Path

from result import Err, Ok, Result

from lacewingstair.cli.exit_codes import ExitCode
from lacewingstair.cli.pending import fail
from lacewingstair.errors import Fault
from lacewingstair.settings.reader import parse_settings
from lacewingstair.tickets.acceptance import MeshState, TicketRecord, Verdict, fold
from lacewingstair.tickets.parsing import parse_ticket

_SECTION_LINE = re.compile(r"^\[\w+\]\s*$", re.MULTILINE)


def check_files(names: Iterable[str], in_order: bool) -> ExitCode:
    """Check files; print every fault; return `INVALID` if there is one.

    Parameters
    ----------
    names : iterable of str
        Files; the kind of each is found out from its content.
    in_order : bool
        Whether the tickets are also applied one after the other to an empty mesh.
    """
    state = MeshState()
    has_faults = False
    for name in names:
        outcome = _check_file(name)
        if isinstance(outcome, Ok) and in_order and outcome.ok_value[0] == "ticket":
            state, faults = _apply(state, outcome.ok_value[1])
            if faults:
                outcome = Err(faults)
        if isinstance(outcome, Err):
            has_faults = True
            for fault in outcome.err_value:
                fail(f"{name}: {fault}")
        else:
            print(f"{name}: {outcome.ok_value[2]}")
    return ExitCode.INVALID if has_faults else ExitCode.DONE


def read_text(name: str) -> Result[str, tuple[Fault, ...]]:
    """Return the text of a file, or why it cannot be read."""
    try:
        return Ok(Path(name).read_text("utf-8"))
    except OSError as error:
        return Err((Fault("file", f"cannot be read: {error.strerror}"),))
    except ValueError as error:
        # A name with a NUL character, or content that is not UTF-8.
        return Err((Fault("file", f"is not UTF-8 text: {error}"),))


def _check_file(name: str) -> Result[tuple[str, str, str], tuple[Fault, ...]]:
    read = read_text(name)
    if isinstance(read, Err):
        return read
    text = read.ok_value
    if text.lstrip().startswith("{"):
        parsed = parse_ticket(text)
        if isinstance(parsed, Err):
            return Err(parsed.err_value.faults)
        return Ok(("ticket", text, f"ticket {parsed.ok_value.number} is valid"))
    if _SECTION_LINE.search(text):
        settings = parse_settings(name, text)
        if isinstance(settings, Err):
            return Err(settings.err_value.faults)
        return Ok(
            ("settings", text, f"settings of VM {settings.ok_value.vm_id} are valid")
        )
    reason = "neither a ticket (a JSON object) nor settings (INI with [section] lines)"
    return Err((Fault("file", reason),))


def _apply(state: MeshState, text: str) -> tuple[MeshState, tuple[Fault, ...]]:
    after, decision = fold(state, TicketRecord(state.next_offset, text))
    if decision.verdict is Verdict.DUPLICATE:
        return after, (Fault("number", f"{decision.number} is given twice"),)
    return after, decision.faults
