"""Byte counts of the streams between VMs, by type of message."""

from collections import Counter

SENT = "sent"
RECEIVED = "received"


class StreamTraffic:
    """Counts the bytes of messages.

    Attributes
    ----------
    bytes_by_labels : Counter
        Bytes since the start of the process by message type, distance and direction.
    """

    def __init__(self) -> None:
        self.bytes_by_labels: Counter[tuple[str, str, str]] = Counter()

    def count(self, kind: str, distance: str, direction: str, size: int) -> None:
        """Count the bytes of one message.

        Parameters
        ----------
        kind : str
            Name of the message's class.
        distance : str
            Distance to the other VM, as in `vm.distances`.
        direction : str
            `SENT` or `RECEIVED`.
        size : int
            Encoded size of the message in bytes.
        """
        self.bytes_by_labels[kind, distance, direction] += size
