import pytest

from lacewingstair.addresses import split_address


@pytest.mark.parametrize(
    ("address", "parts"),
    [
        ("10.0.0.1:7100", ("10.0.0.1", 7100)),
        ("[fd00::1]:65535", ("fd00::1", 65535)),
        ("127.0.0.1:0", ("127.0.0.1", 0)),
    ],
)
def test_an_address_is_split(address, parts):
    assert split_address(address) == parts


@pytest.mark.parametrize(
    "address", ["", ":1", "a", "a:", "a:65536", "a:-1", "a:+1", "a: 1", "a:1_0", "a:²"]
)
def test_what_is_no_address_is_a_value_error(address):
    """Guards against ports that fail only where a connection is opened."""
    with pytest.raises(ValueError, match="not of the form"):
        split_address(address)
