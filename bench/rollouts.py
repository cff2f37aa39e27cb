"""Simulated rollouts in virtual time: exposure, wrong verdicts and on-time moves."""

import math
import multiprocessing
import random
import statistics
import time
from collections.abc import Sequence

import attrs

from bench.registry import benchmarks
from bench.results import print_table, save_rows
from bench.rollout_policies import Policy, policies
from bench.rollout_servers import BEHAVIOURS, Servers
from lacewingstair import events
from lacewingstair.rollouts import schedule
from lacewingstair.routing.outcomes import CallOutcome, CallResult
from lacewingstair.routing.splitting import RandomSplit, SmoothSplit
from lacewingstair.standins.rollout_mesh import (
    RolloutMesh,
    SimulatedVm,
    first_sections,
    key_of,
)

START = 5.0
VMS_PER_ZONE = 3
AFTER_SECONDS = 60.0


@attrs.frozen
class User:
    """Size of a user's mesh, from section 1.2 of the design page.

    Parameters
    ----------
    regions_by_zone : dict
        Zones and their regions.
    zone_seconds, region_seconds : float
        One-way latencies.
    slots : int
        Slots of the 6 upstreams of a service.
    routes : tuple of str
        Routes of the service.
    """

    regions_by_zone: dict[str, str]
    zone_seconds: float
    region_seconds: float
    slots: int
    routes: tuple[str, ...]


def _zones(*regions: str) -> dict[str, str]:
    return {f"{region}-{i}": region for region in regions for i in (1, 2)}


USERS = {
    "dala": User(
        _zones("akmola", "kostanay", "almaty-oblys"),
        0.001,
        0.02,
        120,
        ("read", "confirm"),
    ),
    "consorcio": User(
        _zones("costa-centro", "sur-andino", "costa-norte"),
        0.0015,
        0.02,
        60,
        ("search", "confirm", "download"),
    ),
}


@attrs.frozen
class Case:
    """One simulated rollout."""

    user: str
    behaviour: str
    policy: str
    rate: float
    window: float
    seed: int
    evidence_delay: float = 0.0


@attrs.frozen
class Outcome:
    """What was seen in one simulated rollout; times in virtual seconds."""

    new_calls: int
    faulty_calls: int
    calls: int
    first_fault: float | None
    taken_back: float | None
    last_new_call: float | None
    is_on_time: bool
    reason: str


class Simulation:
    """One rollout with its callers, VMs and backend servers."""

    def __init__(self, case: Case) -> None:
        self._case = case
        self._user = USERS[case.user]
        self._rng = random.Random(f"{case.seed}/{case.behaviour}/{case.rate}")
        self._end = START + case.window
        self._mesh = RolloutMesh(
            self._user.regions_by_zone,
            VMS_PER_ZONE,
            random.Random(case.seed),
            slots=lambda service, version: self._user.slots,
            evidence_delay=case.evidence_delay,
            zone_seconds=self._user.zone_seconds,
            region_seconds=self._user.region_seconds,
            has_steps=case.policy == "sequential tests",
        )
        self._servers = Servers(
            BEHAVIOURS[case.behaviour], START, self._end, self._user.slots, self._rng
        )
        self._policies_by_vm_id: dict[str, Policy] = {}
        self._calls = 0
        self._new_calls = 0
        self._faulty_calls = 0
        self._after_end = [0, 0]
        self._last_new_call: float | None = None

    def run(self) -> Outcome:
        """Run the rollout and return what was seen."""
        mesh = self._mesh
        mesh.publish(**first_sections(START, self._end, self._user.routes))
        for vm in mesh.vms():
            policy = policies.get(self._case.policy)
            self._policies_by_vm_id[vm.vm_id] = policy(vm, random.Random(vm.vm_id))
            self._schedule_call(vm)
        until = self._end + AFTER_SECONDS
        now = 0.0
        while now < until:
            now = min(until, now + 10.0)
            mesh.queue.run_until(now)
            taken_back = self._taken_back()
            if taken_back is not None and now > taken_back + 10.0:
                break
        after, new_after = self._after_end
        return Outcome(
            new_calls=self._new_calls,
            faulty_calls=self._faulty_calls,
            calls=self._calls,
            first_fault=self._servers.first_fault,
            taken_back=self._taken_back(),
            last_new_call=self._last_new_call,
            is_on_time=self._taken_back() is None and self._is_moved(after, new_after),
            reason=self._reason(),
        )

    def _is_moved(self, calls: int, new_calls: int) -> bool:
        if self._case.policy != "sequential tests":
            return calls == new_calls
        key = key_of(self._mesh.vms()[0])
        are_final = all(
            vm.marks.stage(key, vm.availability_zone, route) == schedule.FINAL_STAGE
            for vm in self._mesh.vms()
            for route in self._user.routes
        )
        return are_final and new_calls >= 0.98 * calls

    def _marks(self) -> list:
        return [
            mark
            for vm in self._mesh.vms()
            if (mark := vm.marks.rollbacks_by_key.get(key_of(vm)))
        ]

    def _taken_back(self) -> float | None:
        origin = self._mesh.vms()[0].clock.wall() - self._mesh.queue.now
        return min((mark.at - origin for mark in self._marks()), default=None)

    def _reason(self) -> str:
        return next((mark.reason for mark in self._marks()), "")

    def _schedule_call(self, vm: SimulatedVm) -> None:
        now = self._mesh.queue.now
        rate = self._case.rate / len(self._mesh.vms_by_id)
        rate *= self._servers.rate_factor(now)
        self._mesh.queue.after(self._rng.expovariate(rate), lambda: self._call(vm))

    def _call(self, vm: SimulatedVm) -> None:
        queue = self._mesh.queue
        now = queue.now
        route = self._rng.choice(self._user.routes)
        policy = self._policies_by_vm_id[vm.vm_id]
        version = policy.choose_version(route, "board")
        # New endpoints announce themselves when the rollout starts.
        age = now - START if version == "v2" else 3600.0
        attempt = self._servers.attempt(version, route, now, age, queue.after)
        outcome = CallOutcome(
            route,
            "board",
            version,
            f"{version}:1",
            attempt.result,
            attempt.latency_seconds,
            age,
        )
        queue.after(attempt.latency_seconds, lambda: policy.record(outcome))
        self._count(version == "v2", attempt.is_faulty, now)
        self._schedule_call(vm)

    def _count(self, is_new: bool, is_faulty: bool, now: float) -> None:
        self._calls += now >= START
        self._new_calls += is_new
        self._faulty_calls += is_faulty
        if is_new:
            self._last_new_call = now
        if self._end + 1.0 <= now < self._end + 0.1 * self._case.window:
            self._after_end[0] += 1
            self._after_end[1] += is_new


def run_case(case: Case) -> Outcome:
    """Run one simulated rollout."""
    return Simulation(case).run()


def summarise(cases: Sequence[Case], outcomes: Sequence[Outcome]) -> dict[str, object]:
    """Return a row over the seeds of one case."""
    case = cases[0]
    is_bad = BEHAVIOURS[case.behaviour].is_bad
    caught = [o for o in outcomes if o.taken_back is not None]
    delays = [o.taken_back - o.first_fault for o in caught if o.first_fault is not None]
    stops = [max(0.0, o.last_new_call - o.taken_back) for o in caught]
    faulty = sorted(o.faulty_calls for o in outcomes)
    share = sum(o.new_calls for o in outcomes) / sum(o.calls for o in outcomes)
    return {
        "user": case.user,
        "new version": case.behaviour,
        "policy": case.policy,
        "calls/s": case.rate,
        "runs": len(outcomes),
        "taken back": len(caught),
        "wrong": len(outcomes) - len(caught) if is_bad else len(caught),
        "on time": "" if is_bad else sum(o.is_on_time for o in outcomes),
        "faulty calls, median": statistics.median(faulty) if is_bad else "",
        "faulty calls, 90%": faulty[int(0.9 * len(faulty))] if is_bad else "",
        "share of new": round(share, 4),
        "fault to take-back s": _median(delays) if is_bad else "",
        "take-back to last call s": round(max(stops, default=0.0), 3) if caught else "",
    }


def _median(values: Sequence[float]) -> float | str:
    return round(statistics.median(values), 2) if values else ""


def _run_groups(
    groups: Sequence[Sequence[Case]], processes: int
) -> list[dict[str, object]]:
    cases = [case for group in groups for case in group]
    started = time.monotonic()
    with multiprocessing.Pool(processes, events.configure, ("error",)) as pool:
        outcomes = pool.map(run_case, cases, chunksize=2)
    rows = []
    for group in groups:
        rows.append(summarise(group, outcomes[: len(group)]))
        outcomes = outcomes[len(group) :]
    print(f"{len(cases)} runs in {time.monotonic() - started:.0f} s")
    return rows


def _group(
    user: str,
    behaviour: str,
    policy: str,
    rate: float,
    window: float,
    seeds: int,
    delay: float = 0.0,
) -> list[Case]:
    return [
        Case(user, behaviour, policy, rate, window, seed, delay)
        for seed in range(seeds)
    ]


@benchmarks.register("rollouts")
def rollouts(
    user: str = "dala",
    rates: Sequence[float] = (20.0, 1.0),
    window: float = 200.0,
    good_seeds: int = 200,
    other_good_seeds: int = 30,
    bad_seeds: int = 12,
    baselines: bool = True,
    behaviours: Sequence[str] = tuple(BEHAVIOURS),
    processes: int = 4,
    save: bool = True,
) -> None:
    """Measure exposure, wrong verdicts and on-time moves beside plain policies."""
    names = list(policies) if baselines else ["sequential tests"]
    behaviours = [behaviours] if isinstance(behaviours, str) else behaviours
    groups = [
        _group(
            user,
            behaviour,
            policy,
            float(rate),
            float(window),
            _seeds(behaviour, good_seeds, other_good_seeds, bad_seeds),
        )
        for rate in rates
        for behaviour in behaviours
        for policy in names
    ]
    rows = _run_groups(groups, processes)
    if save:
        save_rows(f"rollouts-{user}", rows)
    print_table(rows)


def _seeds(behaviour: str, good: int, other_good: int, bad: int) -> int:
    if BEHAVIOURS[behaviour].is_bad:
        return bad
    return good if behaviour == "good" else other_good


@benchmarks.register("rollout-evidence-delay")
def evidence_delay(
    user: str = "consorcio",
    delays: Sequence[float] = (0.0, 0.5, 2.0, 5.0),
    rate: float = 60.0,
    seeds: int = 20,
    processes: int = 4,
) -> None:
    """Measure what a delay of evidence between VMs costs."""
    behaviours = ("fails all", "fails 20%", "twice as slow", "fails 30% under load")
    groups = [
        _group(user, behaviour, "sequential tests", rate, 300.0, seeds, delay)
        for behaviour in behaviours
        for delay in delays
    ]
    rows = _run_groups(groups, processes)
    for row, group in zip(rows, groups, strict=True):
        row["evidence delay s"] = group[0].evidence_delay
    save_rows("rollout-evidence-delay", rows)
    print_table(rows)


@benchmarks.register("rollout-split")
def split(vms: int = 18, rounds: int = 2000) -> None:
    """Compare the split of few calls: drawn at random or smoothed."""
    rows = []
    for share in (0.02, 0.1, 0.25, 0.5):
        for calls in (1, 5, 20, 100):
            row: dict[str, object] = {"share": share, "calls per VM": calls}
            for name, split_type in (("random", RandomSplit), ("smooth", SmoothSplit)):
                row[f"{name}: error of share"] = _split_error(
                    split_type, share, calls, vms, rounds
                )
            rows.append(row)
    save_rows("rollout-split", rows)
    print_table(rows)


def _split_error(split_type, share: float, calls: int, vms: int, rounds: int) -> float:
    rng = random.Random(1)
    total = 0.0
    for _ in range(rounds):
        splits = [split_type(rng) for _ in range(vms)]
        taken = sum(s.selects(share) for s in splits for _ in range(calls))
        total += (taken / (vms * calls) - share) ** 2
    return round(math.sqrt(total / rounds), 5)


@benchmarks.register("rollout-cost")
def cost(calls: int = 200_000) -> None:
    """Measure the CPU time per call and per step of a controller."""
    events.configure("error")
    mesh = RolloutMesh({"zone-1": "region"}, 1, random.Random(1), has_steps=False)
    mesh.publish(**first_sections(0.0, 3600.0, ("read", "confirm")))
    mesh.queue.run_until(1000.0)
    vm = mesh.vms()[0]
    controller = vm.controller
    controller.step()
    outcome = CallOutcome("read", "board", "v1", "v1:1", CallResult.OK, 0.02, 3600.0)
    choosing = _microseconds(lambda: controller.choose_version("read", "board"), calls)
    recording = _microseconds(lambda: controller.record(outcome), calls)
    stepping = _microseconds(lambda: _step_with_calls(controller, outcome), 2000)
    rows = [
        {"operation": "choose_version", "microseconds": choosing},
        {"operation": "record", "microseconds": recording},
        {"operation": "step of a root, 25 calls of it", "microseconds": stepping},
    ]
    save_rows("rollout-cost", rows)
    print_table(rows)


def _step_with_calls(controller, outcome: CallOutcome) -> None:
    for _ in range(25):
        controller.record(outcome)
    controller.step()


def _microseconds(action, count: int) -> float:
    started = time.process_time()
    for _ in range(count):
        action()
    return round((time.process_time() - started) / count * 1e6, 2)
