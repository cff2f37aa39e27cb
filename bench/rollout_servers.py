"""Simulated backend servers of a good old version and a new one that may be bad."""

import math
import random
from collections.abc import Callable, Mapping

import attrs

from lacewingstair.routing.outcomes import CallResult

TIMEOUT_SECONDS = 2.0
BASE_LATENCY_SECONDS = 0.02
LATENCY_SIGMA = 0.5
BASE_FAILURE_RATIO = 0.002
COLD_START_SECONDS = 8.0


@attrs.frozen
class Attempt:
    """One simulated attempt at a backend server."""

    result: CallResult
    latency_seconds: float
    is_faulty: bool


@attrs.frozen
class Behaviour:
    """Faults of a version.

    Parameters
    ----------
    is_bad : bool
        Whether the version ought to be taken back.
    failure_ratio, slowness : float
        Ratio of failing calls and factor on latency while the fault shows.
    fault_from : float
        Part of the window after which it shows.
    fault_load : float
        Share of its slots in use from which it shows.
    fault_routes : tuple of str
        Routes on which it shows; empty for all.
    refused_ratio : float
        Ratio of calls refused as not run while the fault shows.
    has_overload : bool
        Whether both versions are slow and failing for a fifth of the window.
    has_surge : bool
        Whether traffic trebles for a tenth of the window.
    """

    is_bad: bool = False
    failure_ratio: float = 0.0
    slowness: float = 1.0
    fault_from: float = 0.0
    fault_load: float = 0.0
    fault_routes: tuple[str, ...] = ()
    refused_ratio: float = 0.0
    has_overload: bool = False
    has_surge: bool = False


BEHAVIOURS: Mapping[str, Behaviour] = {
    "good": Behaviour(),
    "good, overload of both": Behaviour(has_overload=True),
    "good, surge of calls": Behaviour(has_surge=True),
    "good, 0.5% more failures": Behaviour(failure_ratio=0.005),
    "good, 10% slower": Behaviour(slowness=1.1),
    "fails all": Behaviour(True, failure_ratio=1.0),
    "fails 20%": Behaviour(True, failure_ratio=0.2),
    "fails 5%": Behaviour(True, failure_ratio=0.05),
    "twice as slow": Behaviour(True, slowness=2.0),
    "refuses half": Behaviour(True, refused_ratio=0.5),
    "fails 50% from 70% on": Behaviour(True, failure_ratio=0.5, fault_from=0.7),
    "fails 50% after the end": Behaviour(True, failure_ratio=0.5, fault_from=1.02),
    "fails 30% under load": Behaviour(True, failure_ratio=0.3, fault_load=0.015),
    "slow under load": Behaviour(True, slowness=4.0, fault_load=0.015),
    "fails 50% on one route": Behaviour(
        True, failure_ratio=0.5, fault_routes=("confirm",)
    ),
}


class Servers:
    """Backend servers of one service, both versions.

    Parameters
    ----------
    behaviour : Behaviour
        Of the new version.
    start, end : float
        Window of the rollout in virtual seconds.
    slots : int
        Slots of all endpoints of one version.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        behaviour: Behaviour,
        start: float,
        end: float,
        slots: int,
        rng: random.Random,
    ) -> None:
        self._behaviour = behaviour
        self._start = start
        self._window = end - start
        self._slots = slots
        self._rng = rng
        self._in_flight_by_version = {"v1": 0, "v2": 0}
        self.first_fault: float | None = None

    def rate_factor(self, now: float) -> float:
        """Return the factor on the rate of calls at a time."""
        part = (now - self._start) / self._window
        return 3.0 if self._behaviour.has_surge and 0.55 <= part < 0.65 else 1.0

    def attempt(
        self,
        version: str,
        route: str,
        now: float,
        age: float,
        finish: Callable[[float, Callable[[], None]], None],
    ) -> Attempt:
        """Start a call; `finish` is given its duration and what ends it."""
        load = self._in_flight_by_version[version] / self._slots
        if load >= 1.0:
            return Attempt(CallResult.NOT_RUN, 0.002, False)
        attempt = self._run(version, route, now, age, load)
        if attempt.is_faulty and self.first_fault is None:
            self.first_fault = now
        self._in_flight_by_version[version] += 1
        finish(attempt.latency_seconds, lambda: self._end(version))
        return attempt

    def _end(self, version: str) -> None:
        self._in_flight_by_version[version] -= 1

    def _run(
        self, version: str, route: str, now: float, age: float, load: float
    ) -> Attempt:
        rng = self._rng
        failure_ratio = BASE_FAILURE_RATIO
        latency = BASE_LATENCY_SECONDS * math.exp(rng.gauss(0.0, LATENCY_SIGMA))
        latency *= 1.0 + 2.0 * load * load
        if self._is_overloaded(now):
            failure_ratio += 0.25
            latency *= 6.0
        if version == "v2" and age < COLD_START_SECONDS:
            latency *= 8.0
        is_faulty = version == "v2" and self._shows(route, now, load)
        if is_faulty:
            if rng.random() < self._behaviour.refused_ratio:
                return Attempt(CallResult.NOT_RUN, 0.002, True)
            latency *= self._behaviour.slowness
            failure_ratio += self._behaviour.failure_ratio
        if latency > TIMEOUT_SECONDS:
            return Attempt(CallResult.FAILED, TIMEOUT_SECONDS, is_faulty)
        is_failed = rng.random() < failure_ratio
        result = CallResult.FAILED if is_failed else CallResult.OK
        return Attempt(result, latency, is_faulty)

    def _is_overloaded(self, now: float) -> bool:
        part = (now - self._start) / self._window
        return self._behaviour.has_overload and 0.45 <= part < 0.65

    def _shows(self, route: str, now: float, load: float) -> bool:
        behaviour = self._behaviour
        if not behaviour.is_bad and behaviour.slowness == 1.0:
            return behaviour.failure_ratio > 0
        part = (now - self._start) / self._window
        return (
            part >= behaviour.fault_from
            and load >= behaviour.fault_load
            and (not behaviour.fault_routes or route in behaviour.fault_routes)
        )
