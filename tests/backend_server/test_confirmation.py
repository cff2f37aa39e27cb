import asyncio

from result import Err, Ok

from lacewingstair.backend_server.confirmation import UpstreamConfirmation
from lacewingstair.backend_server.upstream_tracker import (
    UpstreamReport,
    UpstreamTracker,
)
from lacewingstair.errors import ConnectError
from lacewingstair.platform.health import HealthAnswer
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.entries import UpstreamState, VmEntry

UNHEALTHY = Err(ConnectError("10.0.0.1:80", "health status 503"))
HEALTHY = Ok(HealthAnswer("i-1", 18))


def report(sequence=1):
    return UpstreamReport(
        "i-1", "board", "10.0.0.1:80", "v1", 18, UpstreamState.READY, sequence, 100
    )


class StartedProcess:
    """Confirmation in a process that has just been started."""

    def __init__(self, *responses, needs_version=False, previous=None):
        self.responses = list(responses)
        self.checks = 0
        self.clock = VirtualClock()
        self.tracker = UpstreamTracker("board", "10.0.0.1:80", 10.0)
        self.confirmation = UpstreamConfirmation(
            self.tracker,
            self._check_health,
            lambda: previous,
            lambda: needs_version,
            lambda: None,
            self.clock,
        )

    async def _check_health(self):
        self.checks += 1
        return self.responses.pop(0) if len(self.responses) > 1 else self.responses[0]

    def report(self, sequence=1):
        self.tracker.apply_report(report(sequence), self.clock.monotonic())
        self.confirmation.notify_report()

    @property
    def state(self):
        return self.tracker.identity(self.clock.monotonic()).state


def run_scenario(process, scenario):
    async def main():
        running = asyncio.create_task(process.confirmation.run())
        await process.clock.sleep(0.01)
        await scenario(process)
        running.cancel()

    run_virtual(main())


def test_delayed_report_of_a_leaving_backend_server_is_not_confirmed():
    """Guards against calls to a backend server that a previous process deregistered."""

    async def scenario(process):
        process.report(6)
        for _ in range(10):
            await process.clock.sleep(0.3)
            assert process.state is UpstreamState.ABSENT
        assert 4 <= process.checks <= 8

    run_scenario(StartedProcess(UNHEALTHY), scenario)


def test_failed_health_check_after_a_report_is_repeated():
    async def scenario(process):
        process.report()
        await process.clock.sleep(0.1)
        assert process.state is UpstreamState.ABSENT
        await process.clock.sleep(0.6)
        assert process.state is UpstreamState.READY

    run_scenario(StartedProcess(UNHEALTHY, UNHEALTHY, HEALTHY), scenario)


def test_healthy_backend_server_is_restored_before_its_first_report():
    async def scenario(process):
        assert process.state is UpstreamState.READY
        process.report()
        await process.clock.sleep(0.1)
        assert (process.state, process.checks) == (UpstreamState.READY, 1)

    run_scenario(StartedProcess(HEALTHY), scenario)


def test_backend_server_is_restored_by_a_later_health_check():
    """Guards against leaving a backend server idle that was briefly at capacity."""

    async def scenario(process):
        assert process.state is UpstreamState.ABSENT
        await process.clock.sleep(0.6)
        assert process.state is UpstreamState.READY

    run_scenario(StartedProcess(UNHEALTHY, HEALTHY), scenario)


def test_health_checks_before_the_first_report_are_limited():
    """Guards against endless health checks where there is no backend server."""

    async def scenario(process):
        await process.clock.sleep(30.0)
        assert (process.state, process.checks) == (UpstreamState.ABSENT, 4)

    run_scenario(StartedProcess(UNHEALTHY), scenario)


def test_backend_server_of_unknown_version_is_not_restored_when_routing_by_version():
    async def scenario(process):
        assert process.state is UpstreamState.ABSENT
        process.report()
        await process.clock.sleep(0.1)
        assert process.state is UpstreamState.READY

    run_scenario(StartedProcess(HEALTHY, needs_version=True), scenario)


def previous_entry(state, upstream_id="i-1"):
    return VmEntry("vm", "r", "z", "vm:1", "board", 1, 1, upstream_id, "v2", 18, state)


def test_version_is_restored_from_the_entry_of_a_previous_process():
    """Guards against a backend server without calls after each process restart."""

    async def scenario(process):
        identity = process.tracker.identity(process.clock.monotonic())
        assert (identity.state, identity.version) == (UpstreamState.READY, "v2")

    ready = previous_entry(UpstreamState.READY)
    run_scenario(StartedProcess(HEALTHY, needs_version=True, previous=ready), scenario)


def test_backend_server_that_was_draining_in_a_previous_process_stays_absent():
    """Guards against a health check that succeeds while the backend server drains."""

    async def scenario(process):
        assert process.state is UpstreamState.ABSENT
        process.report()
        await process.clock.sleep(2.0)
        assert process.state is UpstreamState.ABSENT

    left = previous_entry(UpstreamState.DRAINING)
    run_scenario(StartedProcess(HEALTHY, previous=left), scenario)


def test_entry_of_another_backend_server_is_ignored():
    async def scenario(process):
        assert process.state is UpstreamState.ABSENT

    other = previous_entry(UpstreamState.READY, "i-9")
    run_scenario(StartedProcess(HEALTHY, needs_version=True, previous=other), scenario)
