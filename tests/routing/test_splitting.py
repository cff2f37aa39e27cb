import random

from hypothesis import given
from hypothesis import strategies as st

from lacewingstair.routing.splitting import SmoothSplit


@given(st.integers(0, 1000), st.floats(0.0, 1.0), st.integers(1, 300))
def test_the_selected_calls_are_within_one_of_the_share(seed, share, calls):
    split = SmoothSplit(random.Random(seed))
    taken = sum(split.selects(share) for _ in range(calls))
    assert abs(taken - share * calls) <= 1.0 + 1e-9


@given(st.integers(0, 1000), st.integers(0, 50))
def test_a_share_of_zero_selects_no_call_and_a_share_of_one_all(seed, earlier):
    split = SmoothSplit(random.Random(seed))
    for _ in range(earlier):
        split.selects(0.37)
    assert not any(split.selects(0.0) for _ in range(100))
    assert all(split.selects(1.0) for _ in range(100))
