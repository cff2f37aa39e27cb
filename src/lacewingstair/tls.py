"""Certificate authorities, loaded only where a connection needs them.

aiohttp loads those of the system as it is imported. This takes a sixth of the daemon's
start, and the daemon connects mostly by plain HTTP.
"""

import contextlib
import os
import ssl
from collections.abc import Iterator

_FILE_VARIABLE = "SSL_CERT_FILE"


@contextlib.contextmanager
def no_certificates() -> Iterator[None]:
    """Let default TLS contexts that are made within the block be empty."""
    before = os.environ.get(_FILE_VARIABLE)
    os.environ[_FILE_VARIABLE] = os.devnull
    try:
        yield
    finally:
        if before is None:
            del os.environ[_FILE_VARIABLE]
        else:
            os.environ[_FILE_VARIABLE] = before


def verification_of(url: str) -> ssl.SSLContext | bool:
    """Return how aiohttp verifies the peer at a URL, as its `ssl` parameter."""
    if url.startswith("https:"):
        return ssl.create_default_context()
    return True
