"""Model of quotas over many VMs in virtual time, with the modules that decide.

Calls arrive at random at VMs that exchange reports and shares with delays. The model
counts what is admitted in each sliding window, and what is refused although a bucket
that sees all calls holds a token.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from lacewingstair.accounts.directory import ClientAccount
from lacewingstair.accounts.quota_exchange import TICK_SECONDS, QuotaExchange
from lacewingstair.accounts.quota_messages import QuotaReport
from lacewingstair.accounts.quota_terms import QuotaBounds, Reach
from lacewingstair.vm import call_messages

CALLS_PER_VM = 24.0
ZIPF_EXPONENT = 1.2
QUOTA_FACTOR = 1.6
# One-way delays within a zone, between zones and between regions, seconds.
ZONE_SECONDS, REGION_SECONDS, FAR_SECONDS = 0.0002, 0.0007, 0.02
ZONES, REGIONS = 6, 3
# Messages and ticks are late by up to this much, since processes are busy.
MAX_LATE_SECONDS = 0.03
# The kernel closes a connection whose peer is silent after this time.
SILENCE_SECONDS = 2.5
RECONNECT_SECONDS = 0.6


class ModelClock:
    """Clock of the model."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        """Return seconds since the start of the model."""
        return self.now


@attrs.define(eq=False)
class ModelVm:
    """One VM.

    Parameters
    ----------
    number : int
        Index of the VM; tells its zone and region.
    exchange : QuotaExchange
        The modules of its process.
    started_at : float
        When its process started.
    is_alive : bool
        Whether the process runs.
    """

    number: int
    exchange: QuotaExchange
    started_at: float
    is_alive: bool = True

    @property
    def name(self) -> str:
        """Id of the VM."""
        return f"vm{self.number}"


@attrs.define
class AccountRecord:
    """What happened to the calls of one account.

    Parameters
    ----------
    asked : int
        All calls.
    admitted_at : list of float
        When calls were admitted.
    within_by_second, admitted_by_second : Counter
        Calls that one bucket with the rate and burst of the account would have
        admitted, and those that were, by the second in which they arrived.
    """

    asked: int = 0
    admitted_at: list[float] = attrs.field(factory=list)
    within_by_second: Counter[int] = attrs.field(factory=Counter)
    admitted_by_second: Counter[int] = attrs.field(factory=Counter)
    tokens: float = 0.0
    refilled_at: float = 0.0

    def count(self, account: ClientAccount, now: float, is_admitted: bool) -> None:
        """Count a call, beside a bucket that sees the calls of all VMs."""
        self.asked += 1
        elapsed, self.refilled_at = now - self.refilled_at, now
        self.tokens += elapsed * account.rate_per_second
        self.tokens = min(self.tokens, account.burst)
        if self.tokens >= 1:
            self.within_by_second[int(now)] += 1
            self.tokens -= 1
        if is_admitted:
            self.admitted_at.append(now)
            self.admitted_by_second[int(now)] += 1

    def lost(self, since: float = 0.0) -> int:
        """Return the calls within the quota that were refused.

        Each second counts by itself: calls beyond the quota that were admitted earlier
        make up for none.
        """
        return sum(
            max(0, within - self.admitted_by_second[second])
            for second, within in self.within_by_second.items()
            if second >= since
        )

    def within(self, since: float = 0.0) -> int:
        """Return the calls within the quota."""
        seconds = self.within_by_second.items()
        return sum(within for second, within in seconds if second >= since)

    def most_in_window(self, seconds: float, since: float = 0.0) -> int:
        """Return the largest number of admitted calls in a window."""
        found, window = 0, deque()
        for at in self.admitted_at:
            if at < since:
                continue
            window.append(at)
            while window[0] <= at - seconds:
                window.popleft()
            found = max(found, len(window))
        return found


class QuotaModel:
    """VMs, their callers and the network between them.

    Parameters
    ----------
    vms : int
        Number of VMs.
    seed : int
        Seed of all randomness.
    accounts : int, optional
        Number of accounts, of Zipf-like sizes.
    hot : int, optional
        Index of the account that sends more than its mean.
    hot_factor : float, optional
        How much more it sends.
    hot_from, hot_until : float, optional
        When it does.
    hot_vms : int, optional
        Number of VMs at which the account's calls arrive; all by default.
    bounds : QuotaBounds, optional
        Bounds of the quota.
    """

    def __init__(
        self,
        vms: int,
        seed: int,
        accounts: int = 80,
        hot: int = 0,
        hot_factor: float = 5.0,
        hot_from: float = 8.0,
        hot_until: float = 16.0,
        hot_vms: int | None = None,
        bounds: QuotaBounds | None = None,
    ) -> None:
        self.bounds = bounds or QuotaBounds()
        self._rng = random.Random(seed)
        self.clock = ModelClock()
        weights = [rank**-ZIPF_EXPONENT for rank in range(1, accounts + 1)]
        scale = CALLS_PER_VM * vms / sum(weights)
        self.means = [weight * scale for weight in weights]
        self.accounts_by_name = {
            f"account{index}": ClientAccount(
                f"account{index}", (), None, mean * QUOTA_FACTOR, mean * QUOTA_FACTOR
            )
            for index, mean in enumerate(self.means)
        }
        self.hot_name = f"account{hot}"
        self._hot = hot, hot_factor, hot_from, hot_until, hot_vms or vms
        self.records = {name: AccountRecord() for name in self.accounts_by_name}
        for name, record in self.records.items():
            record.tokens = self.accounts_by_name[name].burst
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.cut: Callable[[int, int], bool] = lambda one, other: False
        self._cut_since: dict[tuple[int, int], float] = {}
        self.vms = [self._new_vm(number) for number in range(vms)]
        self.vms_by_name = {vm.name: vm for vm in self.vms}
        for vm in self.vms:
            self.at(self._rng.random() * TICK_SECONDS, lambda vm=vm: self._tick(vm))
        for index in range(accounts):
            self._schedule_call(index)

    def at(self, seconds: float, event: Callable[[], None]) -> None:
        """Let something happen at a time of the model."""
        heapq.heappush(self._events, (seconds, next(self._numbers), event))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until:
            self.clock.now, _, event = heapq.heappop(self._events)
            event()
        self.clock.now = until

    def kill(self, vm: ModelVm) -> None:
        """End the process of a VM, without a word to the others."""
        vm.is_alive = False

    def restart(self, number: int) -> None:
        """Start a new process on a VM, which remembers nothing."""
        self.kill(self.vms[number])
        vm = self.vms[number] = self._new_vm(number)
        self.vms_by_name[vm.name] = vm
        self.at(self.clock.now + TICK_SECONDS, lambda: self._tick(vm))

    def coordinator(self, account: str) -> ModelVm:
        """Return the VM that coordinates an account in the view of the first one."""
        first = next(vm for vm in self.vms if vm.is_alive)
        return self.vms_by_name[first.exchange._reporter.coordinator_of(account)]

    def part_of_bound(self, since: float = 0.0) -> float:
        """Return the largest part of the calls that a window may hold."""
        found = 0.0
        for name, record in self.records.items():
            account = self.accounts_by_name[name]
            quota = account.rate_per_second * self.bounds.window_seconds + account.burst
            bound = quota + self.bounds.extra_calls(account)
            most = record.most_in_window(self.bounds.window_seconds, since)
            found = max(found, most / bound)
        return found

    def part_lost(self, since: float = 0.0, *names: str) -> float:
        """Return the part of the calls within the quota that was refused.

        Parameters
        ----------
        since : float, optional
            Earlier calls do not count, seconds.
        *names : str
            Accounts that count; all by default.
        """
        records = [self.records[name] for name in names or self.records]
        within = sum(record.within(since) for record in records)
        return sum(record.lost(since) for record in records) / max(1, within)

    def _new_vm(self, number: int) -> ModelVm:
        name = f"vm{number}"
        exchange = QuotaExchange(
            name,
            1 + int(self.clock.now * 1000),
            self.bounds,
            lambda: self.accounts_by_name,
            lambda: self._reach(number),
            lambda to, message: self._send(number, to, message),
            self.clock,
            random.Random(self._rng.random()),
        )
        return ModelVm(number, exchange, self.clock.now)

    def _tick(self, vm: ModelVm) -> None:
        if not vm.is_alive:
            return
        vm.exchange.tick()
        late = MAX_LATE_SECONDS * self._rng.random()
        self.at(self.clock.now + TICK_SECONDS + late, lambda: self._tick(vm))

    def _reach(self, number: int) -> Reach:
        """Return the VMs whose connections have not been found dead."""
        now = self.clock.now
        connected = {f"vm{number}"}
        for vm in self.vms:
            is_gone = not vm.is_alive or self.cut(number, vm.number)
            key = (number, vm.number)
            if is_gone:
                since = self._cut_since.setdefault(key, now)
                is_connected = now - since < SILENCE_SECONDS
            else:
                self._cut_since.pop(key, None)
                is_connected = now - vm.started_at >= RECONNECT_SECONDS or not now
                own_age = now - self.vms[number].started_at
                is_connected &= own_age >= RECONNECT_SECONDS or now < 1
            if is_connected or now < 1:
                connected.add(vm.name)
        return Reach(frozenset(connected), len(self.vms))

    def _send(self, number: int, to: str, message: Any) -> None:
        kind = "report" if isinstance(message, QuotaReport) else "grant"
        self.messages[kind] += 1
        self.bytes[kind] += len(call_messages.encode(message))
        receiver = self.vms_by_name[to]
        self.received[to] += 1
        if not receiver.is_alive or self.cut(number, receiver.number):
            return
        delay = _delay(number, receiver.number) + MAX_LATE_SECONDS * self._rng.random()
        self.at(self.clock.now + delay, lambda: self._deliver(receiver, message))

    def _deliver(self, receiver: ModelVm, message: Any) -> None:
        if receiver.is_alive:
            receiver.exchange.take(message)

    def _schedule_call(self, index: int) -> None:
        now = self.clock.now
        hot, factor, since, until, _ = self._hot
        is_hot = index == hot and since <= now < until
        rate = self.means[index] * (factor if is_hot else 1.0)
        at = now + self._rng.expovariate(rate)
        if index == hot and now < since < at:
            at = since
        self.at(at, lambda: self._call(index))

    def _call(self, index: int) -> None:
        self._schedule_call(index)
        hot, _, _, _, hot_vms = self._hot
        vms = self.vms[:hot_vms] if index == hot else self.vms
        vm = vms[int(self._rng.random() * len(vms))]
        if not vm.is_alive:
            return
        name = f"account{index}"
        account = self.accounts_by_name[name]
        now = self.clock.now
        decision = vm.exchange.admission.admit(account, now)
        self.records[name].count(account, now, decision.is_admitted)


def _delay(one: int, other: int) -> float:
    if one % ZONES == other % ZONES:
        return ZONE_SECONDS
    return REGION_SECONDS if one % REGIONS == other % REGIONS else FAR_SECONDS


def figures(
    vms: int, seed: int, seconds: float = 24.0, **options: Any
) -> Iterator[tuple[str, float]]:
    """Yield the errors and the cost of a run without failures."""
    model = QuotaModel(vms, seed, **options)
    model.run(seconds)
    others = model.records.keys() - {model.hot_name}
    yield "part of the bound used", model.part_of_bound()
    yield "part lost of the hot account", model.part_lost(0.0, model.hot_name)
    yield "part lost of others in the first 5 s", model.part_lost(0.0, *others)
    yield "part lost of others later", model.part_lost(5.0, *others)
    per_vm = vms * seconds
    yield "messages sent per VM and second", sum(model.messages.values()) / per_vm
    yield "bytes sent per VM and second", sum(model.bytes.values()) / per_vm
    yield (
        "most messages received by a VM per second",
        (max(model.received.values(), default=0) / seconds),
    )
