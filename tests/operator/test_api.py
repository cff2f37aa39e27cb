import asyncio
import math
import random

import aiohttp
import attrs

from lacewingstair.daemon import build
from lacewingstair.rollouts.marks import RollbackMark, RolloutKey
from lacewingstair.runtime import SystemClock
from lacewingstair.standins.local import free_ports, local_settings
from lacewingstair.tickets.acceptance import TicketRecord

NO_WAIT = {"leaving_seconds": 0.0}
FIRST = '{"number": 1, "services": {"desk": {"versions": ["v1"], "current": "v1"}}}'


def with_daemon(check):
    """Run `check(daemon, get)` against a daemon whose log does not exist."""

    async def main():
        ports = free_ports(5)
        settings = local_settings(
            "vm-1", "akmola", "akmola-1", f"http://127.0.0.1:{ports[4]}", ports[:4]
        )
        stop = attrs.evolve(settings.stop, **NO_WAIT)
        settings = attrs.evolve(settings, stop=stop)
        daemon = build(settings, SystemClock(), random.Random(1))
        assert (await daemon.start()).is_ok()
        try:
            async with aiohttp.ClientSession() as session:

                async def request(path, method="GET", **options):
                    url = f"http://{settings.operator_address}{path}"
                    async with session.request(method, url, **options) as answer:
                        is_json = answer.content_type == "application/json"
                        body = await (answer.json() if is_json else answer.text())
                        return answer.status, body

                await check(daemon, request)
        finally:
            await daemon.stop()

    asyncio.run(main())


def metric(text, name):
    values = [line.split()[-1] for line in text.splitlines() if line.startswith(name)]
    assert len(values) == 1, f"{name}: {values}"
    return float(values[0])


def test_health_gives_the_reasons_until_a_ticket_is_in_force():
    async def check(daemon, request):
        status, body = await request("/health")
        assert (status, body["live"], body["ready"]) == (503, True, False)
        assert body["reasons"] == ["no configuration yet"]
        assert "log does not answer" in body["warnings"][0]
        daemon.node.publish_records([TicketRecord(0, FIRST)])
        status, body = await request("/health")
        assert (status, body["ready"], body["reasons"]) == (200, True, [])
        daemon.is_leaving = True
        status, body = await request("/health")
        assert (status, body["reasons"]) == (503, ["the VM is leaving"])

    with_daemon(check)


def test_metrics_follow_the_state_of_the_parts():
    async def check(daemon, request):
        # More than the state keeps.
        bad = [TicketRecord(offset, "no ticket") for offset in range(1, 41)]
        records = [TicketRecord(0, FIRST), *bad]
        daemon.node.publish_records(records)
        daemon.marks.merge_rollback(
            RollbackMark(RolloutKey("move", 99), "failures", "9 of 10", 1.0, "vm-1")
        )
        _, text = await request("/metrics")
        assert metric(text, "lacewingstair_ticket_number ") == 1
        assert metric(text, "lacewingstair_refused_tickets_total ") == 40
        assert metric(text, "lacewingstair_take_backs ") == 1
        assert metric(text, 'lacewingstair_vms{status="alive"}') == 1
        assert metric(text, "lacewingstair_log_up ") == 0
        assert metric(text, "lacewingstair_ready ") == 1
        assert metric(text, "lacewingstair_send_queue_bytes ") == 0
        assert math.isnan(metric(text, "lacewingstair_convergence_lag_seconds "))
        daemon.log_reader.status.lag_seconds = 0.25
        daemon.log.bytes_sent = 7
        _, text = await request("/metrics")
        assert metric(text, "lacewingstair_convergence_lag_seconds ") == 0.25
        sent = 'lacewingstair_control_bytes_total{direction="sent",peer="log"}'
        assert metric(text, sent) == 7

    with_daemon(check)


def test_calls_are_counted_on_the_callers_port_and_not_served_on_the_operators():
    async def check(daemon, request):
        daemon.node.publish_records([TicketRecord(0, FIRST)])
        async with aiohttp.ClientSession() as session:
            url = f"http://{daemon.settings.caller_address}/report"
            async with session.get(url) as answer:
                assert answer.status == 404
        _, text = await request("/metrics")
        assert metric(text, 'lacewingstair_calls_total{status="4xx"}') == 1
        assert (await request("/rota"))[0] == 404

    with_daemon(check)


def test_requests_beyond_the_limits_get_an_error_and_the_server_continues():
    async def check(_, request):
        status, body = await request("/report", "POST", data=b"{}")
        assert (status, "only read" in body["error"]) == (405, True)
        status, _ = await request("/report", data=b"x" * 2000)
        assert status == 413
        status, _ = await request("/report", headers={"X": "x" * 20000})
        assert status == 400
        many = {f"X-{number}": "x" * 250 for number in range(200)}
        status, _ = await request("/report", headers=many)
        assert status == 431
        # Lines are limited by their bytes, not by their number.
        short = {f"X-{number}": "" for number in range(200)}
        assert (await request("/status", headers=short))[0] == 200
        assert (await request("/status"))[0] == 200

    with_daemon(check)
