"""Signals that come while the daemon's process starts."""

import signal
import time
from pathlib import Path

import pytest

from tests.processes import Processes, wait_until
from tests.test_sidecar import Vm

REPEATS = 20
PAUSE_SECONDS = 0.05


@pytest.fixture
def processes(tmp_path):
    started = Processes(tmp_path)
    yield started
    started.end()


def blocks_reload_signals(process):
    status = Path(f"/proc/{process.pid}/status").read_text()
    blocked = int(status.partition("SigBlk:")[2].split()[0], 16)
    return bool(blocked & 1 << (signal.SIGHUP - 1))


def test_a_reload_signal_ends_no_process_that_starts(processes, tmp_path):
    """Guards against VMs that are gone for a signal after each restart."""
    vm = Vm("vm", "board", "http://127.0.0.1:9")
    vm.upstream.address = "127.0.0.1:9"
    file = tmp_path / "vm.ini"
    file.write_text(vm.settings_text())
    daemon = processes.start("lacewingstair.entry", file)
    wait_until(lambda: blocks_reload_signals(daemon), "the signal is held back")
    for _ in range(REPEATS):
        daemon.send_signal(signal.SIGHUP)
        time.sleep(PAUSE_SECONDS)
    wait_until(lambda: "settings_reloaded" in processes.log_of(daemon), "a reload")
    assert daemon.poll() is None
    assert not blocks_reload_signals(daemon)
    daemon.kill()
