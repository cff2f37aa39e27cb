"""Estimates the size of answers by route; performs no I/O."""

# Weight of the newest answer in the moving average of its route.
NEWEST_WEIGHT = 0.1
# Sizes that are assumed before the first answer of a route.
DEFAULT_BYTES = 2 << 10
DEFAULT_LARGE_BYTES = 90 << 10
# Each configuration may add new routes.
MAX_ROUTES = 4096


class AnswerSizes:
    """Moving averages of the sizes of answers."""

    def __init__(self) -> None:
        self._bytes_by_route: dict[str, float] = {}

    def record(self, route: str, size: int) -> None:
        """Record the size of one answer in bytes."""
        known = self._bytes_by_route.get(route)
        if known is None:
            if len(self._bytes_by_route) >= MAX_ROUTES:
                self._bytes_by_route.clear()
            known = float(size)
        self._bytes_by_route[route] = known + NEWEST_WEIGHT * (size - known)

    def expected_bytes(self, route: str, has_large_answers: bool) -> float:
        """Return the expected size of the next answer of a route."""
        default = DEFAULT_LARGE_BYTES if has_large_answers else DEFAULT_BYTES
        return self._bytes_by_route.get(route, default)
