"""Results of one run of the placement model."""

from collections import Counter
from typing import Any

import attrs


@attrs.define
class PlacementResults:
    """Counts and times of the calls of one run."""

    _elapsed_ms: list[float] = attrs.field(factory=list)
    _error_ms: float = 0.0
    _bias_ms: float = 0.0
    _calls_by_route: Counter[str] = attrs.field(factory=Counter)
    _in_time_by_route: Counter[str] = attrs.field(factory=Counter)

    def count_served(
        self, route: str, elapsed_ms: float, is_in_time: bool, expected_ms: float
    ) -> None:
        """Count a call that ran."""
        self._calls_by_route[route] += 1
        self._in_time_by_route[route] += is_in_time
        self._elapsed_ms.append(elapsed_ms)
        self._error_ms += abs(expected_ms - elapsed_ms)
        self._bias_ms += expected_ms - elapsed_ms

    def count_refused(self, route: str) -> None:
        """Count a call that did not run."""
        self._calls_by_route[route] += 1

    @property
    def in_time_share(self) -> float:
        """Share of all calls that were served within their target."""
        total = self._calls_by_route.total()
        return self._in_time_by_route.total() / total if total else 0.0

    def summary(self) -> dict[str, Any]:
        """Return the results by name; times are in ms and of calls that ran."""
        served = sorted(self._elapsed_ms)
        worst_route, worst_share = min(
            (
                (route, self._in_time_by_route[route] / calls)
                for route, calls in self._calls_by_route.items()
            ),
            key=lambda found: found[1],
            default=("", 0.0),
        )
        count = max(1, len(served))
        return {
            "calls": self._calls_by_route.total(),
            "refused": self._calls_by_route.total() - len(served),
            "in_time_share": round(self.in_time_share, 4),
            "p50_ms": _quantile(served, 0.5),
            "p99_ms": _quantile(served, 0.99),
            "worst_kind": worst_route,
            "worst_kind_share": round(worst_share, 4),
            "error_ms": round(self._error_ms / count, 1),
            "bias_ms": round(self._bias_ms / count, 1),
        }


def _quantile(ascending: list[float], share: float) -> float:
    if not ascending:
        return 0.0
    return round(ascending[min(len(ascending) - 1, int(share * len(ascending)))], 1)
