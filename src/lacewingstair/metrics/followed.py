"""Counters whose values other parts keep."""

from collections.abc import Callable, Iterator, Mapping

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector


class FollowedCounter(Collector):
    """Counter whose values are read when the metrics are.

    Parameters
    ----------
    name, text : str
        As for any metric; the name without ``_total``.
    labels : tuple of str
        Names of the labels.
    """

    def __init__(self, name: str, text: str, labels: tuple[str, ...] = ()) -> None:
        self._name = name
        self._text = text
        self._labels = labels
        self._values: Callable[[], Mapping[tuple[str, ...], float]] = dict

    def follow(self, values: Callable[[], Mapping[tuple[str, ...], float]]) -> None:
        """Show the values that `values` returns by the values of the labels."""
        self._values = values

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield the present values."""
        family = CounterMetricFamily(self._name, self._text, labels=self._labels)
        for labels, value in sorted(self._values().items()):
            family.add_metric(labels, value)
        yield family
