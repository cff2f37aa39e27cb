"""Entry point of the daemon's process.

A reload signal ends a process that has no handler yet. It can come as the process is
started again, and loading the program takes a good part of a second, so the signal is
held back from the first moment until there is a handler. Callers can connect from the
first moment as well.
"""

import gc
import signal
import sys


def hold_reload_signals() -> None:
    """Let reload signals wait."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def release_reload_signals() -> None:
    """Deliver reload signals, the ones that have waited first."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


def main() -> None:
    """Entry point of ``lacewingstaird SETTINGS_FILE``."""
    hold_reload_signals()
    # Nearly all that is loaded stays; `garbage_collection` turns collections on.
    gc.disable()
    from lacewingstair.early_listening import open_sockets
    from lacewingstair.tls import no_certificates

    sockets_by_address = open_sockets(sys.argv[1]) if len(sys.argv) == 2 else {}

    with no_certificates():
        import aiohttp  # noqa: F401 - loads certificates as it is imported
    from lacewingstair import process

    process.main(sockets_by_address)


if __name__ == "__main__":
    main()
