from lacewingstair.rollouts.latency import MIN_REFERENCE_CALLS, LatencyReference


def test_the_threshold_is_the_median_times_the_root_of_the_ratio():
    reference = LatencyReference(max_latency_ratio=4.0)
    for latency in (0.01, 0.02, 0.03, 0.04, 50.0):
        reference.add(latency, 0.0)
    reference.update(0.0)
    assert reference.threshold == 0.06


def test_there_is_no_threshold_from_too_few_calls_and_old_ones_are_left_out():
    reference = LatencyReference(max_latency_ratio=1.0)
    for _ in range(MIN_REFERENCE_CALLS - 1):
        reference.add(1.0, 0.0)
    reference.update(0.0)
    assert reference.threshold is None
    for _ in range(MIN_REFERENCE_CALLS):
        reference.add(9.0, 5000.0)
    reference.update(5000.0)
    assert reference.threshold == 9.0
