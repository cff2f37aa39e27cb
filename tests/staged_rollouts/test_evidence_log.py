from lacewingstair.staged_rollouts.evidence import KEPT_SLICES, GateEvidence
from lacewingstair.staged_rollouts.evidence_log import EvidenceLog


def evidence(calls, incarnation=1, version="v2", slice_index=0, is_bad=False):
    found = GateEvidence("a", incarnation, "board", version, 7)
    for _ in range(calls):
        found.at(slice_index, "view").count(is_bad, 100.0)
    return found


def test_counts_of_a_restarted_process_are_added_to_those_of_before():
    """Guards against bad calls that are passed over until they exceed earlier ones."""
    log = EvidenceLog("v2")
    log.apply(evidence(40))
    log.apply(evidence(5, incarnation=2, is_bad=True))
    assert (log.new_calls, log.total(is_new=True).bad) == (45, 5)


def test_counts_that_arrive_out_of_order_do_not_go_back():
    log = EvidenceLog("v2")
    log.apply(evidence(9))
    log.apply(evidence(4))
    assert log.new_calls == 9


def test_closed_slices_keep_their_counts():
    log = EvidenceLog("v2")
    log.apply(evidence(9))
    log.evaluate(KEPT_SLICES)
    log.apply(evidence(12))
    assert log.new_calls == 9


def test_a_version_that_is_not_trusted_is_not_compared_with():
    log = EvidenceLog("v3", is_trusted=lambda version: version == "v1")
    log.apply(evidence(9, version="v1"))
    log.apply(evidence(5, version="v2", incarnation=2))
    assert log.total(is_new=False).calls == 9


def test_a_gate_drops_calls_that_took_longer_than_it_keeps_counts():
    found = evidence(3, slice_index=KEPT_SLICES + 2)
    found.at(0, "view").count(True, 100.0)
    assert list(found.counts_by_route_by_slice) == [KEPT_SLICES + 2]
