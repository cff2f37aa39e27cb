"""Selection of the VM whose backend server runs a call; does no I/O.

Load patterns and how the selection handles them:

* Unequal load of zones: a call stays in its own zone while it is expected to meet its
  latency target there, and moves to another zone or region when it would miss it. Links
  between regions have little bandwidth and are billed by volume, so calls with large
  bodies, of the request or of the response, stay in their zone for longer.
* Backend servers of unequal speed: the expected time includes the service time of each
  backend server.
* A burst at one VM: calls that were sent since its newest load report are added to the
  reported load, so that a stale report does not attract the whole burst.
* A large service: VMs of another region are not looked at while one of the zone costs
  less than the distance alone, so that a call costs the same in a larger fleet.
* An overload of all VMs: a VM outside of the zone is skipped if the call would wait in
  its queue until it is late, so that the caller is refused without delay. A VM with a
  free slot is not skipped, because a late response there delays no other call.
* Nested calls while all gates are full: gates put them ahead of first calls, so the
  queue of first calls at a distant VM is no reason to skip it.
* Uploads to VMs with narrow links: the wait before the link of each VM, which its load
  report states, and the time of the transfer are part of the expected time.
* A backend server that was slow or full: the weight of its load report decays with age,
  so that it is probed again and gets calls once it has recovered.
* Machines shared with other work, whose backend servers state their speed: the call
  goes where it is expected to finish first, by its cost, the stated speed and the work
  left. An old report says less, so its speed is taken as closer to the usual, and its
  time gets a margin. Many VMs act on the same reports at a time, so each call compares
  only a random few of the VMs at one distance. Reports without speed are judged as
  before.
"""

import enum
import random
from collections.abc import Iterable, Iterator

import attrs

from lacewingstair.vm.call_messages import LoadReport


class Distance(enum.IntEnum):
    """Network distance of a VM from this one."""

    SAME_VM = 0
    SAME_ZONE = 1
    SAME_REGION = 2
    OTHER_REGION = 3


# Cost of each distance, in milliseconds of equivalent latency.
PENALTY_MS_BY_DISTANCE = {
    Distance.SAME_VM: 0.0,
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: 40.0,
    Distance.OTHER_REGION: 150.0,
}
# The same for each KiB of both bodies.
PENALTY_MS_PER_KIB_BY_DISTANCE = {
    Distance.SAME_VM: 0.0,
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: 3.0,
    Distance.OTHER_REGION: 15.0,
}
ROUND_TRIP_MS_BY_DISTANCE = {
    Distance.SAME_VM: 0.0,
    Distance.SAME_ZONE: 0.5,
    Distance.SAME_REGION: 3.0,
    Distance.OTHER_REGION: 45.0,
}
DEFAULT_SERVICE_MS = 100.0
# A response well within its latency target is worth hardly less than a faster one, so
# expected time beyond this share of the target has a larger weight.
TARGET_MARGIN_SHARE = 0.6
EXPECTED_TIME_WEIGHT = 0.1
EXCESS_TIME_WEIGHT = 2.0
# Half-life of a load report, so that a VM that was slow is tried again.
LOAD_HALF_LIFE_SECONDS = 1.0
MIN_LOAD_WEIGHT = 0.05
USUAL_PERCENT = 100.0
# The same half-life for reports with a stated speed, whose speed and queue last longer.
STATED_HALF_LIFE_SECONDS = 2.0
# Margin of a report that says nothing more, as a share of the service time.
OLD_REPORT_MARGIN = 0.5
# Random part of the expected time for an old report, as a share of the service time.
OLD_SCATTER = 0.2
# VMs of one distance that are compared for one call. All VMs act on the same reports;
# if each compared all others, many would choose the same one at a time.
COMPARED_VMS = 2
# A VM without a report for this long gets one call that shows its state.
PROBE_AGE_SECONDS = 4.0
# Calls that start before one that goes ahead: half of the starts stay with first calls.
STARTS_BEFORE_AHEAD = 2.0


@attrs.frozen
class Candidate:
    """VM that may run a call.

    Parameters
    ----------
    vm_id : str
        Id of the VM.
    distance : Distance
        Its network distance.
    load : LoadReport
        Its newest load report.
    unreported : int
        Calls sent to it that its load report does not include yet.
    age_seconds : float
        Age of the load report; 0 for one without stated speed while a call that was
        sent there runs.
    transfer_ms : float
        Time that the body of the request occupies the link of the VM.
    """

    vm_id: str
    distance: Distance
    load: LoadReport
    unreported: int = 0
    age_seconds: float = 0.0
    transfer_ms: float = 0.0


def expected_service_ms(candidate: Candidate) -> float:
    """Return the expected service time of a further call at a VM."""
    service_ms = candidate.load.service_ms or DEFAULT_SERVICE_MS
    return service_ms * _load_weight(candidate)


def expected_wait_ms(candidate: Candidate) -> float:
    """Return the expected time that a further call queues for a slot at a VM."""
    load = candidate.load
    load_weight = _load_weight(candidate)
    occupied = (load.running + load.waiting) * load_weight + candidate.unreported
    excess = occupied - load.slots + 1
    if excess <= 0:
        return 0.0
    service_ms = expected_service_ms(candidate)
    return max(load.wait_ms * load_weight, excess * service_ms / max(1, load.slots))


def _wait_ahead_ms(candidate: Candidate) -> float:
    """Return the expected wait of a call that goes ahead of the others in the queue."""
    starts = STARTS_BEFORE_AHEAD * expected_service_ms(candidate)
    return starts / max(1, candidate.load.slots)


def expected_link_ms(candidate: Candidate) -> float:
    """Return the expected time before and on the link of a VM, both ways."""
    waits_ms = candidate.load.link_wait_ms * _load_weight(candidate)
    round_trip_ms = ROUND_TRIP_MS_BY_DISTANCE[candidate.distance]
    return waits_ms + candidate.transfer_ms + round_trip_ms


@attrs.frozen
class StatedTimes:
    """Expected times of a further call at a VM whose backend server states its speed.

    Parameters
    ----------
    service_ms, wait_ms : float
        Expected service time and time in the queue.
    margin_ms : float
        Addition for the age of the load report.
    scatter_ms : float
        Difference to another candidate below which either may finish first.
    """

    service_ms: float
    wait_ms: float
    margin_ms: float
    scatter_ms: float


def stated_times(candidate: Candidate, relative_cost: float) -> StatedTimes:
    """Return the expected times of a call at a VM with a stated speed.

    Parameters
    ----------
    candidate : Candidate
        VM whose load report has a `work_percent`.
    relative_cost : float
        Expected cost of the call as a multiple of the mean of its service. The mean
        time of each VM includes how fast its machine is at the usual speed.
    """
    load = candidate.load
    mean_cost_ms = (load.service_ms or DEFAULT_SERVICE_MS) / load.work_percent
    mean_cost_ms *= USUAL_PERCENT
    cost_ms = mean_cost_ms * relative_cost
    if candidate.age_seconds >= PROBE_AGE_SECONDS and not candidate.unreported:
        # A low expected time attracts the one call that shows the state of the VM.
        return StatedTimes(cost_ms * MIN_LOAD_WEIGHT, 0.0, 0.0, 0.0)
    known = 0.5 ** (candidate.age_seconds / STATED_HALF_LIFE_SECONDS)
    slowness = 1 + (load.work_percent / USUAL_PERCENT - 1) * known
    mean_ms = mean_cost_ms * slowness
    slots = max(1, load.slots)
    free = slots - load.running - load.waiting
    if free > 0:
        wait_ms = max(0, candidate.unreported - free + 1) * mean_ms / slots
    else:
        wait_ms = load.wait_ms * known + candidate.unreported * mean_ms / slots
    scatter = OLD_SCATTER * (1 - known)
    return StatedTimes(
        cost_ms * slowness,
        wait_ms,
        OLD_REPORT_MARGIN * (1 - known) * mean_ms,
        scatter * mean_ms,
    )


def _load_weight(candidate: Candidate) -> float:
    weight = 0.5 ** (candidate.age_seconds / LOAD_HALF_LIFE_SECONDS)
    return max(MIN_LOAD_WEIGHT, weight)


def _compared(
    candidates: Iterable[Candidate], rng: random.Random
) -> Iterator[Candidate]:
    """Yield the candidates to compare: of those with a stated speed, a random few."""
    stated: list[Candidate] = []
    for candidate in candidates:
        if stated and stated[0].distance != candidate.distance:
            yield from _few_of(stated, rng)
            stated = []
        if candidate.load.work_percent:
            stated.append(candidate)
        else:
            yield candidate
    if stated:
        yield from _few_of(stated, rng)


def _few_of(candidates: list[Candidate], rng: random.Random) -> list[Candidate]:
    if len(candidates) <= COMPARED_VMS:
        return candidates
    return rng.sample(candidates, COMPARED_VMS)


def choose_candidate(
    candidates: Iterable[Candidate],
    target_ms: float,
    remaining_ms: float,
    body_kib: float,
    rng: random.Random,
    relative_cost: float = 1.0,
    *,
    goes_ahead: bool = False,
) -> Candidate | None:
    """Return the candidate with the lowest cost, or None if none is suitable.

    Parameters
    ----------
    candidates : iterable of Candidate
        VMs that may run the call, the nearest first. Those of a distance whose cost
        alone is higher than that of the best nearer one are not asked for.
    target_ms : float
        Time until the latency target, after which a response loses most of its value.
    remaining_ms : float
        Time until the deadline, after which a response is useless.
    body_kib : float
        Expected size of both bodies, which makes distance more expensive.
    rng : random.Random
        Breaks ties between similar candidates.
    relative_cost : float
        Expected cost of the call as a multiple of the mean of its service, for
        candidates with a stated speed.
    goes_ahead : bool
        Whether gates put the call ahead of the others in their queues.
    """
    limit_ms = target_ms if target_ms > 0 else remaining_ms
    penalty_ms = {
        distance: base_ms + body_kib * PENALTY_MS_PER_KIB_BY_DISTANCE[distance]
        for distance, base_ms in PENALTY_MS_BY_DISTANCE.items()
    }
    best: Candidate | None = None
    best_cost = 0.0
    for candidate in _compared(candidates, rng):
        distance = candidate.distance
        if best is not None and penalty_ms[distance] >= best_cost:
            break
        scatter = 1.0
        if candidate.load.work_percent:
            times = stated_times(candidate, relative_cost)
            wait_ms = times.wait_ms
            service_ms = times.service_ms + times.margin_ms
            scatter = max(scatter, EXPECTED_TIME_WEIGHT * times.scatter_ms)
        else:
            wait_ms = expected_wait_ms(candidate)
            service_ms = expected_service_ms(candidate)
        if goes_ahead:
            wait_ms = min(wait_ms, _wait_ahead_ms(candidate))
        time_ms = service_ms + wait_ms + expected_link_ms(candidate)
        if distance >= Distance.SAME_REGION:
            latest_ms = limit_ms if wait_ms > 0 else remaining_ms
            if time_ms > latest_ms:
                continue
        cost = penalty_ms[distance] + EXPECTED_TIME_WEIGHT * time_ms
        cost += scatter * rng.random()
        excess_ms = time_ms - TARGET_MARGIN_SHARE * max(0.0, target_ms)
        cost += EXCESS_TIME_WEIGHT * max(0.0, excess_ms)
        if best is None or cost < best_cost:
            best, best_cost = candidate, cost
    return best
