import types

import pytest
from aiohttp.http import HttpVersion11
from aiohttp.streams import EMPTY_PAYLOAD
from multidict import CIMultiDict

from lacewingstair.caller.calls.relay import as_raw_response


@pytest.mark.parametrize(
    ("value", "status", "is_whole"),
    [
        (b"plain", 200, True),
        (b"a\rSet-Cookie: b", 200, False),
        (b"a\nSet-Cookie: b", 200, False),
        (b"a\r\nSet-Cookie: b\n", 200, False),
        (b"plain", 204, False),
        (b"plain", 500, False),
    ],
)
def test_only_responses_that_need_no_change_use_the_fast_path(value, status, is_whole):
    """Guards against header injection, and responses that need an added header."""
    message = types.SimpleNamespace(
        code=status,
        reason="X",
        chunked=False,
        headers=CIMultiDict(),
        raw_headers=((b"A", value), (b"Content-Length", b"0")),
    )
    answer = types.SimpleNamespace(message=message, payload=EMPTY_PAYLOAD)
    request = types.SimpleNamespace(
        version=HttpVersion11, method="GET", content=EMPTY_PAYLOAD
    )
    assert (as_raw_response(answer, request) is not None) == is_whole
