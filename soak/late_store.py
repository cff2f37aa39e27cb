"""Store that does writes late."""

import asyncio

from tests.platform.store_standin import StoreStandIn


class LateStore(StoreStandIn):
    """Store whose writes may get no answer and be done later.

    Attributes
    ----------
    late_seconds : float
        How much later writes are done; 0 does them at once.
    """

    def __init__(self):
        super().__init__()
        self.late_seconds = 0.0

    async def _append(self, request):
        if self.late_seconds:
            late_seconds = self.late_seconds
            # The body is kept for the write that follows.
            await request.read()
            request.transport.abort()
            await asyncio.sleep(late_seconds)
        return await super()._append(request)
