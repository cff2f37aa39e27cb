import pytest

from lacewingstair.staged_rollouts.marks import RolloutMark
from lacewingstair.staged_rollouts.policy import Order, Stage
from lacewingstair.standins.virtual_time import run_virtual
from tests.caller.calls import test_forwarding
from tests.staged_rollouts.test_coordinator import Mesh

ORDER = Order("board", "v2", 16.0, 7)


@pytest.mark.parametrize("stage", [Stage.ROLLED_BACK, Stage.COMPLETED])
def test_a_mark_received_before_its_order_is_applied_with_the_order(stage):
    """Guards against calls from a VM that joins late to a version that was rolled back.

    A newly linked VM receives the marks during the handshake, but the order only with a
    transfer of records that it requests from the same VM afterwards.
    """

    async def main():
        late = Mesh(["a", "b"]).by_vm_id["b"]
        late.apply_mark(RolloutMark("board", ORDER.offset, stage, 9.0, True, "v2"))
        late.apply_order(ORDER)
        assert late.get("board").stage is stage
        is_completed = stage is Stage.COMPLETED
        assert late.allows("board", "x", "v2", True) is is_completed

    run_virtual(main())


def test_calls_go_to_the_new_version_if_its_rollout_ended_before_the_order_arrived(
    monkeypatch,
):
    """Guards against 503s from a VM that joins late: the old version is stopped."""

    def late(_):
        found = Mesh(["a"]).by_vm_id["a"]
        found.apply_mark(
            RolloutMark("board", ORDER.offset, Stage.COMPLETED, 16.0, True, "v2")
        )
        found.apply_order(ORDER)
        return found

    monkeypatch.setattr(test_forwarding, "rollouts_at", late)
    new = test_forwarding.Link("b", test_forwarding.answer(), version="v2")
    outcomes = test_forwarding.forward(new, calls=20)
    refused = [o for o in outcomes if not hasattr(o, "status")]
    assert refused == []
