import random
from collections import Counter

import attrs
import pytest

from lacewingstair.routing.balancing import (
    EJECT_BASE_SECONDS,
    Balancer,
    EndpointIndex,
)
from lacewingstair.standins.load import EventQueue
from lacewingstair.vm.directory import (
    Directory,
    Endpoint,
    EndpointState,
    VmRecord,
    VmStatus,
)


def make_endpoint(name=1, **changes):
    fields = {"service": "s", "version": "v", "address": f"10.0.0.1:{name}", "slots": 2}
    return Endpoint(**{**fields, **changes})


def make_vm_record(name, zone="z", region="r", sequence=0, **changes):
    endpoints = (make_endpoint(name, **changes),)
    return VmRecord(
        str(name), region, zone, "-", 1, sequence=sequence, endpoints=endpoints
    )


class BalancerHarness:
    def __init__(self, *records):
        self.clock = EventQueue()
        self.directory = Directory()
        for vm_record in records:
            self.directory.merge(vm_record)
        self.index = EndpointIndex(self.directory, "r", "z", self.clock)
        self.balancer = Balancer(self.clock, random.Random(1))

    @property
    def group(self):
        return self.index.group("s", "v")

    def choose(self, tried=()):
        chosen = self.balancer.choose(self.group, tried)
        if chosen is not None:
            self.balancer.record_start(chosen)
        return chosen

    def upstream(self, name):
        address = f"10.0.0.1:{name}"
        return next(u for u in self.index.upstreams() if u.address == address)

    def fail(self, upstream, times=1):
        for _ in range(times):
            self.balancer.record_start(upstream)
            self.balancer.record_failure(self.group, upstream, 0.01)


@pytest.mark.parametrize(
    "change",
    [
        {"status": VmStatus.LEAVING},
        {"status": VmStatus.DEAD},
        {"endpoints": ()},
        {
            "endpoints": (
                Endpoint("s", "v", "10.0.0.1:1", state=EndpointState.DRAINING),
            )
        },
        {
            "endpoints": (
                Endpoint("s", "v", "10.0.0.1:1", state=EndpointState.STARTING),
            )
        },
        {"endpoints": (make_endpoint(version="v2"),)},
    ],
)
def test_an_endpoint_that_leaves_gets_no_new_call(change):
    """Guards against calls to a draining, starting, dead or changed endpoint."""
    first = make_vm_record(1)
    harness = BalancerHarness(first, make_vm_record(2))
    removed = []
    harness.index.on_removed = removed.append
    assert len(harness.group) == 2
    harness.directory.merge(attrs.evolve(first, sequence=1, **change))
    assert {harness.choose().address for _ in range(4)} == {"10.0.0.1:2"}
    assert removed == ["10.0.0.1:1"]


def test_observations_of_an_endpoint_outlast_directory_changes():
    """Guards against a directory change that resets limits and ejections."""
    harness = BalancerHarness(make_vm_record(1), make_vm_record(2), make_vm_record(3))
    kept = harness.group.upstreams()[0]
    harness.fail(kept, 3)
    harness.directory.merge(make_vm_record(2, sequence=1, version="v2"))
    harness.directory.merge(make_vm_record(int(kept.address[-1]), sequence=1, slots=9))
    assert kept in harness.group.upstreams()
    assert kept.is_ejected
    assert kept.endpoint.slots == 9


def test_calls_go_to_a_farther_tier_only_when_the_nearer_one_is_full():
    """Guards against calls over slow, billed links while the zone has capacity."""
    harness = BalancerHarness(
        make_vm_record(1),
        make_vm_record(2, zone="y"),
        make_vm_record(3, zone="x", region="q"),
    )
    tiers = [harness.choose().tier for _ in range(12)]
    assert tiers == [0] * 4 + [1] * 4 + [2] * 4
    assert harness.choose() is None


def test_a_slower_upstream_gets_fewer_calls():
    """Guards against load balancing that ignores latency."""
    harness = BalancerHarness(make_vm_record(1), make_vm_record(2), make_vm_record(3))
    seen = Counter()
    for _ in range(300):
        chosen = harness.choose()
        seen[chosen.address] += 1
        slow = chosen.address == "10.0.0.1:1"
        harness.balancer.record_success(harness.group, chosen, 0.1 if slow else 0.01)
    assert seen["10.0.0.1:1"] < 30


def test_a_new_endpoint_gets_a_reduced_share_in_its_slow_start():
    """Guards against a full share of the calls for a cold endpoint."""
    harness = BalancerHarness(make_vm_record(1), make_vm_record(2))
    assert len(harness.group) == 2
    harness.clock.run_until(100)
    harness.directory.merge(make_vm_record(3))
    seen = Counter()
    for _ in range(100):
        chosen = harness.choose()
        seen[chosen.address] += 1
        harness.balancer.record_success(harness.group, chosen, 0.005)
    assert seen["10.0.0.1:3"] < 20


def test_failures_eject_until_a_single_probe_succeeds():
    """Guards against calls to a failing upstream, and against a permanent ejection."""
    harness = BalancerHarness(make_vm_record(1), make_vm_record(2), make_vm_record(3))
    bad = harness.group.upstreams()[0]
    harness.fail(bad, 2)
    assert not bad.is_ejected
    harness.fail(bad)
    assert bad.is_ejected
    harness.clock.run_until(EJECT_BASE_SECONDS + 1)
    assert bad.is_eligible(harness.clock.now)
    harness.balancer.record_start(bad)
    assert not bad.is_eligible(harness.clock.now)
    harness.balancer.record_failure(harness.group, bad, 0.01)
    assert bad.ejected_until == pytest.approx(
        harness.clock.now + 2 * EJECT_BASE_SECONDS
    )
    harness.clock.run_until(60)
    harness.balancer.record_start(bad)
    harness.balancer.record_success(harness.group, bad, 0.01)
    assert not bad.is_ejected


def test_a_high_failure_rate_without_consecutive_failures_ejects():
    """Guards against an upstream that fails two of three calls and is never ejected.

    Its failures never reach the number of consecutive failures that ejects.
    """
    harness = BalancerHarness(make_vm_record(1), make_vm_record(2), make_vm_record(3))
    bad = harness.group.upstreams()[0]
    for number in range(60):
        if bad.is_ejected:
            break
        harness.balancer.record_start(bad)
        if number % 3:
            harness.balancer.record_failure(harness.group, bad, 0.01)
        else:
            harness.balancer.record_success(harness.group, bad, 0.01)
    assert bad.is_ejected


def test_a_response_to_a_call_from_before_the_ejection_does_not_end_it():
    """Guards against a late response that ends an ejection without a probe."""
    harness = BalancerHarness(make_vm_record(1), make_vm_record(2), make_vm_record(3))
    bad = harness.group.upstreams()[0]
    harness.balancer.record_start(bad)
    harness.fail(bad, 3)
    harness.balancer.record_success(harness.group, bad, 0.01)
    assert bad.is_ejected


def test_failures_eject_at_most_half_of_the_upstreams():
    """Guards against a fault common to all upstreams that leaves none of them."""
    harness = BalancerHarness(*(make_vm_record(i) for i in range(6)))
    for upstream in harness.group.upstreams():
        harness.fail(upstream, 10)
    assert harness.group.ejected_count == 3
    assert harness.choose() is not None


def test_calls_that_end_after_their_endpoint_was_removed_change_no_count():
    """Guards against a permanently wrong count of ejected upstreams.

    The outcome of a call can arrive after the removal of its upstream, which already
    took the upstream out of the count.
    """
    harness = BalancerHarness(
        make_vm_record(1), make_vm_record(2), make_vm_record(3), make_vm_record(4)
    )
    failing, probed = harness.group.upstreams()[:2]
    harness.fail(probed, 3)
    harness.clock.run_until(EJECT_BASE_SECONDS + 1)
    harness.balancer.record_start(probed)
    harness.balancer.record_start(failing)
    for upstream in (failing, probed):
        name = upstream.address[-1]
        harness.directory.merge(
            attrs.evolve(make_vm_record(int(name), sequence=1), endpoints=())
        )
    harness.clock.run_until(2 * EJECT_BASE_SECONDS)
    group = harness.group
    harness.balancer.record_unreachable(group, failing)
    harness.balancer.record_success(group, probed, 0.01)
    assert len(group) == 2
    assert group.ejected_count == 0


def test_if_all_are_ejected_the_one_ejected_longest_ago_is_chosen():
    """Guards against a service without any upstream after a short outage.

    A refused connection ejects regardless of the largest ejected share, so that all
    upstreams can be ejected at a time.
    """
    harness = BalancerHarness(make_vm_record(1), make_vm_record(2))
    for seconds, upstream in enumerate(harness.group.upstreams()):
        harness.clock.run_until(seconds)
        harness.balancer.record_start(upstream)
        harness.balancer.record_unreachable(harness.group, upstream)
    assert harness.group.ejected_count == 2
    assert harness.choose() is harness.group.upstreams()[0]
