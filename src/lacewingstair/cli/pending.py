"""Commands that run after the whole command line has been read.

fire calls a command before it finds out that arguments are left over. Commands
therefore return what has to be run, and a mistyped command line runs nothing.
"""

import os
import sys
from collections.abc import Callable

import attrs

from lacewingstair.cli.exit_codes import ExitCode


@attrs.frozen
class Pending:
    """A command that is still to be run."""

    _action: Callable[[], ExitCode]


def execute(pending: Pending) -> ExitCode:
    """Run a command and return its exit code."""
    try:
        code = pending._action()
        sys.stdout.flush()
        return code
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    except BrokenPipeError:
        # The reader of the output has gone; Python would report it again at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.ERROR


def fail(message: object, code: ExitCode = ExitCode.ERROR) -> ExitCode:
    """Print one line about an error and return the exit code."""
    print(f"lacewingstair: {message}", file=sys.stderr)
    return code
