from lacewingstair.vm.link_delay import MAX_LATE_SECONDS, LinkDelay


def test_a_message_is_as_late_as_it_is_behind_the_fastest_one():
    """Guards against news that count as fresh since they have just arrived."""
    delay = LinkDelay()
    assert delay.late_seconds(1000.0, 5.02) == 0.0
    assert abs(delay.late_seconds(1001.0, 7.92) - 1.9) < 1e-9
    assert delay.late_seconds(1002.0, 7.01) == 0.0
    assert abs(delay.late_seconds(1003.0, 8.02) - 0.01) < 1e-9


def test_a_clock_that_has_jumped_is_no_delay():
    delay = LinkDelay()
    delay.late_seconds(1000.0, 5.0)
    assert delay.late_seconds(1.0, 5.0 + MAX_LATE_SECONDS) == 0.0
