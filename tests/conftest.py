"""Profiles of Hypothesis, and tests that are known to fail.

KNOWN-RED.txt at the root lists tests that fail because of an open fault. They run, and
their failure does not fail the run; their success does, so that the list stays true.
``--runxfail`` shows their failures in full.
"""

import gc
from pathlib import Path

import attrs
import pytest
from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None)
settings.register_profile("long", max_examples=2000, deadline=None)
settings.load_profile("ci")

KNOWN_RED_FILE = "KNOWN-RED.txt"
_KEYS = ("test", "command", "seen", "issue")
_ENTRIES = pytest.StashKey()


@attrs.frozen
class KnownRed:
    """A test that is known to fail."""

    test: str
    command: str
    seen: str
    issue: str


def parse_known_red(text):
    """Return the entries of KNOWN-RED.txt; raise ValueError for a malformed one."""
    entries = []
    for block in text.replace("\r\n", "\n").strip().split("\n\n"):
        lines = [line for line in block.split("\n") if line.strip()]
        if not lines:
            continue
        pairs = [line.partition(":") for line in lines]
        keys = tuple(key.strip() for key, _, _ in pairs)
        values = [value.strip() for _, _, value in pairs]
        if keys != _KEYS or not all(values):
            expected = ", ".join(_KEYS)
            raise ValueError(f"{lines[0]!r}: expected one line each of {expected}")
        entries.append(KnownRed(*values))
    names = [entry.test for entry in entries]
    if len(set(names)) < len(names):
        raise ValueError("a test is listed twice")
    return entries


def pytest_configure(config):
    file = config.rootpath / KNOWN_RED_FILE
    try:
        entries = parse_known_red(file.read_text()) if file.exists() else []
    except ValueError as error:
        raise pytest.UsageError(f"{KNOWN_RED_FILE}: {error}") from error
    config.stash[_ENTRIES] = entries


@pytest.hookimpl(tryfirst=True)
def pytest_runtest_makereport(item, call):
    """Collect garbage before the source of a failed test is parsed to show it.

    CPython 3.11 ends with an internal error when a finalizer, such as that of a stream
    which the failed test has left open, runs meanwhile.
    """
    if call.excinfo is not None:
        gc.collect()


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """Mark the listed tests, before any are deselected."""
    items_by_id = {item.nodeid: item for item in items}
    unknown = []
    for entry in config.stash[_ENTRIES]:
        item = items_by_id.get(entry.test)
        if item is not None:
            item.add_marker(pytest.mark.xfail(reason=entry.seen, strict=True, run=True))
        elif _should_exist(config, entry.test):
            unknown.append(entry.test)
    if unknown:
        names = ", ".join(unknown)
        raise pytest.UsageError(f"{KNOWN_RED_FILE} lists unknown tests: {names}")


def _should_exist(config, node_id):
    """Return whether the run would have collected the test if it existed."""
    path, _, name = node_id.partition("::")
    file = config.rootpath / path
    if not file.is_file():
        return True
    if config.getoption("lf", False):
        # Files without a test that failed last are not collected.
        return False
    for argument in config.args:
        asked_path, _, asked_name = argument.partition("::")
        asked = Path(config.invocation_params.dir, asked_path).resolve()
        is_named = asked_name in ("", name) or name.startswith(
            (f"{asked_name}[", f"{asked_name}::")
        )
        if is_named and (asked == file.resolve() or asked in file.resolve().parents):
            return True
    return False


def pytest_terminal_summary(terminalreporter, config):
    """Print the listed tests that failed in this run."""
    failed = {report.nodeid for report in terminalreporter.getreports("xfailed")}
    entries = [entry for entry in config.stash[_ENTRIES] if entry.test in failed]
    if not entries:
        return
    terminalreporter.section(f"{len(entries)} known red ({KNOWN_RED_FILE})")
    for entry in entries:
        terminalreporter.line(f"{entry.test}: {entry.seen} (issue {entry.issue})")
