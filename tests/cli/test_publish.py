import json
import random

import pytest

from lacewingstair.cli.exit_codes import ExitCode
from lacewingstair.cli.publish import publish_file
from lacewingstair.standins.memory_log import LogFaults, LogStreams, MemoryLogClient
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.ticket_log.log import TICKET_STREAM
from tests.cli.test_report import DOWN, Vm, report

BEHIND = report()
BEHIND.ok_value["next_offset"] = 0
REFUSAL = {"number": 5, "offset": 0, "faults": ["number: 5 is taken"]}


@pytest.fixture
def ticket(tmp_path):
    path = tmp_path / "ticket.json"
    path.write_text(json.dumps({"number": 5}))
    return str(path)


def publish(name, vm=None, faults=None, timeout=20.0):
    """Return the exit code and the records on the log."""

    async def main():
        clock = VirtualClock()
        streams = LogStreams(clock)
        log = MemoryLogClient(streams, clock, faults)
        rng = random.Random(1)
        code = await publish_file(name, log, vm, timeout, clock, rng)
        return code, len(streams.stream(TICKET_STREAM).records)

    return run_virtual(main())


@pytest.mark.parametrize(
    ("answers", "code"),
    [
        ([report()], ExitCode.DONE),
        ([DOWN, BEHIND, report()], ExitCode.DONE),
        ([BEHIND, report(1, [REFUSAL])], ExitCode.TAKEN_BACK),
        ([report(1, [{**REFUSAL, "offset": 7}])], ExitCode.DONE),
        ([BEHIND], ExitCode.NOT_FINISHED),
        ([DOWN], ExitCode.NOT_FINISHED),
    ],
)
def test_the_exit_code_is_the_decision_of_the_vm(ticket, answers, code):
    assert publish(ticket, Vm(*answers)) == (code, 1)


def test_a_lost_answer_does_not_publish_twice(ticket):
    assert publish(ticket, faults=LogFaults(lost_answers=1)) == (ExitCode.DONE, 1)


def test_a_log_that_stays_down_is_an_error_that_says_what_is_known(ticket, capsys):
    code, records = publish(ticket, faults=LogFaults(is_down=True))
    assert (code, records) == (ExitCode.ERROR, 0)
    assert "the ticket was not written" in capsys.readouterr().err


def test_an_invalid_ticket_is_not_published(tmp_path, capsys):
    path = tmp_path / "ticket.json"
    path.write_text('{"number": 0, "speed": 1}')
    assert publish(str(path)) == (ExitCode.INVALID, 0)
    message = capsys.readouterr().err
    assert "number" in message
    assert "speed" in message
