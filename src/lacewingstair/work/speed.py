"""Speed of an upstream's machine by the figures that it states; does no I/O.

A figure says in percent how long work takes at this moment: 100 as usual, 250 2.5 times
as long. Figures arrive with answers, and change many times a second.
"""

USUAL_PERCENT = 100.0
# A single figure is noisy; an average over this half-life still follows changes that
# happen several times a second.
FAST_HALF_LIFE_SECONDS = 0.1
SLOW_HALF_LIFE_SECONDS = 5.0
# Time after which half of the difference to the long-term average is no longer expected
# of a figure.
FIGURE_HALF_LIFE_SECONDS = 0.5
# Without a figure for this long, the upstream no longer counts as one that states them.
FIGURE_LIFETIME_SECONDS = 10.0


class StatedSpeed:
    """Follows the stated slowness, and measures time in work at the usual speed.

    Attributes
    ----------
    figures : int
        Figures taken since the start or the last reset.
    """

    def __init__(self) -> None:
        self.figures = 0
        self._percent = USUAL_PERCENT
        self._fast = USUAL_PERCENT
        self._slow = USUAL_PERCENT
        self._at = 0.0
        self._work_ms = 0.0

    def reset(self) -> None:
        """Forget all figures, after the upstream was replaced.

        The measured work keeps rising, as calls of the former upstream may still end.
        """
        self.figures = 0

    def state(self, percent: int, now: float) -> None:
        """Take a figure that has just arrived."""
        if not self.figures:
            self._work_ms = self.work_ms(now)
            self._fast = self._slow = self._percent = float(percent)
            self._at = now
            self.figures = 1
            return
        elapsed = max(0.0, now - self._at)
        # The speed changed at an unknown moment between both figures.
        percent_between = (self._percent + percent) / 2
        self._work_ms += elapsed * 1000 * USUAL_PERCENT / percent_between
        fast_weight = 0.5 ** (elapsed / FAST_HALF_LIFE_SECONDS)
        slow_weight = 0.5 ** (elapsed / SLOW_HALF_LIFE_SECONDS)
        self._fast = percent + (self._fast - percent) * fast_weight
        self._slow = percent + (self._slow - percent) * slow_weight
        self._percent = float(percent)
        self._at = now
        self.figures += 1

    def is_known(self, now: float) -> bool:
        """Return whether the upstream states figures."""
        return self.figures > 0 and now - self._at < FIGURE_LIFETIME_SECONDS

    def percent(self, now: float) -> float:
        """Return how long work is expected to take from now on, in percent."""
        known = 0.5 ** ((now - self._at) / FIGURE_HALF_LIFE_SECONDS)
        return self._slow + (self._fast - self._slow) * known

    def work_ms(self, now: float) -> float:
        """Return the work that one slot did since the start, at the usual speed."""
        return self._work_ms + (now - self._at) * 1000 * USUAL_PERCENT / self._percent
