"""Options of the use of the platform's log."""

import attrs


@attrs.frozen
class LogOptions:
    """Intervals and bounds of a log reader; times in seconds.

    Parameters
    ----------
    poll_seconds : float
        Longest time that a read waits for a new record. A connection that has gone
        silent is noticed after this time and the client's timeout.
    retry_cap_seconds : float
        Longest delay between attempts while the log is down. It leaves the mesh a part
        of the 5 s in which a ticket has to be in force after an outage.
    retention_seconds : float
        How long the log keeps records.
    lease_ttl_seconds : float
        Validity of the lease for writing a checkpoint.
    checkpoint_records : int
        Folded records after which a new checkpoint is written.
    """

    poll_seconds: float = 10.0
    retry_cap_seconds: float = 4.4
    retention_seconds: float = 86_400.0
    lease_ttl_seconds: float = 60.0
    checkpoint_records: int = 1000
