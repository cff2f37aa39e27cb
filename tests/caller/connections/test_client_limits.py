"""Decisions about clients that keep to no limit, in virtual time and without I/O."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from lacewingstair.caller.connections.answer_progress import AnswerProgress
from lacewingstair.caller.connections.client_limits import (
    DEFAULT_LIMITS,
    CloseReason,
    fit_to_memory,
)
from lacewingstair.caller.connections.client_progress import ClientProgress
from lacewingstair.caller.connections.connection_budget import (
    ConnectionBudget,
    Holding,
    IdleConnection,
    Stage,
)
from lacewingstair.caller.connections.parsing_pace import (
    BURST_SECONDS,
    SHARE,
    WORK_PER_PARSING,
    ParsingPace,
)
from lacewingstair.caller.messages.head_limits import HeadLimits

LIMITS = attrs.evolve(DEFAULT_LIMITS, max_head_bytes=60, max_empty_line_bytes=6)
HEAD = b"GET / HTTP/1.1\r\nHost: a\r\nX: \r \n b\r\n\r\n"


@given(st.lists(st.integers(1, len(HEAD)), max_size=8))
def test_the_end_of_a_head_is_found_however_it_is_cut(cuts):
    """Guards against a body or a next request that counts as part of a head."""
    head = HeadLimits(LIMITS)
    data, sent = HEAD + b"next", 0
    for end in sorted({*cuts, len(data)}):
        taken = head.take(data[sent:end], 0).unwrap()
        if sent + taken < end or end >= len(HEAD):
            assert sent + taken == len(HEAD) == head.head_bytes
            return
        sent = end


def test_a_head_is_refused_beyond_its_limit_and_not_at_it():
    for size, expected in ((60, Ok(60)), (61, Err(CloseReason.HEAD_TOO_LARGE))):
        head = HeadLimits(LIMITS)
        assert head.take(b"a" * 30, 0) == Ok(30)
        end = expected.ok_value - 30 if isinstance(expected, Ok) else None
        outcome = head.take(b"a" * (size - 30), 0)
        assert outcome == (expected if end is None else Ok(end))


def test_empty_lines_are_bounded_for_each_request():
    """Guards against empty lines that arrive in small parts."""
    head = HeadLimits(LIMITS)
    assert head.skip_empty_lines(b"\r\n\r\nGET", 0) == Ok(4)
    assert head.skip_empty_lines(b"\r\n", 0) == Ok(2)
    assert head.skip_empty_lines(b"\r\nGET", 0) == Err(CloseReason.EMPTY_LINES)
    head.begin()
    assert head.skip_empty_lines(b"a\r\nGET", 1) == Ok(3)


@pytest.mark.parametrize(
    ("rate", "is_closed"),
    [(0.0, True), (0.5, True), (1.0, False), (3.0, False)],
)
def test_a_client_that_takes_bytes_at_the_lowest_rate_is_not_closed(rate, is_closed):
    progress = AnswerProgress(DEFAULT_LIMITS)
    written = 100 << 20
    taken = [int(s * rate * DEFAULT_LIMITS.min_answer_rate) for s in range(200)]
    overdue = [progress.is_overdue(1.0, written, written - found) for found in taken]
    assert any(overdue) == is_closed


def test_a_client_that_took_much_may_not_stop_for_longer():
    """Guards against a client that saves up time by reading fast once."""
    progress = AnswerProgress(DEFAULT_LIMITS)
    written = 100 << 20
    assert not progress.is_overdue(1.0, written, 10)
    seconds = DEFAULT_LIMITS.answer_seconds
    assert not progress.is_overdue(seconds, written, 10)
    assert progress.is_overdue(1.0, written, 10)


@pytest.mark.parametrize(
    ("memory_mb", "most"),
    [(200, 25_000_000), (300, 50_000_000), (8000, 48 << 20), (50, 1 << 20)],
)
def test_clients_hold_no_more_than_the_memory_of_the_machine_bears(memory_mb, most):
    """Guards against a small machine whose process ends within its limits."""
    found = fit_to_memory(DEFAULT_LIMITS, memory_mb * 1_000_000).max_held_bytes
    assert found == most
    fewer = attrs.evolve(DEFAULT_LIMITS, max_held_bytes=2 << 20)
    assert fit_to_memory(fewer, memory_mb * 1_000_000).max_held_bytes <= 2 << 20


def running(**sizes):
    return {name: Holding(Stage.RUNNING, size) for name, size in sizes.items()}


def test_connections_that_hold_most_are_closed_first():
    budget = ConnectionBudget(attrs.evolve(DEFAULT_LIMITS, max_held_bytes=1 << 20))
    held = running(small=2 << 10, large=700 << 10, larger=800 << 10)
    assert budget.excess(held, 0) == ["larger"]
    # What is held under other limits leaves half of the budget.
    assert budget.excess(held, 10 << 20) == ["larger", "large"]
    assert budget.excess(running(small=2 << 10), 10 << 20) == []


def test_a_single_large_call_is_served_while_there_is_no_other_load():
    budget = ConnectionBudget(attrs.evolve(DEFAULT_LIMITS, max_held_bytes=1 << 20))
    held = running(large=64 << 20, small=200 << 10)
    assert budget.excess(held, 0) == [] and budget.has_room
    assert budget.excess({**held, **running(other=100 << 10)}, 0) == ["large"]


def test_what_is_asked_for_and_read_is_closed_last():
    """Guards against answers that are cut to make room for unfinished requests."""
    budget = ConnectionBudget(attrs.evolve(DEFAULT_LIMITS, max_held_bytes=1 << 20))
    size = 300 << 10
    held = {
        "running": Holding(Stage.RUNNING, 2 * size),
        "queued": Holding(Stage.QUEUED, size),
        "read": Holding(Stage.ANSWERED, 2 * size, 9e5),
        "read slowly": Holding(Stage.ANSWERED, size, 5e3),
        "unread": Holding(Stage.UNREAD, size, -3.0),
        "kept": Holding(Stage.IDLE, size),
        "arriving": Holding(Stage.UNFINISHED, size, 1e6),
        "slow": Holding(Stage.UNFINISHED, size, 1e2),
        "stalled": Holding(Stage.UNFINISHED, size, -4.0),
        "stalled longer": Holding(Stage.UNFINISHED, size, -9.0),
    }
    order = budget.excess(held, 0)
    assert order == [
        "stalled longer",
        "stalled",
        "slow",
        "arriving",
        "kept",
        "unread",
        "queued",
        "read slowly",
        "read",
    ]


def test_small_requests_are_closed_only_when_all_others_do_not_suffice():
    """Guards against many small callers that pay for a few large ones."""
    budget = ConnectionBudget(attrs.evolve(DEFAULT_LIMITS, max_held_bytes=1 << 20))
    size = 10 << 10
    small = {n: Holding(Stage.UNFINISHED, size, -9.0) for n in range(60)}
    large = {"large": Holding(Stage.ANSWERED, 500 << 10, 9e5)}
    assert budget.excess({**small, **large}, 0) == ["large"]
    many = {n: Holding(Stage.UNFINISHED, size, -9.0) for n in range(200)}
    assert len(budget.excess(many, 0)) == 98


def test_calls_are_refused_before_running_ones_fill_the_budget():
    """Guards against calls that are cut for memory which a refusal would have kept."""
    budget = ConnectionBudget(attrs.evolve(DEFAULT_LIMITS, max_held_bytes=1 << 20))
    size = 100 << 10
    calls = {n: Holding(Stage.RUNNING, size, running_size=size) for n in range(8)}
    assert budget.excess(calls, 0) == [] and not budget.has_room
    few = dict(list(calls.items())[:5])
    assert budget.excess(few, 0) == [] and budget.has_room
    assert not budget.has_room_for_large
    assert budget.excess(dict(list(calls.items())[:4]), 0) == []
    assert budget.has_room_for_large
    assert budget.excess(dict(list(calls.items())[:7]), 0) == [] and budget.has_room
    # Unfinished requests make way, and keep nobody out.
    heads = {-n: Holding(Stage.UNFINISHED, 100 << 10) for n in range(1, 99)}
    assert budget.excess(heads, 0) and budget.has_room


@pytest.mark.parametrize(
    ("sent", "expected"),
    [([(0.0, 100)], 100 / 1.5), ([(0.0, 100), (0.9, 400)], 400 / 1.5), ([], 0.0)],
)
def test_the_progress_of_a_client_is_a_rate(sent, expected):
    progress = ClientProgress(0.0)
    progress.begin(0.0)
    for at, total in sent:
        progress.note(total, at)
    assert progress.rate(1.0) == pytest.approx(expected)
    assert progress.rate(9.0) < 0


def test_a_client_that_moves_few_bytes_again_and_again_is_not_stalled():
    progress = ClientProgress(0.0)
    progress.begin(0.0)
    for second in range(60):
        progress.note(second + 1, float(second))
        assert progress.rate(second + 1.0) > 0


def test_only_a_connection_that_no_client_reuses_makes_room():
    """Guards against a connection that is closed under its client's next call."""
    budget = ConnectionBudget(DEFAULT_LIMITS)
    reusable = IdleConnection("reusable", 0.8 * DEFAULT_LIMITS.idle_seconds, True)
    assert budget.may_make_room([reusable]) == []
    unused = IdleConnection("unused", 0.8 * DEFAULT_LIMITS.idle_seconds, False)
    longer = IdleConnection("longer", 2 * DEFAULT_LIMITS.idle_seconds, True)
    found = budget.may_make_room([unused, reusable, longer])
    assert found == ["longer", "unused"]


def test_parsing_has_a_share_of_the_time_and_a_burst():
    """Guards against chunked bodies that keep the process from all other calls."""
    pace, now, parsing = ParsingPace(0.0), 0.0, 0.0
    while now < 100.0:
        delay = pace.delay_seconds(now)
        if delay:
            now += delay + 1e-6
            continue
        now += 0.01
        pace.note(0.01, now)
        parsing += WORK_PER_PARSING * 0.01
    allowed = BURST_SECONDS + SHARE * 100.0
    assert allowed * 0.95 <= parsing <= allowed + WORK_PER_PARSING * 0.01


def test_a_chunked_body_may_be_parsed_at_once_after_a_while():
    pace = ParsingPace(0.0)
    pace.note(9.0, 9.0)
    assert pace.delay_seconds(9.0) > 0
    assert pace.delay_seconds(9.0 + 9.0 * WORK_PER_PARSING / SHARE) == 0
