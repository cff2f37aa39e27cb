"""Choice of the VM at whose backend server a call runs; no input or output.

Load patterns and what answers them:

* Zones with unequal load: a call stays in its own zone while it is expected to be in
  time there, and goes to another zone or region when it would be late otherwise. Links
  between regions are narrow and paid by volume, so large answers stay near for longer.
* Backend servers of unequal speed: the expected time includes how long calls take
  there.
* A sudden burst at one VM: the calls that were sent since its newest load report are
  added to it, so that a stale report does not attract all of them.
* An overload everywhere: a VM outside of the zone where the call would wait until it
  is late is not asked, so that the caller learns of the refusal at once. One with a
  free slot is: a late answer there takes nothing from other calls.
* A backend server that was slow or full: its report fades with its age, so that it is
  tried again and gets calls once it has recovered.
"""

import enum
import random
from collections.abc import Iterable

import attrs

from lacewingstair.vm.call_messages import LoadReport


class Distance(enum.IntEnum):
    """Where a VM is, as seen from this one."""

    SAME_VM = 0
    SAME_ZONE = 1
    SAME_REGION = 2
    OTHER_REGION = 3


# What a distance costs, as milliseconds of the expected time.
PENALTY_MS_BY_DISTANCE = {
    Distance.SAME_VM: 0.0,
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: 40.0,
    Distance.OTHER_REGION: 150.0,
}
LARGE_RESPONSE_PENALTY_MS_BY_DISTANCE = {
    Distance.SAME_VM: 0.0,
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: 300.0,
    Distance.OTHER_REGION: 1500.0,
}
ROUND_TRIP_MS_BY_DISTANCE = {
    Distance.SAME_VM: 0.0,
    Distance.SAME_ZONE: 0.5,
    Distance.SAME_REGION: 3.0,
    Distance.OTHER_REGION: 45.0,
}
DEFAULT_SERVICE_MS = 100.0
# An answer that comes well before its target is hardly worth less than a faster one;
# what is expected beyond this part of the target weighs more.
TARGET_MARGIN_SHARE = 0.6
EXPECTED_TIME_WEIGHT = 0.1
EXCESS_TIME_WEIGHT = 2.0
# A VM that was slow is tried again: what is known of it halves in this time.
LOAD_HALF_LIFE_SECONDS = 1.0
MIN_LOAD_WEIGHT = 0.05


@attrs.frozen
class Candidate:
    """A VM that may take a call.

    Parameters
    ----------
    vm_id : str
        The VM.
    distance : Distance
        Where it is.
    load : LoadReport
        Its newest load report.
    unreported : int
        Calls sent there that its load report does not contain.
    age_seconds : float
        Age of the load report.
    """

    vm_id: str
    distance: Distance
    load: LoadReport
    unreported: int = 0
    age_seconds: float = 0.0


def expected_service_ms(candidate: Candidate) -> float:
    """Return the time that a further call is expected to run at a VM."""
    service_ms = candidate.load.service_ms or DEFAULT_SERVICE_MS
    return service_ms * _load_weight(candidate)


def expected_wait_ms(candidate: Candidate) -> float:
    """Return the time that a further call is expected to wait at a VM for a slot."""
    load = candidate.load
    load_weight = _load_weight(candidate)
    occupied = (load.running + load.waiting) * load_weight + candidate.unreported
    excess = occupied - load.slots + 1
    if excess <= 0:
        return 0.0
    service_ms = expected_service_ms(candidate)
    return max(load.wait_ms * load_weight, excess * service_ms / max(1, load.slots))


def _load_weight(candidate: Candidate) -> float:
    weight = 0.5 ** (candidate.age_seconds / LOAD_HALF_LIFE_SECONDS)
    return max(MIN_LOAD_WEIGHT, weight)


def place(
    candidates: Iterable[Candidate],
    target_ms: float,
    remaining_ms: float,
    has_large_response: bool,
    rng: random.Random,
) -> Candidate | None:
    """Return the best candidate, or None if there is none.

    Parameters
    ----------
    candidates : iterable of Candidate
        VMs that may take the call.
    target_ms : float
        Time until its answer loses most of its worth.
    left_ms : float
        Time until its answer is of no use.
    has_large_answer : bool
        Whether distance is expensive.
    rng : random.Random
        Spreads calls over candidates that are alike.
    """
    limit_ms = target_ms if target_ms > 0 else remaining_ms
    penalty_ms = (
        LARGE_RESPONSE_PENALTY_MS_BY_DISTANCE
        if has_large_response
        else PENALTY_MS_BY_DISTANCE
    )
    best: Candidate | None = None
    best_cost = 0.0
    for candidate in candidates:
        distance = candidate.distance
        wait_ms = expected_wait_ms(candidate)
        time_ms = expected_service_ms(candidate) + wait_ms
        time_ms += ROUND_TRIP_MS_BY_DISTANCE[distance]
        if distance >= Distance.SAME_REGION:
            latest_ms = limit_ms if wait_ms > 0 else remaining_ms
            if time_ms > latest_ms:
                continue
        cost = penalty_ms[distance] + EXPECTED_TIME_WEIGHT * time_ms + rng.random()
        excess_ms = time_ms - TARGET_MARGIN_SHARE * max(0.0, target_ms)
        cost += EXCESS_TIME_WEIGHT * max(0.0, excess_ms)
        if best is None or cost < best_cost:
            best, best_cost = candidate, cost
    return best
