"""Decides whether a client takes its answers; performs no I/O.

Load pattern: clients ask for large answers and read them slowly or not at all. A client
that takes bytes at the lowest allowed rate or faster is never closed; one that is
slower uses up the time for which it may stop.
"""

from lacewingstair.caller.connections.client_limits import ClientLimits


class AnswerProgress:
    """How far a client is behind in taking its answers.

    Parameters
    ----------
    limits : ClientLimits
        Time and rate allowed.
    """

    def __init__(self, limits: ClientLimits) -> None:
        self._limits = limits
        self._behind_seconds = 0.0
        self._taken_before = 0

    def is_overdue(self, seconds: float, written: int, unsent: int) -> bool:
        """Return whether the client is too far behind.

        Parameters
        ----------
        seconds : float
            Time since the last call.
        written, unsent : int
            Bytes of all answers of the connection, and those not yet taken.
        """
        taken = max(0, written - unsent)
        newly = max(0, taken - self._taken_before)
        # A response that is ending is not counted for a moment.
        self._taken_before = max(taken, self._taken_before)
        if not unsent:
            self._behind_seconds = 0.0
            return False
        earned = newly / self._limits.min_answer_rate
        self._behind_seconds = max(0.0, self._behind_seconds + seconds - earned)
        return self._behind_seconds > self._limits.answer_seconds
