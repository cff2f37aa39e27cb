import math

import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from lacewingstair.rollouts.sequential_tests import (
    Block,
    InferiorityTest,
    inferiority_factors,
    log_likelihood_ratio,
    non_inferiority_factor,
    project_onto_null,
)

ratios = st.floats(0.001, 0.9)
counts = st.integers(1, 200)


def log_expectation(old_calls, new_calls, bets, nulls, truth):
    """Return the log of the expected factor, which is linear in each call's outcome."""
    total = 0.0
    for calls, bet, null, true in zip(
        (old_calls, new_calls), bets, nulls, truth, strict=True
    ):
        bad = bet / null
        fine = (1 - bet) / (1 - null)
        total += calls * math.log(true * bad + (1 - true) * fine)
    return total


@given(
    counts,
    counts,
    ratios,
    st.floats(0.02, 0.9),
    st.floats(0.0, 1.0),
    st.floats(0.0, 1.0),
    st.sampled_from([0.001, 0.01, 0.12]),
)
def test_no_version_within_the_margin_has_an_expected_factor_above_one(
    old_calls, new_calls, old_bet, increase, truth, excess, margin
):
    # Guards against rollbacks of good versions: Ville's inequality needs this for every
    # common ratio, otherwise overload of both versions would cause a rollback.
    new_bet = min(old_bet + increase, 0.98)
    assume(new_bet - old_bet > margin)
    q = project_onto_null(old_calls, old_bet, new_calls, new_bet, margin)
    truths = (truth, min(1.0, truth + margin * excess))
    expected = log_expectation(
        old_calls, new_calls, (old_bet, new_bet), (q, q + margin), truths
    )
    assert expected <= 1e-6


@given(counts, counts, ratios, st.floats(0.0, 1.0), st.floats(0.0, 0.5))
def test_no_bad_version_has_an_expected_clearance_factor_above_one(
    old_calls, new_calls, old, truth, worse
):
    increase = 0.02
    old = min(old, 0.95)
    q = project_onto_null(old_calls, old, new_calls, old, increase)
    true_old = truth * (1 - increase)
    truths = (true_old, min(1.0, true_old + increase + worse))
    expected = log_expectation(
        old_calls, new_calls, (old, old), (q, q + increase), truths
    )
    assert expected <= 1e-6


@given(st.lists(st.floats(-0.1, 0.5), max_size=50))
def test_no_more_than_the_initial_capital_is_invested(fractions):
    inferiority_test = InferiorityTest(bet_count=3)
    for fraction in fractions:
        inferiority_test.invest(fraction)
    assert inferiority_test.invested <= 1.0
    assert inferiority_test.log_capital <= 1e-9


def test_a_factor_is_the_likelihood_ratio_of_the_bet():
    block = Block(old_calls=30, old_bad=1, new_calls=2, new_bad=2)
    q = project_onto_null(30, 0.02, 2, 0.5, 0.01)
    expected = math.log(0.02 / q) + 29 * math.log(0.98 / (1 - q))
    expected += 2 * math.log(0.5 / (q + 0.01))
    assert log_likelihood_ratio(block, 0.02, 0.5, 0.01) == pytest.approx(expected)


def test_a_failing_version_gains_capital_and_a_good_one_loses_it():
    bets = (0.1, 0.9)
    failing = inferiority_factors(Block(50, 0, 2, 2), 0.005, 0.01, bets)
    good = inferiority_factors(Block(50, 0, 2, 0), 0.005, 0.01, bets)
    assert min(failing) > 0 > max(good)
    assert non_inferiority_factor(Block(50, 0, 2, 0), 0.005, 0.02) > 0


def test_capital_invested_late_is_not_lost_to_earlier_good_calls():
    # Guards against late faults being masked by a long period of good calls.
    early = InferiorityTest(bet_count=1)
    early.invest(1.0)
    spread = InferiorityTest(bet_count=1)
    for _ in range(500):
        for inferiority_test in (early, spread):
            inferiority_test.add([-0.1])
        spread.invest(0.002)
    for _ in range(10):
        for inferiority_test in (early, spread):
            inferiority_test.add([2.0])
    assert spread.log_capital > math.log(1e4) > early.log_capital
