"""Records when which disturbance acts on which VM or on the store."""

import time

from soak.versions import Disturbance


class DisturbanceLog:
    """Times of disturbances, in seconds since this object was made.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._origin = clock()
        self._ended = []
        self._open_by_key = {}

    def now(self):
        """Return the seconds since the start."""
        return self._clock() - self._origin

    def begin(self, target, kind, is_mild=False):
        """Note that a kind of disturbance begins, unless it acts already."""
        opened = Disturbance(target, self.now(), is_mild=is_mild)
        self._open_by_key.setdefault((target, kind), opened)

    def end(self, target, kind):
        """Note that a kind of disturbance ends, if it acts."""
        opened = self._open_by_key.pop((target, kind), None)
        if opened is None:
            return
        ended = Disturbance(
            opened.target, opened.began_at, self.now(), is_mild=opened.is_mild
        )
        self._ended.append(ended)

    def moment(self, target, is_mild=False):
        """Note a disturbance that takes no time."""
        self._ended.append(Disturbance(target, self.now(), self.now(), is_mild))

    @property
    def disturbances(self):
        """All disturbances, including those that still act."""
        return [*self._ended, *self._open_by_key.values()]
