"""Demonstration: a mesh of six VMs in one process, told in plain sentences.

Everything that is printed comes from the daemons, the stand-ins and the callers of this
run. The demonstration fails when something that it shows does not happen.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

from result import Err

from lacewingstair import events
from lacewingstair.cli.exit_codes import ExitCode
from lacewingstair.cli.operator_client import OperatorClient
from lacewingstair.cli.output import move_text
from lacewingstair.runtime import Clock, SystemClock
from lacewingstair.standins.local_mesh import LocalMesh, Traffic

ZONES = (
    ("akmola", "akmola-1"),
    ("akmola", "akmola-2"),
    ("kostanay", "kostanay-1"),
) * 2
SERVICE = "rota-board"
PATH = "/rota/today"
CALLS_PER_SECOND = 80.0
STEP_SECONDS = 10.0
GOOD_WINDOW_SECONDS = 10.0
BAD_WINDOW_SECONDS = 30.0
MOVE_WAIT_SECONDS = 15.0
OUTAGE_SECONDS = 3.0
DRAIN_TARGET_SECONDS = 2.0
LOOK_SECONDS = 0.02


async def run_demo() -> ExitCode:
    """Run the demonstration; exit code `ERROR` if a step did not come out."""
    events.configure("error")
    clock = SystemClock()
    mesh = LocalMesh(clock, ZONES)
    started = await mesh.start()
    if isinstance(started, Err):
        print(f"demo: {started.err_value}")
        return ExitCode.ERROR
    traffic = Traffic(mesh.daemons, PATH, CALLS_PER_SECOND, clock)
    operator = OperatorClient(f"http://{mesh.daemons[0].settings.operator_address}")
    demo = Demo(mesh, traffic, operator, clock)
    try:
        await demo.run()
    finally:
        await operator.close()
        await mesh.stop()
    return demo.summary()


class Demo:
    """The steps of the demonstration, in order."""

    def __init__(
        self, mesh: LocalMesh, traffic: Traffic, operator: OperatorClient, clock: Clock
    ) -> None:
        self._mesh = mesh
        self._traffic = traffic
        self._operator = operator
        self._clock = clock
        self._start = clock.monotonic()
        self._calling: asyncio.Task[None] | None = None
        self._failures: list[str] = []

    async def run(self) -> None:
        """Run all steps."""
        await self._first_ticket()
        self._calling = asyncio.create_task(self._traffic.run())
        try:
            await self._first_calls()
            await self._good_move()
            await self._bad_move()
            await self._outage()
            await self._drain()
        finally:
            self._calling.cancel()
            await asyncio.gather(self._calling, return_exceptions=True)

    def summary(self) -> ExitCode:
        """Print the figures of the whole run."""
        outcomes = self._traffic.outcomes
        refused = self._traffic.outcomes.total() - sum(
            count for outcome, count in outcomes.items() if outcome.startswith("v")
        )
        self._say(
            f"Summary: {outcomes.total()} calls, {refused} of them without a good"
            f" answer ({_shown(outcomes)})."
        )
        for failure in self._failures:
            self._say(f"Not as expected: {failure}.")
        if self._failures:
            return ExitCode.ERROR
        self._say("All steps came out as expected.")
        return ExitCode.DONE

    async def _first_ticket(self) -> None:
        zones = len(set(ZONES))
        self._say(f"{len(ZONES)} VMs in {zones} availability zones have started.")
        await self._until("all VMs are linked", self._mesh.is_linked)
        self._say("They have found each other, and some of them read the log.")
        await self._mesh.start_servers(SERVICE, "v1")
        route = {"service": SERVICE, "path_prefix": "/rota", "worth": 5}
        seconds = await self._publish(
            {
                "number": 1,
                "services": {SERVICE: {"versions": ["v1", "v2"], "current": "v1"}},
                "routes": {"rota-read": route},
            }
        )
        self._say(f"Ticket 1 came into force on all VMs after {seconds:.2f} s.")
        await self._until(
            "all VMs know all backend servers",
            lambda: self._mesh.is_announced(len(ZONES)),
        )

    async def _first_calls(self) -> None:
        made = await self._calls_during(2.0)
        self._say(f"Calls in 2 s, by version that answered: {_shown(made)}.")
        self._expect(set(made) == {"v1"}, "a first call had no good answer")

    async def _good_move(self) -> None:
        await self._mesh.start_servers(SERVICE, "v2")
        before = Counter(self._traffic.outcomes)
        now = self._clock.wall()
        await self._publish(
            {
                "number": 2,
                "rollouts": {
                    "board-v2": _rollout("v1", "v2", now, GOOD_WINDOW_SECONDS)
                },
            }
        )
        self._say(
            f"Ticket 2 moves {SERVICE} from v1 to v2, to be done in"
            f" {GOOD_WINDOW_SECONDS:.0f} s."
        )
        state = await self._follow_move("board-v2")
        made = self._traffic.outcomes - before
        self._say(f"Calls meanwhile: {_shown(made)}.")
        self._expect(state == "done", f"the move to v2 is {state}")
        self._expect(set(made) <= {"v1", "v2"}, "a call was lost during the move")

    async def _bad_move(self) -> None:
        bad = await self._mesh.start_servers(SERVICE, "v3", failure_status=500)
        before = Counter(self._traffic.outcomes)
        now = self._clock.wall()
        await self._publish(
            {
                "number": 3,
                "services": {SERVICE: {"versions": ["v2", "v3"], "current": "v2"}},
                "rollouts": {
                    "board-v2": None,
                    "board-v3": _rollout("v2", "v3", now, BAD_WINDOW_SECONDS),
                },
            }
        )
        self._say("Ticket 3 moves it to v3, which answers every call with status 500.")
        state = await self._follow_move("board-v3")
        self._expect(state == "taken back", f"the move to v3 is {state}")
        # Without calls to v3 the steps below would show nothing.
        reached = sum(running.server.calls for running in bad)
        self._expect(reached > 0, "v3 never got a call")
        made = self._traffic.outcomes - before
        failed = made["status 500"]
        self._say(f"{failed} of {made.total()} calls reached v3 and failed.")
        await self._clock.sleep(1.0)
        held = sum(running.server.calls for running in bad)
        await self._clock.sleep(2.0)
        later = sum(running.server.calls for running in bad) - held
        self._say(f"From 1 to 3 s after that, v3 got {later} calls.")
        self._expect(later == 0, f"v3 got {later} calls after it was taken back")

    async def _outage(self) -> None:
        self._mesh.log.is_down = True
        made = await self._calls_during(OUTAGE_SECONDS)
        good = sum(made[version] for version in ("v1", "v2"))
        self._say(
            f"The log was down for {OUTAGE_SECONDS:.0f} s: {good} of {made.total()}"
            " calls had a good answer."
        )
        self._expect(good == made.total(), "calls failed while the log was down")
        self._mesh.log.is_down = False
        seconds = await self._publish({"number": 4, "note": "after the outage"})
        self._say(f"The log is back; ticket 4 was in force after {seconds:.2f} s.")

    async def _drain(self) -> None:
        leaving = next(
            running
            for running in self._mesh.servers
            if running.server.endpoint.version == "v2"
        )
        before = Counter(self._traffic.outcomes)
        self._expect(leaving.server.calls > 0, "the server never got a call")
        await leaving.drain()
        await self._clock.sleep(DRAIN_TARGET_SECONDS)
        held = leaving.server.calls
        await self._clock.sleep(2.0)
        later = leaving.server.calls - held
        made = self._traffic.outcomes - before
        self._say(
            f"A backend server of v2 drained: from {DRAIN_TARGET_SECONDS:.0f} to 4 s"
            f" after that it got {later} calls. Calls meanwhile: {_shown(made)}."
        )
        self._expect(later == 0, f"the draining server got {later} calls")
        self._expect(set(made) <= {"v1", "v2"}, "a call was lost during the drain")

    async def _publish(self, ticket: dict[str, Any]) -> float:
        number = ticket["number"]
        start = self._clock.monotonic()
        self._mesh.publish(ticket)
        await self._until(
            f"ticket {number} is in force", lambda: self._mesh.is_in_force(number)
        )
        return self._clock.monotonic() - start

    async def _follow_move(self, name: str) -> str:
        """Print each change of a move in the report; return its last state."""
        shown = ""
        state = "not in the report"
        end = self._clock.monotonic() + MOVE_WAIT_SECONDS
        while self._clock.monotonic() < end:
            read = await self._operator.report()
            move = read.ok_value["rollouts"].get(name) if read.is_ok() else None
            if move is not None:
                state = move["state"]
                text = move_text(name, move)
                if text != shown:
                    self._say(f"Report: {text}.")
                shown = text
            if state in ("done", "taken back"):
                return state
            await self._clock.sleep(0.2)
        return state

    async def _calls_during(self, seconds: float) -> Counter[str]:
        before = Counter(self._traffic.outcomes)
        await self._clock.sleep(seconds)
        return self._traffic.outcomes - before

    async def _until(self, what: str, condition: Callable[[], bool]) -> None:
        end = self._clock.monotonic() + STEP_SECONDS
        while not condition():
            if self._clock.monotonic() > end:
                self._expect(False, f"after {STEP_SECONDS:.0f} s: {what}")
                return
            await self._clock.sleep(LOOK_SECONDS)

    def _expect(self, is_met: bool, failure: str) -> None:
        if not is_met:
            self._failures.append(failure)

    def _say(self, text: str) -> None:
        print(f"[{self._clock.monotonic() - self._start:5.1f} s] {text}", flush=True)


def _rollout(old: str, new: str, start: float, seconds: float) -> dict[str, Any]:
    return {
        "service": SERVICE,
        "from_version": old,
        "to_version": new,
        "start": _time(start),
        "end_by": _time(start + seconds),
        "trial_share": 0.1,
    }


def _time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).isoformat()


def _shown(outcomes: Counter[str]) -> str:
    return ", ".join(f"{name}: {count}" for name, count in sorted(outcomes.items()))
