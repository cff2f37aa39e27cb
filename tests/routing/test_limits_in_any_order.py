"""Property tests: a retry budget holds for any order of calls and retries."""

from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.routing.limits import RETRY_BURST_SECONDS, RetryBudget
from lacewingstair.standins.load import EventQueue

WINDOW_SECONDS = 10.0
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["call", "call", "call", "external", "retry", "retry", "wait"]),
        st.integers(1, 40),
    ),
    max_size=60,
)


def run_steps(steps, share, minimum_per_second, vm_count):
    """Run the steps; return (second, kind) of each call, external and direct retry."""
    clock = EventQueue()
    budget = RetryBudget(clock, share, minimum_per_second, lambda: vm_count)
    found = []
    for kind, count in steps:
        if kind == "wait":
            clock.run_until(clock.now + count / 4)
            continue
        for _ in range(count):
            if kind == "call":
                budget.count_call()
            elif kind == "external":
                budget.count_external_retry()
            elif not budget.try_acquire():
                break
            found.append((clock.now, kind))
    return found


@given(STEPS, st.sampled_from([0.05, 0.16, 0.2]), st.sampled_from([0.0, 3.0]))
def test_no_window_exceeds_the_retry_budget(steps, share, minimum):
    """Guards against an order of events in which retries are not counted."""
    vm_count = 4
    events = run_steps(steps, share, minimum, vm_count)
    own = minimum / vm_count
    burst = max(1.0, own * RETRY_BURST_SECONDS)
    for end, kind in events:
        if kind != "retry":
            continue
        window = [k for at, k in events if end - WINDOW_SECONDS < at <= end]
        refilled = share * window.count("call") + own * WINDOW_SECONDS
        # The window also holds calls made after the last retry at the same instant.
        assert window.count("retry") <= burst + refilled + 1e-6


@given(STEPS, st.sampled_from([0.05, 0.16, 0.2]))
def test_external_retries_never_add_direct_ones(steps, share):
    """Guards against a budget that ignores the retries of other layers."""
    without = [step for step in steps if step[0] != "external"]
    allowed = [k for _, k in run_steps(steps, share, 0.0, 1)].count("retry")
    assert allowed <= [k for _, k in run_steps(without, share, 0.0, 1)].count("retry")
