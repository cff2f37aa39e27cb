"""Daemon that trusts waiting reads of the store because their connections are open.

It makes no checks of where the topics end, and its reads wait as long as before those
checks were added.
"""

import asyncio

from lacewingstair import reload_signals

reload_signals.hold()

from lacewingstair import entry  # noqa: E402
from lacewingstair.metadata import store_follower  # noqa: E402
from lacewingstair.metadata.store_watch import StoreWatch  # noqa: E402


async def make_no_checks(watch):
    """Stand in for `StoreWatch.run`, which does not return either."""
    await asyncio.Event().wait()


StoreWatch.run = make_no_checks
store_follower.CONFIGURATION_WAIT_SECONDS = 20.0

if __name__ == "__main__":
    entry.main()
