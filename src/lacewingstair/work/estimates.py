"""Cost of calls by what is known before they run; does no I/O.

The cost of a call is the time that a slot works on it at the usual speed of the
machine. It is estimated as the mean of its route times one factor for each input: the
method, the size of the request and the account. A factor is shrunk towards 1 by the
credibility of its observations (Buehlmann-Straub), so that an input which does not
explain the costs of a route has no effect, and neither has a value with few calls.
Factors are fitted one after the other on what the earlier ones leave unexplained, so
that related inputs are not counted twice.
"""

import math
from collections.abc import Callable, Hashable

import attrs

HALF_LIFE_SECONDS = 120.0
# Weight of the mean over all routes in the estimate of a route.
ROUTE_PRIOR_WEIGHT = 4.0
MAX_ROUTES = 256
MAX_VALUES_PER_INPUT = 128
# A single call counts as at most this many times its estimate for a factor.
MAX_RATIO = 10.0
MIN_FACTOR, MAX_FACTOR = 0.1, 10.0
# Calls of a route between two computations of the credibility of its inputs.
CREDIBILITY_INTERVAL = 32
MAX_COST_MS = 600_000.0
# Weights grow with time instead of all older ones being reduced at each call; they are
# scaled down once they have grown by this power of 2.
MAX_GROWTH_EXPONENT = 30.0
# Clients can make up method names.
_METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"))


@attrs.frozen
class CallClass:
    """What is known of a call before it runs.

    Parameters
    ----------
    route, method, account : str
        Route, method and client account; empty if unknown.
    body_bytes : int
        Size of the request's body.
    """

    route: str
    method: str = ""
    body_bytes: int = 0
    account: str = ""


InputValue = Callable[[CallClass], Hashable]
_INPUTS: list[InputValue] = []


def _register_input(value_of: InputValue) -> InputValue:
    _INPUTS.append(value_of)
    return value_of


@_register_input
def _method(call: CallClass) -> Hashable:
    return call.method if call.method in _METHODS else ""


@_register_input
def _size(call: CallClass) -> Hashable:
    # One value for each factor of 4, as the size rarely matters in finer steps.
    return (call.body_bytes.bit_length() + 1) // 2


@_register_input
def _account(call: CallClass) -> Hashable:
    return call.account


@attrs.define
class _Mean:
    """Weighted mean."""

    value: float = 0.0
    weight: float = 0.0

    def add(self, value: float, weight: float) -> None:
        self.weight += weight
        self.value += (value - self.value) * weight / self.weight


class _InputFactors:
    """Factors of the values of one input on one route."""

    def __init__(self) -> None:
        self.mean_by_value: dict[Hashable, _Mean] = {}
        self._mean = _Mean()
        self._variance = _Mean()
        # Weight at which an observed factor counts as much as the factor 1.
        self._half_credible_weight = math.inf

    def factor(self, value: Hashable, unit: float) -> float:
        """Return the factor of a value; `unit` is the weight of a call made now."""
        found = self.mean_by_value.get(value)
        if found is None or self._half_credible_weight == math.inf:
            return 1.0
        weight = found.weight / unit
        credibility = weight / (weight + self._half_credible_weight)
        factor = 1 + credibility * (found.value / self._mean.value - 1)
        return min(MAX_FACTOR, max(MIN_FACTOR, factor))

    def add(self, value: Hashable, ratio: float, unit: float) -> None:
        """Add the ratio of a cost to its estimate without this input."""
        self._mean.add(ratio, unit)
        found = self.mean_by_value.get(value)
        if found is None:
            if len(self.mean_by_value) >= MAX_VALUES_PER_INPUT:
                _remove_lightest(self.mean_by_value, lambda mean: mean.weight)
            self.mean_by_value[value] = _Mean(ratio, unit)
            return
        before = found.value
        found.add(ratio, unit)
        self._variance.add((ratio - before) * (ratio - found.value), unit)

    def update_credibility(self, unit: float) -> None:
        """Compare how much values differ with how much calls of one value do."""
        means = self.mean_by_value.values()
        total = sum(mean.weight for mean in means) / unit
        squares = sum((mean.weight / unit) ** 2 for mean in means)
        self._half_credible_weight = math.inf
        if len(means) < 2 or total <= 0:
            return
        centre = sum(mean.weight * mean.value for mean in means) / unit / total
        between = sum(mean.weight * (mean.value - centre) ** 2 for mean in means) / unit
        explained = between - (len(means) - 1) * self._variance.value
        spread = total - squares / total
        if explained > 0 and spread > 0 and self._variance.value > 0:
            self._half_credible_weight = self._variance.value * spread / explained

    def scale(self, share: float) -> None:
        """Multiply all weights."""
        for mean in (self._mean, self._variance, *self.mean_by_value.values()):
            mean.weight *= share


class _RouteCosts:
    """Costs of the calls of one route."""

    def __init__(self) -> None:
        self.mean = _Mean()
        self.inputs = [_InputFactors() for _ in _INPUTS]
        self._calls = 0

    def add(self, call: CallClass, cost_ms: float, unit: float) -> None:
        self.mean.add(cost_ms, unit)
        self._calls += 1
        ratio = cost_ms / max(1e-3, self.mean.value)
        for factors, value_of in zip(self.inputs, _INPUTS, strict=True):
            value = value_of(call)
            factors.add(value, min(MAX_RATIO, ratio), unit)
            ratio /= factors.factor(value, unit)
            if self._calls % CREDIBILITY_INTERVAL == 0:
                factors.update_credibility(unit)

    def factor(self, call: CallClass, unit: float) -> float:
        factor = 1.0
        for factors, value_of in zip(self.inputs, _INPUTS, strict=True):
            factor *= factors.factor(value_of(call), unit)
        return factor

    def scale(self, share: float) -> None:
        self.mean.weight *= share
        for factors in self.inputs:
            factors.scale(share)


class CostEstimates:
    """Estimates the cost of calls to one upstream."""

    def __init__(self) -> None:
        self._mean = _Mean()
        self._route_by_name: dict[str, _RouteCosts] = {}
        self._epoch: float | None = None

    @property
    def is_empty(self) -> bool:
        """Whether no cost was recorded yet."""
        return not self._mean.weight

    @property
    def mean_ms(self) -> float:
        """Mean cost of recent calls over all routes."""
        return self._mean.value

    def record(self, call: CallClass, cost_ms: float, now: float) -> None:
        """Record the cost of a call that has ended."""
        if self._epoch is None:
            self._epoch = now
        cost_ms = min(MAX_COST_MS, max(0.0, cost_ms))
        unit = self._unit(now)
        self._mean.add(cost_ms, unit)
        costs = self._route_by_name.get(call.route)
        if costs is None:
            if len(self._route_by_name) >= MAX_ROUTES:
                _remove_lightest(self._route_by_name, lambda found: found.mean.weight)
            costs = self._route_by_name[call.route] = _RouteCosts()
        costs.add(call, cost_ms, unit)

    def expected_ms(self, call: CallClass, now: float) -> float:
        """Return the expected cost of a call."""
        costs = self._route_by_name.get(call.route)
        if costs is None:
            return self._mean.value
        unit = self._unit(now)
        weight = costs.mean.weight / unit
        route_ms = costs.mean.value * weight + self._mean.value * ROUTE_PRIOR_WEIGHT
        return route_ms / (weight + ROUTE_PRIOR_WEIGHT) * costs.factor(call, unit)

    def _unit(self, now: float) -> float:
        """Return the weight of an observation made now."""
        exponent = (now - self._epoch) / HALF_LIFE_SECONDS
        if exponent > MAX_GROWTH_EXPONENT:
            share = 0.5 ** min(exponent, 1000.0)
            self._mean.weight *= share
            for costs in self._route_by_name.values():
                costs.scale(share)
            self._epoch = now
            return 1.0
        return 2.0**exponent


def _remove_lightest(
    found_by_key: dict[Hashable, object], weight_of: Callable[[object], float]
) -> None:
    lightest = min(found_by_key, key=lambda key: weight_of(found_by_key[key]))
    del found_by_key[lightest]
