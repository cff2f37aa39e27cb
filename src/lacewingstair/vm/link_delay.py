"""Estimates how late messages of a peer arrive, without a common clock."""

import math

# A difference beyond this is a change of the peer's clock and no delay.
MAX_LATE_SECONDS = 15.0


class LinkDelay:
    """Compares the times of messages on one stream.

    The clocks of both ends differ by a constant. The least difference between receipt
    and sending belongs to the message that was delayed least; what others have beyond
    it is their additional delay.
    """

    def __init__(self) -> None:
        self._least_difference = math.inf

    def late_seconds(self, sent_at: float, received_at: float) -> float:
        """Return how much longer than the fastest message a message was on its way.

        Parameters
        ----------
        sent_at, received_at : float
            Monotonic seconds of the sender and of the receiver.
        """
        difference = received_at - sent_at
        if difference - self._least_difference > MAX_LATE_SECONDS:
            self._least_difference = difference
        self._least_difference = min(self._least_difference, difference)
        return difference - self._least_difference
