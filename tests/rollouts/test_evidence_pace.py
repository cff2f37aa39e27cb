import pytest

from lacewingstair.rollouts.evidence import CallCounts, CounterKey
from lacewingstair.rollouts.evidence_totals import COUNTERS_PER_STEP, EvidenceTotals
from lacewingstair.rollouts.marks import RolloutKey


class AllRolloutsConfigured:
    availability_zone = "zone-1"

    def is_configured(self, key):
        return True


class RecordingTransport:
    def __init__(self):
        self.reports = []

    def on_evidence(self, listener):
        pass

    def on_child_lost(self, listener):
        pass

    def is_zone_root(self):
        return False

    def send_evidence(self, report):
        self.reports.append(report)


@pytest.mark.parametrize("rollouts", [1, 2, 10, 50])
def test_counters_sent_stay_within_their_rate_and_none_is_lost(rollouts):
    """Guards against reports that exceed the control bandwidth of a zone's root."""
    transport = RecordingTransport()
    totals = EvidenceTotals("vm-1", AllRolloutsConfigured(), transport, 0)
    keys = [RolloutKey(f"move-{i}", i + 1) for i in range(rollouts)]
    counter_keys = [
        CounterKey(key, "read", version, 0) for key in keys for version in "ab"
    ]
    steps = 120
    for _ in range(steps):
        for counter_key in counter_keys:
            totals.add(counter_key, CallCounts(calls=1))
        totals.send(keys, {})
    sent = sum(len(report.counters) for report in transport.reports)
    assert sent <= (steps + len(counter_keys)) * COUNTERS_PER_STEP
    if len(counter_keys) <= COUNTERS_PER_STEP:
        assert len(transport.reports) == steps
    for _ in range(len(counter_keys)):
        totals.send(keys, {})
    last = transport.reports[-1]
    assert {counter.calls for counter in last.counters} == {steps}
    assert len(last.counters) == len(counter_keys)
