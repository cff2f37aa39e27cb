import inspect
import random

import pytest
from result import Ok

from lacewingstair import process
from lacewingstair.caller.calls.options import CallOptions
from lacewingstair.routing.limits import RetryAllowance
from lacewingstair.settings.declarations import all_settings
from lacewingstair.settings.reader import parse_settings
from lacewingstair.staged_rollouts.policy import TrialAllowance
from lacewingstair.standins.virtual_time import VirtualClock, run_virtual
from lacewingstair.ticket_log.options import LogOptions
from lacewingstair.vm import transport
from lacewingstair.vm.options import NodeOptions


def daemon_with(**text_by_place):
    """Return a daemon with the examples of required settings and some others."""
    texts = {s.place: s.example for s in all_settings() if s.is_required}
    lines = [
        "{}\n{} = {}".format(*place.split(maxsplit=1), text)
        for place, text in {**texts, **text_by_place}.items()
    ]
    settings = parse_settings("file", "\n".join(lines)).unwrap()
    builder = process.builder_of(settings)
    return builder(settings, VirtualClock(), random.Random(1))


async def stop_seconds(daemon):
    """Return how long a planned stop takes when there is no call."""
    started_at = daemon.clock.monotonic()
    await daemon.stop()
    return daemon.clock.monotonic() - started_at


def level_of_process(daemon):
    """Return the log level that the process sets."""
    levels = []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(process.events, "configure", levels.append)
        patch.setattr(process, "run", lambda *_: 0)
        patch.setattr(process, "load_settings", lambda _: Ok(daemon.settings))
        patch.setattr(process.sys, "argv", ["lacewingstaird", "file"])
        with pytest.raises(SystemExit):
            process.main()
    return levels[0]


def interface(daemon, index):
    return list(daemon._interfaces())[index]


def call_server(daemon):
    return interface(daemon, 0)[1]._web_server


def node(name):
    return lambda daemon: getattr(daemon.node._options, name)


def tail(name):
    return lambda daemon: getattr(daemon.log_reader._tail._options, name)


def checkpointer(name):
    return lambda daemon: getattr(daemon.log_reader._checkpointer._options, name)


# A changed value of each setting, and where the part that uses it keeps it.
def client_limit(name):
    """Return a reader of a limit that the guard at all interfaces keeps."""

    def read(daemon):
        guards = {interface(daemon, n)[1]._guard for n in (1, 2)}
        guards.add(interface(daemon, 0)[1]._web_server.guard)
        (guard,) = guards
        return getattr(guard.limits, name)

    return read


PARTS = {
    "[vm] region": ("r", lambda d: d.node.own.region),
    "[vm] availability_zone": ("z", lambda d: d.node.own.availability_zone),
    "[vm] address": ("10.0.0.1:1", lambda d: d.node.own.address),
    "[vm] id": ("vm-7", lambda d: d.node.own.vm_id),
    "[vm] mesh": ("other", lambda d: d.node._links._mesh),
    "[vm] contacts": (
        "10.0.0.2:1 10.0.0.3:1",
        lambda d: " ".join(d.node._discovery._contacts),
    ),
    "[vm] heartbeat_seconds": (1.5, node("heartbeat_seconds")),
    "[vm] silence_seconds": (7.0, node("silence_seconds")),
    "[vm] replacement_seconds": (
        7.0,
        lambda d: min(
            d.node._links._options.replacement_seconds,
            d.node._links._transport.connect_timeout_seconds,
        ),
    ),
    "[vm] suspicion_seconds": (7.0, lambda d: d.node._detector._suspicion_seconds),
    "[vm] reconnect_base_seconds": (
        0.7,
        lambda d: d.node._links._options.reconnect_base_seconds,
    ),
    "[vm] reconnect_cap_seconds": (
        17.0,
        lambda d: d.node._links._options.reconnect_cap_seconds,
    ),
    "[vm] coalesce_seconds": (0.7, lambda d: d.node._publisher._coalesce_seconds),
    "[vm] snapshot_slots": (7, lambda d: d.node.snapshot_server._slots),
    "[vm] recent_records": (7, lambda d: d.store._recent.maxlen),
    "[vm] send_queue_bytes": (
        7 << 20,
        lambda d: d.node._links._transport.max_queued_bytes,
    ),
    "[caller] address": ("10.0.0.1:2", lambda d: interface(d, 0)[0]),
    "[caller] retry_share": (0.7, lambda d: d.calls.dispatcher._budget("s")._share),
    "[caller] retry_minimum_per_second": (
        7.0,
        lambda d: d.calls.dispatcher._budget("s")._minimum_per_second,
    ),
    "[caller] max_connections": (7, lambda d: call_server(d).max_connections),
    "[caller] buffer_bytes": (
        8192,
        lambda d: max(
            call_server(d)._kwargs["read_bufsize"], d.calls._pool._buffer_bytes
        ),
    ),
    "[caller] max_header_bytes": (
        7000,
        lambda d: call_server(d)._kwargs["max_field_size"],
    ),
    "[backend_server] address": ("10.0.0.1:3", lambda d: interface(d, 1)[0]),
    "[backend_server] announcement_ttl_seconds": (
        7.0,
        lambda d: d.announcements._ttl_seconds,
    ),
    "[backend_server] slow_start_seconds": (
        7.0,
        lambda d: d.calls.dispatcher._balancer._slow_start_seconds,
    ),
    "[caller] max_other_connections": (
        7,
        lambda d: interface(d, 1)[1]._max_connections,
    ),
    "[caller] max_head_bytes": (7000, client_limit("max_head_bytes")),
    "[caller] head_seconds": (7.0, client_limit("head_seconds")),
    "[caller] max_empty_line_bytes": (7000, client_limit("max_empty_line_bytes")),
    "[caller] max_framing_bytes": (7000, client_limit("max_framing_bytes")),
    "[caller] answer_seconds": (7.0, client_limit("answer_seconds")),
    "[caller] min_answer_rate": (7000.0, client_limit("min_answer_rate")),
    "[caller] max_held_bytes": (7000000, client_limit("max_held_bytes")),
    "[caller] idle_seconds": (7.0, client_limit("idle_seconds")),
    "[backend_server] idle_reuse_seconds": (
        0.7,
        lambda d: d.calls.dispatcher._options.idle_reuse_seconds,
    ),
    "[backend_server] max_body_bytes": (
        7000,
        lambda d: d.announcements.application()._client_max_size,
    ),
    "[operator] address": ("10.0.0.1:4", lambda d: interface(d, 2)[0]),
    "[platform] log_url": ("http://10.0.0.9:7", lambda d: d.log._url),
    "[platform] log_region": (
        "kostanay",
        lambda d: d.node._log_region_link._log_region,
    ),
    "[platform] log_poll_seconds": (7.0, tail("poll_seconds")),
    "[platform] log_timeout_seconds": (7.0, lambda d: d.log._timeout.seconds),
    "[platform] retry_cap_seconds": (
        7.0,
        lambda d: max(
            tail("retry_cap_seconds")(d),
            d.log_reader._writer._appender._retry_cap_seconds,
        ),
    ),
    "[platform] log_retention_seconds": (700.0, checkpointer("retention_seconds")),
    "[platform] lease_ttl_seconds": (7.0, checkpointer("lease_ttl_seconds")),
    "[platform] checkpoint_records": (7, checkpointer("checkpoint_records")),
    "[stop] leaving_seconds": (7.0, stop_seconds),
    "[stop] drain_seconds": (7.0, lambda d: interface(d, 0)[1]._shutdown_timeout),
    "[log] level": ("error", level_of_process),
    "[log] routing_sample": (0.7, lambda d: d.calls.dispatcher._decisions._share),
}


# The same of settings that only the root for a metadata store uses.
SIDECAR_PARTS = {
    "[vm] link_mbps": (5.5, lambda s: s.registration.entry.bandwidth_kbps / 1000),
    "[backend_server] own_address": ("10.0.0.1:7", lambda s: s.gate._address),
    "[backend_server] own_service": ("desk", lambda s: s.gate.service),
    "[operator] ready_address": (
        "10.0.0.1:6",
        lambda s: [address for address, _ in s._interfaces()][-1],
    ),
    "[platform] bounds": ("grace=9s", lambda s: f"grace={s.bounds.stop_ms / 1000:g}s"),
    "[platform] interface": ("metadata_store", lambda s: s.settings.platform.interface),
}
SIDECAR = {
    "[platform] interface": "metadata_store",
    "[backend_server] own_address": "10.0.0.1:8",
    "[backend_server] own_service": "rota-board",
}


def test_the_bounds_of_the_platform_reach_the_parts_that_keep_them():
    """Guards against a deployment with other bounds than the usual ones."""

    async def main():
        bounds = "retry_budget_ratio=0.4,canary_share=0.05,canary_slack=70,grace=3s"
        bounds += ",budget_slack=100,budget_window=5s"
        sidecar = sidecar_with(**{"[platform] bounds": bounds})
        assert sidecar.forwarder._allowance == RetryAllowance(0.4, 100, 5.0)
        budget = sidecar.forwarder._budget("rota-board")
        assert budget._share == pytest.approx(0.8 * 0.4)
        assert budget._minimum_per_second == pytest.approx(0.3 * 100 / 5)
        assert sidecar.rollouts._allowance == TrialAllowance(0.05, 70.0)
        assert sidecar.bounds.stop_ms == 3000

    run_virtual(main())


def sidecar_with(**text_by_place):
    """Return the process for a metadata store with some settings."""
    return daemon_with(**{**SIDECAR, **text_by_place})


@pytest.mark.parametrize("setting", all_settings(), ids=lambda s: s.place)
def test_every_setting_reaches_the_part_that_it_describes(setting):
    """Guards against settings that are read and have no effect."""
    is_of_sidecar = setting.place in SIDECAR_PARTS
    create = sidecar_with if is_of_sidecar else daemon_with
    value, look = (SIDECAR_PARTS if is_of_sidecar else PARTS)[setting.place]
    assert value not in (setting.default, setting.example)

    async def main():
        found = look(create(**{setting.place: str(value)}))
        return await found if inspect.isawaitable(found) else found

    assert run_virtual(main()) == value


def test_the_defaults_of_the_settings_are_those_of_the_parts():
    """Guards against tests and measurements that run with other values."""

    async def main():
        daemon = daemon_with()
        assert daemon.node._options == NodeOptions()
        assert daemon.log_reader._tail._options == LogOptions()
        assert daemon.calls.dispatcher._options == CallOptions()
        links = daemon.node._links._transport
        assert links.connect_timeout_seconds == transport.CONNECT_TIMEOUT_SECONDS
        assert links.max_queued_bytes == transport.MAX_SEND_BUFFER_BYTES

    run_virtual(main())
