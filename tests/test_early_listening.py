"""Callers that connect while the program is being loaded."""

import socket

import pytest

from lacewingstair.early_listening import open_sockets
from tests.processes import LIMIT_SECONDS, Processes, wait_until
from tests.test_sidecar import Vm


@pytest.fixture
def processes(tmp_path):
    started = Processes(tmp_path)
    yield started
    started.end()


def test_a_caller_that_connects_while_the_program_loads_is_answered(
    processes, tmp_path
):
    """Guards against callers that fail for the time of a restart."""
    vm = Vm("vm", "board", "http://127.0.0.1:9")
    vm.upstream.address = "127.0.0.1:9"
    file = tmp_path / "vm.ini"
    file.write_text(vm.settings_text())
    daemon = processes.start("lacewingstair.entry", file)
    found = []

    def connects():
        try:
            found.append(socket.create_connection((vm.host, 7101), LIMIT_SECONDS))
        except ConnectionRefusedError:
            return False
        return True

    wait_until(connects, "a connection")
    (connection,) = found
    assert "daemon_started" not in processes.log_of(daemon)
    with connection:
        connection.sendall(b"GET /view/1 HTTP/1.1\r\nHost: a.example\r\n\r\n")
        assert connection.recv(1000).startswith(b"HTTP/1.1 503")
    daemon.kill()


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[caller",
        "no section",
        "[caller]\naddress = nowhere",
        "[caller]\naddress = 127.0.0.1:99999",
        "[caller]\naddress = 192.0.2.1:80",
        "[operator]\naddress = 127.0.0.1:1",
    ],
)
def test_settings_that_cannot_be_used_open_nothing(text, tmp_path):
    """Guards against a start that fails without a message about the settings."""
    file = tmp_path / "vm.ini"
    file.write_text(text)
    assert open_sockets(str(file)) == {}
    assert open_sockets(str(tmp_path / "none.ini")) == {}
