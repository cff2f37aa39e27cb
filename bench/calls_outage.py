"""Recovery after all upstreams of a service have refused connections for a time."""

import random

from bench.registry import benchmarks
from bench.results import print_table, save_rows
from lacewingstair import events
from lacewingstair.caller.calls.dispatch import MAX_ATTEMPTS
from lacewingstair.routing.balancing import Balancer, Upstream, UpstreamGroup
from lacewingstair.routing.limits import ConcurrencyLimit
from lacewingstair.standins.load import EventQueue
from lacewingstair.vm.directory import Endpoint

UPSTREAMS = 6
CALLS_PER_SECOND = 20
OUTAGE_START_SECONDS = 5.0
RECOVERY_SECONDS = 30.0


class _NoLastResort(Balancer):
    """Refuses calls while all upstreams are ejected."""

    def _least_recently_ejected(self, group, tried):
        return None


def _run(balancer_type: type[Balancer], outage_seconds: float) -> tuple[int, int]:
    """Return calls lost and connections refused after the end of the outage."""
    clock = EventQueue()
    balancer = balancer_type(clock, random.Random(1))
    group = UpstreamGroup()
    for i in range(UPSTREAMS):
        endpoint = Endpoint("s", "v", f"10.0.0.{i}:80")
        limit = ConcurrencyLimit(endpoint.slots)
        group.tiers[0].append(Upstream(endpoint, 0, -100.0, -100.0, limit))
    outage_end = OUTAGE_START_SECONDS + outage_seconds
    lost = refused = 0
    while clock.now < outage_end + RECOVERY_SECONDS:
        clock.run_until(clock.now + 1 / CALLS_PER_SECOND)
        is_down = OUTAGE_START_SECONDS <= clock.now < outage_end
        tried: list[Upstream] = []
        is_answered = False
        while len(tried) < MAX_ATTEMPTS and not is_answered:
            upstream = balancer.choose(group, tried)
            if upstream is None:
                break
            tried.append(upstream)
            balancer.record_start(upstream)
            if is_down:
                balancer.record_unreachable(group, upstream)
                refused += 1
            else:
                balancer.record_success(group, upstream, 0.01)
                is_answered = True
        lost += not is_answered and clock.now >= outage_end
    return lost, refused


@benchmarks.register("calls-outage")
def calls_outage() -> None:
    """Compare what is done while all upstreams are ejected."""
    events.configure("error")
    rows = []
    for outage_seconds in (2.0, 30.0):
        for label, kind in (
            ("the one ejected longest ago", Balancer),
            ("none until a probe is due", _NoLastResort),
        ):
            lost, refused = _run(kind, outage_seconds)
            row = {"all ejected": label, "outage s": outage_seconds}
            rows.append({**row, "lost afterwards": lost, "refused connects": refused})
    save_rows("calls-outage", rows)
    print_table(rows)
