"""Runs of pytest over a small project with a KNOWN-RED.txt."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.conftest import KnownRed, parse_known_red

CONFTEST = Path(__file__).with_name("conftest.py")
TESTS = """
import pytest

def test_red():
    assert 1 == 2

@pytest.mark.parametrize("n", [1, 2])
def test_half(n):
    assert n == 1

def test_green():
    pass
"""


def entry(name, file="test_some.py"):
    return (
        f"test: tests/{file}::{name}\n"
        f"command: python -m pytest tests/{file} (seed 1)\n"
        "seen: one is two\n"
        "issue: 15\n"
    )


HALF = "test_half[2]"
BOTH = f"{entry('test_red')}\n{entry(HALF)}"


@pytest.fixture
def run(tmp_path):
    """Return a function that runs pytest with a list and arguments."""
    tests = tmp_path / "tests"
    tests.mkdir()
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\naddopts = -q\n")
    (tests / "conftest.py").write_text(CONFTEST.read_text())
    (tests / "test_some.py").write_text(TESTS)
    (tests / "test_other.py").write_text("def test_other():\n    pass\n")

    def run_pytest(known_red, *arguments):
        if known_red is not None:
            (tmp_path / "KNOWN-RED.txt").write_text(known_red)
        command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *arguments]
        environment = {**os.environ, "PYTEST_ADDOPTS": ""}
        return subprocess.run(
            command, cwd=tmp_path, env=environment, capture_output=True, text=True
        )

    return run_pytest


def test_exactly_the_listed_tests_are_passed_over_and_printed(run):
    """Guards against a list that hides another failure, or is not seen."""
    done = run(BOTH)
    assert done.returncode == 0, done.stdout
    assert "2 known red" in done.stdout
    line = "tests/test_some.py::test_half[2]: one is two (issue 15)"
    assert line in done.stdout
    done = run(entry("test_red"))
    assert done.returncode == 1
    assert "1 failed" in done.stdout


@pytest.mark.parametrize("known_red", [None, "", "\n\n"])
def test_nothing_is_passed_over_without_a_list(run, known_red):
    done = run(known_red)
    assert done.returncode == 1
    assert "2 failed" in done.stdout and "known red" not in done.stdout


def test_a_listed_test_that_passes_fails_the_run(run):
    """Guards against entries that stay after the fault was mended."""
    done = run(f"{BOTH}\n{entry('test_green')}")
    assert done.returncode == 1
    assert "XPASS(strict)" in done.stdout


@pytest.mark.parametrize(
    ("unknown", "arguments"),
    [
        (entry("test_gone"), ()),
        (entry("test_gone"), ("tests/test_some.py",)),
        (entry("test_gone"), ("tests/test_some.py", "-k", "green")),
        (entry("test_half[3]"), ("tests/test_some.py::test_half",)),
        (entry("test_red", "test_gone.py"), ("tests/test_other.py",)),
    ],
)
def test_an_entry_of_a_test_that_does_not_exist_fails_the_run(run, unknown, arguments):
    """Guards against entries that pass over nothing after a test was renamed."""
    done = run(f"{BOTH}\n{unknown}", *arguments)
    assert done.returncode not in (0, 1, 5)
    assert "lists unknown tests" in done.stdout + done.stderr


@pytest.mark.parametrize(
    "arguments",
    [
        ("tests/test_other.py",),
        ("tests/test_some.py::test_green",),
        ("tests/test_some.py::test_half",),
        ("-k", "green or other"),
    ],
)
def test_entries_that_a_partial_run_leaves_out_do_not_fail_it(run, arguments):
    done = run(BOTH, *arguments)
    assert done.returncode == 0, done.stdout + done.stderr


def test_a_malformed_list_fails_the_run(run):
    done = run("test: tests/test_some.py::test_red\nseen: one is two\n")
    assert done.returncode not in (0, 1)
    assert "expected one line each of test, command, seen, issue" in done.stderr


def test_a_test_that_is_listed_twice_is_refused():
    with pytest.raises(ValueError, match="listed twice"):
        parse_known_red(f"{BOTH}\n{BOTH}")


def test_the_parts_of_an_entry_are_read():
    (found,) = parse_known_red(entry("test_red"))
    command = "python -m pytest tests/test_some.py (seed 1)"
    name = "tests/test_some.py::test_red"
    assert found == KnownRed(name, command, "one is two", "15")
