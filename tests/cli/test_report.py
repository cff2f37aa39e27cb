import asyncio

import pytest
from result import Err, Ok

from lacewingstair.cli.exit_codes import ExitCode
from lacewingstair.cli.output import changes, report_text
from lacewingstair.cli.report import ReportQuery, show_report, wait_for_report, watch
from lacewingstair.errors import OperatorUnavailable
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual

DOWN = Err(OperatorUnavailable("http://vm", "connection refused"))


def move(state, **fields):
    names = {"service": "board", "from_version": "v1", "to_version": "v2"}
    return {**names, "state": state, **fields}


def report(ticket=1, refused=(), **moves):
    answer = {"ticket": ticket, "next_offset": 9, "rollouts": moves}
    return Ok({**answer, "refused": list(refused)})


TAKEN_BACK = move("taken back", reason="failures", evidence="9 of 10", since="10:00")


class Vm:
    """Answers with one report after the other, then with the last one."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def report(self):
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]


def wait(*answers, moves=(), ticket=0, timeout=60.0):
    async def main():
        query = ReportQuery(moves, ticket)
        clock = VirtualClock()
        return await wait_for_report(Vm(*answers), query, False, timeout, 1.0, clock)

    return run_virtual(main())


@pytest.mark.parametrize(
    ("answers", "options", "code"),
    [
        ([report(m=move("done"))], {}, ExitCode.DONE),
        ([report(m=move("in progress")), report(m=move("done"))], {}, ExitCode.DONE),
        ([DOWN, DOWN, report(m=move("done"))], {}, ExitCode.DONE),
        ([report(m=move("waiting")), report(m=TAKEN_BACK)], {}, ExitCode.TAKEN_BACK),
        ([report(a=TAKEN_BACK, m=move("waiting"))], {}, ExitCode.NOT_FINISHED),
        ([report(a=TAKEN_BACK, m=move("done"))], {"moves": ("m",)}, ExitCode.DONE),
        ([report(), report(m=move("done"))], {"moves": ("m",)}, ExitCode.DONE),
        ([report()], {"moves": ("m",)}, ExitCode.NOT_FINISHED),
        ([report(1), report(2)], {"ticket": 2}, ExitCode.DONE),
        (
            [report(1, [{"number": 2, "offset": 4, "faults": ["x: y"]}])],
            {"ticket": 2},
            ExitCode.TAKEN_BACK,
        ),
        ([DOWN], {}, ExitCode.NOT_FINISHED),
    ],
)
def test_waiting_ends_with_what_the_moves_came_to(answers, options, code):
    assert wait(*answers, **options) is code


def test_an_outage_while_waiting_is_one_line(capsys):
    assert wait(DOWN, DOWN, DOWN, report(m=move("done"))) is ExitCode.DONE
    assert capsys.readouterr().err.count("connection refused") == 1


def test_text_shows_reason_evidence_and_since_of_a_taken_back_move():
    text = report_text(report(m=TAKEN_BACK).ok_value)
    (line,) = [line for line in text.splitlines() if line.startswith("m ")]
    for part in ("board", "v1", "v2", "taken back", "10:00", "failures; 9 of 10"):
        assert part in line


def test_share_is_that_of_the_slowest_and_the_fastest_zone():
    stages = [{"share": 0.1}, {"share": 0.5}, {"share": 0.25}]
    held = move("in progress", stages=stages)
    assert "  10% to 50%  " in report_text(report(m=held).ok_value)
    further = move("in progress", stages=[{"share": 0.5}])
    (line,) = changes(report(m=held).ok_value, report(m=further).ok_value)
    assert line.endswith("is in progress, share 50%")
    over = move("taken back", stages=stages)
    (line,) = changes(report(m=held).ok_value, report(m=over).ok_value)
    assert line.endswith("is taken back")


def test_changes_name_each_difference_once():
    before = report(1, m=move("in progress")).ok_value
    refusal = {"number": 2, "offset": 4, "faults": ["number: taken"]}
    after = report(3, [refusal], m=TAKEN_BACK).ok_value
    lines = changes(before, after)
    assert [line.split(":")[0] for line in lines] == [
        "ticket 3 is in force",
        "move m of board from v1 to v2 is taken back",
        "refused",
    ]
    assert changes(after, after) == []
    assert changes(after, report(3).ok_value) == ["move m was removed"]


def test_a_move_that_is_not_in_the_report_is_named_with_the_known_ones(capsys):
    shown = show_report(Vm(report(m=move("done"))), ReportQuery(("n",)), False)
    assert asyncio.run(shown) is ExitCode.ERROR
    assert "no move 'n' in the report; known: m" in capsys.readouterr().err


def test_watch_prints_changes_and_nothing_else(capsys):
    vm = Vm(report(1), report(1), report(2), report(2), DOWN, report(2))

    async def main():
        async with asyncio.timeout(20):
            await watch(vm, 1.0, VirtualClock())

    with pytest.raises(TimeoutError):
        run_virtual(main())
    lines = capsys.readouterr().out.splitlines()
    assert [line.split(" ", 1)[1] for line in lines] == [
        "ticket 1 is in force",
        "ticket 2 is in force",
    ]
