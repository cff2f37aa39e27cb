"""Processes that tests start by hand, on loopback addresses and free ports."""

import os
import subprocess
import sys
import time
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "src"
# pytest's pythonpath setting does not reach other processes.
ENVIRONMENT = {**os.environ, "PYTHONPATH": str(SOURCE)}
# Only stops a test that would hang; generous for a busy machine.
LIMIT_SECONDS = 120
LOOK_SECONDS = 0.05


class Processes:
    """Starts modules of the package and stops what is left at the end."""

    def __init__(self, directory):
        self._directory = directory
        self._started = []

    def start(self, module, *arguments):
        """Start a module; its log lines go to the file `log_of`."""
        number = len(self._started)
        with open(self._directory / f"{number}.log", "wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *map(str, arguments)],
                stdout=log,
                stderr=log,
                env=ENVIRONMENT,
            )
        self._started.append(process)
        return process

    def log_of(self, process):
        """Return what a process has written so far."""
        number = self._started.index(process)
        return (self._directory / f"{number}.log").read_text()

    def end(self):
        """End the processes that still run."""
        for process in self._started:
            if process.poll() is None:
                process.kill()
            process.wait()


def wait_until(condition, what):
    """Wait for a condition; fail when it does not come true."""
    end = time.monotonic() + LIMIT_SECONDS
    while not condition():
        assert time.monotonic() < end, what
        time.sleep(LOOK_SECONDS)
