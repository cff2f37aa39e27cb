import random
from collections import Counter

import pytest

from lacewingstair.metadata.configuration import CallRoute, SplitChooser, SplitPart
from lacewingstair.routing.routes import NamedRoute


def split(**weights):
    parts = tuple(SplitPart(name, weight) for name, weight in weights.items())
    return NamedRoute("r", CallRoute(("a",), "/", parts))


@pytest.mark.parametrize("seed", range(10))
def test_shares_are_right_over_few_calls(seed):
    """Guards against shares that are right only over a long time."""
    chooser = SplitChooser(random.Random(seed))
    named = split(board=90.0, book=7.0, desk=3.0)
    counts = Counter(chooser.choose(named) for _ in range(100))
    assert abs(counts["board"] - 90) <= 2
    assert abs(counts["book"] - 7) <= 2
    assert abs(counts["desk"] - 3) <= 2


def test_new_weights_count_at_once():
    chooser = SplitChooser(random.Random(1))
    for _ in range(37):
        chooser.choose(split(board=90.0, book=10.0))
    counts = Counter(chooser.choose(split(board=10.0, book=90.0)) for _ in range(100))
    assert abs(counts["book"] - 90) <= 2


def test_a_service_that_is_no_longer_a_part_gets_nothing():
    """Guards against calls to a service to which no configuration sends them."""
    chooser = SplitChooser(random.Random(1))
    for _ in range(10):
        chooser.choose(split(board=50.0, book=50.0))
    chosen = {chooser.choose(split(board=50.0, desk=50.0)) for _ in range(50)}
    assert chosen == {"board", "desk"}
    assert chooser.choose(split(book=1.0)) == "book"
