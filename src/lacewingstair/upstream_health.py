"""Asks the backend server of a VM for its health at the start of the process."""

from collections.abc import Callable

from result import Err, Result

from lacewingstair.errors import ConnectError
from lacewingstair.metadata.configuration import ConfigurationStore
from lacewingstair.platform.health import HealthAnswer, ask_health
from lacewingstair.runtime import Clock

CONFIGURATION_CHECK_SECONDS = 0.05
# The entry of an earlier process is waited for until so long after the start; the store
# may not answer.
FORMER_ENTRY_SECONDS = 0.3


class UpstreamHealth:
    """Makes a health check, as soon as the configuration tells its path.

    Parameters
    ----------
    address : str
        ``ip:port`` of the backend server.
    service : callable
        Returns the service that it runs.
    configurations : ConfigurationStore
        Configuration in force.
    has_read_entries : callable
        Returns whether the entries of VMs have been read since the start.
    clock : Clock
        Source of time.
    on_answer : callable
        Called with each answer.
    """

    def __init__(
        self,
        address: str,
        service: Callable[[], str],
        configurations: ConfigurationStore,
        has_read_entries: Callable[[], bool],
        clock: Clock,
        on_answer: Callable[[HealthAnswer], None] = lambda answer: None,
    ) -> None:
        self._on_answer = on_answer
        self._address = address
        self._service = service
        self._configurations = configurations
        self._has_read_entries = has_read_entries
        self._clock = clock
        self._started_at = clock.monotonic()

    async def ask(self) -> Result[HealthAnswer, ConnectError]:
        """Return the answer of the backend server."""
        while self._configurations.current.is_empty:
            await self._clock.sleep(CONFIGURATION_CHECK_SECONDS)
        latest = self._started_at + FORMER_ENTRY_SECONDS
        while not self._has_read_entries() and self._clock.monotonic() < latest:
            await self._clock.sleep(CONFIGURATION_CHECK_SECONDS)
        service = self._service()
        terms = self._configurations.current.services_by_name.get(service)
        if terms is None:
            reason = f"service {service!r} is not in the configuration"
            return Err(ConnectError(self._address, reason))
        return (await ask_health(self._address, terms.health_path)).inspect(
            self._on_answer
        )
