"""Interface between the dispatch of calls and the rollouts that evaluate versions."""

import enum
from typing import Protocol

import attrs


class CallResult(enum.Enum):
    """Result of an attempt at a backend server."""

    OK = "ok"
    FAILED = "failed"
    NOT_RUN = "not-run"
    CANCELLED = "cancelled"


@attrs.frozen
class CallOutcome:
    """One attempt at a backend server.

    Parameters
    ----------
    route, service, version : str
        Names from the configuration.
    address : str
        Endpoint that was called.
    result : CallResult
        FAILED covers 5xx responses, truncated responses, broken connections and
        timeouts; NOT_RUN a rejection that the backend server marked as not run;
        CANCELLED a caller that disconnected.
    latency_seconds : float
        Time from dispatch to the head of the response.
    endpoint_age_seconds : float
        Time since this VM first saw the endpoint ready.
    """

    route: str
    service: str
    version: str
    address: str
    result: CallResult
    latency_seconds: float
    endpoint_age_seconds: float


class VersionChooser(Protocol):
    """Chooses the version of a service that serves a call."""

    def choose_version(self, route: str, service: str) -> str:
        """Return the version for one call of a route."""
        ...

    def versions(self, route: str, service: str) -> tuple[str, ...]:
        """Return the versions that may serve a call of a route now, preferred first.

        A call whose chosen version has no usable endpoint falls back to the next one.
        """
        ...


class OutcomeSink(Protocol):
    """Receives the outcome of each attempt."""

    def record(self, outcome: CallOutcome) -> None:
        """Record one outcome; must be cheap, as it is called for every attempt."""
        ...


class CompositeOutcomeSink:
    """Forwards each outcome to several sinks."""

    def __init__(self, *sinks: OutcomeSink) -> None:
        self._sinks = sinks

    def record(self, outcome: CallOutcome) -> None:
        """Forward one outcome to each sink."""
        for sink in self._sinks:
            sink.record(outcome)
