import asyncio
import socket

from tests.caller.test_ingress_bodies import LIMIT_SECONDS, with_ingress


def test_a_request_without_a_host_asks_no_name_server(monkeypatch):
    """Guards against an event loop that is blocked while a name server is silent."""
    asked = []
    monkeypatch.setattr(socket, "getfqdn", lambda: asked.append(1) or "name")

    async def check(_, forwarder, connect):
        caller = await connect()
        caller.writer.write(b"GET /view/1 HTTP/1.0\r\n\r\n")
        async with asyncio.timeout(LIMIT_SECONDS):
            assert (await caller.reader.read()).startswith(b"HTTP/1.1 404")
        assert asked == [] and forwarder.calls == []

    with_ingress(check)
