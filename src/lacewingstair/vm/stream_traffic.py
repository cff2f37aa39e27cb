"""Bytes on the streams between VMs, by kind of message."""

from collections import Counter

SENT = "sent"
RECEIVED = "received"


class StreamTraffic:
    """Adds up the bytes of messages.

    Attributes
    ----------
    bytes_by_labels : Counter
        Bytes since the start by kind of message, distance and direction.
    """

    def __init__(self) -> None:
        self.bytes_by_labels: Counter[tuple[str, str, str]] = Counter()

    def count(self, kind: str, distance: str, direction: str, size: int) -> None:
        """Count one message.

        Parameters
        ----------
        kind : str
            Name of the message's type.
        distance : str
            Where the other VM is, as in `vm.distances`.
        direction : str
            `SENT` or `RECEIVED`.
        size : int
            Bytes of the message on the stream.
        """
        self.bytes_by_labels[kind, distance, direction] += size
