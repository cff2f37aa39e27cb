import asyncio

from result import Err, Ok

from lacewingstair.backend_server.confirmation import UpstreamConfirmation
from lacewingstair.backend_server.register import UpstreamRegister, UpstreamReport
from lacewingstair.errors import ConnectError
from lacewingstair.platform.health import HealthAnswer
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.vm.entries import UpstreamState

LEAVING = Err(ConnectError("10.0.0.1:80", "health status 503"))
HEALTHY = Ok(HealthAnswer("i-1", 18))


def report(sequence=1):
    return UpstreamReport(
        "i-1", "board", "10.0.0.1:80", "v1", 18, UpstreamState.READY, sequence, 100
    )


class Started:
    """Process that has just been started beside a backend server."""

    def __init__(self, *answers, may_restore=True):
        self.answers = list(answers)
        self.asked = 0
        self.clock = VirtualClock()
        self.register = UpstreamRegister("board", "10.0.0.1:80", 10.0)
        self.confirmation = UpstreamConfirmation(
            self.register, self._ask, lambda: may_restore, lambda: None, self.clock
        )

    async def _ask(self):
        self.asked += 1
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    def report(self, sequence=1):
        self.register.report(report(sequence), self.clock.monotonic())
        self.confirmation.reported()

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


def test_none_is_restored_while_its_version_matters():
    async def play(started):
        assert started.state is UpstreamState.ABSENT
        started.report()
        await started.clock.sleep(0.1)
        assert started.state is UpstreamState.READY

    played(Started(HEALTHY, may_restore=False), play)
