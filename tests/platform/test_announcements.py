import asyncio
import json

import pytest
from aiohttp.test_utils import TestClient, TestServer
from result import Err

from lacewingstair.backend_server.upstream_tracker import (
    ReportOutcome,
    UpstreamReport,
    UpstreamTracker,
)
from lacewingstair.platform.announcements import Announcements, decode_report
from lacewingstair.vm.entries import UpstreamState

BODY = {
    "address": "10.0.0.1:80",
    "born": 1_700_000_000_000,
    "info": {"service": "board", "version": "v1", "zone": "z", "slots": 18},
    "status": {"state": "ready", "seq": 4, "cold_remaining": "250ms"},
}


def changed(section, **values):
    body = json.loads(json.dumps(BODY))
    (body[section] if section else body).update(values)
    return json.dumps(body).encode()


def test_a_report_is_decoded():
    report = decode_report("i-1", json.dumps(BODY).encode()).unwrap()
    assert report == UpstreamReport(
        "i-1",
        "board",
        "10.0.0.1:80",
        "v1",
        18,
        UpstreamState.READY,
        4,
        1_700_000_000_000,
        250.0,
    )


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"7",
        b"{}",
        changed("status", state="resting"),
        changed("status", seq="4"),
        changed("status", seq=True),
        changed("info", slots=-1),
        changed("info", service=None),
        changed("", address=7),
        changed("", born="now"),
        changed("", info=None),
    ],
)
def test_a_report_of_another_writer_names_no_backend_server(body):
    """Guards against calls to a backend server that does not exist."""
    assert isinstance(decode_report("i-1", body), Err)


def test_an_unreadable_report_harms_no_other_one():
    register = UpstreamTracker("board", "10.0.0.1:80", 10.0)
    announcements = Announcements(
        lambda report: register.apply_report(report, 0.0), register.deregister
    )

    async def main():
        server = TestServer(announcements.application())
        async with TestClient(server) as client:
            statuses = []
            for body in (json.dumps(BODY).encode(), b"\xff", changed("status", seq=2)):
                answer = await client.put("/instances/i-1", data=body)
                statuses.append(answer.status)
            foreign = changed("info", service="other")
            answer = await client.put("/instances/i-2", data=foreign)
            statuses.append(answer.status)
            return statuses

    assert asyncio.run(main()) == [200, 400, 200, 400]
    register.confirm("i-1")
    assert register.identity(0.0).state is UpstreamState.READY


def report(upstream_id="i-1", sequence=1, started_at_ms=100, state=UpstreamState.READY):
    return UpstreamReport(
        upstream_id, "board", "10.0.0.1:80", "v1", 18, state, sequence, started_at_ms
    )


def register_with(first):
    """Return a register whose first report has been confirmed."""
    register = UpstreamTracker("board", "10.0.0.1:80", 10.0)
    register.apply_report(first, 0.0)
    assert register.confirm(first.upstream_id)
    return register


class TestRegister:
    def test_the_first_run_counts_once_a_health_check_has_confirmed_it(self):
        """Guards against calls to one whose leaving an earlier process acknowledged.

        A report from before its leaving can arrive seconds late, at the process that
        was started after it.
        """
        register = UpstreamTracker("board", "10.0.0.1:80", 10.0)
        assert register.apply_report(report(sequence=6), 0.0) is ReportOutcome.ACCEPTED
        assert register.needs_confirmation
        assert register.identity(0.1).state is UpstreamState.ABSENT
        assert not register.confirm("i-2")
        assert register.identity(0.1).state is UpstreamState.ABSENT
        assert register.confirm("i-1")
        assert not register.needs_confirmation
        assert register.identity(0.1).state is UpstreamState.READY

    def test_a_late_report_of_another_run_than_the_restored_one_needs_a_check(self):
        register = UpstreamTracker("board", "10.0.0.1:80", 10.0)
        register.restore("i-2", 18, 0.0)
        register.apply_report(report("i-1"), 0.2)
        assert register.needs_confirmation
        assert register.identity(0.2).state is UpstreamState.ABSENT

    def test_reports_that_go_on_confirm_a_run_whose_health_check_lies(self):
        """Guards against a gate that stays closed to a backend server that works."""
        register = UpstreamTracker("board", "10.0.0.1:80", 10.0)
        register.apply_report(report(sequence=1), 0.0)
        register.apply_report(report(sequence=2), 4.0)
        assert register.identity(4.0).state is UpstreamState.ABSENT
        register.apply_report(report(sequence=3), 5.5)
        assert register.identity(5.5).state is UpstreamState.READY

    def test_reports_after_a_sign_off_that_came_first_do_not_confirm(self):
        """Guards against calls to one that reports itself until it ends."""
        register = UpstreamTracker("board", "10.0.0.1:80", 10.0)
        register.deregister("i-1")
        for number in range(1, 12):
            register.apply_report(report(sequence=number), float(number))
            assert register.identity(float(number)).state is UpstreamState.ABSENT
        assert register.confirm("i-1")
        assert register.identity(11.0).state is UpstreamState.READY

    def test_a_late_report_after_a_sign_off_in_this_process_does_not_confirm(self):
        register = UpstreamTracker("board", "10.0.0.1:80", 10.0)
        register.apply_report(report(sequence=1), 0.0)
        register.deregister("i-1")
        assert not register.needs_confirmation
        assert not register.confirm("i-1")

    def test_a_late_report_does_not_reopen_a_draining_backend_server(self):
        """Guards against calls to one that was acknowledged as leaving."""
        register = UpstreamTracker("board", "10.0.0.1:80", 10.0)
        register.apply_report(report(sequence=5, state=UpstreamState.DRAINING), 0.0)
        assert register.apply_report(report(sequence=4), 0.1) is ReportOutcome.STALE
        assert register.identity(0.1).state is UpstreamState.DRAINING

    def test_a_report_after_the_sign_off_does_not_count(self):
        register = register_with(report(sequence=5))
        register.deregister("i-1")
        assert register.apply_report(report(sequence=9), 0.1) is ReportOutcome.STALE
        assert register.identity(0.1).state is UpstreamState.ABSENT

    def test_a_new_run_under_the_same_id_counts_from_its_first_report(self):
        register = register_with(report(sequence=50))
        assert (
            register.apply_report(report(sequence=1, started_at_ms=200), 1.0)
            is ReportOutcome.ACCEPTED
        )
        assert register.apply_report(report(sequence=51), 1.1) is ReportOutcome.STALE
        register.deregister("i-1")
        assert (
            register.apply_report(report(sequence=1, started_at_ms=300), 2.0)
            is ReportOutcome.ACCEPTED
        )
        assert register.identity(2.0).state is UpstreamState.READY

    def test_an_unreachable_or_silent_one_is_absent_until_its_next_report(self):
        register = register_with(report(sequence=1))
        register.mark_unreachable()
        assert register.identity(0.1).state is UpstreamState.ABSENT
        register.apply_report(report(sequence=2), 1.0)
        assert register.identity(10.9).state is UpstreamState.READY
        assert register.identity(11.1).state is UpstreamState.ABSENT

    def test_a_healthy_one_counts_until_anything_is_reported(self):
        register = UpstreamTracker("board", "10.0.0.1:80", 10.0)
        assert register.restore("i-1", 18, 0.0)
        assert register.identity(0.1).slots == 18
        assert register.apply_report(report(sequence=0), 0.2) is ReportOutcome.ACCEPTED
        assert register.identity(0.2).version == "v1"
        assert not register.restore("i-2", 9, 0.3)

    def test_a_sign_off_ends_what_a_health_check_told(self):
        """Guards against calls to one that was acknowledged as leaving."""
        register = UpstreamTracker("board", "10.0.0.1:80", 10.0)
        register.restore("i-1", 18, 0.0)
        register.deregister("i-1")
        assert register.identity(0.1).state is UpstreamState.ABSENT
        assert not register.restore("i-1", 18, 0.2)
