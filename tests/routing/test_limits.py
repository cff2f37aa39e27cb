import random
from collections import Counter

import pytest

from lacewingstair.routing.limits import (
    MIN_ADMITTED_SHARE,
    Admission,
    ConcurrencyLimit,
    RetryBudget,
)
from lacewingstair.standins.load import EventQueue


def offer_calls(admission, clock, rng, capacity, seconds, customers=("a",), rate=200):
    """Return the admitted share by worth and customer.

    `rate` calls a second are offered, of worth 1 and 10; the server serves `capacity`
    of them a second and rejects the rest.
    """
    admitted = Counter()
    offered = Counter()
    end = clock.now + seconds
    tokens = 0.0
    while clock.now < end:
        clock.run_until(clock.now + 1 / rate)
        tokens = min(5.0, tokens + capacity / rate)
        key = (rng.choice([1.0, 1.0, 10.0]), rng.choice(customers))
        offered[key] += 1
        if not admission.admit(*key):
            continue
        admitted[key] += 1
        if tokens >= 1:
            tokens -= 1
            admission.record_success()
        else:
            admission.record_rejection()
    return {key: admitted[key] / offered[key] for key in offered}


def test_admission_rejects_by_worth_then_equally_between_customers():
    """Guards against low worth or one large customer taking scarce capacity."""
    clock, rng = EventQueue(), random.Random(1)
    admission = Admission(clock, rng)
    customers = ("large",) * 8 + ("b", "c")
    offer_calls(admission, clock, rng, 100, 20, customers)
    shares = offer_calls(admission, clock, rng, 100, 30, customers)
    assert all(shares[10.0, name] > 0.9 for name in ("large", "b", "c"))
    assert shares[1.0, "large"] < 0.35
    assert shares[1.0, "b"] > 0.7


def test_admission_admits_all_again_after_a_shortage():
    """Guards against rejections that continue after an overload has ended."""
    clock, rng = EventQueue(), random.Random(1)
    admission = Admission(clock, rng)
    offer_calls(admission, clock, rng, 20, 20)
    assert admission.admitted_share < 0.3
    offer_calls(admission, clock, rng, 400, 20)
    assert admission.admitted_share == 1.0


def test_admission_keeps_probing_when_nothing_is_served():
    """Guards against an admitted share that an outage sets to zero for good."""
    clock, rng = EventQueue(), random.Random(1)
    admission = Admission(clock, rng)
    offer_calls(admission, clock, rng, 0, 60)
    assert admission.admitted_share >= MIN_ADMITTED_SHARE
    assert offer_calls(admission, clock, rng, 0, 30)[10.0, "a"] > 0


def test_admission_bounds_the_number_of_tracked_customers():
    """Guards against unbounded memory when callers send arbitrary customer names."""
    admission = Admission(EventQueue(), random.Random(1))
    for number in range(5000):
        admission.admit(1.0, str(number))
    assert len(admission._demand) <= 1001


def test_a_burst_of_rejections_lowers_a_limit_once_and_responses_restore_it():
    """Guards against a limit that collapses on the rejections of a single burst."""
    limit = ConcurrencyLimit(10)
    for _ in range(20):
        limit.record_success(20)
    full = limit.value
    for _ in range(8):
        limit.record_rejection()
    assert 0.6 * full < limit.value < full
    for _ in range(1000):
        limit.record_rejection()
    assert limit.value == 1.0
    for _ in range(1000):
        limit.record_success(20)
    assert limit.value == full


def test_direct_retries_wait_until_external_ones_are_covered():
    """Guards against retries that multiply from layer to layer."""
    clock = EventQueue()
    budget = RetryBudget(clock, 0.2, 0.0)
    for _ in range(100):
        budget.count_call()
    for _ in range(16):
        budget.count_external_retry()
    for _ in range(75):
        budget.count_call()
    assert not budget.try_acquire()
    for _ in range(6):
        budget.count_call()
    assert budget.try_acquire()


def test_the_debt_of_external_retries_is_bounded():
    """Guards against a long overload after whose end no retry is allowed."""
    clock = EventQueue()
    budget = RetryBudget(clock, 0.2, 0.0)
    for _ in range(10):
        budget.count_call()
    for _ in range(1000):
        budget.count_external_retry()
    for _ in range(15):
        budget.count_call()
    assert budget.try_acquire()


@pytest.mark.parametrize("vm_count", [1, 10, 1000])
def test_the_minimum_of_retries_is_shared_by_all_vms(vm_count):
    """Guards against a minimum that grows with the number of VMs."""
    clock = EventQueue()
    budgets = [RetryBudget(clock, 0.0, 20.0, lambda: vm_count) for _ in range(vm_count)]
    taken = 0
    for number in range(100):
        clock.run_until(number / 10)
        taken += sum(budget.try_acquire() for budget in budgets)
    # The buckets hold ten seconds of the minimum, but at least one retry at each VM.
    assert taken <= 20.0 * 10 + max(20.0 * 10, vm_count)


def test_the_retry_budget_follows_the_calls_with_a_minimum_and_a_cap():
    """Guards against retries that accumulate without bound under low load."""
    clock = EventQueue()
    budget = RetryBudget(clock)
    for _ in range(102):
        budget.count_call()
    assert sum(budget.try_acquire() for _ in range(200)) == 23
    clock.run_until(2.0)
    assert sum(budget.try_acquire() for _ in range(200)) == 6
    clock.run_until(10_000.0)
    assert sum(budget.try_acquire() for _ in range(200)) == 30
