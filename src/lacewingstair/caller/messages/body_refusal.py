"""End of a body that is refused while it arrives."""

from aiohttp import ClientPayloadError


class BodyRefusedError(ClientPayloadError):
    """The process has no memory for the rest of a body."""
