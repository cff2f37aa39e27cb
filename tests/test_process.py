import itertools
import json
import signal
import subprocess
import sys
import threading
import urllib.error
import urllib.request

import attrs
import pytest

from lacewingstair.cli.exit_codes import ExitCode
from lacewingstair.standins.local import free_ports, local_settings, settings_text
from tests.processes import ENVIRONMENT, LIMIT_SECONDS, Processes, wait_until

DAEMON = "lacewingstair.process"
TOOL = "lacewingstair.cli"
ZONES = (("akmola", "akmola-1"), ("akmola", "akmola-2"), ("kostanay", "kostanay-1"))
TICKET = {
    "number": 1,
    "services": {"desk": {"versions": ["v1"], "current": "v1"}},
    "routes": {"read": {"service": "desk", "path_prefix": "/desk"}},
}


@pytest.fixture
def processes(tmp_path):
    started = Processes(tmp_path)
    yield started
    started.end()


def write_settings(path, settings):
    path.write_text(settings_text(settings))
    return path


@pytest.fixture
def vms(tmp_path):
    """Settings files of three VMs, and the port of their log."""
    log, *ports = free_ports(1 + 4 * len(ZONES))
    files, all_settings = [], []
    for index, (region, zone) in enumerate(ZONES):
        own = ports[4 * index :][:4]
        vm = local_settings(f"vm-{index}", region, zone, f"http://127.0.0.1:{log}", own)
        vm = attrs.evolve(vm, contacts=(f"127.0.0.1:{ports[0]}",))
        files.append(write_settings(tmp_path / f"{index}.ini", vm))
        all_settings.append(vm)
    return files, all_settings, log


def get(address, path):
    """Return status and JSON of an answer, or None when a connection is refused."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=60) as answer:
            return answer.status, json.load(answer)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)
    except urllib.error.URLError as error:
        if isinstance(error.reason, ConnectionRefusedError):
            return None
        raise


class Caller(threading.Thread):
    """Calls the VMs in turn; a VM that is not ready is passed over."""

    def __init__(self, vms):
        super().__init__()
        self._vms = vms
        self.answers = []
        self.stopping = threading.Event()

    def run(self):
        for vm in itertools.cycle(self._vms):
            if self.stopping.is_set():
                return
            try:
                health = get(vm.operator_address, "/health")
                if health is not None and health[1]["ready"]:
                    answer = get(vm.caller_address, "/desk/today")
                    self.answers.append(answer and answer[0])
            except OSError as error:
                self.answers.append(error)


def test_three_processes_serve_a_published_ticket_and_lose_no_call(
    processes, vms, tmp_path
):
    """Guards against calls that are cut by a planned stop, and bad exit codes."""
    files, settings, log_port = vms
    daemons = [processes.start(DAEMON, path) for path in files]
    operators = [vm.operator_address for vm in settings]
    wait_until(lambda: all(get(o, "/health") for o in operators), "daemons listen")
    # Until here the log does not exist, and no ticket does.
    assert get(operators[0], "/health")[1]["reasons"] == ["no configuration yet"]
    assert get(settings[0].caller_address, "/desk/today")[0] == 503
    log = processes.start(TOOL, "stand-in-log", f"--port={log_port}")
    servers = []
    for vm, port in zip(settings, free_ports(len(settings)), strict=True):
        # Calls are slow enough that some are under way when a daemon stops.
        arguments = (
            "desk",
            "v1",
            vm.backend_server_address,
            f"--port={port}",
            "--service-ms=300",
        )
        servers.append(processes.start(TOOL, "stand-in-backend-server", *arguments))
    ticket = tmp_path / "ticket.json"
    ticket.write_text(json.dumps(TICKET))
    published = processes.start(
        TOOL,
        "publish",
        ticket,
        f"127.0.0.1:{log_port}",
        f"--operator={operators[2]}",
        f"--timeout={LIMIT_SECONDS}",
    )
    assert published.wait(LIMIT_SECONDS) == ExitCode.DONE, processes.log_of(published)
    wait_until(
        lambda: all(get(o, "/status")[1]["endpoints"] == 3 for o in operators),
        "all VMs know all backend servers",
    )
    wait_until(
        lambda: all(get(o, "/status")[1]["ticket"] == 1 for o in operators),
        "the ticket is in force on all VMs",
    )
    callers = [Caller(settings) for _ in range(3)]
    for caller in callers:
        caller.start()
    for daemon in daemons[:2]:
        made = [len(caller.answers) for caller in callers]
        daemon.send_signal(signal.SIGTERM)
        assert daemon.wait(LIMIT_SECONDS) == ExitCode.DONE, processes.log_of(daemon)
        assert [len(caller.answers) for caller in callers] > made
    for caller in callers:
        caller.stopping.set()
        caller.join()
    daemons[2].send_signal(signal.SIGTERM)
    assert daemons[2].wait(LIMIT_SECONDS) == ExitCode.DONE
    answers = [answer for caller in callers for answer in caller.answers]
    assert set(answers) == {200}
    for process in (*servers, log):
        process.send_signal(signal.SIGTERM)
    for process in (*servers, log):
        assert process.wait(LIMIT_SECONDS) == ExitCode.DONE, processes.log_of(process)
    assert "Traceback" not in "".join(processes.log_of(daemon) for daemon in daemons)


def test_a_missing_log_is_one_line_and_a_second_signal_stops_at_once(processes, vms):
    files, settings, _ = vms
    daemon = processes.start(DAEMON, files[0])
    operator = settings[0].operator_address
    wait_until(lambda: get(operator, "/health"), "the daemon listens")
    wait_until(
        lambda: get(operator, "/status")[1]["log"]["reads"] >= 3,
        "the daemon has tried again",
    )
    assert processes.log_of(daemon).count("event=log_") == 1
    daemon.send_signal(signal.SIGTERM)
    wait_until(lambda: "event=daemon_leaving" in processes.log_of(daemon), "leaving")
    daemon.send_signal(signal.SIGTERM)
    assert daemon.wait(LIMIT_SECONDS) == ExitCode.ERROR
    assert "event=stopping_at_once" in processes.log_of(daemon)
    assert "event=daemon_stopped" not in processes.log_of(daemon)
    assert "Traceback" not in processes.log_of(daemon)


@pytest.mark.parametrize("name", ["settings", "usage", "port"])
def test_a_start_that_fails_is_one_line_and_an_exit_code(name, vms, tmp_path):
    files, settings, _ = vms
    bad = tmp_path / "bad.ini"
    bad.write_text(settings_text(settings[0]).replace("akmola-1", "two words"))
    # The port of the operators' interface is the last that the daemon listens on.
    taken = attrs.evolve(settings[0], operator_address="203.0.113.1:80")
    cases = {
        "settings": ([bad], "availability_zone: 'two words' is not valid", 2),
        "usage": ([], "usage: lacewingstaird SETTINGS_FILE", 2),
        "port": ([write_settings(files[0], taken)], "cannot listen on", 1),
    }
    arguments, message, code = cases[name]
    done = subprocess.run(
        [sys.executable, "-m", DAEMON, *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=LIMIT_SECONDS,
        check=False,
        env=ENVIRONMENT,
    )
    assert done.returncode == code, done.stderr
    (line,) = done.stderr.splitlines()
    assert message in line
