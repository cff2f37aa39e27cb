"""Memory that a head takes in the process; performs no I/O.

Load pattern: heads of many short lines, which take many times their bytes as objects of
the parser, or heads whose requests wait for their bodies, their turns or their answers.
"""

# The parser keeps a line as text and as bytes, and what is passed on is a copy.
BYTE_FACTOR = 3
# Objects for the name and the value of a line, twice, and their place in a table.
LINE_BYTES = 320
# Request, task and timers of a call in progress.
CALL_BYTES = 4 << 10


def head_memory(size: int, lines: int) -> int:
    """Return the bytes of memory of a head with a number of bytes and of lines."""
    return BYTE_FACTOR * size + LINE_BYTES * lines
