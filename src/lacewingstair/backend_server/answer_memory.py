"""Bound on the memory of all answers that are being received.

Each answer has a bound of its own, but many calls run at a time, and a backend server
in trouble may send bodies without end to all of them. The largest answer is dropped
first, so that the small ones of good calls are still received.
"""

import contextlib
from collections.abc import Iterator

import attrs

from lacewingstair.backend_server.connection import (
    EndlessAnswerError,
    UpstreamConnection,
)


@attrs.define(eq=False)
class HeldAnswer:
    """Body that is being received on a connection, and its bytes so far."""

    connection: UpstreamConnection
    size: int = 0


class AnswerMemory:
    """Counts the bytes of the bodies that are being received.

    Parameters
    ----------
    max_bytes : int
        Bytes of all of them together.

    Attributes
    ----------
    held_bytes : int
        Bytes of all of them now.
    """

    def __init__(self, max_bytes: int) -> None:
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._answers: set[HeldAnswer] = set()

    @contextlib.contextmanager
    def receiving(self, connection: UpstreamConnection) -> Iterator[HeldAnswer]:
        """Count a body while it is received."""
        answer = HeldAnswer(connection)
        self._answers.add(answer)
        try:
            yield answer
        finally:
            self._forget(answer)

    def add(self, answer: HeldAnswer, size: int) -> None:
        """Count further bytes; the connections of the largest bodies may be closed."""
        if answer not in self._answers:
            return
        answer.size += size
        self.held_bytes += size
        while self.held_bytes > self._max_bytes:
            self._drop(max(self._answers, key=lambda held: held.size))

    def _drop(self, answer: HeldAnswer) -> None:
        reason = (
            f"{answer.size} bytes of this answer, while all answers together had "
            f"{self.held_bytes} of {self._max_bytes} bytes"
        )
        self._forget(answer)
        answer.connection.fail(EndlessAnswerError(reason))

    def _forget(self, answer: HeldAnswer) -> None:
        if answer in self._answers:
            self._answers.remove(answer)
            self.held_bytes -= answer.size
