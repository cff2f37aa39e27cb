"""What a coordinator knows of accounts and VMs; does no I/O."""

import math

import attrs

from lacewingstair.accounts.quota_shares import Division

# Time constant of the demand of a VM. A VM without a report for longer than the pause
# between reports has none any more.
DEMAND_SECONDS = 0.3
STEADY_SECONDS = 0.7
# Time constant of the demand of all VMs together, which also shows a rise at VMs that
# have too few calls to show it one by one.
TOTAL_SECONDS = 0.5
# Reports that arrive together, after a delay, cover at least this time.
MIN_INTERVAL_SECONDS = 0.03
# A VM that has announced a report and sent none for so long is not heard from.
OVERDUE_SECONDS = 1.2


@attrs.define(eq=False)
class VmUsage:
    """What one VM has reported of an account.

    Parameters
    ----------
    incarnation : int
        Its process.
    asked, admitted : int
        Totals of the process.
    demand : float
        Calls per second that it was asked for.
    updated_at : float
        When the totals arrived, monotonic seconds.
    held_rate : float
        Share of the rate that it held, calls per second.
    withheld : float
        Tokens that were kept for it while it was silent.
    """

    incarnation: int
    asked: int
    admitted: int
    demand: float
    updated_at: float
    held_rate: float
    withheld: float = 0.0

    def demand_at(self, now: float) -> float:
        """Return the demand, as far as known from reports up to a moment."""
        overdue = max(0.0, now - self.updated_at - STEADY_SECONDS)
        return self.demand * math.exp(-overdue / DEMAND_SECONDS)

    def demand_after(self, asked: int, now: float) -> float:
        """Return the demand with the calls of the next report, smoothed."""
        elapsed = max(now - self.updated_at, MIN_INTERVAL_SECONDS)
        weight = 1.0 - math.exp(-elapsed / DEMAND_SECONDS)
        demand = self.demand_at(now)
        return demand + weight * (asked / elapsed - demand)


@attrs.define(eq=False)
class Member:
    """A VM that has reported.

    Parameters
    ----------
    incarnation, number : int
        Its process, and the number of its newest report.
    received_at : float
        When that arrived, monotonic seconds.
    is_followed : bool
        Whether it has announced a further one.
    """

    incarnation: int
    number: int
    received_at: float
    is_followed: bool

    def is_overdue(self, now: float) -> bool:
        """Return whether an announced report has not come."""
        return self.is_followed and now - self.received_at >= OVERDUE_SECONDS


@attrs.define(eq=False)
class Bucket:
    """Token bucket of one account, and the demand for it.

    Parameters
    ----------
    tokens, refilled_at
        Tokens at a moment, monotonic seconds.
    since : float
        Since when this VM coordinates the account.
    reported_at : float
        When the newest report arrived.
    is_limited, changed_at
        Whether VMs may admit only their shares, and when that changed.
    usages_by_vm_id, granted_at_by_vm_id : dict
        What VMs have reported, and when each got its share.
    division, divided_at
        Shares of all VMs, and when they were computed.
    rate, capacity : float
        Refill per second and limit of the tokens.
    demand : float
        Calls per second that all VMs are asked for.
    recent_asked, counted_at
        Calls that were reported, with exponential decay, at a moment.
    """

    tokens: float
    refilled_at: float
    since: float
    reported_at: float
    is_limited: bool = False
    changed_at: float = -math.inf
    usages_by_vm_id: dict[str, VmUsage] = attrs.field(factory=dict)
    granted_at_by_vm_id: dict[str, float] = attrs.field(factory=dict)
    division: Division | None = None
    divided_at: float = -math.inf
    rate: float = 0.0
    capacity: float = 0.0
    demand: float = 0.0
    recent_asked: float = 0.0
    counted_at: float = -math.inf

    def recent_at(self, now: float) -> float:
        """Return the calls that were reported recently."""
        return self.recent_asked * math.exp((self.counted_at - now) / TOTAL_SECONDS)
