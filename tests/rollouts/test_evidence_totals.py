import random

import attrs

from lacewingstair.rollouts.evidence import (
    CallCounts,
    CounterKey,
    EvidenceCounter,
    EvidenceReport,
)
from lacewingstair.rollouts.evidence_totals import EvidenceTotals, ZoneDelta
from lacewingstair.rollouts.marks import RolloutKey
from lacewingstair.rollouts.view import RolloutView
from lacewingstair.standins.rollout_mesh import RolloutMesh, first_sections, key_of


class RecordingTransport:
    def __init__(self):
        self.sent = []
        self.deliver = None

    def send_evidence(self, report):
        self.sent.append(report)

    def is_zone_root(self):
        return False

    def on_evidence(self, listener):
        self.deliver = listener

    def on_child_lost(self, listener):
        pass


def make_totals():
    mesh = RolloutMesh({"a-1": "a"}, 1, random.Random(1))
    mesh.publish(**first_sections(5.0, 105.0, ("read", "confirm")))
    vm = mesh.vms()[0]
    transport = RecordingTransport()
    view = RolloutView("a-1", vm.store, vm.marks)
    return EvidenceTotals("own", view, transport, 7), transport, key_of(vm)


def report(source, key, sequence, calls):
    counter = EvidenceCounter(key, "read", "v2", 0, calls, 0, 0, 0)
    return EvidenceReport(source, True, sequence, (counter,))


def test_totals_of_the_own_zone_are_not_added_to_its_own_counts():
    # Guards against calls counted twice while a former root still sends totals.
    totals, transport, key = make_totals()
    for zone in ("a-1", "b-1"):
        transport.deliver(report(f"{zone} root", key, 1, 10))
        transport.deliver(report(f"{zone} root", key, 2, 15))
    counter_key = CounterKey(key, "read", "v2", 0)
    assert totals.drain_deltas() == [ZoneDelta("b-1", counter_key, CallCounts(calls=5))]
    assert totals.drain_deltas() == []


def test_counts_of_a_rollout_that_the_configuration_lacks_are_dropped():
    totals, transport, key = make_totals()
    removed = attrs.evolve(key, number=key.number + 1)
    totals.add(CounterKey(removed, "read", "v2", 0), CallCounts(calls=3))
    transport.deliver(report("b-1 root", RolloutKey("other", 1), 1, 10))
    transport.deliver(report("b-1 root", RolloutKey("other", 1), 2, 15))
    assert totals.drain_deltas() == []


def test_unchanged_totals_are_sent_once_and_old_stages_not_at_all():
    totals, transport, key = make_totals()
    totals.add(CounterKey(key, "read", "v2", 0), CallCounts(calls=3))
    totals.add(CounterKey(key, "read", "v2", 2), CallCounts(calls=4))
    totals.send([key], {(key, "read"): 2})
    totals.send([key], {(key, "read"): 2})
    assert [r.sequence for r in transport.sent] == [8]
    assert [c.stage for c in transport.sent[0].counters] == [2]
