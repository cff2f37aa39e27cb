"""Runs the daemon's service under the entrypoint of aiomisc."""

from typing import Protocol

import aiomisc
import uvloop

# The daemon runs nothing in threads, but the entrypoint always makes a pool.
THREADS = 1


class RunnableService(Protocol):
    """What the entrypoint runs."""

    async def start(self) -> None:
        """Start everything."""
        ...

    async def run_until_signal(self) -> None:
        """Wait until it is time to stop."""
        ...

    async def stop(self) -> None:
        """Stop as planned."""
        ...


class _EntrypointService(aiomisc.Service):
    """Adapts a service to aiomisc, which starts it and calls its stop at the end."""

    __required__ = ("service",)
    service: RunnableService

    async def start(self) -> None:
        await self.service.start()

    async def stop(self, exception: Exception | None = None) -> None:
        await self.service.stop()


def run_service(service: RunnableService) -> None:
    """Run a service until it is time to stop, and stop it as planned."""
    entrypoint = aiomisc.entrypoint(
        _EntrypointService(service=service),
        loop_factory=uvloop.new_event_loop,
        pool_size=THREADS,
        log_config=False,
        catch_signals=(),
    )
    with entrypoint as loop:
        loop.run_until_complete(service.run_until_signal())
