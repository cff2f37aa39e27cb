from lacewingstair.caller.selection.answer_sizes import (
    DEFAULT_BYTES,
    DEFAULT_LARGE_BYTES,
    MAX_ROUTES,
    AnswerSizes,
)


def test_the_estimate_begins_with_the_first_answer_and_follows_the_later_ones():
    sizes = AnswerSizes()
    assert sizes.expected_bytes("view", False) == DEFAULT_BYTES
    assert sizes.expected_bytes("view", True) == DEFAULT_LARGE_BYTES
    sizes.record("view", 500)
    assert sizes.expected_bytes("view", True) == 500
    for _ in range(60):
        sizes.record("view", 5000)
    assert 4900 < sizes.expected_bytes("view", False) <= 5000


def test_routes_that_come_and_go_take_bounded_memory():
    sizes = AnswerSizes()
    for number in range(3 * MAX_ROUTES):
        sizes.record(f"r{number}", 1)
    assert len(sizes._bytes_by_route) <= MAX_ROUTES
