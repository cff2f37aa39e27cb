"""Interface between the dispatch of calls and the rollouts that judge versions."""

import enum
from typing import Protocol

import attrs


class CallResult(enum.Enum):
    """How an attempt at a backend server ended."""

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
        Names in the configuration.
    address : str
        Endpoint that was called.
    result : CallResult
        FAILED covers 5xx answers, truncated answers, broken connections and timeouts;
        NOT_RUN a refusal that the backend server marked as not run; CANCELLED a caller
        that left.
    latency_seconds : float
        Time from dispatch to the head of the answer.
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
    """Chooses the version that a call goes to."""

    def choose_version(self, route: str, service: str) -> str:
        """Return the version for one call of a route."""
        ...

    def versions(self, route: str, service: str) -> tuple[str, ...]:
        """Return versions that may serve a call of a route now, best first.

        A call whose chosen version has no usable endpoint goes to the next one.
        """
        ...


class OutcomeSink(Protocol):
    """Takes the outcome of each attempt."""

    def record(self, outcome: CallOutcome) -> None:
        """Take one outcome; must be cheap, as it is called for every attempt."""
        ...


class CompositeOutcomeSink:
    """Passes each outcome to several sinks."""

    def __init__(self, *sinks: OutcomeSink) -> None:
        self._sinks = sinks

    def record(self, outcome: CallOutcome) -> None:
        """Pass one outcome to each sink."""
        for sink in self._sinks:
            sink.record(outcome)
