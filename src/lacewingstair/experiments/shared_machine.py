"""Model of machines that upstreams share with other work, and of what calls cost."""

import random

import attrs

MIN_SLOWNESS, MAX_SLOWNESS = 0.6, 1.7
# Bounds of the long-term slowness of a machine, whose logarithm is uniform.
MIN_BASE_SLOWNESS, MAX_BASE_SLOWNESS = 0.75, 1.36
MEAN_CHANGE_SECONDS = 0.2
# Part of the momentary difference to the long-term slowness that a change keeps, and
# the standard deviation of what it adds, both of the logarithm.
KEPT_DIFFERENCE = 0.8
CHANGE_SPREAD = 0.15
COST_SPREAD = 0.8
TAIL_SHARE = 0.03
MIN_TAIL, MAX_TAIL = 3.0, 7.0
LARGE_BODY_BYTES, SMALL_BODY_BYTES = 20_000, 500


@attrs.frozen
class CallKind:
    """Calls of one route.

    Parameters
    ----------
    route, method : str
        Route and method.
    share : float
        Share of all calls.
    mean_ms : float
        Mean cost at the usual speed.
    large_factor : float
        How many times as much a call with a large body costs as one with a small body;
        half of the calls have a large one.
    """

    route: str
    method: str
    share: float
    mean_ms: float
    large_factor: float = 1.0

    def cost_ms(self, body_bytes: int, rng: random.Random) -> float:
        """Return the cost of one call."""
        small_ms = 2 * self.mean_ms / (1 + self.large_factor)
        is_large = body_bytes >= LARGE_BODY_BYTES
        mean_ms = small_ms * (self.large_factor if is_large else 1.0)
        tail = 1.0
        if rng.random() < TAIL_SHARE:
            tail = rng.uniform(MIN_TAIL, MAX_TAIL)
        mean_tail = 1 + TAIL_SHARE * ((MIN_TAIL + MAX_TAIL) / 2 - 1)
        return (
            mean_ms
            * tail
            / mean_tail
            * rng.lognormvariate(-(COST_SPREAD**2) / 2, COST_SPREAD)
        )


# Their mean cost is 220 ms.
CALL_KINDS = (
    CallKind("read", "GET", 0.5, 160.0),
    CallKind("search", "GET", 0.25, 220.0),
    CallKind("write", "POST", 0.2, 260.0, large_factor=3.0),
    CallKind("report", "POST", 0.05, 660.0),
)
MEAN_COST_MS = sum(kind.share * kind.mean_ms for kind in CALL_KINDS)


@attrs.frozen
class SpeedChange:
    """Slowness of a machine from some time on."""

    at: float
    slowness: float


def speed_changes(seconds: float, rng: random.Random) -> list[SpeedChange]:
    """Return the slowness of one machine over some seconds, from time 0 on."""
    ratio = MAX_BASE_SLOWNESS / MIN_BASE_SLOWNESS
    base = MIN_BASE_SLOWNESS * ratio ** rng.random()
    settled = CHANGE_SPREAD / (1 - KEPT_DIFFERENCE**2) ** 0.5
    difference = rng.gauss(0.0, settled)
    at = 0.0
    changes = []
    while at < seconds:
        slowness = base * 2.718281828459045**difference
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        changes.append(SpeedChange(at, slowness))
        at += rng.expovariate(1 / MEAN_CHANGE_SECONDS)
        difference = KEPT_DIFFERENCE * difference + rng.gauss(0.0, CHANGE_SPREAD)
    return changes


def mean_speed(changes: list[SpeedChange], seconds: float) -> float:
    """Return the mean speed of a machine; 1 is the usual one."""
    ends = [change.at for change in changes[1:]] + [seconds]
    done = sum(
        (end - change.at) / change.slowness
        for change, end in zip(changes, ends, strict=True)
    )
    return done / seconds
