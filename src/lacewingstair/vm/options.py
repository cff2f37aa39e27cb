"""Options of a mesh node."""

import attrs


@attrs.frozen
class NodeOptions:
    """Intervals and limits of links and dissemination; times are in seconds.

    Parameters
    ----------
    heartbeat_seconds : float
        Interval between heartbeats on each link.
    silence_seconds : float
        Time without a received frame after which a link is closed and replaced.
    replacement_seconds : float
        Time to wait for a Hello on a new connection before the peer is suspected.
    suspicion_seconds : float
        Time that a suspected VM has to refute the suspicion.
    reconnect_base_seconds, reconnect_cap_seconds : float
        Upper bound of the random delay before the first reconnect attempt, and the
        maximum to which it grows.
    coalesce_seconds : float
        Time for which directory changes are collected into one update.
    snapshot_slots : int
        Maximum number of snapshots served concurrently.
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
    def pause_threshold_seconds(self) -> float:
        """Time between two ticks from which a pause of this VM itself is inferred."""
        return 2.5 * self.heartbeat_seconds

    @property
    def fresh_seconds(self) -> float:
        """Time since the last received frame for which a connection counts as live."""
        return 1.5 * self.heartbeat_seconds
