import math

import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from lacewingstair.rollouts.sequential_tests import (
    BadnessTest,
    Block,
    badness_factors,
    log_factor,
    project,
    soundness_factor,
)

ratios = st.floats(0.001, 0.9)
counts = st.integers(1, 200)


def log_expectation(old_calls, new_calls, bets, nulls, truth):
    """Logarithm of the expected factor, which is linear in each call's outcome."""
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
def test_no_version_within_the_margin_has_a_factor_above_one_on_average(
    old_calls, new_calls, old_bet, increase, truth, excess, margin
):
    # Guards against convictions of good versions: Ville's bound needs this for every
    # common ratio, or overload of both versions would convict.
    new_bet = min(old_bet + increase, 0.98)
    assume(new_bet - old_bet > margin)
    q = project(old_calls, old_bet, new_calls, new_bet, margin)
    truths = (truth, min(1.0, truth + margin * excess))
    expected = log_expectation(
        old_calls, new_calls, (old_bet, new_bet), (q, q + margin), truths
    )
    assert expected <= 1e-6


@given(counts, counts, ratios, st.floats(0.0, 1.0), st.floats(0.0, 0.5))
def test_no_bad_version_clears_a_stage_on_average(
    old_calls, new_calls, old, truth, worse
):
    increase = 0.02
    old = min(old, 0.95)
    q = project(old_calls, old, new_calls, old, increase)
    true_old = truth * (1 - increase)
    truths = (true_old, min(1.0, true_old + increase + worse))
    expected = log_expectation(
        old_calls, new_calls, (old, old), (q, q + increase), truths
    )
    assert expected <= 1e-6


@given(st.lists(st.floats(-0.1, 0.5), max_size=50))
def test_no_more_than_the_starting_capital_is_put_at_risk(parts):
    badness_test = BadnessTest(bets=3)
    for part in parts:
        badness_test.invest(part)
    assert badness_test.invested <= 1.0
    assert badness_test.log_capital <= 1e-9


def test_a_factor_is_the_likelihood_ratio_of_the_bet():
    block = Block(old_calls=30, old_bad=1, new_calls=2, new_bad=2)
    q = project(30, 0.02, 2, 0.5, 0.01)
    by_hand = math.log(0.02 / q) + 29 * math.log(0.98 / (1 - q))
    by_hand += 2 * math.log(0.5 / (q + 0.01))
    assert log_factor(block, 0.02, 0.5, 0.01) == pytest.approx(by_hand)


def test_a_failing_version_gains_capital_and_a_sound_one_loses_it():
    bets = (0.1, 0.9)
    failing = badness_factors(Block(50, 0, 2, 2), 0.005, 0.01, bets)
    sound = badness_factors(Block(50, 0, 2, 0), 0.005, 0.01, bets)
    assert min(failing) > 0 > max(sound)
    assert soundness_factor(Block(50, 0, 2, 0), 0.005, 0.02) > 0


def test_capital_put_at_risk_late_is_not_spent_by_earlier_good_calls():
    # Guards against faults that start late being masked by a long good time.
    early = BadnessTest(bets=1)
    early.invest(1.0)
    spread = BadnessTest(bets=1)
    for _ in range(500):
        for badness_test in (early, spread):
            badness_test.add([-0.1])
        spread.invest(0.002)
    for _ in range(10):
        for badness_test in (early, spread):
            badness_test.add([2.0])
    assert spread.log_capital > math.log(1e4) > early.log_capital
