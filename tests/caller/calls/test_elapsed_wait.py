from lacewingstair.caller.calls.elapsed_wait import WINDOW_SECONDS, ElapsedWaitEstimator


def test_a_caller_that_retries_has_waited_before():
    """Guards against late calls that displace calls that can meet their target."""
    elapsed_wait = ElapsedWaitEstimator()
    assert elapsed_wait.elapsed_ms("r", 800.0, 0.0) == 0.0
    assert elapsed_wait.elapsed_ms("r", 800.0, 0.1) == 0.0
    assert elapsed_wait.elapsed_ms("r", 560.0, 0.2) == 240.0
    assert elapsed_wait.elapsed_ms("other", 560.0, 0.2) == 0.0


def test_rounding_differences_are_ignored():
    elapsed_wait = ElapsedWaitEstimator()
    elapsed_wait.elapsed_ms("r", 800.0, 0.0)
    assert elapsed_wait.elapsed_ms("r", 797.0, 0.1) == 0.0


def test_a_timeout_that_callers_no_longer_state_is_dropped():
    elapsed_wait = ElapsedWaitEstimator()
    elapsed_wait.elapsed_ms("r", 2500.0, 0.0)
    now = 0.0
    for _ in range(3):
        now += WINDOW_SECONDS
        elapsed_wait.elapsed_ms("r", 800.0, now)
    assert elapsed_wait.elapsed_ms("r", 800.0, now) == 0.0
