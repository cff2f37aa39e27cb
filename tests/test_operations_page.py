"""Guards against events and metrics that operators cannot look up."""

import ast
import re
from pathlib import Path

from lacewingstair.metrics import sidecar_page
from lacewingstair.metrics.daemon import Metrics

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs/OPERATIONS.md").read_text("utf-8")
# One row may explain several names.
ROWS = re.findall(r"^\| ((?:`[a-z_]+`(?:, )?)+) \|", PAGE, re.MULTILINE)
LISTED = {name for row in ROWS for name in re.findall(r"`([a-z_]+)`", row)}
LEVELS = {"debug", "info", "warning", "error", "call_line"}
METRICS = set(Metrics().names()) | set(sidecar_page.names())
# Written by the output itself, when it cannot log.
OTHER_EVENTS = {"lines_dropped"}


def event_arguments(tree):
    """Yield the first argument of each call that logs an event."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        function = node.func
        if (
            isinstance(function, ast.Attribute)
            and function.attr in LEVELS
            and isinstance(function.value, ast.Name)
            and function.value.id == "events"
        ):
            yield node.args[0]


def constants_passed_to(tree, parameter):
    """Return constants passed to the functions whose first parameter has a name."""
    functions = {
        node.name
        for node in ast.walk(tree)
        if isinstance(node, ast.FunctionDef)
        and parameter in [a.arg for a in node.args.args if a.arg != "self"][:1]
    }
    return {
        node.args[0].value
        for node in ast.walk(tree)
        if isinstance(node, ast.Call)
        and getattr(node.func, "attr", getattr(node.func, "id", "")) in functions
        and node.args
        and isinstance(node.args[0], ast.Constant)
    }


def events_of(path):
    tree = ast.parse(path.read_text("utf-8"))
    names = set()
    for argument in event_arguments(tree):
        if isinstance(argument, ast.Constant):
            names.add(argument.value)
            continue
        assert isinstance(argument, ast.Name), f"{path}: event name is computed"
        passed = constants_passed_to(tree, argument.id)
        assert passed, f"{path}: event name {argument.id!r} cannot be followed"
        names |= passed
    return names


def events_of_the_source():
    sources = sorted((ROOT / "src").rglob("*.py"))
    return {name for path in sources for name in events_of(path)}


def test_every_event_of_the_source_is_listed():
    found = events_of_the_source()
    assert len(found) > 20
    assert found - LISTED == set()


def test_every_event_and_metric_that_is_listed_exists():
    """Guards against operators who wait for a line that is never logged."""
    assert LISTED - events_of_the_source() - METRICS - OTHER_EVENTS == set()


def test_every_metric_is_explained():
    assert set() == METRICS - LISTED


def test_every_text_of_the_health_is_explained():
    source = (ROOT / "src/lacewingstair/operator/health.py").read_text("utf-8")
    texts = re.findall(r'append\("(.*)"\)', source)
    assert len(texts) == 6
    assert [text for text in texts if f"| {text} |" not in PAGE] == []
