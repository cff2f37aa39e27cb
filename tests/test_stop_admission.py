from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.stop_admission import (
    MIN_CALLS,
    PERIOD_SECONDS,
    SLOWEST_CALL_FACTOR,
    StopAdmission,
)


def with_admission(check):
    async def main():
        clock = VirtualClock()
        await check(StopAdmission(clock), clock)

    run_virtual(main())


def test_all_calls_are_admitted_before_a_stop():
    async def check(admission, clock):
        assert admission.admits("view", clock.monotonic() + 3600)

    with_admission(check)


def test_a_call_of_an_unknown_duration_has_to_end_in_time_by_its_deadline():
    """Guards against calls that are taken late in a stop and cut at its end."""

    async def check(admission, clock):
        admission.ends_at = clock.monotonic() + 5
        assert admission.admits("view", clock.monotonic() + 5)
        assert not admission.admits("view", clock.monotonic() + 5.1)
        for _ in range(MIN_CALLS - 1):
            admission.durations.record("view", 0.1)
        assert not admission.admits("view", clock.monotonic() + 60)

    with_admission(check)


def test_a_call_that_is_usually_short_is_admitted_whatever_its_deadline():
    """Guards against a stop that refuses what it could answer in a second."""

    async def check(admission, clock):
        for _ in range(MIN_CALLS):
            admission.durations.record("view", 1.0)
        admission.ends_at = clock.monotonic() + 10
        assert admission.admits("view", clock.monotonic() + 60)
        assert not admission.admits("other", clock.monotonic() + 60)
        await clock.sleep(7.9)
        assert admission.admits("view", clock.monotonic() + 60)
        await clock.sleep(0.2)
        assert not admission.admits("view", clock.monotonic() + 60)
        assert admission.admits("view", admission.ends_at)

    with_admission(check)


def test_one_slow_call_counts_and_old_ones_do_not():
    async def check(admission, clock):
        for _ in range(MIN_CALLS):
            admission.durations.record("view", 0.1)
        admission.durations.record("view", 4.0)
        assert admission.durations.slowest_seconds("view") == 4.0
        await clock.sleep(PERIOD_SECONDS)
        assert admission.durations.slowest_seconds("view") == 4.0
        admission.durations.record("view", 0.2)
        await clock.sleep(PERIOD_SECONDS)
        assert admission.durations.slowest_seconds("view") is None
        await clock.sleep(10 * PERIOD_SECONDS)
        assert admission.durations.slowest_seconds("view") is None

    with_admission(check)


@given(
    seconds=st.lists(st.floats(0, 20), min_size=MIN_CALLS, max_size=30),
    stop_seconds=st.floats(0, 30),
    arrives_after=st.floats(0, 30),
    patience=st.floats(0, 60),
)
def test_no_call_is_admitted_that_recent_ones_would_outlast(
    seconds, stop_seconds, arrives_after, patience
):
    """Guards against a call that is cut although such calls are known to be long."""

    async def check(admission, clock):
        for value in seconds:
            admission.durations.record("view", value)
        admission.ends_at = clock.monotonic() + stop_seconds
        await clock.sleep(arrives_after)
        now = clock.monotonic()
        if not admission.admits("view", now + patience):
            return
        slowest = admission.durations.slowest_seconds("view")
        is_patient = now + patience > admission.ends_at
        assert not is_patient or (
            now + SLOWEST_CALL_FACTOR * slowest <= admission.ends_at + 1e-6
        )

    with_admission(check)
