from lacewingstair.backend_server.upstream_tracker import (
    ReportOutcome,
    UpstreamReport,
    UpstreamTracker,
)
from lacewingstair.vm.entries import UpstreamState

ADDRESS = "10.0.0.1:80"
TTL_SECONDS = 10.0


def report(upstream_id, sequence, started_at_ms, state=UpstreamState.READY):
    return UpstreamReport(
        upstream_id, "board", ADDRESS, "v1", 18, state, sequence, started_at_ms
    )


def test_run_with_earlier_start_time_is_used_after_the_previous_one_expired():
    """Guards against a VM that gets no calls after its clock was set back."""
    tracker = UpstreamTracker("board", ADDRESS, TTL_SECONDS)
    tracker.apply_report(report("i-1", 7, 100_000), 0.0)
    tracker.confirm("i-1")
    assert tracker.apply_report(report("i-2", 1, 40_000), 3.0) is ReportOutcome.STALE
    outcome = tracker.apply_report(report("i-2", 9, 40_000), TTL_SECONDS + 1.0)
    assert outcome is ReportOutcome.ACCEPTED
    assert tracker.needs_confirmation
    assert tracker.confirm("i-2")
    identity = tracker.identity(TTL_SECONDS + 1.0)
    assert (identity.upstream_id, identity.state) == ("i-2", UpstreamState.READY)
    late = report("i-1", 8, 100_000)
    assert tracker.apply_report(late, TTL_SECONDS + 2.0) is ReportOutcome.STALE


def test_restart_with_same_id_and_earlier_start_time_is_used():
    """Guards against comparing sequence numbers of different runs."""
    tracker = UpstreamTracker("board", ADDRESS, TTL_SECONDS)
    tracker.apply_report(report("i-1", 70, 100_000), 0.0)
    tracker.confirm("i-1")
    outcome = tracker.apply_report(report("i-1", 9, 40_000), TTL_SECONDS + 1.0)
    assert outcome is ReportOutcome.ACCEPTED
    assert tracker.confirm("i-1")
    identity = tracker.identity(TTL_SECONDS + 1.0)
    assert identity.state is UpstreamState.READY


def test_delayed_report_of_an_earlier_run_does_not_end_a_live_run():
    """Guards against rejecting all reports of a live run after it paused reporting."""
    tracker = UpstreamTracker("board", ADDRESS, TTL_SECONDS)
    tracker.apply_report(report("i-2", 7, 200_000), 0.0)
    tracker.confirm("i-2")
    tracker.apply_report(report("i-1", 90, 100_000), TTL_SECONDS + 1.0)
    assert not tracker.confirm("i-2")
    resumed = report("i-2", 8, 200_000)
    assert tracker.apply_report(resumed, TTL_SECONDS + 2.0) is ReportOutcome.ACCEPTED
    assert tracker.confirm("i-2")
    identity = tracker.identity(TTL_SECONDS + 2.0)
    assert (identity.upstream_id, identity.state) == ("i-2", UpstreamState.READY)


def test_delayed_report_of_a_deregistered_run_stays_stale():
    """Guards against calls to a backend server after its deregistration."""
    tracker = UpstreamTracker("board", ADDRESS, TTL_SECONDS)
    tracker.apply_report(report("i-1", 7, 100_000), 0.0)
    tracker.deregister("i-1")
    assert tracker.apply_report(report("i-1", 6, 100_000), 60.0) is ReportOutcome.STALE
    tracker.apply_report(report("i-2", 1, 200_000, UpstreamState.DRAINING), 61.0)
    late = report("i-2", 0, 200_000)
    assert tracker.apply_report(late, 61.0 + 2 * TTL_SECONDS) is ReportOutcome.STALE
