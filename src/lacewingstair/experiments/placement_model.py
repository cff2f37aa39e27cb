"""Model of many VMs that place calls on each other's upstreams, in virtual time.

Each VM places its calls by itself, with the real placement and the reports that have
reached it, and admits calls to its own upstream with the real admission control. A
report reaches the caller with each answer and refusal, and all VMs once per report
interval. All VMs are in one zone, and messages take no time. The speeds, the calls and
their costs are the same for each choice that is compared.
"""

import heapq
import itertools
import random
from collections.abc import Iterator
from typing import Any

import attrs

from lacewingstair.backend_server.admission import (
    AdmissionController,
    AdmissionRequest,
    Refusal,
    ScheduledCall,
)
from lacewingstair.caller.selection.placement import Candidate, Distance
from lacewingstair.experiments.placement_choices import (
    PlacementChoice,
    PlacementInput,
    expected_time_ms,
)
from lacewingstair.experiments.placement_results import PlacementResults
from lacewingstair.experiments.shared_machine import (
    CALL_KINDS,
    LARGE_BODY_BYTES,
    MEAN_COST_MS,
    SMALL_BODY_BYTES,
    CallKind,
    SpeedChange,
    mean_speed,
    speed_changes,
)
from lacewingstair.vm.call_messages import LoadReport
from lacewingstair.work.estimates import CallClass

TARGET_SECONDS = 1.0
DEADLINE_SECONDS = 2.5
REPORT_INTERVAL_SECONDS = 2.0
# Speeds and queues settle, and costs are learned, before results count.
WARM_UP_SECONDS = 5.0
MAX_REFUSALS = 4
# Standard deviation of the logarithm of the rates of calls of VMs.
RATE_SPREAD = 0.8


@attrs.define(eq=False)
class ModelCall:
    """A call in the model.

    Parameters
    ----------
    vm : int
        VM that places the call.
    at : float
        Its arrival in seconds.
    kind : CallKind
        Its route.
    call_class : CallClass
        What is known of it before it runs.
    cost_ms : float
        Its cost, which nobody knows before it has run.
    """

    vm: int
    at: float
    kind: CallKind
    call_class: CallClass
    cost_ms: float
    tried: set[int] = attrs.field(factory=set)
    expected_ms: float = 0.0
    left_ms: float = 0.0
    scheduled: ScheduledCall | None = None


@attrs.define(eq=False)
class _Known:
    """Newest report of an upstream at one VM."""

    load: LoadReport
    at: float
    unreported: int = 0


class _Upstream:
    """An upstream on a shared machine, behind its admission control."""

    def __init__(self, slots: int, uses_speed: bool, slowness: float) -> None:
        self.admission = AdmissionController(slots)
        self.uses_speed = uses_speed
        self.slowness = slowness
        self.running: set[ModelCall] = set()
        self._progress_at = 0.0
        self.epoch = 0

    def advance(self, now: float) -> None:
        """Reduce what is left of the running calls by the work since the last time."""
        done_ms = (now - self._progress_at) * 1000 / self.slowness
        self._progress_at = now
        for call in self.running:
            call.left_ms -= done_ms

    def state_speed(self, now: float) -> None:
        """State the speed, as each answer does."""
        if self.uses_speed:
            percent = round(100 * self.slowness)
            self.admission.work.state_percent(percent, now)

    def load(self, now: float) -> LoadReport:
        """Return the load report of the upstream's VM."""
        admission = self.admission
        is_known = admission.work.is_known(now)
        return LoadReport(
            running=admission.running,
            waiting=admission.waiting,
            slots=admission.slots,
            service_ms=admission.mean_service_ms(now),
            wait_ms=admission.expected_wait_ms(now),
            is_open=True,
            work_percent=admission.work.percent(now),
            backlog_ms=admission.backlog_ms(now) if is_known else 0.0,
        )


@attrs.frozen
class PlacementScenario:
    """Conditions of one run.

    Parameters
    ----------
    vms : int
        VMs, each with an upstream.
    utilization : float
        Calls, as a share of what all upstreams can run on average.
    seconds : float
        Measured time.
    seed : int
        Seed of speeds, calls and costs.
    """

    vms: int
    utilization: float
    seconds: float
    seed: int

    @property
    def end(self) -> float:
        """Time at which the last calls arrive."""
        return WARM_UP_SECONDS + self.seconds

    def slots(self, vm: int) -> int:
        """Return the slots of the upstream of a VM."""
        return 5 + vm % 2

    def speeds(self) -> list[list[SpeedChange]]:
        """Return the speeds of all machines."""
        rng = random.Random(f"speeds {self.seed}")
        end = self.end + DEADLINE_SECONDS
        return [speed_changes(end, rng) for _ in range(self.vms)]

    def calls(self, speeds: list[list[SpeedChange]]) -> Iterator[ModelCall]:
        """Yield the calls in the order of their arrival."""
        rng = random.Random(f"calls {self.seed}")
        end = self.end + DEADLINE_SECONDS
        slots_at_usual_speed = sum(
            self.slots(vm) * mean_speed(changes, end)
            for vm, changes in enumerate(speeds)
        )
        per_second = self.utilization * slots_at_usual_speed * 1000 / MEAN_COST_MS
        rates = [rng.lognormvariate(0.0, RATE_SPREAD) for _ in range(self.vms)]
        shares = [kind.share for kind in CALL_KINDS]
        at = 0.0
        while (at := at + rng.expovariate(per_second)) < self.end:
            (vm,) = rng.choices(range(self.vms), rates)
            (kind,) = rng.choices(CALL_KINDS, shares)
            body_bytes = rng.choice((SMALL_BODY_BYTES, LARGE_BODY_BYTES))
            call_class = CallClass(kind.route, kind.method, body_bytes)
            cost_ms = kind.cost_ms(body_bytes, rng)
            yield ModelCall(vm, at, kind, call_class, cost_ms)


class PlacementModel:
    """One run of a scenario with one choice."""

    def __init__(self, scenario: PlacementScenario, choice: PlacementChoice) -> None:
        self._scenario = scenario
        self._choice = choice
        self._rng = random.Random(f"choices {scenario.seed}")
        self._speeds = scenario.speeds()
        self._upstreams = [
            _Upstream(scenario.slots(vm), choice.uses_speed, changes[0].slowness)
            for vm, changes in enumerate(self._speeds)
        ]
        empty = [_Known(upstream.load(0.0), 0.0) for upstream in self._upstreams]
        self._known = [
            [attrs.evolve(known) for known in empty] for _ in range(scenario.vms)
        ]
        self._events: list[tuple[float, int, Any]] = []
        self._numbers = itertools.count()
        self._now = 0.0
        self.results = PlacementResults()

    def run(self) -> PlacementResults:
        """Run all calls to their end."""
        for vm, changes in enumerate(self._speeds):
            for change in changes[1:]:
                self._schedule(change.at, self._change_speed, vm, change.slowness)
            first = REPORT_INTERVAL_SECONDS * self._rng.random()
            self._schedule(first, self._report, vm)
        calls = self._scenario.calls(self._speeds)
        self._schedule_next(calls)
        while self._events:
            self._now, _, (action, arguments) = heapq.heappop(self._events)
            action(*arguments)
        return self.results

    def _schedule(self, at: float, action: Any, *arguments: Any) -> None:
        entry = (at, next(self._numbers), (action, arguments))
        heapq.heappush(self._events, entry)

    def _schedule_next(self, calls: Iterator[ModelCall]) -> None:
        call = next(calls, None)
        if call is not None:
            self._schedule(call.at, self._arrive, call, calls)

    def _arrive(self, call: ModelCall, calls: Iterator[ModelCall]) -> None:
        self._schedule_next(calls)
        self._place(call)

    def _change_speed(self, vm: int, slowness: float) -> None:
        upstream = self._upstreams[vm]
        upstream.advance(self._now)
        upstream.slowness = slowness
        self._schedule_end(vm)

    def _report(self, vm: int) -> None:
        if self._now < self._scenario.end:
            self._schedule(self._now + REPORT_INTERVAL_SECONDS, self._report, vm)
        load = self._upstreams[vm].load(self._now)
        for known_by_vm in self._known:
            known_by_vm[vm] = _Known(load, self._now)

    def _place(self, call: ModelCall) -> None:
        upstream_vm = self._choose(call)
        if upstream_vm is None:
            self._count_refused(call)
            return
        call.tried.add(upstream_vm)
        self._known[call.vm][upstream_vm].unreported += 1
        upstream = self._upstreams[upstream_vm]
        request = AdmissionRequest(
            call.kind.route,
            1,
            call.at + TARGET_SECONDS,
            call.at + DEADLINE_SECONDS,
            call.call_class,
        )

        def on_decision(refusal: Refusal | None) -> None:
            if refusal is None:
                self._start(call, upstream_vm)
            else:
                self._refused(call, upstream_vm)

        found = upstream.admission.submit(request, self._now, on_decision)
        if isinstance(found, Refusal):
            self._refused(call, upstream_vm)
            return
        call.scheduled = found
        if found.is_running:
            self._start(call, upstream_vm)
        else:
            end = call.at + DEADLINE_SECONDS
            self._schedule(end, self._expire, call, upstream_vm)

    def _choose(self, call: ModelCall) -> int | None:
        rng = self._rng
        own = self._upstreams[call.vm]
        relative_cost = 1.0
        if own.admission.work.is_known(self._now) and not self._choice.hides_speed:
            work = own.admission.work
            relative_cost = work.relative_cost(call.call_class, self._now)
        given = PlacementInput(
            self._candidates(call),
            (call.at + TARGET_SECONDS - self._now) * 1000,
            (call.at + DEADLINE_SECONDS - self._now) * 1000,
            relative_cost,
            rng,
        )
        chosen = self._choice.choose(given)
        if chosen is None:
            return None
        call.expected_ms = (self._now - call.at) * 1000
        call.expected_ms += expected_time_ms(chosen, relative_cost)
        return int(chosen.vm_id)

    def _candidates(self, call: ModelCall) -> list[Candidate]:
        found = []
        now = self._now
        hides_speed = self._choice.hides_speed
        if call.vm not in call.tried:
            load = self._upstreams[call.vm].load(now)
            if hides_speed:
                load = attrs.evolve(load, work_percent=0)
            found.append(Candidate(str(call.vm), Distance.SAME_VM, load))
        for vm, known in enumerate(self._known[call.vm]):
            if vm == call.vm or vm in call.tried:
                continue
            load = known.load
            age = now - known.at
            if hides_speed:
                # The product takes a report as fresh while a call that was sent to its
                # VM is running.
                age = 0.0 if known.unreported else age
                if load.work_percent:
                    load = known.load = attrs.evolve(load, work_percent=0)
            candidate = Candidate(
                str(vm), Distance.SAME_ZONE, load, known.unreported, age
            )
            found.append(candidate)
        return found

    def _start(self, call: ModelCall, vm: int) -> None:
        upstream = self._upstreams[vm]
        upstream.advance(self._now)
        call.left_ms = call.cost_ms
        upstream.running.add(call)
        self._schedule_end(vm)

    def _schedule_end(self, vm: int) -> None:
        """Schedule the end of the call that ends first at the present speed."""
        upstream = self._upstreams[vm]
        upstream.epoch += 1
        if not upstream.running:
            return
        first = min(upstream.running, key=lambda call: call.left_ms)
        at = self._now + max(0.0, first.left_ms) * upstream.slowness / 1000
        self._schedule(at, self._end, first, vm, upstream.epoch)

    def _end(self, call: ModelCall, vm: int, epoch: int) -> None:
        upstream = self._upstreams[vm]
        if epoch != upstream.epoch:
            return
        upstream.advance(self._now)
        upstream.running.discard(call)
        upstream.state_speed(self._now)
        upstream.admission.finish(call.scheduled, self._now)
        self._schedule_end(vm)
        self._learn(call.vm, vm)
        if call.at >= WARM_UP_SECONDS:
            elapsed_ms = (self._now - call.at) * 1000
            is_in_time = elapsed_ms <= TARGET_SECONDS * 1000
            self.results.count_served(
                call.kind.route, elapsed_ms, is_in_time, call.expected_ms
            )

    def _expire(self, call: ModelCall, vm: int) -> None:
        if not call.scheduled.is_dequeued:
            self._upstreams[vm].admission.cancel_queued(call.scheduled)
            self._count_refused(call)

    def _refused(self, call: ModelCall, vm: int) -> None:
        self._learn(call.vm, vm)
        if len(call.tried) >= MAX_REFUSALS:
            self._count_refused(call)
        else:
            self._place(call)

    def _learn(self, vm: int, upstream_vm: int) -> None:
        """Give a VM the report that comes with an answer or a refusal."""
        load = self._upstreams[upstream_vm].load(self._now)
        self._known[vm][upstream_vm] = _Known(load, self._now)

    def _count_refused(self, call: ModelCall) -> None:
        if call.at >= WARM_UP_SECONDS:
            self.results.count_refused(call.kind.route)
