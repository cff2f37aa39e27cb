import pytest

from lacewingstair.platform import headers


@pytest.mark.parametrize(
    ("request_id", "parent"),
    [("9c41", ""), ("9c41.07be", "9c41"), ("a.b.c", "a.b"), ("", "")],
)
def test_the_call_for_which_a_request_is_made_shows_in_its_id(request_id, parent):
    assert headers.parent_id(request_id) == parent
