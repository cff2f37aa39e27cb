"""Worth served by policies of balancing and admission, in virtual time."""

import random
import statistics
from collections import Counter, deque
from collections.abc import Callable

import attrs

from bench.registry import benchmarks
from bench.results import print_table, save_rows
from lacewingstair import events
from lacewingstair.caller.calls.dispatch import MAX_ATTEMPTS
from lacewingstair.routing import balancing
from lacewingstair.routing.balancing import Balancer, Upstream, UpstreamGroup
from lacewingstair.routing.limits import Admission, ConcurrencyLimit, RetryBudget
from lacewingstair.standins.load import EventQueue, SimulatedServer, Work
from lacewingstair.vm.directory import Endpoint

SERVERS = 6
SLOTS = 10
MEAN_SECONDS = 0.04
SERVER_QUEUE = 10
VMS = 40
DEADLINE_SECONDS = 1.0
NETWORK_SECONDS = 0.001
WARM_UP_SECONDS = 4.0
REPORT_SECONDS = 2.0
# Kind, worth, share of the calls, whether it may run twice.
KINDS = (
    ("confirm", 10.0, 0.2, False),
    ("rota-read", 3.0, 0.5, True),
    ("search", 1.0, 0.3, True),
)
CUSTOMERS = (("large", 0.7), ("a", 0.1), ("b", 0.1), ("c", 0.1))


@attrs.frozen
class Policy:
    """What a VM does with a call; the defaults are what the daemon does."""

    choose: str = "own"
    has_admission: bool = True
    has_limit: bool = True
    queue_size: int = 0
    changes: dict = attrs.field(factory=dict)


@attrs.define(eq=False)
class SimulatedCall:
    """One call on its way."""

    kind: tuple
    customer: str
    start: float
    deadline: float
    tried: list[Upstream] = attrs.field(factory=list)
    is_done: bool = False


class Tally:
    """Counts what became of the calls after the warm-up."""

    def __init__(self) -> None:
        self.offered: Counter = Counter()
        self.served: Counter = Counter()
        self.refused = 0
        self.failed = 0
        self.attempts = 0
        self.latencies: list[float] = []


class SimulatedVm:
    """One VM that sends calls with the real balancer, limits and budgets."""

    def __init__(
        self,
        queue: EventQueue,
        servers: list[SimulatedServer],
        policy: Policy,
        rng: random.Random,
        tally: Tally,
    ) -> None:
        self._events = queue
        self._policy = policy
        self._rng = rng
        self._tally = tally
        self._balancer = Balancer(queue, rng)
        self._admission = Admission(queue, rng)
        self._budget = RetryBudget(queue)
        self._group = UpstreamGroup()
        self._servers_by_address = {}
        self._turn = rng.randrange(len(servers))
        self._waiting: deque[SimulatedCall] = deque()
        for i, server in enumerate(servers):
            endpoint = Endpoint("s", "v", f"10.0.0.{i}:80", server.slots)
            limit = ConcurrencyLimit(server.slots)
            upstream = Upstream(endpoint, 0, -100.0, -100.0, limit)
            if not policy.has_limit:
                upstream.limit.value = 1e9
                upstream.limit.record_success = lambda in_flight: None
                upstream.limit.record_rejection = lambda: None
            self._group.tiers[0].append(upstream)
            self._servers_by_address[endpoint.address] = server

    def arrive(self, call: SimulatedCall) -> None:
        """Take a call of a caller."""
        worth = call.kind[1]
        is_admitted = self._admission.admit(worth, call.customer)
        if self._policy.has_admission and not is_admitted:
            self._end(call, "refused", is_admitted=False)
            return
        self._budget.count_call()
        self._attempt(call)

    def _attempt(self, call: SimulatedCall) -> None:
        if self._events.now >= call.deadline:
            self._end(call, "failed")
            return
        upstream = self._choose(call.tried)
        if upstream is None:
            self._wait(call)
            return
        call.tried.append(upstream)
        self._tally.attempts += 1
        self._balancer.record_start(upstream)
        self._send(call, upstream)

    def _wait(self, call: SimulatedCall) -> None:
        if call.tried or len(self._waiting) >= self._policy.queue_size:
            self._end(call, "refused")
            return
        self._waiting.append(call)

    def _send(self, call: SimulatedCall, upstream: Upstream) -> None:
        server = self._servers_by_address[upstream.address]
        sent = self._events.now

        def done(result: str) -> None:
            self._events.after(
                NETWORK_SECONDS, lambda: self._answered(call, upstream, sent, result)
            )

        work = Work(call.deadline, done)

        def expire() -> None:
            if not call.is_done and call.tried[-1] is upstream:
                server.cancel(work)
                upstream.limit.record_rejection()
                self._balancer.record_failure(
                    self._group, upstream, self._events.now - sent
                )
                self._end(call, "failed")
                self._take_waiting()

        self._events.after(call.deadline - sent, expire)
        self._events.after(NETWORK_SECONDS, lambda: server.submit(work))

    def _answered(
        self, call: SimulatedCall, upstream: Upstream, sent: float, result: str
    ) -> None:
        if call.is_done:
            return
        seconds = self._events.now - sent
        if result == "ok":
            self._balancer.record_success(self._group, upstream, seconds)
            self._end(call, "ok")
        elif result == "failed":
            self._balancer.record_failure(self._group, upstream, seconds)
            self._repeat(call, result, call.kind[3])
        else:
            self._balancer.record_rejection(upstream)
            self._repeat(call, result, True)
        self._take_waiting()

    def _repeat(self, call: SimulatedCall, result: str, is_allowed: bool) -> None:
        has_more = len(call.tried) < MAX_ATTEMPTS and is_allowed
        if has_more and self._choose(call.tried) and self._budget.try_acquire():
            self._attempt(call)
        else:
            self._end(call, result)

    def _take_waiting(self) -> None:
        while self._waiting and self._choose(()) is not None:
            self._attempt(self._waiting.popleft())

    def _end(self, call: SimulatedCall, result: str, is_admitted: bool = True) -> None:
        call.is_done = True
        if is_admitted and result == "ok":
            self._admission.record_success()
        elif is_admitted and result == "refused":
            self._admission.record_rejection()
        if call.start < WARM_UP_SECONDS:
            return
        tally = self._tally
        key = (call.kind[0], call.customer)
        tally.offered[key] += 1
        if result == "ok":
            tally.served[key] += 1
            tally.latencies.append(self._events.now - call.start)
        elif result == "refused":
            tally.refused += 1
        else:
            tally.failed += 1

    def _choose(self, tried) -> Upstream | None:
        if self._policy.choose == "own":
            return self._balancer.choose(self._group, tried)
        usable = [u for u in self._group.tiers[0] if u not in tried]
        usable = [u for u in usable if u.has_capacity()]
        if not usable:
            return None
        return CHOOSERS[self._policy.choose](self, usable)

    def _round_robin(self, usable: list[Upstream]) -> Upstream:
        self._turn += 1
        return usable[self._turn % len(usable)]

    def _random(self, usable: list[Upstream]) -> Upstream:
        return self._rng.choice(usable)

    def _least_in_flight(self, usable: list[Upstream]) -> Upstream:
        return min(usable, key=lambda u: (u.in_flight, self._rng.random()))

    def _reported(self, usable: list[Upstream]) -> Upstream:
        servers = self._servers_by_address
        return min(usable, key=lambda u: servers[u.address].reported_load)

    def _best_of_all(self, usable: list[Upstream]) -> Upstream:
        now = self._events.now
        fit = [u for u in usable if u.is_eligible(now)] or usable
        return min(fit, key=lambda u: (u.score(now), self._rng.random()))


CHOOSERS: dict[str, Callable] = {
    "round robin": SimulatedVm._round_robin,
    "random": SimulatedVm._random,
    "least in flight": SimulatedVm._least_in_flight,
    "reported load": SimulatedVm._reported,
    "best of all": SimulatedVm._best_of_all,
}


def _bare(choose: str) -> Policy:
    return Policy(choose, has_admission=False, has_limit=False)


POLICIES = {
    "lacewingstair": Policy(),
    "queue of 4": Policy(queue_size=4),
    "queue of 20": Policy(queue_size=20),
    "no ejection": Policy(
        changes={"EJECT_CONSECUTIVE_FAILURES": 10**9, "EJECT_FAILURE_RATE": 2.0}
    ),
    "3 failures only": Policy(changes={"EJECT_FAILURE_RATE": 2.0}),
    "failure rate only": Policy(changes={"EJECT_CONSECUTIVE_FAILURES": 10**9}),
    "5 failures or rate": Policy(changes={"EJECT_CONSECUTIVE_FAILURES": 5}),
    "eject for 2 s": Policy(changes={"EJECT_BASE_SECONDS": 2.0}),
    "eject for 30 s": Policy(changes={"EJECT_BASE_SECONDS": 30.0}),
    "no floor": Policy(changes={"EJECT_MAX_SHARE": 1.0}),
    "no limit": Policy(has_limit=False),
    "no admission": Policy(has_admission=False),
    "no limit, no admission": Policy(has_limit=False, has_admission=False),
    "best of all": Policy("best of all"),
    "round robin": _bare("round robin"),
    "random": _bare("random"),
    "least in flight": _bare("least in flight"),
    "reported load": _bare("reported load"),
}


def simulate(
    policy: Policy,
    load: float,
    seconds: float,
    seed: int,
    is_faulty: bool,
    vms_count: int = VMS,
) -> Tally:
    """Run one policy under an open-loop load and return what became of the calls."""
    rng = random.Random(seed)
    queue = EventQueue()
    servers = [
        SimulatedServer(queue, rng, SLOTS, MEAN_SECONDS, SERVER_QUEUE)
        for _ in range(SERVERS)
    ]
    for server in servers:
        server.report_every(REPORT_SECONDS)
    if is_faulty:
        _schedule_faults(queue, servers)
    tally = Tally()
    vms = [SimulatedVm(queue, servers, policy, rng, tally) for _ in range(vms_count)]
    rate = load * SERVERS * SLOTS / MEAN_SECONDS
    shares = [kind[2] for kind in KINDS]
    customers, customer_shares = zip(*CUSTOMERS, strict=True)

    def arrive() -> None:
        queue.after(rng.expovariate(rate), arrive)
        kind = rng.choices(KINDS, shares)[0]
        customer = rng.choices(customers, customer_shares)[0]
        now = queue.now
        call = SimulatedCall(kind, customer, now, now + DEADLINE_SECONDS)
        rng.choice(vms).arrive(call)

    arrive()
    queue.run_until(seconds)
    return tally


def _schedule_faults(queue: EventQueue, servers: list[SimulatedServer]) -> None:
    """Make one server slow, one fail often and one start cold."""
    slow, failing, cold = servers[:3]
    queue.after(4.0, lambda: setattr(slow, "slow_factor", 5.0))
    queue.after(6.0, lambda: setattr(failing, "failure_share", 0.7))
    queue.after(8.0, lambda: setattr(cold, "slow_factor", 3.0))
    queue.after(12.0, lambda: setattr(cold, "slow_factor", 1.0))


@benchmarks.register("calls-policy")
def calls_policy(
    seconds: float = 14.0,
    seeds: int = 1,
    loads: tuple[float, ...] = (0.5, 1.0, 2.0),
    only: tuple[str, ...] = (),
    faulty: tuple[bool, ...] = (False, True),
    vms: int = VMS,
    name: str = "calls-policy",
) -> None:
    """Compare policies at several loads, with and without faulty servers."""
    events.configure("warning")
    rows = []
    for is_faulty in faulty:
        for load in loads:
            for label, policy in POLICIES.items():
                if only and label not in only:
                    continue
                saved = {key: getattr(balancing, key) for key in policy.changes}
                for key, value in policy.changes.items():
                    setattr(balancing, key, value)
                tallies = [
                    simulate(policy, load, seconds, seed, is_faulty, vms)
                    for seed in range(seeds)
                ]
                for key, value in saved.items():
                    setattr(balancing, key, value)
                rows.append(_row(label, load, is_faulty, tallies))
    save_rows(name, rows)
    print_table(rows)


def _row(name: str, load: float, is_faulty: bool, tallies: list[Tally]) -> dict:
    offered = sum((t.offered for t in tallies), Counter())
    served = sum((t.served for t in tallies), Counter())
    latencies = [value for t in tallies for value in t.latencies]
    cuts = statistics.quantiles(latencies, n=100)
    worth = {kind[0]: kind[1] for kind in KINDS}
    total = sum(offered.values())

    def share(match: Callable[[tuple[str, str]], bool]) -> float:
        wanted = sum(n for key, n in offered.items() if match(key))
        return sum(n for key, n in served.items() if match(key)) / wanted

    worth_offered = sum(worth[key[0]] * n for key, n in offered.items())
    worth_served = sum(worth[key[0]] * n for key, n in served.items())
    return {
        "policy": name,
        "faulty": is_faulty,
        "load": load,
        "worth served": worth_served / worth_offered,
        **{kind[0]: share(lambda key, k=kind[0]: key[0] == k) for kind in KINDS},
        "large customer": share(lambda key: key[1] == "large"),
        "small customers": share(lambda key: key[1] != "large"),
        "p50 ms": 1000 * cuts[49],
        "p99 ms": 1000 * cuts[98],
        "refused": sum(t.refused for t in tallies) / total,
        "failed": sum(t.failed for t in tallies) / total,
    }
