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
    """Process that has just been process beside a backend server."""

    def __init__(self, *answers, needs_version=False, previous=None):
        self.answers = list(answers)
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
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

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


def test_a_late_report_of_one_that_leaves_does_not_open_the_gate():
    """Guards against calls to one whose leaving an earlier process acknowledged."""

    async def scenario(process):
        process.report(6)
        for _ in range(10):
            await process.clock.sleep(0.3)
            assert process.state is UpstreamState.ABSENT
        assert 4 <= process.checks <= 8

    run_scenario(StartedProcess(UNHEALTHY), scenario)


def test_one_that_is_full_is_asked_again():
    async def scenario(process):
        process.report()
        await process.clock.sleep(0.1)
        assert process.state is UpstreamState.ABSENT
        await process.clock.sleep(0.6)
        assert process.state is UpstreamState.READY

    run_scenario(StartedProcess(UNHEALTHY, UNHEALTHY, HEALTHY), scenario)


def test_a_healthy_one_is_restored_before_its_first_report():
    async def scenario(process):
        assert process.state is UpstreamState.READY
        process.report()
        await process.clock.sleep(0.1)
        assert (process.state, process.checks) == (UpstreamState.READY, 1)

    run_scenario(StartedProcess(HEALTHY), scenario)


def test_one_that_fails_its_first_health_check_is_restored_by_the_next():
    """Guards against a backend server left idle as it was full at one moment."""

    async def scenario(process):
        assert process.state is UpstreamState.ABSENT
        await process.clock.sleep(0.6)
        assert process.state is UpstreamState.READY

    run_scenario(StartedProcess(UNHEALTHY, HEALTHY), scenario)


def test_one_that_stays_unhealthy_is_asked_a_few_times_before_its_report():
    """Guards against checks without end where there is no backend server."""

    async def scenario(process):
        await process.clock.sleep(30.0)
        assert (process.state, process.checks) == (UpstreamState.ABSENT, 4)

    run_scenario(StartedProcess(UNHEALTHY), scenario)


def test_none_is_restored_while_its_version_matters():
    async def scenario(process):
        assert process.state is UpstreamState.ABSENT
        process.report()
        await process.clock.sleep(0.1)
        assert process.state is UpstreamState.READY

    run_scenario(StartedProcess(HEALTHY, needs_version=True), scenario)


def previous(state, upstream_id="i-1"):
    return VmEntry("vm", "r", "z", "vm:1", "board", 1, 1, upstream_id, "v2", 18, state)


def test_the_entry_of_an_earlier_process_tells_the_version():
    """Guards against a backend server that is idle after each restart."""

    async def scenario(process):
        identity = process.tracker.identity(process.clock.monotonic())
        assert (identity.state, identity.version) == (UpstreamState.READY, "v2")

    ready = previous(UpstreamState.READY)
    run_scenario(StartedProcess(HEALTHY, needs_version=True, previous=ready), scenario)


def test_one_that_reported_its_leaving_to_an_earlier_process_stays_closed():
    """Guards against a health check that lies while the backend server leaves."""

    async def scenario(process):
        assert process.state is UpstreamState.ABSENT
        process.report()
        await process.clock.sleep(2.0)
        assert process.state is UpstreamState.ABSENT

    left = previous(UpstreamState.DRAINING)
    run_scenario(StartedProcess(HEALTHY, previous=left), scenario)


def test_the_entry_of_another_backend_server_tells_nothing():
    async def scenario(process):
        assert process.state is UpstreamState.ABSENT

    other = previous(UpstreamState.READY, "i-9")
    run_scenario(StartedProcess(HEALTHY, needs_version=True, previous=other), scenario)
