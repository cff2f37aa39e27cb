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

LEAVING = Err(ConnectError("10.0.0.1:80", "health status 503"))
HEALTHY = Ok(HealthAnswer("i-1", 18))


def report(sequence=1):
    return UpstreamReport(
        "i-1", "board", "10.0.0.1:80", "v1", 18, UpstreamState.READY, sequence, 100
    )


class Started:
    """Process that has just been started beside a backend server."""

    def __init__(self, *answers, needs_version=False, former=None):
        self.answers = list(answers)
        self.asked = 0
        self.clock = VirtualClock()
        self.register = UpstreamTracker("board", "10.0.0.1:80", 10.0)
        self.confirmation = UpstreamConfirmation(
            self.register,
            self._ask,
            lambda: former,
            lambda: needs_version,
            lambda: None,
            self.clock,
        )

    async def _ask(self):
        self.asked += 1
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    def report(self, sequence=1):
        self.register.apply_report(report(sequence), self.clock.monotonic())
        self.confirmation.notify_report()

    @property
    def state(self):
        return self.register.identity(self.clock.monotonic()).state


def played(started, play):
    async def main():
        running = asyncio.create_task(started.confirmation.run())
        await started.clock.sleep(0.01)
        await play(started)
        running.cancel()

    run_virtual(main())


def test_a_late_report_of_one_that_leaves_does_not_open_the_gate():
    """Guards against calls to one whose leaving an earlier process acknowledged."""

    async def play(started):
        started.report(6)
        for _ in range(10):
            await started.clock.sleep(0.3)
            assert started.state is UpstreamState.ABSENT
        assert 4 <= started.asked <= 8

    played(Started(LEAVING), play)


def test_one_that_is_full_is_asked_again():
    async def play(started):
        started.report()
        await started.clock.sleep(0.1)
        assert started.state is UpstreamState.ABSENT
        await started.clock.sleep(0.6)
        assert started.state is UpstreamState.READY

    played(Started(LEAVING, LEAVING, HEALTHY), play)


def test_a_healthy_one_is_restored_before_its_first_report():
    async def play(started):
        assert started.state is UpstreamState.READY
        started.report()
        await started.clock.sleep(0.1)
        assert (started.state, started.asked) == (UpstreamState.READY, 1)

    played(Started(HEALTHY), play)


def test_one_that_fails_its_first_health_check_is_restored_by_the_next():
    """Guards against a backend server left idle as it was full at one moment."""

    async def play(started):
        assert started.state is UpstreamState.ABSENT
        await started.clock.sleep(0.6)
        assert started.state is UpstreamState.READY

    played(Started(LEAVING, HEALTHY), play)


def test_one_that_stays_unhealthy_is_asked_a_few_times_before_its_report():
    """Guards against checks without end where there is no backend server."""

    async def play(started):
        await started.clock.sleep(30.0)
        assert (started.state, started.asked) == (UpstreamState.ABSENT, 4)

    played(Started(LEAVING), play)


def test_none_is_restored_while_its_version_matters():
    async def play(started):
        assert started.state is UpstreamState.ABSENT
        started.report()
        await started.clock.sleep(0.1)
        assert started.state is UpstreamState.READY

    played(Started(HEALTHY, needs_version=True), play)


def former(state, upstream_id="i-1"):
    return VmEntry("vm", "r", "z", "vm:1", "board", 1, 1, upstream_id, "v2", 18, state)


def test_the_entry_of_an_earlier_process_tells_the_version():
    """Guards against a backend server that is idle after each restart."""

    async def play(started):
        identity = started.register.identity(started.clock.monotonic())
        assert (identity.state, identity.version) == (UpstreamState.READY, "v2")

    ready = former(UpstreamState.READY)
    played(Started(HEALTHY, needs_version=True, former=ready), play)


def test_one_that_reported_its_leaving_to_an_earlier_process_stays_closed():
    """Guards against a health check that lies while the backend server leaves."""

    async def play(started):
        assert started.state is UpstreamState.ABSENT
        started.report()
        await started.clock.sleep(2.0)
        assert started.state is UpstreamState.ABSENT

    left = former(UpstreamState.DRAINING)
    played(Started(HEALTHY, former=left), play)


def test_the_entry_of_another_backend_server_tells_nothing():
    async def play(started):
        assert started.state is UpstreamState.ABSENT

    other = former(UpstreamState.READY, "i-9")
    played(Started(HEALTHY, needs_version=True, former=other), play)
