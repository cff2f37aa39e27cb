"""Decisions for upstreams that state no speed, compared with an earlier version.

The digests were computed with commit 3dca2e4, before speeds were taken into account.
"""

import hashlib
import json
import random

from lacewingstair.caller.selection.placement import (
    Candidate,
    Distance,
    choose_candidate,
)
from lacewingstair.vm.call_messages import (
    CallRefused,
    LoadReport,
    RefusalReason,
    encode,
)
from tests.backend_server.test_admission import poisson, simulate

ADMISSIONS = "98405a5dfdb6c411"
PLACEMENTS = "1e80d78d63bdda12"
REPORT_BYTES = (
    "96040101cb4000000000000000c29a010206cb405900"
    "0000000000cb4008000000000000c3a2763104c305"
)


def digest(decisions):
    return hashlib.sha256(json.dumps(decisions).encode()).hexdigest()[:16]


def admissions():
    decisions = []
    for seed in range(4):
        rng = random.Random(seed)
        calls = poisson(rng, 90, 10, priority=1) + poisson(rng, 80, 10, priority=2)
        calls += poisson(rng, 20, 10, target_seconds=-0.1, end_seconds=0.48)
        for call in calls:
            call.seconds *= rng.lognormvariate(0, 0.8)
        calls.sort(key=lambda call: call.at)
        admission = simulate(calls, slots=10)
        decisions += [
            (call.started_at, call.refused_at, call.expired_at) for call in calls
        ]
        decisions.append((admission.mean_service_ms(20.0), admission.waiting))
    return decisions


def placements():
    rng = random.Random(7)
    decisions = []
    for _ in range(3000):
        candidates = [
            Candidate(
                str(number),
                Distance(rng.randrange(4)),
                LoadReport(
                    rng.randrange(7),
                    rng.choice((0, 0, 3, 40)),
                    6,
                    rng.uniform(0, 400),
                    rng.uniform(0, 900),
                    True,
                ),
                rng.choice((0, 0, 1, 9)),
                rng.choice((0.0, rng.uniform(0, 6))),
            )
            for number in range(rng.randrange(9))
        ]
        candidates.sort(key=lambda found: found.distance)
        target_ms = rng.uniform(-100, 900)
        chosen = choose_candidate(candidates, target_ms, 1200.0, 4.0, rng)
        decisions.append(chosen and chosen.vm_id)
    return decisions


def report_bytes():
    load = LoadReport(1, 2, 6, 100.0, 3.0, True, "v1", 4, True, 5)
    return encode(CallRefused(1, RefusalReason.FULL, 2.0, False, load)).hex()


def test_admission_decides_as_before():
    """Guards against a change for deployments whose upstreams state no speed."""
    assert digest(admissions()) == ADMISSIONS


def test_placement_decides_as_before():
    """Guards against a change for deployments whose upstreams state no speed."""
    assert digest(placements()) == PLACEMENTS


def test_load_reports_without_speed_are_sent_as_before():
    """Guards against reports that a process of an earlier version cannot read."""
    assert report_bytes() == REPORT_BYTES
