from lacewingstair.caller.elapsed_wait import REMEMBER_SECONDS, Patience


def test_a_caller_that_came_back_has_waited_before():
    """Guards against late calls that take the place of those that can be in time."""
    patience = Patience()
    assert patience.spent_ms("r", 800.0, 0.0) == 0.0
    assert patience.spent_ms("r", 800.0, 0.1) == 0.0
    assert patience.spent_ms("r", 560.0, 0.2) == 240.0
    assert patience.spent_ms("other", 560.0, 0.2) == 0.0


def test_differences_of_rounding_do_not_count():
    patience = Patience()
    patience.spent_ms("r", 800.0, 0.0)
    assert patience.spent_ms("r", 797.0, 0.1) == 0.0


def test_a_wait_that_callers_no_longer_state_is_forgotten():
    patience = Patience()
    patience.spent_ms("r", 2500.0, 0.0)
    now = 0.0
    for _ in range(3):
        now += REMEMBER_SECONDS
        patience.spent_ms("r", 800.0, now)
    assert patience.spent_ms("r", 800.0, now) == 0.0
