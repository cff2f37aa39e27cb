"""Commands of the tool, as fire shows them."""

import random
from collections.abc import Callable, Coroutine
from importlib import metadata
from typing import Any

import uvloop

from lacewingstair.cli import arguments, experiments, standins
from lacewingstair.cli.check import check_files
from lacewingstair.cli.exit_codes import ExitCode
from lacewingstair.cli.explain import show_explanation
from lacewingstair.cli.operator_client import OperatorClient
from lacewingstair.cli.pending import Pending, fail
from lacewingstair.cli.publish import publish_file
from lacewingstair.cli.report import (
    ReportQuery,
    show_report,
    show_status,
    wait_for_report,
    watch,
)
from lacewingstair.demo import run_demo
from lacewingstair.runtime import SystemClock
from lacewingstair.settings.page import example_file, settings_page
from lacewingstair.ticket_log.http_log import HttpLogClient
from lacewingstair.vm.directory import Endpoint

MAX_TICKET_NUMBER = 2**53 - 1
MAX_EXPLAINED_BYTES = 99_999_999


def _pending(
    run: Callable[..., Coroutine[Any, Any, ExitCode]], *checked: arguments.Checked
) -> Pending:
    """Return a command that runs with the checked values, or shows their faults."""
    faults = arguments.faults(*checked)
    if faults:
        return _invalid(*faults)
    values = [check.ok_value for check in checked]
    return Pending(lambda: uvloop.run(run(*values)))


def _invalid(*messages: str) -> Pending:
    def show() -> ExitCode:
        for message in messages:
            fail(message)
        return ExitCode.INVALID

    return Pending(show)


def _printing(text: str) -> Pending:
    def show() -> ExitCode:
        print(text)
        return ExitCode.DONE

    return Pending(show)


class Commands:
    """Publishes change tickets for a mesh and shows what became of them.

    Exit codes: 0 done, 1 error, 2 wrong usage or invalid input, 3 taken back or
    refused, 4 not finished in time.
    """

    def check(self, *files: str, in_order: bool = False) -> Pending:
        """Check ticket and settings files without a network.

        Every fault is printed with its place. Exit code 2 if there is one.

        Args:
            files: Ticket files (JSON) and settings files (INI).
            in_order: Also apply the tickets one after the other to an empty mesh.
        """
        if not files:
            return _invalid("check: give one or more files")
        ordered = arguments.flag("in-order", in_order)
        faults = arguments.faults(ordered)
        if faults:
            return _invalid(*faults)
        return Pending(lambda: check_files(files, ordered.ok_value))

    def publish(
        self, ticket: str, log: str, operator: str = "", timeout: str = "30"
    ) -> Pending:
        """Publish a ticket on the log.

        An outage of the log is waited out, and a lost answer is settled by reading the
        log, so that the ticket is published once. With --operator the command waits
        until that VM has decided: exit code 3 if the ticket is refused, 4 if there is
        no decision in time.

        Args:
            ticket: Ticket file.
            log: URL of the platform's log, as http://10.0.0.1:7000.
            operator: Address or URL of a VM's operator interface.
            timeout: Seconds to wait for the log, and then for the decision.
        """

        async def run(log_url: str, seconds: float, operator_url: str) -> ExitCode:
            client = HttpLogClient(log_url)
            vm = OperatorClient(operator_url) if operator else None
            try:
                return await publish_file(
                    ticket, client, vm, seconds, SystemClock(), random.Random()
                )
            finally:
                await client.close()
                if vm is not None:
                    await vm.close()

        return _pending(
            run,
            arguments.url("log", log),
            arguments.seconds("timeout", timeout),
            arguments.url("operator", operator or "127.0.0.1:1"),
        )

    def report(
        self,
        operator: str,
        *moves: str,
        wait: bool = False,
        timeout: str = "",
        interval: str = "1",
        ticket: str = "0",
        json: bool = False,
    ) -> Pending:
        """Show whether moves of traffic are done, in progress or taken back.

        With --wait the command prints progress and ends when all moves have ended:
        exit code 0 if all are done, 3 if one is taken back or the ticket is refused, 4
        if they have not ended in time.

        Args:
            operator: Address or URL of a VM's operator interface.
            moves: Names of rollouts; all when none is given.
            wait: Wait until the moves have ended.
            timeout: Longest wait in seconds; without it there is no limit.
            interval: Seconds between two looks.
            ticket: Wait until this ticket or a later one is in force first.
            json: Print the report as JSON.
        """

        async def run(
            url: str,
            is_waiting: bool,
            as_json: bool,
            limit: float,
            pause: float,
            number: int,
        ) -> ExitCode:
            client = OperatorClient(url)
            query = ReportQuery(moves, number)
            try:
                if not is_waiting:
                    return await show_report(client, query, as_json)
                end = limit if timeout else None
                return await wait_for_report(
                    client, query, as_json, end, pause, SystemClock()
                )
            finally:
                await client.close()

        if timeout and str(wait) == "False":
            return _invalid("report: --timeout needs --wait")
        return _pending(
            run,
            arguments.url("operator", operator),
            arguments.flag("wait", wait),
            arguments.flag("json", json),
            arguments.seconds("timeout", timeout or "1"),
            arguments.seconds("interval", interval),
            arguments.integer("ticket", ticket, 0, MAX_TICKET_NUMBER),
        )

    def status(self, operator: str, json: bool = False) -> Pending:
        """Show the state of one VM: ticket, links, log and health.

        Args:
            operator: Address or URL of the VM's operator interface.
            json: Print JSON.
        """

        async def run(url: str, as_json: bool) -> ExitCode:
            client = OperatorClient(url)
            try:
                return await show_status(client, as_json)
            finally:
                await client.close()

        return _pending(
            run, arguments.url("operator", operator), arguments.flag("json", json)
        )

    def explain(
        self,
        operator: str,
        host: str,
        path: str,
        method: str = "GET",
        size: str = "0",
        account: str = "",
        json: bool = False,
    ) -> Pending:
        """Show where a VM would send a call now, and why; nothing is sent.

        Args:
            operator: Address or URL of the VM's operator interface.
            host: Host name of the request.
            path: Path of the request.
            method: Method of the request.
            size: Size of its body in bytes.
            account: Name of its client account; not a key.
            json: Print JSON.
        """

        async def run(url: str, body_bytes: int, as_json: bool) -> ExitCode:
            client = OperatorClient(url)
            query = {
                "host": host,
                "path": path,
                "method": method,
                "size": str(body_bytes),
                "account": account,
            }
            try:
                return await show_explanation(client, query, as_json)
            finally:
                await client.close()

        if not path.startswith("/"):
            return _invalid(f"path: {path!r} is not valid; allowed: a path from / on")
        return _pending(
            run,
            arguments.url("operator", operator),
            arguments.integer("size", size, 0, MAX_EXPLAINED_BYTES),
            arguments.flag("json", json),
        )

    def watch(self, operator: str, interval: str = "1") -> Pending:
        """Print changes of the report as they come, until interrupted.

        Args:
            operator: Address or URL of a VM's operator interface.
            interval: Seconds between two looks.
        """

        async def run(url: str, pause: float) -> ExitCode:
            client = OperatorClient(url)
            try:
                return await watch(client, pause, SystemClock())
            finally:
                await client.close()

        return _pending(
            run,
            arguments.url("operator", operator),
            arguments.seconds("interval", interval),
        )

    def demo(self) -> Pending:
        """Run a small mesh on loopback addresses and tell what happens."""
        return _pending(run_demo)

    def experiment(
        self,
        name: str,
        vms: str = "3,18,76",
        load: str = "0.5,0.8,0.95,1.3",
        choices: str = "",
        seconds: str = "20",
        seeds: str = "2",
    ) -> Pending:
        """Run a model in virtual time and print its results as JSON.

        The only experiment is ``placement``: it compares ways to choose the upstream of
        a call on machines that are shared with other work. Progress is shown on the
        standard error.

        Args:
            name: Experiment.
            vms: Numbers of VMs, from 2 to 300.
            load: Loads as shares of the capacity of all upstreams, from 0.01 to 5.
            choices: Names of the choices, separated by commas; all without it.
            seconds: Measured seconds of each run.
            seeds: Runs of each case with other speeds and calls.
        """
        if name != "placement":
            return _invalid(f"experiment: {name!r} is unknown; allowed: placement")
        vm_counts = experiments.vm_counts(vms)
        loads = arguments.numbers("load", load, 0.01, 5)
        duration = arguments.seconds("seconds", seconds)
        seed_count = arguments.integer("seeds", seeds, 1, 1000)
        names = experiments.choice_names(choices)
        faults = arguments.faults(vm_counts, loads, duration, seed_count, names)
        if faults:
            return _invalid(*faults)
        scenarios = experiments.scenarios(
            vm_counts.ok_value, loads.ok_value, duration.ok_value, seed_count.ok_value
        )
        return Pending(lambda: experiments.run_placement(scenarios, names.ok_value))

    def settings_page(self, example: bool = False) -> Pending:
        """Print the page of all settings of lacewingstaird.

        Args:
            example: Print the example settings file in its place.
        """
        checked = arguments.flag("example", example)
        if arguments.faults(checked):
            return _invalid(*arguments.faults(checked))
        return _printing((example_file if checked.ok_value else settings_page)())

    def stand_in_log(self, port: str = "7000", host: str = "127.0.0.1") -> Pending:
        """Run a stand-in for the platform's log, which keeps records in memory.

        Args:
            port: Port to listen on.
            host: IP address to listen on.
        """
        return _pending(
            standins.run_log, arguments.address("host and port", f"{host}:{port}")
        )

    def stand_in_backend_server(
        self,
        service: str,
        version: str,
        announce: str,
        port: str = "8000",
        host: str = "127.0.0.1",
        slots: str = "10",
        service_ms: str = "1",
        failure_status: str = "0",
    ) -> Pending:
        """Run a stand-in for a backend server that announces itself to a VM.

        A stop signal makes it drain for some seconds before it ends.

        Args:
            service: Name of the service.
            version: Version that it serves.
            announce: Address or URL of the VM's interface for backend servers.
            port: Port to listen on.
            host: IP address to listen on.
            slots: Calls it runs at a time.
            service_ms: Time a call takes, in ms.
            failure_status: Status of all answers; 0 for success.
        """

        async def run(
            address: str, url: str, slot_count: int, milliseconds: int, status: int
        ) -> ExitCode:
            endpoint = Endpoint(service, version, address, slots=slot_count)
            return await standins.run_backend_server(
                endpoint, url, milliseconds / 1000, status
            )

        return _pending(
            run,
            arguments.address("host and port", f"{host}:{port}"),
            arguments.url("announce", announce),
            arguments.integer("slots", slots, 1, 100_000),
            arguments.integer("service-ms", service_ms, 0, 600_000),
            arguments.integer("failure-status", failure_status, 0, 599),
        )

    def version(self) -> Pending:
        """Print the version of lacewingstair."""
        try:
            return _printing(metadata.version("lacewingstair"))
        except metadata.PackageNotFoundError:
            return _printing("unknown: lacewingstair is not installed as a package")
