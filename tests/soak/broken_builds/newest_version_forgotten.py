"""Daemon that goes back to the version before a second after it has adopted one."""

import asyncio

from lacewingstair import reload_signals

reload_signals.hold()

from lacewingstair import entry  # noqa: E402
from lacewingstair.metadata.configuration import ConfigurationStore  # noqa: E402

FORGOTTEN_AFTER_SECONDS = 1.0

adopt = ConfigurationStore.adopt


def adopt_for_a_second(store, configuration):
    """Stand in for `ConfigurationStore.adopt`."""
    before = store.current
    if not adopt(store, configuration):
        return False

    def forget():
        if store.current is configuration and before.number:
            store.current = before

    asyncio.get_running_loop().call_later(FORGOTTEN_AFTER_SECONDS, forget)
    return True


ConfigurationStore.adopt = adopt_for_a_second

if __name__ == "__main__":
    entry.main()
