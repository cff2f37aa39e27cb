"""Options of one VM's part in the mesh."""

import attrs


@attrs.frozen
class NodeOptions:
    """Intervals and bounds of links and dissemination; times in seconds.

    Parameters
    ----------
    heartbeat_seconds : float
        Interval of heartbeats on each link.
    silence_seconds : float
        Time without a frame after which a link is replaced.
    replacement_seconds : float
        Time for a new connection to answer before the peer is suspected.
    suspicion_seconds : float
        Time in which a suspected VM may refute.
    reconnect_base_seconds, reconnect_cap_seconds : float
        Upper bound of the delay before the first reconnect, and the largest one.
    coalesce_seconds : float
        Time in which changes of the directory are collected.
    snapshot_slots : int
        Snapshots served at a time.
    """

    heartbeat_seconds: float = 1.0
    silence_seconds: float = 3.0
    replacement_seconds: float = 2.0
    suspicion_seconds: float = 5.0
    reconnect_base_seconds: float = 0.1
    reconnect_cap_seconds: float = 10.0
    coalesce_seconds: float = 0.1
    snapshot_slots: int = 4

    @property
    def pause_seconds(self) -> float:
        """Time between two heartbeats that means that this VM itself was paused."""
        return 2.5 * self.heartbeat_seconds

    @property
    def fresh_seconds(self) -> float:
        """Time since its last frame for which a connection is taken to work."""
        return 1.5 * self.heartbeat_seconds
