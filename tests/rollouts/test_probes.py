from lacewingstair.rollouts.probes import FAILURE_PROBE, SLOWNESS_PROBE


def test_random_failures_do_not_start_a_probe_but_a_fault_does():
    assert not FAILURE_PROBE.holds([True, True], [])
    assert not FAILURE_PROBE.holds([True] * 8 + [False] * 12, [True, False] * 20)
    assert FAILURE_PROBE.holds([True] * 5 + [False] * 15, [False] * 50)
    assert not SLOWNESS_PROBE.holds([True] * 10 + [False] * 10, [True, False, False])
    assert SLOWNESS_PROBE.holds([True] * 20, [True, False, False] * 20)
