"""Settings of the daemon, declared once.

Each field of `Settings` and of its groups carries its declaration. The reader
(`reader`), the page ``docs/settings.md`` and the example file are all derived
from the declarations.
"""

from collections.abc import Iterator

import attrs

from lacewingstair.settings.calls import CallSettings
from lacewingstair.settings.fields import (
    Setting,
    count,
    declared,
    optional,
    required,
    seconds,
)
from lacewingstair.settings.values import (
    Addresses,
    Choice,
    IpAddress,
    Name,
    Number,
    OptionalAddress,
    OptionalName,
    Text,
    Url,
)

TICKET_LOG = "ticket_log"
METADATA_STORE = "metadata_store"
INTERFACES = (TICKET_LOG, METADATA_STORE)
_LOG_LEVELS = ("debug", "info", "warning", "error")


@attrs.frozen
class LinkSettings:
    """Links between VMs, dissemination and failure detection; times in seconds."""

    heartbeat_seconds: float = seconds(
        "vm",
        "heartbeat_seconds",
        1.0,
        0.1,
        60,
        "interval of heartbeats on each link; the same on all VMs",
    )
    silence_seconds: float = seconds(
        "vm",
        "silence_seconds",
        3.0,
        0.2,
        300,
        "time without a frame after which a link is replaced",
    )
    replacement_seconds: float = seconds(
        "vm",
        "replacement_seconds",
        2.0,
        0.1,
        60,
        "time for a new connection to answer before the peer is suspected",
    )
    suspicion_seconds: float = seconds(
        "vm",
        "suspicion_seconds",
        5.0,
        0.1,
        600,
        "time in which a suspected VM may refute before it counts as dead",
    )
    reconnect_base_seconds: float = seconds(
        "vm",
        "reconnect_base_seconds",
        0.1,
        0.01,
        10,
        "upper bound of the random delay before the first reconnect; it doubles with"
        " each failure",
    )
    reconnect_cap_seconds: float = seconds(
        "vm",
        "reconnect_cap_seconds",
        10.0,
        0.1,
        600,
        "largest upper bound of the delay before a reconnect",
    )
    coalesce_seconds: float = seconds(
        "vm",
        "coalesce_seconds",
        0.1,
        0,
        5,
        "time in which changes of the directory are collected into one frame",
    )
    snapshot_slots: int = count(
        "vm",
        "snapshot_slots",
        4,
        1,
        64,
        "snapshots served at a time; further requests are answered Busy",
    )
    recent_records: int = count(
        "vm",
        "recent_records",
        256,
        1,
        65536,
        "ticket records kept to bring a peer up to date without a snapshot",
    )
    send_queue_bytes: int = count(
        "vm",
        "send_queue_bytes",
        8 << 20,
        1 << 20,
        64 << 20,
        "bytes that may wait on one link; a link beyond it is closed",
        "bytes",
    )


@attrs.frozen
class BackendServerSettings:
    """Announcements of backend servers and the choice between them."""

    announcement_ttl_seconds: float = seconds(
        "backend_server",
        "announcement_ttl_seconds",
        10.0,
        1,
        300,
        "time after its last announcement until an endpoint is removed",
    )
    slow_start_seconds: float = seconds(
        "backend_server",
        "slow_start_seconds",
        10.0,
        0,
        600,
        "time in which a new endpoint's share of the calls grows to its full size",
    )
    idle_reuse_seconds: float = seconds(
        "backend_server",
        "idle_reuse_seconds",
        1.0,
        0,
        15,
        "longest idle time after which a connection is used for a call that must not"
        " run twice",
    )
    own_address: str = optional(
        "backend_server",
        "own_address",
        OptionalAddress(),
        "",
        "where the backend server beside this process listens; needed with the"
        " interface metadata_store, where only this process reaches it",
    )
    own_service: str = optional(
        "backend_server",
        "own_service",
        OptionalName(),
        "",
        "service of that backend server; needed with the interface metadata_store",
    )
    max_body_bytes: int = count(
        "backend_server",
        "max_body_bytes",
        64 << 10,
        1 << 10,
        1 << 20,
        "largest body of an announcement",
        "bytes",
    )


@attrs.frozen
class PlatformSettings:
    """Use of the platform's log; times in seconds."""

    interface: str = optional(
        "platform",
        "interface",
        Choice(INTERFACES),
        TICKET_LOG,
        "what the platform gives: a log of tickets, or a metadata store with whole"
        " configurations",
    )
    bounds: str = optional(
        "platform",
        "bounds",
        Text(),
        "",
        "bounds that the platform states, as name=value divided by commas; used with"
        " the interface metadata_store",
    )
    log_region: str = optional(
        "platform",
        "log_region",
        OptionalName(),
        "",
        "region in which the log stands, the same on all VMs; only VMs of this region"
        " read the log while others reach it; VMs of every region when empty",
    )
    log_poll_seconds: float = seconds(
        "platform",
        "log_poll_seconds",
        10.0,
        0,
        60,
        "longest time that a read of the log waits for a new record",
    )
    log_timeout_seconds: float = seconds(
        "platform",
        "log_timeout_seconds",
        5.0,
        0.1,
        60,
        "time for an answer of the log, in addition to the wait of a read; it grows to"
        " 40 s while the log is slow",
    )
    retry_cap_seconds: float = seconds(
        "platform",
        "retry_cap_seconds",
        4.4,
        0.1,
        600,
        "longest delay between attempts while the log is down",
    )
    log_retention_seconds: float = seconds(
        "platform",
        "log_retention_seconds",
        86_400.0,
        60,
        366 * 86_400,
        "time for which the log keeps records; checkpoints are renewed well before",
    )
    lease_ttl_seconds: float = seconds(
        "platform",
        "lease_ttl_seconds",
        60.0,
        1,
        600,
        "validity of the lease for writing checkpoints",
    )
    checkpoint_records: int = count(
        "platform",
        "checkpoint_records",
        1000,
        1,
        1_000_000,
        "folded records after which a new checkpoint is written",
    )


@attrs.frozen
class StopSettings:
    """Planned stop; times in seconds."""

    leaving_seconds: float = seconds(
        "stop",
        "leaving_seconds",
        2.0,
        0,
        60,
        "time in which calls are still accepted after the VM has announced that it"
        " leaves",
    )
    drain_seconds: float = seconds(
        "stop",
        "drain_seconds",
        30.0,
        0.1,
        3600,
        "longest time for open calls to end after that",
    )


@attrs.frozen
class LoggingSettings:
    """Log lines of the daemon."""

    level: str = optional(
        "log", "level", Choice(_LOG_LEVELS), "info", "lowest level that is logged"
    )
    routing_sample: float = optional(
        "log",
        "routing_sample",
        Number("ratio", 0, 1),
        0.01,
        "share of the routing decisions that are logged",
    )


@attrs.frozen
class Settings:
    """Settings of one daemon.

    Parameters
    ----------
    mesh, vm_id, region, availability_zone : str
        Identity and place of the VM.
    link_mbps : float
        What the VM's link carries.
    vm_address, caller_address, backend_server_address, operator_address : str
        ``ip:port`` of the four interfaces.
    ready_address : str
        ``ip:port`` of the readiness check; empty for none.
    log_url : str
        Base URL of the platform's log.
    contacts : tuple of str
        VM addresses to start from.
    links, calls, backend_servers, platform, stop, logging
        Groups with a default for every setting.
    """

    region: str = required("vm", "region", Name(), "region of the VM", "akmola")
    availability_zone: str = required(
        "vm", "availability_zone", Name(), "availability zone of the VM", "akmola-1"
    )
    vm_address: str = required(
        "vm", "address", IpAddress(), "streams between VMs", "127.0.0.1:7100"
    )
    caller_address: str = required(
        "caller", "address", IpAddress(), "HTTP for callers", "127.0.0.1:7101"
    )
    backend_server_address: str = required(
        "backend_server",
        "address",
        IpAddress(),
        "HTTP for announcements of backend servers",
        "127.0.0.1:7102",
    )
    operator_address: str = required(
        "operator", "address", IpAddress(), "HTTP for operators", "127.0.0.1:7103"
    )
    log_url: str = required(
        "platform",
        "log_url",
        Url(),
        "base URL of the platform's log",
        "http://127.0.0.1:7000",
    )
    link_mbps: float = optional(
        "vm",
        "link_mbps",
        Number("Mbit/s", 0, 1_000_000),
        0.0,
        "what the VM's link carries; 0 when it is not known; transfers of"
        " configurations between VMs use a share of it",
    )
    ready_address: str = optional(
        "operator",
        "ready_address",
        OptionalAddress(),
        "",
        "HTTP for the platform's readiness check; none when empty",
    )
    vm_id: str = optional(
        "vm",
        "id",
        Name(),
        "",
        "name of the VM, unique in the mesh; its address when not given",
    )
    mesh: str = optional(
        "vm",
        "mesh",
        Name(),
        "mesh",
        "name of the mesh; connections from another mesh are refused",
    )
    contacts: tuple[str, ...] = optional(
        "vm", "contacts", Addresses(), (), "VM addresses to start from"
    )
    links: LinkSettings = LinkSettings()
    calls: CallSettings = CallSettings()
    backend_servers: BackendServerSettings = BackendServerSettings()
    platform: PlatformSettings = PlatformSettings()
    stop: StopSettings = StopSettings()
    logging: LoggingSettings = LoggingSettings()

    @property
    def log_level(self) -> str:
        """Lowest level that is logged."""
        return self.logging.level


def groups() -> Iterator[tuple[str, type]]:
    """Yield the groups of settings, by the names of their fields."""
    for field in attrs.fields(Settings):
        if attrs.has(type(field.default)):
            yield field.name, type(field.default)


def all_settings() -> list[Setting]:
    """Return every declaration; those of one section follow each other."""
    classes = (Settings, *(cls for _, cls in groups()))
    found = [setting for cls in classes for _, setting in declared(cls)]
    sections = list(dict.fromkeys(setting.section for setting in found))
    return sorted(found, key=lambda setting: sections.index(setting.section))
