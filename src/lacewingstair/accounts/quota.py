"""Admits calls of client accounts within quotas that hold over all VMs; does no I/O.

Load pattern: one account sends several times its quota for seconds, spread over all VMs
or sent to a few. Each VM admits calls from its share of the account's token bucket,
which a coordinator renews with each report (`accounts.quota_coordinator`). While the
account is far below its quota, a VM admits a few calls more than its share, since a
share of a small account is less than one call. Without a coordinator, a VM uses the
part of the quota that belongs to one VM.
"""

import enum
import math
import random
from collections.abc import Callable, Iterator, Mapping

import attrs

from lacewingstair.accounts.directory import ClientAccount
from lacewingstair.accounts.quota_messages import (
    BY_TOKENS,
    MILLI,
    UNLIMITED,
    AccountShare,
)
from lacewingstair.accounts.quota_terms import LEASE_SECONDS, QuotaBounds, Reach

# Calls that a VM admits beyond its share of an account far below its quota, and the
# same as a part of the whole bucket.
EXTRA_CALLS = 2.0
EXTRA_BUCKET_SHARE = 0.02
# Calls without a report after which one is due at once.
MIN_EARLY_CALLS = 2
# Part of the bucket that VMs without a share divide among them: the coordinator's
# answer arrives before more is needed.
FIRST_BUCKET_SHARE = 0.5
# A process that starts admits only its static share until a coordinator answers: an
# earlier process may have used the quota. That ends after this time, or soon after this
# VM is connected to most others, as coordinators limit the accounts that need it then.
START_SECONDS = 3.0
CONNECTED_SECONDS = 0.6
# How long a VM keeps to its static share before it looks again for a coordinator.
STATIC_SECONDS = 0.5
# A report that has no answer after this time may never get one.
ANSWER_SECONDS = 1.0
MIN_WAIT_SECONDS = 0.1
MAX_WAIT_SECONDS = 2.0


class ShareKind(enum.Enum):
    """How a VM decides."""

    STATIC = "static"
    UNLIMITED = "unlimited"
    TOKENS = "tokens"
    CHANCE = "chance"


@attrs.frozen
class QuotaDecision:
    """Decision about one call, with its inputs.

    Parameters
    ----------
    is_admitted : bool
        Whether the call may run.
    wait_seconds : float
        Expected time until a call would be admitted, 0 if this one is.
    tokens : float
        Tokens of this VM before the decision.
    rate_per_second : float
        Share of the rate that this VM has.
    kind : ShareKind
        How it was decided.
    share_age_seconds : float
        Time since the report that the share answers; infinite without a share.
    """

    is_admitted: bool
    wait_seconds: float = 0.0
    tokens: float = 0.0
    rate_per_second: float = 0.0
    kind: ShareKind = ShareKind.UNLIMITED
    share_age_seconds: float = math.inf


ADMITTED = QuotaDecision(True)


@attrs.define(eq=False)
class LocalQuota:
    """Share and counts of one account on this VM.

    Parameters
    ----------
    account : ClientAccount
        The account.
    asked, admitted : int
        Calls since the start of the process.
    answered_asked, answered_admitted : int
        Those that a coordinator has answered for.
    level, capacity : float
        Tokens and their limit.
    rate_per_second : float
        Share of the rate.
    extra : float
        Calls that may be admitted beyond the tokens.
    chance : float
        Probability of admission if the kind is `CHANCE`.
    refilled_at, based_at, expires_at : float
        When the tokens were counted, when the report of the share was sent, and when
        the share ends, monotonic seconds.
    early_at : int
        Number of admitted calls at which a report is due at once.
    waiting_since : float or None
        When the first report without an answer was sent.
    cautious_until : float
        Until when the account may still be limited although no share says so.
    is_pending, is_early : bool
        Whether a report is due, and whether it is due at once.
    """

    account: ClientAccount
    asked: int = 0
    admitted: int = 0
    answered_asked: int = 0
    answered_admitted: int = 0
    level: float = 0.0
    capacity: float = 0.0
    rate_per_second: float = 0.0
    extra: float = 0.0
    chance: float = 1.0
    kind: ShareKind = ShareKind.STATIC
    refilled_at: float = -math.inf
    based_at: float = -math.inf
    expires_at: float = -math.inf
    early_at: int = 0
    waiting_since: float | None = None
    cautious_until: float = -math.inf
    is_pending: bool = False
    is_early: bool = False

    def set_early(self) -> None:
        """Set when the next early report is due: at half of the tokens."""
        calls = max(MIN_EARLY_CALLS, int(max(0.0, self.level) / 2))
        self.early_at = self.admitted + calls


class QuotaAdmission:
    """Admits calls on one VM.

    Parameters
    ----------
    bounds : QuotaBounds
        How exactly quotas are kept.
    reach : callable
        Returns the VMs that this one sees.
    rng : random.Random
        Decides about calls of small shares.
    started_at : float
        When the process started, monotonic seconds.
    on_pending : callable, optional
        Called when a report of an account becomes due, or is due at once.
    """

    def __init__(
        self,
        bounds: QuotaBounds,
        reach: Callable[[], Reach],
        rng: random.Random,
        started_at: float,
        on_pending: Callable[[LocalQuota], None] = lambda local: None,
    ) -> None:
        self.bounds = bounds
        self._reach = reach
        self._rng = rng
        self._settled_at = started_at + START_SECONDS
        self._on_pending = on_pending
        self._locals_by_name: dict[str, LocalQuota] = {}

    def __iter__(self) -> Iterator[LocalQuota]:
        return iter(self._locals_by_name.values())

    def note_connected(self, now: float) -> None:
        """Take the news that this VM is connected to most others."""
        self._settled_at = min(self._settled_at, now + CONNECTED_SECONDS)

    def local(self, account: ClientAccount, now: float) -> LocalQuota:
        """Return the share of an account, under its terms in force."""
        local = self._locals_by_name.get(account.name)
        if local is None:
            local = LocalQuota(account, refilled_at=now)
            self._locals_by_name[account.name] = local
        local.account = account
        return local

    def retain(self, accounts: Mapping[str, ClientAccount]) -> None:
        """Forget the accounts that are not among these."""
        for name in self._locals_by_name.keys() - accounts.keys():
            del self._locals_by_name[name]

    def admit(self, account: ClientAccount, now: float) -> QuotaDecision:
        """Decide about a call of an account with a quota.

        Parameters
        ----------
        account : ClientAccount
            The account.
        now : float
            Monotonic seconds.
        """
        local = self._locals_by_name.get(account.name)
        if local is None or local.account is not account:
            local = self.local(account, now)
        local.asked += 1
        elapsed, local.refilled_at = now - local.refilled_at, now
        level = local.level + elapsed * local.rate_per_second
        local.level = level = min(level, local.capacity)
        if now >= local.expires_at:
            self._replace_expired(local, now)
            level = local.level
        is_admitted, local.level = self._decide(local, level)
        if is_admitted:
            local.admitted += 1
            decision = ADMITTED
        else:
            decision = self._refusal(local, level, now)
        if not local.is_pending or (
            local.admitted >= local.early_at and not local.is_early
        ):
            local.is_early = local.admitted >= local.early_at
            local.is_pending = True
            self._on_pending(local)
        return decision

    def give_back(self, account: ClientAccount, now: float) -> None:
        """Take back an admission, as the call has not run."""
        local = self._locals_by_name.get(account.name)
        if local is None:
            # The account was removed meanwhile.
            return
        local.admitted -= 1
        local.level += 1.0

    def _decide(self, local: LocalQuota, level: float) -> tuple[bool, float]:
        """Return whether a call is admitted, and the tokens that are left."""
        if level + local.extra >= 1.0:
            if local.kind is not ShareKind.CHANCE or self._rng.random() < local.chance:
                return True, level - 1.0
            return False, level
        if local.kind is not ShareKind.STATIC or local.capacity >= 1.0 or level <= 0:
            return False, level
        # A bucket of less than one call: a draw admits as many calls on average as
        # there are tokens, and uses them up in either case.
        return self._rng.random() < level, 0.0

    def _refusal(self, local: LocalQuota, level: float, now: float) -> QuotaDecision:
        rate = local.rate_per_second
        if local.kind is ShareKind.CHANCE:
            # A VM that admits at random has no rate to compute the wait from: the lower
            # the chance, the longer callers wait.
            wait = 0.5 / max(local.chance, 0.01)
        else:
            wait = (1.0 - level) / rate if rate > 0 else MAX_WAIT_SECONDS
        return QuotaDecision(
            False,
            min(max(wait, MIN_WAIT_SECONDS), MAX_WAIT_SECONDS),
            level,
            rate,
            local.kind,
            now - local.based_at,
        )

    def _replace_expired(self, local: LocalQuota, now: float) -> None:
        """Continue without a valid share."""
        account, reach = local.account, self._reach()
        vms = reach.size
        capacity = self.bounds.capacity(account)
        is_starting = now < self._settled_at
        is_unanswered = (
            local.waiting_since is not None
            and now - local.waiting_since >= ANSWER_SECONDS
        ) or now < local.cautious_until
        local.rate_per_second = account.rate_per_second / vms
        if is_starting or is_unanswered or reach.is_alone:
            local.level = local.level if local.kind is ShareKind.STATIC else 0.0
            local.kind = ShareKind.STATIC
            local.capacity = capacity / vms
            local.extra = 0.0
            local.expires_at = now + STATIC_SECONDS
        else:
            local.kind = ShareKind.UNLIMITED
            local.capacity = local.level = capacity * FIRST_BUCKET_SHARE / vms
            local.extra = EXTRA_CALLS + EXTRA_BUCKET_SHARE * capacity
            local.expires_at = now + LEASE_SECONDS
        local.set_early()

    def take_share(
        self, local: LocalQuota, share: AccountShare, based_at: float, now: float
    ) -> None:
        """Replace the share of an account.

        Parameters
        ----------
        local : LocalQuota
            Where it is kept.
        share : AccountShare
            What the coordinator grants.
        based_at : float
            When the newest report was sent that the share takes into account.
        now : float
            Monotonic seconds.
        """
        if based_at + LEASE_SECONDS <= now or based_at < local.based_at:
            return
        capacity = self.bounds.capacity(local.account)
        since = 0
        if share.asked >= 0:
            since = local.admitted - share.admitted
            local.answered_admitted = share.admitted
            local.answered_asked = share.asked
        local.level = share.milli_tokens / MILLI - since
        local.capacity = min(capacity, max(0.0, share.milli_capacity / MILLI))
        rate = max(0.0, share.milli_rate / MILLI)
        local.rate_per_second = min(local.account.rate_per_second, rate)
        local.level = min(local.level, local.capacity)
        local.extra = 0.0
        if share.permille == UNLIMITED:
            local.kind = ShareKind.UNLIMITED
            local.extra = EXTRA_CALLS + EXTRA_BUCKET_SHARE * capacity
        elif share.permille == BY_TOKENS:
            local.kind = ShareKind.TOKENS
        else:
            local.kind = ShareKind.CHANCE
            local.chance = share.permille / MILLI
            local.extra = EXTRA_CALLS
        is_limited = local.kind is not ShareKind.UNLIMITED
        window = self.bounds.window_seconds if is_limited else 0.0
        local.cautious_until = based_at + window
        local.based_at, local.refilled_at = based_at, now
        local.expires_at = based_at + LEASE_SECONDS
        local.set_early()
