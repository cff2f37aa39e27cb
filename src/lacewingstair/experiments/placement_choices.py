"""Ways to choose the upstream of a call, which the placement model compares."""

import random
from collections.abc import Callable, Sequence

import attrs

from lacewingstair.caller.selection.placement import (
    Candidate,
    choose_candidate,
    expected_service_ms,
    expected_wait_ms,
    stated_times,
)


@attrs.frozen
class PlacementInput:
    """What a VM knows when it places a call.

    Parameters
    ----------
    candidates : sequence of Candidate
        Upstreams that were not tried, the nearest first.
    target_ms, remaining_ms : float
        Time until the latency target and until the deadline.
    relative_cost : float
        Expected cost of the call as a multiple of the mean.
    rng : random.Random
        Source of randomness.
    """

    candidates: Sequence[Candidate]
    target_ms: float
    remaining_ms: float
    relative_cost: float
    rng: random.Random


Choose = Callable[[PlacementInput], Candidate | None]


@attrs.frozen
class PlacementChoice:
    """A way to choose, with the system around it.

    Parameters
    ----------
    name : str
        Name in the results.
    choose : callable
        Returns the candidate of a call, or None.
    uses_speed : bool
        Whether admission at the upstreams uses the stated speed.
    hides_speed : bool
        Whether placement gets reports without the stated speed.
    """

    name: str
    choose: Choose
    uses_speed: bool = True
    hides_speed: bool = False


CHOICES_BY_NAME: dict[str, PlacementChoice] = {}


def _register_choice(name: str, **options: bool) -> Callable[[Choose], Choose]:
    def decorate(choose: Choose) -> Choose:
        CHOICES_BY_NAME[name] = PlacementChoice(name, choose, **options)
        return choose

    return decorate


def expected_time_ms(candidate: Candidate, relative_cost: float) -> float:
    """Return the expected time until a call at a candidate ends."""
    if candidate.load.work_percent:
        times = stated_times(candidate, relative_cost)
        return times.service_ms + times.wait_ms
    return expected_service_ms(candidate) + expected_wait_ms(candidate)


def _queued(candidate: Candidate) -> int:
    return candidate.load.running + candidate.load.waiting + candidate.unreported


def _two_of(given: PlacementInput) -> Sequence[Candidate]:
    found = given.candidates
    return found if len(found) <= 2 else given.rng.sample(found, 2)


@_register_choice("random")
def _random(given: PlacementInput) -> Candidate | None:
    return given.rng.choice(given.candidates) if given.candidates else None


@_register_choice("least connections")
def _least_connections(given: PlacementInput) -> Candidate | None:
    return min(
        given.candidates,
        key=lambda found: (_queued(found), given.rng.random()),
        default=None,
    )


@_register_choice("two by queue")
def _two_by_queue(given: PlacementInput) -> Candidate | None:
    return min(_two_of(given), key=_queued, default=None)


@_register_choice("two by finish")
def _two_by_finish(given: PlacementInput) -> Candidate | None:
    return min(
        _two_of(given),
        key=lambda found: expected_time_ms(found, given.relative_cost),
        default=None,
    )


# The system as it is for upstreams that state no speed.
@_register_choice("present", uses_speed=False, hides_speed=True)
# The same choice, while admission at the upstreams uses the stated speed.
@_register_choice("present with new admission", hides_speed=True)
@_register_choice("new")
def _product(given: PlacementInput) -> Candidate | None:
    return choose_candidate(
        given.candidates,
        given.target_ms,
        given.remaining_ms,
        0.0,
        given.rng,
        given.relative_cost,
    )
