"""Load balancing and outlier ejection from the observations of this VM alone.

Load reports of backend servers are not used, as they lag and mislead. The choice
depends only on the calls in flight from this VM, their latencies and their failures.
"""

import random
from collections.abc import Callable, Collection

import attrs

from lacewingstair import events
from lacewingstair.routing.limits import ConcurrencyLimit
from lacewingstair.runtime import Clock
from lacewingstair.vm.directory import Directory, Endpoint, EndpointState, VmRecord

# Weights of the newest call in the exponentially weighted moving averages (EWMA).
LATENCY_WEIGHT = 0.1
FAILURE_WEIGHT = 0.05
INITIAL_LATENCY_SECONDS = 0.005
SLOW_START_SECONDS = 10.0
SLOW_START_MIN_SHARE = 0.1
EJECT_CONSECUTIVE_FAILURES = 3
EJECT_FAILURE_RATE = 0.5
EJECT_MIN_CALLS = 20
EJECT_BASE_SECONDS = 10.0
EJECT_CAP_SECONDS = 60.0
# Largest share of the endpoints of a service's version that is ejected for failures, so
# that a fault common to all of them does not leave the service without endpoints.
EJECT_MAX_SHARE = 0.5

TIER_ZONE = 0
TIER_REGION = 1
TIER_OTHER_REGION = 2
TIER_COUNT = 3


@attrs.define(eq=False)
class Upstream:
    """An endpoint and the observations of this VM about it.

    Parameters
    ----------
    endpoint : Endpoint
        Announced backend server.
    tier : int
        0 in the zone of this VM, 1 in its region, 2 in another region.
    ready_since : float
        When this VM first saw the endpoint ready, in monotonic seconds.
    slow_start_began_at : float
        When the slow start began, in monotonic seconds: at `ready_since`, or at the end
        of the last ejection.
    limit : ConcurrencyLimit
        Limit of the calls in flight from this VM to the endpoint.
    """

    endpoint: Endpoint
    tier: int
    ready_since: float
    slow_start_began_at: float
    limit: ConcurrencyLimit
    in_flight: int = 0
    calls: int = 0
    latency_seconds: float = INITIAL_LATENCY_SECONDS
    failure_rate: float = 0.0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_at: float = 0.0
    ejected_until: float = 0.0
    is_ejected: bool = False
    is_probing: bool = False
    is_removed: bool = False

    @property
    def address(self) -> str:
        """``ip:port`` of the backend server."""
        return self.endpoint.address

    def has_capacity(self) -> bool:
        """Return whether another call is within the limit."""
        return self.in_flight < self.limit.value

    def is_eligible(self, now: float) -> bool:
        """Return whether it is not ejected, or due for a probe call."""
        if not self.is_ejected:
            return True
        return now >= self.ejected_until and not self.is_probing

    def score(
        self, now: float, slow_start_seconds: float = SLOW_START_SECONDS
    ) -> float:
        """Return the expected response time in seconds; lower is better.

        During slow start the score is higher than that, so that a new upstream gets a
        growing share of the calls.
        """
        age = now - self.slow_start_began_at
        cost = (self.in_flight + 1) * self.latency_seconds
        if age >= slow_start_seconds:
            return cost
        return cost / max(SLOW_START_MIN_SHARE, age / slow_start_seconds)


class UpstreamGroup:
    """The ready upstreams of one version of a service, by tier.

    Attributes
    ----------
    tiers : list of list of Upstream
        Upstreams by tier, nearest first.
    ejected_count : int
        Number of ejected upstreams.
    """

    def __init__(self) -> None:
        self.tiers: list[list[Upstream]] = [[] for _ in range(TIER_COUNT)]
        self.ejected_count = 0

    def __len__(self) -> int:
        return sum(map(len, self.tiers))

    def upstreams(self) -> list[Upstream]:
        """Return the upstreams of all tiers."""
        return [upstream for tier in self.tiers for upstream in tier]


_EMPTY_GROUP = UpstreamGroup()


class EndpointIndex:
    """Index of upstreams by service and version that follows the directory.

    Parameters
    ----------
    directory : Directory
        Records of all VMs.
    region, availability_zone : str
        Location of this VM.
    clock : Clock
        Source of monotonic time.
    """

    def __init__(
        self, directory: Directory, region: str, availability_zone: str, clock: Clock
    ) -> None:
        self._region = region
        self._availability_zone = availability_zone
        self._clock = clock
        self._upstreams_by_vm_id: dict[str, dict[Endpoint, Upstream]] = {}
        self._groups_by_key: dict[tuple[str, str], UpstreamGroup] = {}
        self.on_removed: Callable[[str], None] = lambda address: None
        for record in directory:
            self._update(record.vm_id, record)
        directory.subscribe(self._on_record)

    def group(self, service: str, version: str) -> UpstreamGroup:
        """Return the ready upstreams of a version."""
        return self._groups_by_key.get((service, version), _EMPTY_GROUP)

    def upstreams(self) -> list[Upstream]:
        """Return all ready upstreams."""
        return [u for group in self._groups_by_key.values() for u in group.upstreams()]

    def slots(self, service: str, version: str) -> int:
        """Return the total announced slots of the ready upstreams of a version."""
        group = self.group(service, version)
        return sum(upstream.endpoint.slots for upstream in group.upstreams())

    def _on_record(self, before: VmRecord | None, after: VmRecord | None) -> None:
        record = after or before
        if record is not None:
            self._update(record.vm_id, after)

    def _update(self, vm_id: str, record: VmRecord | None) -> None:
        before = self._upstreams_by_vm_id.pop(vm_id, {})
        by_address = {u.endpoint.address: u for u in before.values()}
        after: dict[Endpoint, Upstream] = {}
        if record is not None and record.is_live:
            for endpoint in record.endpoints:
                if endpoint.state is EndpointState.READY:
                    after[endpoint] = self._keep_or_add(endpoint, record, by_address)
        if after:
            self._upstreams_by_vm_id[vm_id] = after
        for upstream in by_address.values():
            if upstream not in after.values():
                self._remove(upstream)

    def _keep_or_add(
        self, endpoint: Endpoint, record: VmRecord, by_address: dict[str, Upstream]
    ) -> Upstream:
        existing = by_address.get(endpoint.address)
        is_same_version = existing is not None and (
            existing.endpoint.service,
            existing.endpoint.version,
        ) == (endpoint.service, endpoint.version)
        if is_same_version:
            existing.endpoint = endpoint
            existing.limit.set_slots(endpoint.slots)
            return existing
        now = self._clock.monotonic()
        limit = ConcurrencyLimit(endpoint.slots)
        upstream = Upstream(endpoint, self._tier(record), now, now, limit)
        key = (endpoint.service, endpoint.version)
        group = self._groups_by_key.setdefault(key, UpstreamGroup())
        group.tiers[upstream.tier].append(upstream)
        return upstream

    def _remove(self, upstream: Upstream) -> None:
        key = (upstream.endpoint.service, upstream.endpoint.version)
        group = self._groups_by_key[key]
        group.tiers[upstream.tier].remove(upstream)
        group.ejected_count -= upstream.is_ejected
        upstream.is_removed = True
        if not len(group):
            del self._groups_by_key[key]
        self.on_removed(upstream.address)

    def _tier(self, record: VmRecord) -> int:
        if record.availability_zone == self._availability_zone:
            return TIER_ZONE
        return TIER_REGION if record.region == self._region else TIER_OTHER_REGION


class Balancer:
    """Chooses upstreams by power of two choices, and ejects those that fail.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Source of randomness.
    slow_start_seconds : float
        Time in which the share of a new upstream grows to its full size.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        slow_start_seconds: float = SLOW_START_SECONDS,
    ) -> None:
        self._slow_start_seconds = slow_start_seconds
        self._clock = clock
        self._rng = rng

    def choose(
        self, group: UpstreamGroup, tried: Collection[Upstream] = ()
    ) -> Upstream | None:
        """Return an upstream with capacity that is not in `tried`, or None.

        A farther tier is used only if no upstream of the nearer tiers is eligible and
        within its limit.
        """
        now = self._clock.monotonic()
        for tier in group.tiers:
            candidates = [
                u
                for u in tier
                if u.has_capacity() and u.is_eligible(now) and u not in tried
            ]
            if candidates:
                return self._better_of_two(candidates, now)
        return self._least_recently_ejected(group, tried)

    def record_start(self, upstream: Upstream) -> None:
        """Record the start of a call; to an ejected upstream it is a probe."""
        upstream.in_flight += 1
        if upstream.is_ejected:
            upstream.is_probing = True

    def record_success(
        self, group: UpstreamGroup, upstream: Upstream, seconds: float
    ) -> None:
        """Record a response whose head arrived after `seconds`."""
        was_probing = upstream.is_probing
        self._finish(upstream)
        upstream.calls += 1
        upstream.latency_seconds += LATENCY_WEIGHT * (
            seconds - upstream.latency_seconds
        )
        upstream.failure_rate *= 1 - FAILURE_WEIGHT
        upstream.consecutive_failures = 0
        upstream.limit.record_success(upstream.in_flight + 1)
        # A response to a call that started before the ejection is no evidence of
        # recovery.
        if upstream.is_ejected and was_probing and not upstream.is_removed:
            self._restore(group, upstream)

    def record_failure(
        self, group: UpstreamGroup, upstream: Upstream, seconds: float
    ) -> None:
        """Record a failed call: a 5xx response, a broken connection or a timeout.

        A failure also counts as a slow response, so that an upstream that fails fast
        does not attract calls by its low latency.
        """
        self._finish(upstream)
        upstream.calls += 1
        upstream.failure_rate += FAILURE_WEIGHT * (1 - upstream.failure_rate)
        upstream.consecutive_failures += 1
        penalty_seconds = max(seconds, 2 * upstream.latency_seconds)
        upstream.latency_seconds += LATENCY_WEIGHT * (
            penalty_seconds - upstream.latency_seconds
        )
        upstream.latency_seconds = min(upstream.latency_seconds, 10.0)
        if upstream.is_ejected or self._is_failing(upstream):
            self._eject(group, upstream, ignores_max_share=False)

    def record_unreachable(self, group: UpstreamGroup, upstream: Upstream) -> None:
        """Record a refused connection, which ejects regardless of `EJECT_MAX_SHARE`."""
        self._finish(upstream)
        self._eject(group, upstream, ignores_max_share=True)

    def record_rejection(self, upstream: Upstream) -> None:
        """Record a rejection marked as not run: the upstream is at its capacity."""
        self._finish(upstream)
        upstream.limit.record_rejection()

    def record_cancellation(self, upstream: Upstream) -> None:
        """Record a cancelled call, which says nothing about the upstream."""
        self._finish(upstream)

    def _finish(self, upstream: Upstream) -> None:
        upstream.in_flight -= 1
        upstream.is_probing = False

    def _better_of_two(self, candidates: list[Upstream], now: float) -> Upstream:
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._rng.sample(candidates, 2)
        seconds = self._slow_start_seconds
        is_first_better = first.score(now, seconds) <= second.score(now, seconds)
        return first if is_first_better else second

    def _least_recently_ejected(
        self, group: UpstreamGroup, tried: Collection[Upstream]
    ) -> Upstream | None:
        """Return the upstream ejected longest ago if all are ejected, else None."""
        if not group.ejected_count or group.ejected_count < len(group):
            return None
        candidates = [
            u for u in group.upstreams() if u.has_capacity() and u not in tried
        ]
        return min(candidates, key=lambda u: u.ejected_at, default=None)

    def _is_failing(self, upstream: Upstream) -> bool:
        if upstream.consecutive_failures >= EJECT_CONSECUTIVE_FAILURES:
            return True
        exceeds_failure_rate = upstream.failure_rate >= EJECT_FAILURE_RATE
        return upstream.calls >= EJECT_MIN_CALLS and exceeds_failure_rate

    def _eject(
        self, group: UpstreamGroup, upstream: Upstream, *, ignores_max_share: bool
    ) -> None:
        if upstream.is_removed:
            # Calls that outlast the removal must not change the counts of the group.
            return
        now = self._clock.monotonic()
        if not upstream.is_ejected:
            exceeds_max_share = group.ejected_count + 1 > EJECT_MAX_SHARE * len(group)
            if exceeds_max_share and not ignores_max_share:
                return
            upstream.is_ejected = True
            group.ejected_count += 1
            upstream.ejected_at = now
        elif now < upstream.ejected_until:
            return
        seconds = EJECT_BASE_SECONDS * 2 ** min(upstream.ejections, 10)
        upstream.ejections += 1
        upstream.ejected_at = now
        upstream.ejected_until = now + min(seconds, EJECT_CAP_SECONDS)
        events.info(
            "upstream_ejected",
            service=upstream.endpoint.service,
            version=upstream.endpoint.version,
            address=upstream.address,
            failures=upstream.consecutive_failures,
            failure_rate=upstream.failure_rate,
            seconds=upstream.ejected_until - now,
        )

    def _restore(self, group: UpstreamGroup, upstream: Upstream) -> None:
        upstream.is_ejected = False
        group.ejected_count -= 1
        upstream.failure_rate = 0.0
        upstream.slow_start_began_at = self._clock.monotonic()
        events.info("upstream_restored", address=upstream.address)
