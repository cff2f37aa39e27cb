"""Entry point of the command-line tool."""

import inspect
import sys
from collections.abc import Sequence
from typing import Any

import fire
from fire.parser import DefaultParseValue

from lacewingstair import events
from lacewingstair.cli.commands import Commands
from lacewingstair.cli.pending import Pending, execute

_HELP = ["--", "--help"]


def main() -> None:
    """Run ``lacewingstair COMMAND ...``."""
    events.configure("error")
    command = fire_arguments(sys.argv[1:])
    result = fire.Fire(Commands(), command, "lacewingstair", _shown)
    if isinstance(result, Pending):
        sys.exit(execute(result))


def fire_arguments(arguments: Sequence[str]) -> list[str]:
    """Return a command line for fire in which all values stay texts.

    fire would turn values into numbers, lists and other Python values: a file named
    ``1,2`` would be a tuple. It also needs ``--`` before a request for help.
    """
    if arguments and arguments[-1] in ("-h", "--help"):
        return [*arguments[:1], "--", "--help"] if len(arguments) > 1 else _HELP
    flags = _flags_without_value()
    return [*arguments[:1], *(_completed(a, flags) for a in arguments[1:])]


def _flags_without_value() -> frozenset[str]:
    return frozenset(
        f"--{name.replace('_', separator)}"
        for _, method in inspect.getmembers(Commands, inspect.isfunction)
        for name, parameter in inspect.signature(method).parameters.items()
        if parameter.default is False
        for separator in "-_"
    )


def _completed(argument: str, flags: frozenset[str]) -> str:
    # fire would take the next argument as the value of the flag.
    if argument in flags:
        return f"{argument}=True"
    name, equals, value = argument.partition("=")
    if argument.startswith("--"):
        return f"{name}={_as_literal(value)}" if equals else argument
    return _as_literal(argument)


def _as_literal(text: str) -> str:
    return text if DefaultParseValue(text) == text else repr(text)


def _shown(result: Any) -> Any:
    return None if isinstance(result, Pending) else result
