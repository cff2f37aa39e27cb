import asyncio
import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from loguru import logger

from lacewingstair.events import DecisionLog, parse_event
from lacewingstair.routing.limits import RETRY_SHARE
from lacewingstair.routing.outcomes import CallResult
from lacewingstair.standins.memory_server import REFUSAL_STATUS, Fault
from lacewingstair.standins.virtual_time import run_virtual
from lacewingstair.vm.directory import Endpoint
from tests.caller.harness import Mesh

FAULTS = st.lists(st.sampled_from(Fault), max_size=12)
CALLS = st.lists(
    st.tuples(
        st.sampled_from(["GET", "POST", "PUT"]),
        st.sampled_from([b"", b"body"]),
        st.sampled_from([0.0, 0.0, 1.5]),
    ),
    min_size=1,
    max_size=8,
)


@given(st.tuples(FAULTS, FAULTS, FAULTS), CALLS)
def test_any_faults_run_a_post_at_most_once_and_not_run_calls_never(schedules, calls):
    """Guards against a POST that runs twice, a false not-run and mixed-up responses."""

    async def main():
        mesh = Mesh(*schedules)

        async def one(number, method, body, pause):
            await asyncio.sleep(pause)
            target = f"/{number}"
            call = mesh.call(target, method, body, not_run_statuses=(REFUSAL_STATUS,))
            status, answer, not_run = await mesh.send(call)
            if status == 200 and answer is not None:
                assert answer == target.encode()
            return target, method, not_run

        results = await asyncio.gather(
            *(one(number, *call) for number, call in enumerate(calls))
        )
        await asyncio.sleep(100)
        for target, method, not_run in results:
            if method == "POST":
                assert mesh.runs[target] <= 1
            if not_run:
                assert mesh.runs[target] == 0
        assert not any(mesh.in_flight())

    run_virtual(main())


@pytest.mark.parametrize(
    ("fault", "method", "status", "runs", "not_run"),
    [
        (Fault.REFUSE_CONNECTION, "POST", 200, 1, False),
        (Fault.REFUSE, "POST", 200, 1, False),
        (Fault.REFUSE_BY_STATUS, "POST", 418, 0, False),
        (Fault.CLOSE_ON_FIRST_BYTE, "POST", 502, 0, False),
        (Fault.CLOSE_BEFORE_RUN, "POST", 502, 0, False),
        (Fault.CLOSE_AFTER_RUN, "POST", 502, 1, False),
        (Fault.TRUNCATE, "POST", 200, 1, False),
        (Fault.ERROR, "POST", 500, 1, False),
        (Fault.UNAVAILABLE, "POST", 503, 1, False),
        (Fault.SILENT_BEFORE_RUN, "POST", 504, 0, False),
        (Fault.LATE, "POST", 504, 1, False),
        (Fault.REFUSE_CONNECTION, "GET", 200, 1, False),
        (Fault.CLOSE_ON_FIRST_BYTE, "GET", 200, 1, False),
        (Fault.CLOSE_BEFORE_RUN, "GET", 200, 1, False),
        (Fault.CLOSE_AFTER_RUN, "GET", 200, 2, False),
        (Fault.UNAVAILABLE, "GET", 200, 2, False),
        (Fault.ERROR, "GET", 500, 1, False),
        (Fault.SILENT_BEFORE_RUN, "GET", 200, 1, False),
        (Fault.LATE, "GET", 200, 2, False),
    ],
)
def test_a_fault_at_each_point_of_a_call(fault, method, status, runs, not_run):
    """Guards against a retry that is not safe, and against a missing safe one."""

    async def main():
        mesh = Mesh([fault], [fault])
        # Only the first attempt hits the fault.
        for server in mesh.servers.values():
            server.next_fault = lambda: faults.pop() if faults else Fault.NONE
        faults = [fault]
        result = await mesh.send(mesh.call("/1", method))
        assert (result[0], result[2]) == (status, not_run)
        assert mesh.runs["/1"] == runs
        assert (result[1] is None) == (fault is Fault.TRUNCATE or status in (502, 504))

    run_virtual(main())


@pytest.mark.parametrize(
    ("faults", "status", "runs", "not_run"),
    [
        ([Fault.REFUSE_BY_STATUS], 200, 1, False),
        ([Fault.REFUSE_BY_STATUS] * 3, 418, 0, True),
        ([Fault.UNAVAILABLE], 503, 1, False),
        ([Fault.ERROR], 500, 1, False),
    ],
)
def test_a_post_is_retried_after_a_status_configured_as_not_run(
    faults, status, runs, not_run
):
    """Guards against a POST that is lost or runs twice after a refusal by status."""

    async def main():
        mesh = Mesh([], [], [])
        left = list(faults)
        for server in mesh.servers.values():
            server.next_fault = lambda: left.pop() if left else Fault.NONE
        call = mesh.call("/1", "POST", not_run_statuses=(REFUSAL_STATUS,))
        result = await mesh.send(call)
        assert (result[0], result[2]) == (status, not_run)
        assert mesh.runs["/1"] == runs
        refused = [o for o in mesh.sink.outcomes if o.result is CallResult.NOT_RUN]
        assert len(refused) == faults.count(Fault.REFUSE_BY_STATUS)

    run_virtual(main())


@pytest.mark.parametrize(
    ("first", "not_run"),
    [
        (Fault.REFUSE, True),
        (Fault.CLOSE_AFTER_RUN, False),
        (Fault.UNAVAILABLE, False),
    ],
)
def test_a_refusal_is_not_run_only_if_no_earlier_attempt_may_have_run(first, not_run):
    """Guards against "not-run" for a call of which an earlier attempt may have run."""

    async def main():
        mesh = Mesh([], [])
        for number in range(20):
            await mesh.send(mesh.call(f"/warm-{number}"))
        faults = [Fault.REFUSE, Fault.REFUSE, first]
        for server in mesh.servers.values():
            server.next_fault = faults.pop
        assert (await mesh.send(mesh.call()))[2] is not_run

    run_virtual(main())


def test_each_attempt_is_logged_once_when_all_decisions_are():
    """Guards against routing decisions that are sampled twice or never."""

    async def main():
        mesh = Mesh([Fault.REFUSE], [])
        mesh.servers["10.0.0.1:80"].next_fault = mesh.servers["10.0.0.0:80"].next_fault
        mesh.dispatcher._decisions = DecisionLog(1.0, random.Random(1))
        assert (await mesh.send(mesh.call("/1", "POST")))[0] == 200
        return {outcome.address for outcome in mesh.sink.outcomes}

    lines = []
    sink = logger.add(lambda line: lines.append(parse_event(line)), format="{message}")
    try:
        addresses = run_virtual(main())
    finally:
        logger.remove(sink)
    routed = [line for line in lines if line["event"] == "call_routed"]
    assert len(routed) == 2
    assert {line["address"] for line in routed} == addresses


def test_late_and_extra_responses_are_discarded():
    """Guards against a stray response that is taken for that of the next call."""

    async def main():
        mesh = Mesh([Fault.EXTRA_ANSWER, Fault.LATE])
        assert (await mesh.send(mesh.call("/1", "POST")))[1] == b"/1"
        assert (await mesh.send(mesh.call("/2", "POST")))[0] == 504
        await asyncio.sleep(100)
        assert (await mesh.send(mesh.call("/3", "POST")))[1] == b"/3"
        (server,) = mesh.servers.values()
        assert server.connections == 3

    run_virtual(main())


def test_bytes_on_an_idle_connection_close_it():
    """Guards against unsolicited bytes that shift all responses by one call."""

    async def main():
        mesh = Mesh([])
        await mesh.send(mesh.call("/1"))
        (server,) = mesh.servers.values()
        server.transports[0].answer(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
        await asyncio.sleep(0.1)
        assert server.transports[0].is_closing()
        assert (await mesh.send(mesh.call("/2")))[1] == b"/2"

    run_virtual(main())


def test_a_post_uses_no_connection_that_was_idle_for_over_a_second():
    """Guards against a POST lost when the server closes a kept-alive connection."""

    async def main():
        mesh = Mesh([])
        (server,) = mesh.servers.values()
        await mesh.send(mesh.call("/1", "POST"))
        await mesh.send(mesh.call("/2", "POST"))
        assert server.connections == 1
        await asyncio.sleep(1.1)
        await mesh.send(mesh.call("/3"))
        assert server.connections == 1
        await asyncio.sleep(1.1)
        await mesh.send(mesh.call("/4", "POST"))
        assert server.connections == 2

    run_virtual(main())


def test_a_call_on_a_connection_closed_while_idle_is_retried_at_the_same_upstream():
    """Guards against an idle close that counts as a failure of the only upstream."""

    async def main():
        mesh = Mesh([Fault.NONE, Fault.CLOSE_ON_FIRST_BYTE])
        await mesh.send(mesh.call("/1"))
        await asyncio.sleep(1.1)
        assert (await mesh.send(mesh.call("/2")))[:2] == (200, b"/2")
        results = [outcome.result for outcome in mesh.sink.outcomes]
        assert results == [CallResult.OK, CallResult.CANCELLED, CallResult.OK]

    run_virtual(main())


def test_one_retry_discards_all_connections_closed_while_idle():
    """Guards against one retry for each kept-alive connection after a restart."""

    async def main():
        mesh = Mesh([])
        (server,) = mesh.servers.values()
        await asyncio.gather(*(mesh.send(mesh.call(f"/{i}")) for i in range(5)))
        await asyncio.sleep(2)
        for transport in server.transports:
            transport.fault = Fault.CLOSE_ON_FIRST_BYTE
        assert (await mesh.send(mesh.call("/last")))[1] == b"/last"
        assert server.connections == 6
        assert len(mesh.sink.outcomes) == 7

    run_virtual(main())


def test_a_caller_that_disconnects_closes_its_upstream_connection():
    """Guards against backend servers that work for disconnected callers."""

    async def main():
        mesh = Mesh([Fault.LATE])
        task = asyncio.create_task(mesh.send(mesh.call()))
        await asyncio.sleep(0.5)
        (server,) = mesh.servers.values()
        assert not server.transports[0].is_closing()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert server.transports[0].is_closing()
        assert [o.result for o in mesh.sink.outcomes] == [CallResult.CANCELLED]
        assert mesh.in_flight() == [0]

    run_virtual(main())


def test_calls_that_are_retries_earn_no_retry_budget():
    """Guards against retries that multiply with each layer of services."""

    async def main():
        mesh = Mesh(*([Fault.CLOSE_AFTER_RUN] * 1000 for _ in range(6)))
        for number in range(100):
            await mesh.send(mesh.call(f"/{number}", allows_retry=False))
        assert sum(mesh.runs.values()) == 100
        for number in range(20):
            await mesh.send(mesh.call(f"/first/{number}"))
        allowed = 20 * RETRY_SHARE + 3 * mesh.clock.monotonic()
        assert sum(mesh.runs.values()) <= 120 + allowed

    run_virtual(main())


def test_an_expired_call_is_not_dispatched_and_the_deadline_is_passed_on():
    """Guards against work for callers whose deadline has passed."""

    async def main():
        mesh = Mesh([])
        expired = mesh.call("/1", deadline=mesh.clock.monotonic())
        assert await mesh.send(expired) == (504, None, True)
        assert not mesh.runs
        await mesh.send(mesh.call("/2"))
        (server,) = mesh.servers.values()
        assert b"Lacewingstair-Deadline-Ms: 2000" in server.heads_by_target["/2"]

    run_virtual(main())


@pytest.mark.parametrize("fault", [Fault.UNAVAILABLE, Fault.CLOSE_AFTER_RUN])
def test_retries_stay_within_the_budget_while_every_response_fails(fault):
    """Guards against retries that double the load of a failing service."""

    async def main():
        mesh = Mesh(*([fault] * 1000 for _ in range(6)))
        for number in range(200):
            await mesh.send(mesh.call(f"/{number}"))
        allowed = 200 * RETRY_SHARE + 3 * (1 + mesh.clock.monotonic())
        assert 200 < sum(mesh.runs.values()) <= 200 + allowed

    run_virtual(main())


@pytest.mark.parametrize("header", [True, False])
def test_a_request_that_forbids_retries_is_sent_once(header):
    """Guards against retries that multiply with each layer of callers."""

    async def main():
        mesh = Mesh([Fault.UNAVAILABLE] * 3, [Fault.UNAVAILABLE] * 3)
        await mesh.send(mesh.call(allows_retry=not header))
        assert mesh.runs["/1"] == (1 if header else 2)

    run_virtual(main())


def test_a_refused_connection_is_reported_and_its_endpoint_is_avoided():
    """Guards against calls to a backend server that has stopped."""

    async def main():
        mesh = Mesh([Fault.REFUSE_CONNECTION] * 50, [])
        for number in range(30):
            assert (await mesh.send(mesh.call(f"/{number}", "POST")))[0] == 200
        assert mesh.unreachable == ["10.0.0.0:80"]

    run_virtual(main())


class TrialChooser:
    """Chooser that sends every call to the new version first, as in a trial share."""

    def choose_version(self, route, service):
        return "v2"

    def versions(self, route, service):
        return ("v1",)


@pytest.mark.parametrize(
    ("method", "status", "runs"), [("GET", 200, 2), ("POST", 500, 1)]
)
def test_a_failure_of_a_version_on_trial_is_retried_at_the_old_one(
    method, status, runs
):
    """Guards against callers that see faults of a new version, and double runs."""

    async def main():
        mesh = Mesh([], [Fault.ERROR])
        mesh.dispatcher._chooser = TrialChooser()
        old, new = mesh.servers
        endpoint = Endpoint("board", "v2", new)
        record = mesh.directory.get(new)
        mesh.directory.merge(attrs.evolve(record, sequence=1, endpoints=(endpoint,)))
        answered, _, _ = await mesh.send(mesh.call(method=method))
        return answered, sum(mesh.runs.values()), mesh.servers[old].runs_by_target

    answered, total, old_runs = run_virtual(main())
    assert answered == status
    assert total == runs
    assert sum(old_runs.values()) == runs - 1
