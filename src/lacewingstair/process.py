"""Process of the daemon: settings, signals, start, planned stop and exit code."""

import asyncio
import atexit
import contextlib
import random
import signal
import sys
from collections.abc import Callable
from types import FrameType
from typing import Protocol

import uvloop
from result import Err, Result

from lacewingstair import events, reload_signals
from lacewingstair.early_listening import SocketsByAddress
from lacewingstair.errors import ListenError
from lacewingstair.garbage_collection import tune_garbage_collection
from lacewingstair.registry import Registry
from lacewingstair.runtime import Clock, SystemClock
from lacewingstair.settings.declarations import METADATA_STORE, TICKET_LOG, Settings
from lacewingstair.settings.reader import load_settings

EXIT_OK = 0
EXIT_ERROR = 1
EXIT_INVALID = 2
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class Process(Protocol):
    """All parts of one VM's process."""

    async def start(
        self, sockets_by_address: SocketsByAddress
    ) -> Result[None, ListenError]:
        """Listen on all interfaces and start the tasks."""
        ...

    async def stop(self) -> None:
        """Stop as planned."""
        ...

    async def close(self) -> None:
        """Release everything at once."""
        ...


Builder = Callable[[Settings, Clock, random.Random], Process]
_builders: Registry[Builder] = Registry("interface of a platform")


# The roots are imported when they are needed, as each takes memory of its own.
@_builders.register(TICKET_LOG)
def _build_daemon(settings: Settings, clock: Clock, rng: random.Random) -> Process:
    from lacewingstair.daemon import build

    return build(settings, clock, rng)


@_builders.register(METADATA_STORE)
def _build_sidecar(settings: Settings, clock: Clock, rng: random.Random) -> Process:
    from lacewingstair.sidecar import build

    return build(settings, clock, rng)


def builder_of(settings: Settings) -> Builder:
    """Return the composition root for the platform of the settings."""
    return _builders.get(settings.platform.interface)


class DaemonService:
    """Runs one daemon: its start, its signals and its planned stop.

    A runner calls `start` and, when `run_until_signal` has returned, `stop`, which is
    the planned stop. A second signal ends the planned stop at once, but a platform that
    kills the process after a while may repeat its signal in that time.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    settings_path : str
        File from which a reload signal reads them again; empty without one.
    sockets_by_address : mapping, optional
        Sockets that listen already.

    Attributes
    ----------
    exit_code : int
        Exit code of the process.
    """

    def __init__(
        self,
        settings: Settings,
        settings_path: str = "",
        sockets_by_address: SocketsByAddress | None = None,
    ) -> None:
        self.settings = settings
        self.settings_path = settings_path
        self._sockets_by_address = sockets_by_address or {}
        self.exit_code = EXIT_OK
        self._daemon: Process | None = None
        self._clock = SystemClock()
        self._signals = 0
        self._signalled_at: float | None = None
        self._has_started = True

    async def start(self) -> None:
        """Listen and start the tasks; set `exit_code` when that fails."""
        loop = asyncio.get_running_loop()
        self._stopping = asyncio.Event()
        self._stopping_now = asyncio.Event()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._on_signal, number)
            # The interpreter calls this one at once, even while the loop is busy.
            signal.signal(number, self._note_signal)
            signal.siginterrupt(number, False)
        build = builder_of(self.settings)
        self._daemon = build(self.settings, self._clock, random.Random())
        if self.settings_path and hasattr(self._daemon, "reload"):
            loop.add_signal_handler(signal.SIGHUP, self._on_reload)
        reload_signals.release()
        started = await self._daemon.start(self._sockets_by_address)
        if isinstance(started, Err):
            print(f"lacewingstaird: {started.err_value}", file=sys.stderr)
            self.exit_code = EXIT_ERROR
            self._has_started = False
            self._stopping.set()
            return
        tune_garbage_collection()

    async def run_until_signal(self) -> None:
        """Wait for a stop signal or a failed start."""
        await self._stopping.wait()

    async def stop(self) -> None:
        """Stop as planned, unless the start failed or a second signal came."""
        if not self._has_started:
            await self._daemon.close()
            return
        planned = asyncio.create_task(self._planned_stop())
        at_once = asyncio.create_task(self._stopping_now.wait())
        await asyncio.wait((planned, at_once), return_when=asyncio.FIRST_COMPLETED)
        at_once.cancel()
        if not planned.done():
            planned.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await planned

    @property
    def _is_killed_after_signal(self) -> bool:
        """Whether the platform kills the process some time after its signal."""
        return self.settings.platform.interface == METADATA_STORE

    async def _planned_stop(self) -> None:
        if self._is_killed_after_signal:
            await self._daemon.stop(self._signalled_at)
        else:
            await self._daemon.stop()

    def _note_signal(self, number: int, frame: FrameType | None) -> None:
        if self._signalled_at is None:
            self._signalled_at = self._clock.monotonic()

    def _on_reload(self) -> None:
        events.info("signal_received", signal=signal.SIGHUP.name)
        self._daemon.reload(self.settings_path)

    def _on_signal(self, number: signal.Signals) -> None:
        self._signals += 1
        events.info("signal_received", signal=signal.Signals(number).name)
        if self._signals == 1:
            self._stopping.set()
            return
        if number is signal.SIGTERM and self._is_killed_after_signal:
            # The planned stop ends before the kill, and an earlier end cuts calls.
            return
        self.exit_code = EXIT_ERROR
        self._stopping_now.set()
        events.warning("stopping_at_once", vm=self.settings.vm_id)


Runner = Callable[[DaemonService], None]
_runners: Registry[Runner] = Registry("runner of a process")


@_runners.register(TICKET_LOG)
def _run_in_entrypoint(service: DaemonService) -> None:
    from lacewingstair.entrypoint import run_service

    run_service(service)


@_runners.register(METADATA_STORE)
def _run_in_loop(service: DaemonService) -> None:
    """Run on a plain loop: loading aiomisc is a tenth of the start of a sidecar."""

    async def run_to_end() -> None:
        await service.start()
        try:
            await service.run_until_signal()
        finally:
            await service.stop()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_to_end())


def run(
    settings: Settings,
    settings_path: str = "",
    sockets_by_address: SocketsByAddress | None = None,
) -> int:
    """Run one daemon until a stop signal; return the exit code."""
    service = DaemonService(settings, settings_path, sockets_by_address)
    _runners.get(settings.platform.interface)(service)
    return service.exit_code


def main(sockets_by_address: SocketsByAddress | None = None) -> None:
    """Entry point of ``lacewingstaird SETTINGS_FILE``.

    Parameters
    ----------
    sockets_by_address : mapping, optional
        Sockets that listen already.
    """
    if len(sys.argv) != 2 or sys.argv[1].startswith("-"):
        print("usage: lacewingstaird SETTINGS_FILE", file=sys.stderr)
        sys.exit(EXIT_INVALID)
    loaded = load_settings(sys.argv[1])
    if isinstance(loaded, Err):
        for fault in loaded.err_value.faults:
            print(f"lacewingstaird: {sys.argv[1]}: {fault}", file=sys.stderr)
        sys.exit(EXIT_INVALID)
    settings = loaded.ok_value
    if settings.platform.interface == METADATA_STORE:
        output = events.configure_output(settings.log_level)
        atexit.register(output.flush)
    else:
        events.configure(settings.log_level)
    sys.exit(run(settings, sys.argv[1], sockets_by_address))


if __name__ == "__main__":
    main()
