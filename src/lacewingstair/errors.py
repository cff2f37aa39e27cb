"""Every error of the project, with what to do about each.

Errors are values carried in ``result.Err``. Only `InvariantError` is raised.
"""

import attrs


class InvariantError(Exception):
    """A condition that the code relies on does not hold.

    This is a fault of the program. The process stops; report the message.
    """


@attrs.frozen
class Fault:
    """One fault at one place of an input.

    Parameters
    ----------
    place : str
        Path of the value, such as ``routes.rota-read.service``.
    reason : str
        What is wrong, showing the offending value and what is allowed.
    """

    place: str
    reason: str

    def __str__(self) -> str:
        return f"{self.place}: {self.reason}"


@attrs.frozen
class TicketError:
    """A ticket is not valid. Correct every listed fault and publish it again."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "; ".join(str(fault) for fault in self.faults)


@attrs.frozen
class SettingsError:
    """Settings are not valid. Correct every listed fault and start again."""

    source: str
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        listed = "; ".join(str(fault) for fault in self.faults)
        return f"settings {self.source!r}: {listed}"


@attrs.frozen
class LogUnavailable:
    """The platform's log did not answer.

    The daemon keeps serving and tries again. An operator checks the address and the log
    service when it persists.
    """

    url: str
    reason: str

    def __str__(self) -> str:
        return f"log at {self.url!r} is unavailable: {self.reason}"


@attrs.frozen
class OffsetExpired:
    """The log no longer keeps the offset asked for.

    The reader starts from the newest whole checkpoint, or reports a gap.
    """

    offset: int
    first_offset: int

    def __str__(self) -> str:
        return (
            f"offset {self.offset} has expired, the log starts at {self.first_offset}"
        )


@attrs.frozen
class ListenError:
    """An address cannot be listened on. Free the port or change the setting."""

    address: str
    reason: str

    def __str__(self) -> str:
        return f"cannot listen on {self.address!r}: {self.reason}"


@attrs.frozen
class FrameError:
    """A peer sent bytes that are not a valid frame. The connection is closed."""

    reason: str

    def __str__(self) -> str:
        return f"invalid frame: {self.reason}"


@attrs.frozen
class ConnectError:
    """A connection to a peer could not be made. It is tried again with backoff.

    `is_refused` tells that nothing listens at the address; other errors leave it open.
    """

    address: str
    reason: str
    is_refused: bool = False

    def __str__(self) -> str:
        return f"cannot connect to {self.address!r}: {self.reason}"


@attrs.frozen
class AnnouncementError:
    """A backend server's announcement is not valid. Correct the listed faults."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "; ".join(str(fault) for fault in self.faults)


@attrs.frozen
class StateCodecError:
    """Bytes that are not an encoded `MeshState`.

    The receiver drops them and asks another source; a checkpoint is passed over.
    """

    reason: str

    def __str__(self) -> str:
        return f"invalid state: {self.reason}"


@attrs.frozen
class LogRefused:
    """The log refused an append for good, for instance because it is too large.

    Repeating it does not help. Make the record smaller or correct the log's address.
    """

    url: str
    reason: str

    def __str__(self) -> str:
        return f"log at {self.url!r} refused the record: {self.reason}"


@attrs.frozen
class SystemRecordError:
    """A record of the system stream is malformed or of an unknown kind.

    Readers pass over it. Records of an unknown kind come from a newer release.
    """

    reason: str

    def __str__(self) -> str:
        return f"invalid system record: {self.reason}"


@attrs.frozen
class PublishError:
    """A ticket could not be published.

    Publish the same file again when the log answers: a ticket that is on the log
    already counts once.

    Parameters
    ----------
    reason : str
        Last error of the log.
    may_be_written : bool
        Whether the ticket may be on the log all the same.
    """

    reason: str
    may_be_written: bool

    def __str__(self) -> str:
        outcome = "may be on the log" if self.may_be_written else "was not written"
        return f"the ticket {outcome}: {self.reason}"


@attrs.frozen
class OperatorUnavailable:
    """The operators' interface of a VM did not answer as expected.

    Check the address, which is that of ``[operator]`` in the VM's settings, or ask
    another VM.
    """

    url: str
    reason: str

    def __str__(self) -> str:
        return f"no report from {self.url!r}: {self.reason}"


@attrs.frozen
class SnapshotError:
    """A snapshot from a peer is not valid. It is dropped and another peer is asked."""

    reason: str

    def __str__(self) -> str:
        return f"invalid snapshot: {self.reason}"


@attrs.frozen
class ConnectionsBusy:
    """The VM's share of an upstream's connections is used up.

    The call goes to another upstream. An operator raises the announced connections when
    it persists while the upstream is idle.
    """

    address: str
    share: int

    def __str__(self) -> str:
        return f"all {self.share} connections of this VM to {self.address!r} are in use"


@attrs.frozen
class ConfigurationError:
    """A configuration document cannot be used; the one in force stays."""

    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return "; ".join(str(fault) for fault in self.faults)


@attrs.frozen
class StoreUnavailable:
    """The platform's store did not answer a call, or refused it for now.

    The daemon keeps serving and tries again. An operator checks the store when it
    persists.

    Parameters
    ----------
    operation : str
        Call that failed.
    reason : str
        What happened.
    may_be_done : bool
        Whether a write may have taken effect, or may still.
    """

    operation: str
    reason: str
    may_be_done: bool = False

    def __str__(self) -> str:
        return f"store: {self.operation} failed: {self.reason}"


@attrs.frozen
class StoreConflict:
    """A write under a condition was not done, as the partition has another end."""

    end_offset: int

    def __str__(self) -> str:
        return f"store: the partition ends at offset {self.end_offset}"
