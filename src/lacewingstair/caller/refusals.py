"""Answers that this process gives in place of a backend server."""

import attrs
from aiohttp import web

from lacewingstair.caller import headers


@attrs.frozen
class Refusal:
    """Why a call has no answer of a backend server.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        What is wrong and what is allowed, for the caller.
    is_not_run : bool
        Whether it is certain that the call did not run.
    retry_after_seconds : int
        When trying again may help; 0 when it will not.
    is_short : bool
        Whether upstreams lacked capacity.
    """

    status: int
    reason: str
    is_not_run: bool = True
    retry_after_seconds: int = 0
    lacks_capacity: bool = False

    def response(self) -> web.Response:
        """Return the HTTP answer.

        It always carries ``Lacewingstair-Retry: no``: what can be tried again was tried
        here, so that layers of callers do not multiply attempts.
        """
        outcome = headers.OUTCOME_NOT_RUN if self.is_not_run else None
        answer = web.json_response({"error": self.reason}, status=self.status)
        answer.headers[headers.OUTCOME] = outcome or headers.OUTCOME_UNKNOWN
        answer.headers[headers.RETRY] = headers.RETRY_NO
        if self.retry_after_seconds:
            answer.headers["Retry-After"] = str(self.retry_after_seconds)
        return answer
