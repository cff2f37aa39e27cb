"""Exit codes of the command-line tool."""

import enum


class ExitCode(enum.IntEnum):
    """What a command came to, for scripts."""

    DONE = 0
    ERROR = 1
    INVALID = 2
    TAKEN_BACK = 3
    NOT_FINISHED = 4
    INTERRUPTED = 130
