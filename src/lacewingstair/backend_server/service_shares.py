"""How often the calls of each account are admitted; performs no I/O.

Load patterns: calls of a higher priority that fill all slots, and an account whose
ordinary load is much larger than an equal share. Under strict priority, or with equal
shares, such accounts would hardly be served. An account whose admitted part of its
calls falls below `FLOOR_SHARE` of that of all calls is owed a call, which then goes
ahead of the others. Together such calls take at most `FLOOR_SHARE` of the capacity, as
they stop once the account has reached its floor.
"""

import attrs

# Above the quarter that is promised, since admitted calls can still be lost and the
# counts follow a change of load with a delay.
FLOOR_SHARE = 0.35
HALF_LIFE_SECONDS = 10.0
# An account is idle when so much of a call is left in its decayed count.
MIN_COUNT = 0.1
# Calls of other accounts that arrive later overtake those of an account with a backlog,
# so its calls wait longer than the queue shows on their arrival.
WAIT_RATIO_WEIGHT = 0.2
MAX_WAIT_RATIO = 10.0
# Without starts from the queue nothing tells whether the wait is still longer.
WAIT_RATIO_HALF_LIFE_SECONDS = 10.0
SWEEP_SECONDS = 10.0
MAX_ACCOUNTS = 4096


@attrs.define
class _Counts:
    """Recent calls with exponential decay."""

    updated_at: float
    asked: float = 0.0
    admitted: float = 0.0
    wait_ratio: float = 1.0
    wait_ratio_at: float = 0.0

    def decay(self, now: float) -> None:
        """Let the counts fade to a time."""
        if now > self.updated_at:
            weight = 0.5 ** ((now - self.updated_at) / HALF_LIFE_SECONDS)
            self.asked *= weight
            self.admitted *= weight
            self.updated_at = now

    def wait_ratio_now(self, now: float) -> float:
        """Return by which factor waits differed from their estimates recently."""
        elapsed = now - self.wait_ratio_at
        weight = 0.5 ** (elapsed / WAIT_RATIO_HALF_LIFE_SECONDS)
        return 1.0 + (self.wait_ratio - 1.0) * weight


class ServiceShares:
    """Recent calls of all accounts of one backend server, and how many were admitted.

    State is kept only for accounts that made calls recently.
    """

    def __init__(self) -> None:
        self._all = _Counts(0.0)
        self._counts_by_account: dict[str, _Counts] = {}
        self._swept_at = 0.0

    def __len__(self) -> int:
        return len(self._counts_by_account)

    def is_owed(self, account: str, now: float) -> bool:
        """Return whether an account was served much less often than all."""
        counts = self._counts_by_account.get(account)
        if counts is None:
            return False
        # Both counts of an account decay alike, so their ratio is right without decay.
        totals = self._all
        floor = FLOOR_SHARE * totals.admitted * counts.asked
        return counts.admitted * totals.asked < floor

    def record(self, account: str, now: float, *, is_admitted: bool) -> None:
        """Count a call on its arrival."""
        counts = self._counts_by_account.get(account)
        if counts is None:
            self._sweep(now)
            if len(self._counts_by_account) >= MAX_ACCOUNTS:
                return
            counts = self._counts_by_account[account] = _Counts(now)
        for counted in (counts, self._all):
            counted.decay(now)
            counted.asked += 1
            counted.admitted += is_admitted

    def record_wait(self, account: str, now: float, ratio: float) -> None:
        """Record by which factor the wait of a call differed from its estimate."""
        counts = self._counts_by_account.get(account)
        if counts is None:
            return
        before = counts.wait_ratio_now(now)
        ratio = min(MAX_WAIT_RATIO, ratio)
        counts.wait_ratio = before + WAIT_RATIO_WEIGHT * (ratio - before)
        counts.wait_ratio_at = now

    def wait_factor(self, account: str, now: float) -> float:
        """Return the factor by which estimated waits of an account are too short."""
        counts = self._counts_by_account.get(account)
        return 1.0 if counts is None else max(1.0, counts.wait_ratio_now(now))

    def record_lost(self, account: str) -> None:
        """Take back an admitted call that left the queue without a start."""
        counts = self._counts_by_account.get(account)
        if counts is None:
            return
        for counted in (counts, self._all):
            counted.admitted = max(0.0, counted.admitted - 1)

    def _sweep(self, now: float) -> None:
        """Drop idle accounts, at most once in a while."""
        if now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        for account, counts in list(self._counts_by_account.items()):
            counts.decay(now)
            if counts.asked < MIN_COUNT:
                del self._counts_by_account[account]
