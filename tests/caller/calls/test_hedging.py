import asyncio

from lacewingstair.caller.calls.hedging import Hedge
from lacewingstair.standins.virtual_time import run_virtual
from lacewingstair.vm.call_link import SuspendedCall
from tests.caller.calls.test_forwarding import answer, failed


class Suspended:
    """Suspended call whose outcome is set by the test."""

    def __init__(self):
        self.late = asyncio.get_running_loop().create_future()
        self.cancelled = 0
        self.call = SuspendedCall(self.late, self.cancel)

    def cancel(self):
        self.cancelled += 1


async def returned(outcome):
    return outcome


def test_an_attempt_suspended_as_another_one_completes_is_cancelled():
    """Guards against a call that its VM keeps running, and that its link keeps.

    A future that is done cannot be cancelled, so its result must be inspected.
    """

    async def main():
        first, second = Suspended(), Suspended()
        hedge = Hedge({"a": first.call})
        hedge.start("b", returned(second.call))
        first.late.set_result(answer(200))
        vm_id, outcome = await hedge.first_response()
        assert (vm_id, outcome.status) == ("a", 200)
        assert second.cancelled == 1

    run_virtual(main())


def test_an_attempt_suspended_as_the_caller_disconnects_is_cancelled():
    """Guards against work that continues after the caller has disconnected."""

    async def main():
        first, second = Suspended(), Suspended()
        hedge = Hedge({"a": first.call})
        suspends = asyncio.get_running_loop().create_future()

        async def attempt():
            return await suspends

        hedge.start("b", attempt())
        waiting = asyncio.create_task(hedge.first_response())
        await asyncio.sleep(0.1)
        suspends.set_result(second.call)
        # The attempt ends in the same event loop iteration as the caller's task.
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.wait((waiting,))
        assert first.cancelled == 1
        assert second.cancelled == 1

    run_virtual(main())


def test_a_response_is_kept_when_the_silent_vm_fails_later():
    """Guards against a 502 in place of a response that a backend server has sent."""

    async def main():
        first = Suspended()
        hedge = Hedge({"a": first.call})
        hedge.start("b", returned(answer(500)))
        waiting = asyncio.create_task(hedge.first_response())
        await asyncio.sleep(0.1)
        first.late.set_result(failed())
        vm_id, outcome = await waiting
        assert (vm_id, getattr(outcome, "status", None)) == ("b", 500)

    run_virtual(main())
