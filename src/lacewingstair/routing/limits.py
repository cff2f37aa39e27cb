"""Load limits of a service: concurrency limits, retry budgets and admission control."""

import math
import random
from collections import Counter
from collections.abc import Callable

import attrs

from lacewingstair.runtime import Clock

# Calls in flight that a VM allows per announced slot. Above 1, some calls wait at the
# upstream, so that a slot that becomes free is used at once.
MAX_CALLS_PER_SLOT = 2.0
LIMIT_DECREASE_FACTOR = 0.7

RETRY_SHARE = 0.2
RETRY_MIN_PER_SECOND = 3.0
RETRY_BURST_SECONDS = 10.0
# Time constant of the decay of the tokens that calls have added. The decayed sum, or
# one token if that is more, is the largest debt that external retries can cause.
RETRY_DEBT_SECONDS = 10.0

MIN_ADMITTED_SHARE = 0.02
# Factor by which the admitted share exceeds the served one, to detect capacity that has
# returned.
ADMIT_PROBE_FACTOR = 1.02
# Added to `ADMIT_PROBE_FACTOR` for each consecutive interval without a rejection, for a
# fast recovery.
ADMIT_PROBE_STEP = 0.02
ADMIT_SMOOTHING = 0.5
DEMAND_HALF_LIFE_SECONDS = 5.0
ADMISSION_INTERVAL_SECONDS = 0.5
MAX_TRACKED_DEMANDS = 1000
OVERFLOW_CUSTOMER = ""


class ConcurrencyLimit:
    """Adaptive limit of the calls in flight from this VM to one upstream.

    The limit increases additively with responses and decreases multiplicatively when
    the upstream rejects a call or a call times out. It decreases at most once in a
    window of as many outcomes as the limit, so that a burst of rejections counts once.
    Latency does not lower it, since the service times of one upstream differ too much
    from call to call.

    Parameters
    ----------
    slots : int
        Slots of the upstream.
    """

    def __init__(self, slots: int) -> None:
        self._maximum = slots * MAX_CALLS_PER_SLOT
        self._outcomes = 0
        self.value = self._maximum

    def set_slots(self, slots: int) -> None:
        """Apply a new number of announced slots."""
        self._maximum = slots * MAX_CALLS_PER_SLOT
        self.value = min(self.value, self._maximum)

    def record_success(self, in_flight: int) -> None:
        """Record a response.

        Parameters
        ----------
        in_flight : int
            Calls in flight to the upstream, including this one. The limit rises only if
            they reach at least half of it.
        """
        self._outcomes += 1
        if in_flight * 2 >= self.value:
            self.value = min(self._maximum, self.value + 1 / self.value)

    def record_rejection(self) -> None:
        """Record a rejection for lack of capacity, or a timeout."""
        self._outcomes += 1
        if self._outcomes >= self.value:
            self._outcomes = 0
            self.value = max(1.0, self.value * LIMIT_DECREASE_FACTOR)


@attrs.frozen
class RetryAllowance:
    """Retries of calls to a service that all VMs together may make.

    Parameters
    ----------
    share : float
        Retries as a share of the calls to the service.
    extra : float
        Further retries in a window, independent of the number of calls.
    window_seconds : float
        Length of the window in which calls and retries are counted.
    """

    share: float = 0.2
    extra: float = 60.0
    window_seconds: float = 10.0


DEFAULT_RETRY_ALLOWANCE = RetryAllowance()


class RetryBudget:
    """Token bucket that limits retries to a share of the first attempts of a service.

    Load pattern: a service that rejects calls while other services call it. Each layer
    that retries multiplies the load on the layers below. A call that a retried run
    makes therefore counts as a retry at the service that it calls, and may overdraw the
    bucket there; direct retries wait until it holds a token again.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    share : float
        Tokens that each first attempt adds.
    minimum_per_second : float
        Retries that all VMs together are always allowed.
    vm_count : callable
        Returns the number of VMs that share the minimum.
    """

    def __init__(
        self,
        clock: Clock,
        share: float = RETRY_SHARE,
        minimum_per_second: float = RETRY_MIN_PER_SECOND,
        vm_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self._clock = clock
        self._share = share
        self._minimum_per_second = minimum_per_second
        self._vm_count = vm_count
        self._tokens = min(minimum_per_second, self._max_tokens())
        self._refilled_at = clock.monotonic()
        # Tokens that first attempts have added, with exponential decay.
        self._recent_deposits = 0.0
        self._decayed_at = self._refilled_at

    def count_call(self) -> None:
        """Add the tokens of a first attempt."""
        self._decay()
        self._recent_deposits += self._share
        self._add_tokens(self._share)

    def count_external_retry(self) -> None:
        """Withdraw a token for a retry that another layer decided on.

        The balance may become negative, but no lower than minus the tokens that first
        attempts added recently, or minus one if they added less. Retries are thus
        possible again soon after a long disturbance.
        """
        self._decay()
        self._tokens = max(self._tokens - 1, -max(1.0, self._recent_deposits))

    def try_acquire(self) -> bool:
        """Withdraw a token for one retry; return whether there was one."""
        now = self._clock.monotonic()
        self._add_tokens((now - self._refilled_at) * self._refill_per_second())
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def refund(self) -> None:
        """Return the token of a retry that did not reach a backend server."""
        self._tokens += 1

    def _add_tokens(self, tokens: float) -> None:
        self._tokens = min(self._tokens + tokens, self._max_tokens())

    def _refill_per_second(self) -> float:
        return self._minimum_per_second / max(1, self._vm_count())

    def _max_tokens(self) -> float:
        # A retry costs one token; without a minimum, the shares of several calls add up
        # to it.
        return max(1.0, self._refill_per_second() * RETRY_BURST_SECONDS)

    def _decay(self) -> None:
        now = self._clock.monotonic()
        elapsed, self._decayed_at = now - self._decayed_at, now
        self._recent_deposits *= math.exp(-elapsed / RETRY_DEBT_SECONDS)


@attrs.frozen
class _WorthAdmission:
    """Admission of the calls of one worth.

    Parameters
    ----------
    admitted_share : float
        Share of these calls that is admitted, 0 to 1.
    level : float
        Admitted calls per customer, in the unit of the demand.
    demand_by_customer : dict
        Recent calls of each customer, with exponential decay.
    """

    admitted_share: float
    level: float
    demand_by_customer: dict[str, float]


class Admission:
    """Admission control that sheds load before dispatch while a service is overloaded.

    Each interval admits the share of the calls that was served in the previous one, and
    a little more. Calls of higher worth are admitted first. Within the worth that is
    only partly admitted, customers get equal shares: max-min fairness, by water filling
    over their recent demand.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._demand: Counter[tuple[float, str]] = Counter()
        self._admissions_by_worth: dict[float, _WorthAdmission] = {}
        self._interval_started_at = clock.monotonic()
        self._succeeded = 0
        self._rejected = 0
        self._intervals_without_rejection = 0
        self.admitted_share = 1.0

    def admit(self, worth: float, customer: str) -> bool:
        """Return whether a call may be dispatched."""
        key = (worth, customer)
        if key not in self._demand and len(self._demand) >= MAX_TRACKED_DEMANDS:
            key = (worth, OVERFLOW_CUSTOMER)
        self._demand[key] += 1
        now = self._clock.monotonic()
        if now - self._interval_started_at >= ADMISSION_INTERVAL_SECONDS:
            self._start_interval(now)
        if self.admitted_share >= 1.0:
            return True
        admission = self._admissions_by_worth.get(worth)
        if admission is None:
            return True
        if admission.admitted_share >= 1.0:
            return True
        demand = admission.demand_by_customer.get(key[1])
        if not demand:
            return True
        return self._rng.random() < admission.level / demand

    def record_success(self) -> None:
        """Record a call that an upstream answered."""
        self._succeeded += 1

    def record_rejection(self) -> None:
        """Record a call that was finally rejected for lack of capacity."""
        self._rejected += 1

    def _update_admitted_share(self) -> None:
        completed = self._succeeded + self._rejected
        if not completed:
            return
        self._intervals_without_rejection = (
            0 if self._rejected else self._intervals_without_rejection + 1
        )
        probe = (
            ADMIT_PROBE_FACTOR + ADMIT_PROBE_STEP * self._intervals_without_rejection
        )
        target_share = self.admitted_share * self._succeeded / completed * probe
        self.admitted_share += ADMIT_SMOOTHING * (target_share - self.admitted_share)
        self.admitted_share = min(1.0, max(MIN_ADMITTED_SHARE, self.admitted_share))
        self._succeeded = self._rejected = 0

    def _start_interval(self, now: float) -> None:
        self._update_admitted_share()
        decay = 0.5 ** ((now - self._interval_started_at) / DEMAND_HALF_LIFE_SECONDS)
        self._interval_started_at = now
        for key in list(self._demand):
            self._demand[key] *= decay
            if self._demand[key] < 0.01:
                del self._demand[key]
        demands_by_worth: dict[float, dict[str, float]] = {}
        for (worth, customer), demand in self._demand.items():
            demands_by_worth.setdefault(worth, {})[customer] = demand
        remaining = self.admitted_share * sum(self._demand.values())
        self._admissions_by_worth = {}
        for worth in sorted(demands_by_worth, reverse=True):
            demands = demands_by_worth[worth]
            total = sum(demands.values())
            quota = min(remaining, total)
            remaining -= quota
            level = _water_filling_level(sorted(demands.values()), quota)
            self._admissions_by_worth[worth] = _WorthAdmission(
                quota / total, level, demands
            )


def _water_filling_level(ascending: list[float], quota: float) -> float:
    """Return the cap at which the demands, each cut off at it, add up to `quota`."""
    remaining = quota
    for index, demand in enumerate(ascending):
        level = remaining / (len(ascending) - index)
        if demand >= level:
            return level
        remaining -= demand
    return ascending[-1]
