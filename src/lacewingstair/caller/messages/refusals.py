"""Error responses that this process generates itself."""

import attrs
from aiohttp import web

from lacewingstair.caller.messages import headers


@attrs.frozen
class Refusal:
    """Reason why a call gets no response from a backend server.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Message for the caller: what is wrong and what is allowed.
    is_not_run : bool
        Whether it is certain that the call did not run.
    retry_after_seconds : int
        Delay after which a retry may succeed; 0 when it will not.
    lacks_capacity : bool
        Whether the upstreams had no free capacity.
    """

    status: int
    reason: str
    is_not_run: bool = True
    retry_after_seconds: int = 0
    lacks_capacity: bool = False

    def response(self) -> web.Response:
        """Return the HTTP response.

        It always carries ``Lacewingstair-Retry: no``: calls that can be retried were
        retried here, so that nested layers of callers do not multiply attempts.
        """
        outcome = headers.OUTCOME_NOT_RUN if self.is_not_run else None
        http_response = web.json_response({"error": self.reason}, status=self.status)
        http_response.headers[headers.OUTCOME] = outcome or headers.OUTCOME_UNKNOWN
        http_response.headers[headers.RETRY] = headers.RETRY_NO
        if self.retry_after_seconds:
            http_response.headers["Retry-After"] = str(self.retry_after_seconds)
        return http_response
