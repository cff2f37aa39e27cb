import attrs
import msgpack
import pytest
import zstandard
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from lacewingstair.tickets.acceptance import MeshState, TicketRecord, fold
from lacewingstair.tickets.state_codec import (
    MAX_STATE_BYTES,
    decode_state,
    encode_state,
)
from tests.ticket_texts import SERVICES, first_ticket, ticket

ROUTES = {
    "read": {"service": "board", "hosts": ["rota.example"], "worth": 3},
    "late": {"service": "board", "path_prefix": "/late", "idempotent": False},
}
BOARD = {**SERVICES["board"], "not_run_statuses": [503, 418]}
TICKETS = (
    first_ticket(),
    ticket(2, routes=ROUTES, services={"board": BOARD}),
    ticket(2, note="refused \ud800"),
)


def folded_state():
    state = MeshState()
    for offset, text in enumerate(TICKETS):
        state, _ = fold(state, TicketRecord(offset, text))
    return state


def pack(array):
    packed = msgpack.packb(array, unicode_errors="surrogatepass")
    return zstandard.ZstdCompressor().compress(packed)


def unpack(data):
    packed = zstandard.ZstdDecompressor().decompress(data)
    return msgpack.unpackb(packed, strict_map_key=False, unicode_errors="surrogatepass")


def test_a_decoded_state_is_equal_and_routes_calls():
    state = folded_state()
    decoded = decode_state(encode_state(state)).unwrap()
    assert decoded == state
    assert decoded.refusals
    assert decoded.services["board"].not_run_statuses == (418, 503)
    named = decoded.route_table.find("rota.example", "/", "GET")
    assert named.name == "read"


def test_a_state_whose_digest_does_not_match_is_refused():
    state = attrs.evolve(folded_state(), digest="0" * 32)
    assert "digest" in str(decode_state(encode_state(state)).unwrap_err())


@pytest.mark.parametrize(
    ("index", "value"),
    [
        (0, 1),
        (1, "3"),
        (1, -1),
        (2, 2.0),
        (4, {}),
        (4, {"2": "x"}),
        (4, dict.fromkeys(range(100), "x")),
        (6, []),
        (6, {1: [["v1"], "v1", []]}),
        (6, {"board": [["v1", "v2"], "v1"]}),
        (6, {"board": [["v1", "v2"], "v1", ["503"]]}),
        (7, {"a": [1]}),
        (9, {}),
        (10, None),
    ],
)
def test_a_field_of_a_wrong_type_or_value_is_refused(index, value):
    array = unpack(encode_state(folded_state()))
    array[index] = value
    assert isinstance(decode_state(pack(array)), Err)


def test_a_route_without_its_service_is_refused_even_with_a_matching_digest():
    state = folded_state()
    orphan = attrs.evolve(state, services={}, rollouts={}, rollout_numbers={})
    stated = str(decode_state(encode_state(orphan)).unwrap_err())
    digest = stated.split("digest is ")[1].split(",")[0]
    answer = decode_state(encode_state(attrs.evolve(orphan, digest=digest)))
    assert "does not exist" in str(answer.unwrap_err())


def test_a_frame_that_would_expand_beyond_the_bound_is_refused():
    bomb = zstandard.ZstdCompressor().compress(bytes(MAX_STATE_BYTES + 1))
    assert "at most" in str(decode_state(bomb).unwrap_err())


@given(st.binary(max_size=200), st.integers(0, 10_000), st.integers(0, 400))
def test_damaged_bytes_are_an_error_and_never_raise(noise, position, length):
    data = encode_state(folded_state())
    start = position % len(data)
    damaged = data[:start] + noise + data[start + length :]
    for candidate in (damaged, noise, data[:start]):
        answer = decode_state(candidate)
        assert isinstance(answer, Err) or candidate == data
