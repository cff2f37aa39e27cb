import json

import pytest
from result import Err, Ok

from lacewingstair.platform.bounds import Bounds, parse_bounds
from lacewingstair.platform.rollout_reports import RolloutReports
from lacewingstair.platform.rollouts import (
    decode_final_stage,
    decode_order,
    encode_status,
)
from lacewingstair.staged_rollouts.policy import Order, Stage
from tests.platform.test_store import with_store

ORDER = Order("board", "v2", 12.0, 4)
TOPIC = "keyed.status"


def test_an_order_is_decoded_with_its_unit():
    value = b'{"service": "board", "target_version": "v2", "duration": "12s"}'
    assert decode_order("rollout/board", value, 4) == Ok(ORDER)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b'{"service": "board", "target_version": "v2"}',
        b'{"service": "board", "target_version": 2, "duration": "12s"}',
        b'{"service": "board", "target_version": "v2", "duration": 12}',
    ],
)
def test_an_order_that_cannot_be_read_is_an_error(value):
    assert isinstance(decode_order("rollout/board", value, 4), Err)


def test_only_final_reports_of_the_same_version_count():
    for stage in (Stage.COMPLETED, Stage.ROLLED_BACK):
        assert decode_final_stage(encode_status(ORDER, stage), ORDER) is stage
    for stage in (Stage.TRIAL, Stage.LOAD_TRIAL, Stage.SHIFTED):
        assert decode_final_stage(encode_status(ORDER, stage), ORDER) is None
    other = Order("board", "v3", 12.0, 9)
    final = encode_status(ORDER, Stage.COMPLETED)
    assert decode_final_stage(final, other) is None
    assert decode_final_stage(b"\xff", ORDER) is None


def test_the_first_final_report_stays():
    """Guards against a version that is reported both as completed and as taken back."""

    async def check(standin, store):
        reports = RolloutReports(store)
        assert await reports.write(ORDER, Stage.TRIAL) == Ok(Stage.TRIAL)
        assert await reports.write(ORDER, Stage.ROLLED_BACK) == Ok(Stage.ROLLED_BACK)
        assert await reports.write(ORDER, Stage.COMPLETED) == Ok(Stage.ROLLED_BACK)
        value, _ = standin.newest(TOPIC)["rollout/board"]
        assert json.loads(value) == {
            "service": "board",
            "state": "rolled_back",
            "target_version": "v2",
        }

    with_store(check)


def test_bounds_are_read_by_name_and_unknown_ones_are_ignored():
    text = "seed_lag=3s, grace=6s,drain=2500ms,retry_budget_ratio=0.25,x=1"
    assert parse_bounds(text) == Ok(Bounds(6000.0, 0.25))
    assert parse_bounds("") == Ok(Bounds())
    for text in ("grace=6", "grace=", "canary_share=much"):
        assert isinstance(parse_bounds(text), Err)
